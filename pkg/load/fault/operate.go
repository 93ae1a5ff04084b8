package fault

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
)

const (
	// loadPollInterval is the interval at which an endpoint's load is read before its planned stop.
	loadPollInterval = 250 * time.Millisecond
	// defaultWithdrawTimeout bounds the wait for an idle endpoint if the fault sets no time.
	defaultWithdrawTimeout = 20 * time.Second
	// minIdleTime is how long an endpoint must have no work before its planned stop, because a router may receive the
	// leaving mark up to 3 s late and send work until then.
	minIdleTime = 4 * time.Second
)

func (i *Injector) injectOperatorChange(ctx context.Context, f scenario.Fault) {
	switch f.Kind {
	case scenario.Leave:
		i.recordEvent(i.setLeaving(ctx, f, true), "%s is marked as leaving", f.VM)
	case scenario.CancelLeave:
		i.recordEvent(i.setLeaving(ctx, f, false), "the mark of %s is taken back", f.VM)
		i.updateDeparture(f.VM, func(d *observation.Departure) { d.CancelledAt = time.Now() })
	case scenario.Withdraw:
		err := i.setLeaving(ctx, f, true)
		i.recordEvent(err, "%s is marked as leaving", f.VM)
		if err == nil {
			i.waitUntilIdle(ctx, f)
			i.terminate(ctx, f.VM)
		}
	case scenario.TopUp:
		organisation, budget, _ := strings.Cut(f.Budget, "/")
		id := fmt.Sprintf("load-%d-%s", time.Now().UnixNano(), budget)
		i.recordEvent(i.admin.TopUp(ctx, f.Via, organisation, budget, id, f.Tokens), "%s is topped up by %d tokens", f.Budget, f.Tokens)
	case scenario.Race:
		i.updateConcurrently(ctx, f)
	}
}

// setLeaving writes the leaving mark of a VM. The recorded departure starts when the write is accepted.
func (i *Injector) setLeaving(ctx context.Context, f scenario.Fault, leaving bool) error {
	_, revision, err := i.admin.Get(ctx, f.Via, config.KindVM, f.VM)
	if err != nil {
		return err
	}
	accepted, err := i.admin.Put(ctx, f.Via, config.KindVM, f.VM, config.VMMark{VM: f.VM, Leaving: leaving}, revision)
	if err != nil {
		return err
	}
	i.recordAcceptance(config.KeyOf(config.KindVM, f.VM), accepted)
	if leaving {
		i.recordDeparture(f.VM, time.Now())
	}
	return nil
}

func (i *Injector) recordAcceptance(object string, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.acceptances = append(i.acceptances, observation.Acceptance{Object: object, Revision: revision, At: time.Now()})
}

// waitUntilIdle waits until an endpoint has had no work for minIdleTime. It returns at once for an entry VM, because a
// router withdraws by itself after SIGTERM.
func (i *Injector) waitUntilIdle(ctx context.Context, f scenario.Fault) {
	if _, isEntryVM := i.fleet.Router(f.VM); isEntryVM {
		return
	}
	p, _ := i.fleet.Find(f.VM)
	timeout := f.For
	if timeout == 0 {
		timeout = defaultWithdrawTimeout
	}
	deadline, lastBusy := time.Now().Add(timeout), time.Now()
	for time.Now().Before(deadline) && time.Since(lastBusy) < minIdleTime {
		var load engine.Load
		err := i.control.Do(ctx, http.MethodGet, p.Address, engine.PathLoad, nil, &load)
		if err == nil && load.Running+load.Queued > 0 {
			lastBusy = time.Now()
		}
		if !sleepUntil(ctx, time.Now().Add(loadPollInterval)) {
			return
		}
	}
}

// updateConcurrently makes two operators read the same revision of a class and write it through two routers
// concurrently. At most one write may be accepted.
func (i *Injector) updateConcurrently(ctx context.Context, f scenario.Fault) {
	accepted, conflicts, unanswered := 0, 0, 0
	for n := range f.Count {
		value, revision, err := i.admin.Get(ctx, "", config.KindClass, f.Class)
		var class config.Class
		if err == nil {
			err = json.Unmarshal(value, &class)
		}
		if err != nil {
			i.recordEvent(err, "the operators can't read class %s", f.Class)
			continue
		}
		results := make([]error, 2)
		revisions := make([]uint64, 2)
		var tasks conc.WaitGroup
		for operator := range 2 {
			changed := class
			changed.MaxOutputTokens += 1 + operator
			via := i.fleet.Routers[(2*n+operator)%len(i.fleet.Routers)].VM
			tasks.Go(func() {
				revisions[operator], results[operator] = i.admin.Put(ctx, via, config.KindClass, f.Class, changed, revision)
			})
		}
		tasks.Wait()
		for operator, err := range results {
			switch {
			case err == nil:
				accepted++
				i.recordAcceptance(config.KeyOf(config.KindClass, f.Class), revisions[operator])
			case errors.Is(err, control.ErrConflict):
				conflicts++
			default:
				unanswered++
			}
		}
		if results[0] == nil && results[1] == nil {
			i.recordEvent(errBothAccepted, "class %s, revisions %d and %d", f.Class, revisions[0], revisions[1])
		}
	}
	i.recordEvent(nil, "operators raced for class %s %d times: %d changes accepted, %d conflicts, %d without an answer", f.Class, f.Count, accepted, conflicts, unanswered)
}

var errBothAccepted = errors.New("both of two conflicting changes were accepted")
