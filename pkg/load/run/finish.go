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

// billCheckInterval is the time between two comparisons of the ledger with the requests that were done.
const billCheckInterval = 200 * time.Millisecond

// waitForBills waits until each request that was done has a bill, at most until the end of the scenario's settle time.
func (r *Runner) waitForBills(ctx context.Context) {
	end := r.start.Add(r.scenario.Duration + r.scenario.Settle)
	for time.Now().Before(end) && ctx.Err() == nil && !r.allBilled() {
		sleepUntil(ctx, time.Now().Add(billCheckInterval))
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

// readRecords reads the records of all endpoints once more.
func (r *Runner) readRecords(ctx context.Context) {
	for _, list := range [][]*observe.Records{r.engines, r.services} {
		for _, records := range list {
			records.Read(ctx)
		}
	}
}

// summary collects all observations and computes the summary. loadEnd is when the last request ended.
func (r *Runner) summary(loadEnd time.Time) *report.Summary {
	observed := &observation.Observations{Requests: r.requests, ServiceCounts: map[string]int{}, End: time.Now()}
	s := &report.Summary{
		Name: r.scenario.Name, Seed: r.scenario.Seed, Run: r.id, Started: r.start,
		LoadSeconds: loadEnd.Sub(r.start).Seconds(), TotalSeconds: time.Since(r.start).Seconds(),
	}
	s.Faults = r.injector.Fill(observed)
	r.ledger.Fill(observed)
	r.configs.Fill(observed)
	for _, records := range r.engines {
		runs, _, missing := records.Result()
		observed.EngineRuns = append(observed.EngineRuns, runs...)
		addUnobserved(observed, missing)
	}
	for _, records := range r.services {
		runs, counts, missing := records.Result()
		observed.ServiceRuns = append(observed.ServiceRuns, runs...)
		for key, n := range counts {
			observed.ServiceCounts[key] += n
		}
		addUnobserved(observed, missing)
	}
	s.Fill(observed)
	if r.direct.TotalCount() > 0 {
		direct := report.LatencyOf(r.direct)
		s.Direct = &direct
	}
	return s
}

func addUnobserved(observed *observation.Observations, missing string) {
	if missing != "" {
		observed.Unobserved = append(observed.Unobserved, missing)
	}
}

// sendDirect sends the same request to an engine without a router and records its latency, as the baseline of this run.
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

// Progress describes a run in progress.
type Progress struct {
	Elapsed  time.Duration
	Sent     int64
	InFlight int64
	// Outcomes holds the number of ended requests by outcome.
	Outcomes map[string]int
	// LastFault is the text of the latest fault, empty if there was none.
	LastFault string
}

// Progress returns the progress so far.
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
		p.LastFault = events[len(events)-1].Text
	}
	return p
}
