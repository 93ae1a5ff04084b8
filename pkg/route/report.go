package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Running int
	Queued  int
	// KVUse is the used share of the KV cache, 0 to 1.
	KVUse float64
	// Age is the time since the values were measured.
	Age time.Duration
}

// maxChanges bounds the changes that an endpoint keeps to correct its next report.
const maxChanges = 64

// change is a number of own requests begun (positive) or ended since the last report.
type change struct {
	at       time.Time
	requests int
}

type report struct {
	LoadReport
	measured time.Time
	polled   time.Time
	known    bool
	// changes are the own requests begun and ended after measured; since is their sum.
	changes []change
	since   int
}

// Report takes a load report that arrived now. Reports that are older than the last one are ignored.
func (t *Table) Report(now time.Time, vm string, r LoadReport) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	measured := now.Add(-r.Age)
	e.report.polled = now
	if e.report.known && measured.Before(e.report.measured) {
		return
	}
	e.report.LoadReport, e.report.measured, e.report.known = r, measured, true
	e.report.forget(measured)
	t.refresh(now, e)
}

// forget drops the changes that a report measured at the time already includes.
func (r *report) forget(measured time.Time) {
	kept := r.changes[:0]
	for _, c := range r.changes {
		if c.at.After(measured) {
			kept = append(kept, c)
		} else {
			r.since -= c.requests
		}
	}
	r.changes = kept
}

func (r *report) add(now time.Time, requests int, staleAfter time.Duration) {
	if r.weight(now, staleAfter) == 0 {
		r.changes, r.since, r.known = nil, 0, false
		return
	}
	r.since += requests
	if n := len(r.changes); n >= maxChanges {
		r.changes[n-1].requests += requests
		r.changes[n-1].at = now
		return
	}
	r.changes = append(r.changes, change{at: now, requests: requests})
}

// weight is the confidence in the report: 1 while it is fresh, then falling to 0.
func (r *report) weight(now time.Time, staleAfter time.Duration) float64 {
	if !r.known {
		return 0
	}
	age := now.Sub(r.measured)
	return min(1, max(0, 2-float64(age)/float64(staleAfter)))
}

// total estimates the requests at the endpoint: the own ones, and the reported ones corrected by what this
// router has begun and ended since.
func (e *endpoint) total(now time.Time, staleAfter time.Duration) float64 {
	own := float64(e.inflight)
	reported := float64(e.report.Running + e.report.Queued + e.report.since)
	return own + e.report.weight(now, staleAfter)*max(0, reported-own)
}

// queued estimates the requests that wait for a place in the endpoint's batch.
func (e *endpoint) queued(now time.Time, staleAfter time.Duration) float64 {
	if e.report.Queued == 0 {
		return 0
	}
	return e.report.weight(now, staleAfter) * float64(max(0, e.report.Queued+e.report.since))
}

// DueReports appends to into the names of at most limit endpoints whose load should be polled next: those with
// own work first, then those polled longest ago. Polling a bounded number per second keeps a router's traffic
// independent of the size of the fleet; an endpoint without own work and without a report is scored by own
// work only.
func (t *Table) DueReports(into []string, limit int) []string {
	due := make([]*endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.vm.Role == platform.RoleEngine {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpoint) int {
		return cmp.Or(compareBool(b.inflight > 0, a.inflight > 0), a.report.polled.Compare(b.report.polled),
			cmp.Compare(a.vm.Name, b.vm.Name))
	})
	for _, e := range due[:min(limit, len(due))] {
		into = append(into, e.vm.Name)
	}
	return into
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
