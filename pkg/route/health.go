package route

import (
	"container/heap"
	"time"
)

// health is an endpoint's fitness for new work.
type health struct {
	// failures counts the consecutive failures.
	failures int
	// closedAt is the start of the last exclusion.
	closedAt time.Time
	// closedUntil is the end of the exclusion after failures or by a quarantine.
	closedUntil time.Time
	// recovered is the time of the first success after an exclusion.
	recovered time.Time
	// probing limits the endpoint to one request until it succeeds.
	probing bool
}

// failed counts a failure of work that began at the given time. Failures of work from before an exclusion,
// such as all the streams that broke with the endpoint, don't prolong it.
func (t *Table) failed(now, began time.Time, e *endpoint) {
	if !e.health.closedAt.IsZero() && !began.After(e.health.closedAt) {
		return
	}
	e.health.failures++
	if e.health.failures < t.options.FailureThreshold {
		return
	}
	shift := min(e.health.failures-t.options.FailureThreshold, 16)
	wait := min(t.options.FailureBackoff<<shift, t.options.MaxFailureBackoff)
	t.exclude(now, e, wait)
	// An endpoint that fails repeatedly may have restarted with an empty cache.
	e.cacheSince = t.prefix.clock(now)
}

func (t *Table) succeeded(now, began time.Time, e *endpoint) {
	if !e.health.closedAt.IsZero() && !began.After(e.health.closedAt) {
		return
	}
	e.health.failures = 0
	if e.health.probing {
		e.health.probing = false
		e.health.recovered = now
	}
}

func (t *Table) exclude(now time.Time, e *endpoint, wait time.Duration) {
	until := now.Add(wait)
	e.health.probing, e.health.closedAt = true, now
	if until.After(e.health.closedUntil) {
		e.health.closedUntil = until
		heap.Push(&t.wakes, wake{at: until, endpoint: e})
	}
}

// Quarantine excludes the endpoint from choices for the given time. Afterwards it gets one request at a time
// until one succeeds.
func (t *Table) Quarantine(now time.Time, vm string, wait time.Duration) {
	if e := t.endpoints[vm]; e != nil {
		t.exclude(now, e, wait)
		t.refresh(now, e)
	}
}

// ReportPollFailure counts a failed poll of the endpoint as a failure.
func (t *Table) ReportPollFailure(now time.Time, vm string) {
	if e := t.endpoints[vm]; e != nil {
		e.report.polled = now
		t.failed(now, now, e)
		t.refresh(now, e)
	}
}

// slowStart is the additional delay in ms that an endpoint is charged after its recovery, falling to 0. It
// keeps an idle endpoint whose cache is empty from attracting all work at once.
func (t *Table) slowStart(now time.Time, e *endpoint) float64 {
	if e.health.recovered.IsZero() {
		return 0
	}
	left := 1 - float64(now.Sub(e.health.recovered))/float64(t.options.SlowStart)
	return t.options.SlowStartMS * max(0, left)
}

// wake is a time at which an endpoint's exclusion ends.
type wake struct {
	at       time.Time
	endpoint *endpoint
}

type wakes []wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at.Before(w[j].at) }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	(*w)[last] = wake{}
	*w = (*w)[:last]
	return x
}

// advance ends the exclusions whose time has come.
func (t *Table) advance(now time.Time) {
	for len(t.wakes) > 0 && !t.wakes[0].at.After(now) {
		t.refresh(now, heap.Pop(&t.wakes).(wake).endpoint)
	}
}
