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
	// emptyCheck is the interval at which an endpoint's load is read before its planned stop.
	emptyCheck = 250 * time.Millisecond
	// withdrawLimit bounds the wait for an endpoint without work if the fault names no time.
	withdrawLimit = 20 * time.Second
	// quietTime is how long an endpoint must be without work before its planned stop; a router may learn of the mark
	// up to 3 s late.
	quietTime = 4 * time.Second
)

func (i *Injector) operate(ctx context.Context, f scenario.Fault) {
	switch f.Kind {
	case scenario.Leave:
		i.note(i.mark(ctx, f, true), "%s is marked as leaving", f.VM)
	case scenario.CancelLeave:
		i.note(i.mark(ctx, f, false), "the mark of %s is taken back", f.VM)
		i.changeDeparture(f.VM, func(d *observation.Departure) { d.Cancelled = time.Now() })
	case scenario.Withdraw:
		err := i.mark(ctx, f, true)
		i.note(err, "%s is marked as leaving", f.VM)
		if err == nil {
			i.awaitEmpty(ctx, f)
			i.terminate(ctx, f.VM)
		}
	case scenario.TopUp:
		organisation, budget, _ := strings.Cut(f.Budget, "/")
		id := fmt.Sprintf("load-%d-%s", time.Now().UnixNano(), budget)
		i.note(i.admin.TopUp(ctx, f.Via, organisation, budget, id, f.Tokens), "%s is topped up by %d tokens", f.Budget, f.Tokens)
	case scenario.Race:
		i.race(ctx, f)
	}
}

// mark writes the mark of a VM. The departure counts from the acceptance.
func (i *Injector) mark(ctx context.Context, f scenario.Fault, leaving bool) error {
	_, revision, err := i.admin.Get(ctx, f.Via, config.KindVM, f.VM)
	if err != nil {
		return err
	}
	accepted, err := i.admin.Put(ctx, f.Via, config.KindVM, f.VM, config.VMMark{VM: f.VM, Leaving: leaving}, revision)
	if err != nil {
		return err
	}
	i.accept(config.KeyOf(config.KindVM, f.VM), accepted)
	if leaving {
		i.depart(f.VM, time.Now())
	}
	return nil
}

func (i *Injector) accept(object string, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.acceptances = append(i.acceptances, observation.Acceptance{Object: object, Revision: revision, At: time.Now()})
}

// awaitEmpty waits until an endpoint has had no work for a while. A router withdraws by itself after the signal.
func (i *Injector) awaitEmpty(ctx context.Context, f scenario.Fault) {
	if _, entry := i.fleet.Router(f.VM); entry {
		return
	}
	p, _ := i.fleet.Find(f.VM)
	limit := f.For
	if limit == 0 {
		limit = withdrawLimit
	}
	end, busy := time.Now().Add(limit), time.Now()
	for time.Now().Before(end) && time.Since(busy) < quietTime {
		var load engine.Load
		err := i.control.Do(ctx, http.MethodGet, p.Address, engine.PathLoad, nil, &load)
		if err == nil && load.Running+load.Queued > 0 {
			busy = time.Now()
		}
		if !sleepUntil(ctx, time.Now().Add(emptyCheck)) {
			return
		}
	}
}

// race lets two operators read the same revision of a class and write it through two routers at the same time.
func (i *Injector) race(ctx context.Context, f scenario.Fault) {
	won, lost, uncertain := 0, 0, 0
	for n := range f.Count {
		value, revision, err := i.admin.Get(ctx, "", config.KindClass, f.Class)
		var class config.Class
		if err == nil {
			err = json.Unmarshal(value, &class)
		}
		if err != nil {
			i.note(err, "the operators can't read class %s", f.Class)
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
				won++
				i.accept(config.KeyOf(config.KindClass, f.Class), revisions[operator])
			case errors.Is(err, control.ErrConflict):
				lost++
			default:
				uncertain++
			}
		}
		if results[0] == nil && results[1] == nil {
			i.note(errBothWon, "class %s, revisions %d and %d", f.Class, revisions[0], revisions[1])
		}
	}
	i.note(nil, "operators raced for class %s %d times: %d changes accepted, %d conflicts, %d without an answer", f.Class, f.Count, won, lost, uncertain)
}

var errBothWon = errors.New("both of two conflicting changes were accepted")
