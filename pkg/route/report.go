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
	// KVUse is the used share of the KV cache, from 0 to 1.
	KVUse float64
	// Age is the time since the values were measured.
	Age time.Duration
	// Started is the start time of the engine as a Unix time in ms, 0 if it doesn't say.
	Started int64
}

// maxChanges limits the changes that are kept per endpoint to correct its next report.
const maxChanges = 64

// change is a number of this router's requests that began (positive) or ended (negative) since the last report.
type change struct {
	at       time.Time
	requests int
}

type report struct {
	LoadReport
	measuredAt time.Time
	polledAt   time.Time
	valid      bool
	// changes are this router's requests that began or ended after measuredAt; changeSum is their sum.
	changes   []change
	changeSum int
}

// Report applies a load report that arrived now. Reports that are older than the last one are ignored.
func (t *Table) Report(now time.Time, vm string, r LoadReport) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	t.nameStart(now, e, r.Started)
	measuredAt := now.Add(-r.Age)
	e.report.polledAt = now
	if e.report.valid && measuredAt.Before(e.report.measuredAt) {
		return
	}
	e.report.LoadReport, e.report.measuredAt, e.report.valid = r, measuredAt, true
	e.report.dropChanges(measuredAt)
	t.refresh(now, e)
}

// dropChanges drops the changes that a report measured at the given time already includes.
func (r *report) dropChanges(measuredAt time.Time) {
	kept := r.changes[:0]
	for _, c := range r.changes {
		if c.at.After(measuredAt) {
			kept = append(kept, c)
		} else {
			r.changeSum -= c.requests
		}
	}
	r.changes = kept
}

func (r *report) addChange(now time.Time, requests int, staleAfter time.Duration) {
	if r.weight(now, staleAfter) == 0 {
		r.changes, r.changeSum, r.valid = nil, 0, false
		return
	}
	r.changeSum += requests
	if n := len(r.changes); n >= maxChanges {
		r.changes[n-1].requests += requests
		r.changes[n-1].at = now
		return
	}
	r.changes = append(r.changes, change{at: now, requests: requests})
}

// weight returns the weight of the report in the score: 1 up to the age staleAfter, then falling to 0 at twice that
// age.
func (r *report) weight(now time.Time, staleAfter time.Duration) float64 {
	if !r.valid {
		return 0
	}
	age := now.Sub(r.measuredAt)
	return min(1, max(0, 2-float64(age)/float64(staleAfter)))
}

// totalRequests estimates the requests at the endpoint: those of this router, and those of others by the last report,
// which is corrected by what this router has begun and ended since.
func (e *endpoint) totalRequests(now time.Time, staleAfter time.Duration) float64 {
	own := float64(e.inFlight)
	reported := float64(e.report.Running + e.report.Queued + e.report.changeSum)
	return own + e.report.weight(now, staleAfter)*max(0, reported-own)
}

// queuedRequests estimates the requests that wait for a slot in the endpoint's batch.
func (e *endpoint) queuedRequests(now time.Time, staleAfter time.Duration) float64 {
	if e.report.Queued == 0 {
		return 0
	}
	return e.report.weight(now, staleAfter) * float64(max(0, e.report.Queued+e.report.changeSum))
}

// DueReports appends to into the names of at most limit engines whose load should be polled next: those that run
// requests of this router first, then those polled longest ago. Polling a bounded number per second keeps a router's
// traffic independent of the size of the fleet; an endpoint without such requests and without a report is scored by
// this router's requests only.
func (t *Table) DueReports(into []string, limit int) []string {
	due := make([]*endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.vm.Role == platform.RoleEngine {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpoint) int {
		return cmp.Or(compareBool(b.inFlight > 0, a.inFlight > 0), a.report.polledAt.Compare(b.report.polledAt),
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
