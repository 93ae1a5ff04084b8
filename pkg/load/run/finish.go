package run

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/caller"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/observe"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
)

// settleCheck is the interval at which the ledger is compared with the requests that were done.
const settleCheck = 200 * time.Millisecond

// settle waits until each request that was done has a bill, for the rest of the time that the scenario allows.
func (r *Runner) settle(ctx context.Context) {
	end := r.start.Add(r.scenario.Duration + r.scenario.Settle)
	for time.Now().Before(end) && ctx.Err() == nil && !r.allBilled() {
		sleepUntil(ctx, time.Now().Add(settleCheck))
	}
}

func (r *Runner) allBilled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if request.Kind == observation.Chat && request.Done() && !r.ledger.Billed(request.Organisation, request.Key) {
			return false
		}
	}
	return true
}

func (r *Runner) readRecords(ctx context.Context) {
	for _, list := range [][]*observe.Records{r.engines, r.services} {
		for _, records := range list {
			records.Read(ctx)
		}
	}
}

func (r *Runner) summary(loaded time.Time) *report.Summary {
	e := &observation.Observations{Requests: r.requests, ServiceCounts: map[string]int{}, End: time.Now()}
	s := &report.Summary{
		Name: r.scenario.Name, Seed: r.scenario.Seed, Run: r.id, Started: r.start,
		LoadSeconds: loaded.Sub(r.start).Seconds(), TotalSeconds: time.Since(r.start).Seconds(),
	}
	s.Faults = r.injector.Fill(e)
	r.ledger.Fill(e)
	r.configs.Fill(e)
	for _, records := range r.engines {
		runs, _, lost := records.Result()
		e.EngineRuns = append(e.EngineRuns, runs...)
		addLost(e, lost)
	}
	for _, records := range r.services {
		runs, counts, lost := records.Result()
		e.ServiceRuns = append(e.ServiceRuns, runs...)
		for key, n := range counts {
			e.ServiceCounts[key] += n
		}
		addLost(e, lost)
	}
	s.Fill(e)
	if r.direct.TotalCount() > 0 {
		direct := report.LatencyOf(r.direct)
		s.Direct = &direct
	}
	return s
}

func addLost(e *observation.Observations, lost string) {
	if lost != "" {
		e.Lost = append(e.Lost, lost)
	}
}

// sendDirect runs the same request at an engine without a router, as the baseline of the same run.
func (r *Runner) sendDirect(ctx context.Context, item workload.Item, intended time.Time, n int) {
	if len(r.fleet.Engines) == 0 {
		return
	}
	engine := r.fleet.Engines[n%len(r.fleet.Engines)]
	if caller.Direct(ctx, item, engine.Address, fmt.Sprintf("direct-%s", item.Key)) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Record(r.direct, time.Since(intended))
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed  time.Duration
	Sent     int64
	InFlight int64
	Outcomes map[string]int
	// Last is the latest fault.
	Last string
}

// Progress returns the present state.
func (r *Runner) Progress() Progress {
	events := r.injector.Events()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Sent: r.sent.Load(), InFlight: r.inFlight.Load(), Outcomes: map[string]int{}}
	if !r.start.IsZero() {
		p.Elapsed = time.Since(r.start)
	}
	for outcome, n := range r.outcomes {
		p.Outcomes[outcome] = n
	}
	if len(events) > 0 {
		p.Last = events[len(events)-1].Text
	}
	return p
}
