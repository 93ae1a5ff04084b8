package route

import (
	"container/heap"
	"time"
)

// health holds an endpoint's failures and exclusions.
type health struct {
	// failures is the number of consecutive failures.
	failures int
	// excludedAt is the start of the last exclusion.
	excludedAt time.Time
	// excludedUntil is the end of the exclusion, after failures or by a quarantine.
	excludedUntil time.Time
	// recoveredAt is the time of the first success after an exclusion.
	recoveredAt time.Time
	// probing limits the endpoint to one request at a time until one succeeds.
	probing bool
}

// recordFailure counts a failure of a request or poll that started at startedAt. Failures of requests that started
// before the last exclusion, such as all streams that broke when the endpoint crashed, don't prolong it.
func (t *Table) recordFailure(now, startedAt time.Time, e *endpoint) {
	if !e.health.excludedAt.IsZero() && !startedAt.After(e.health.excludedAt) {
		return
	}
	e.health.failures++
	if e.health.failures < t.options.FailureThreshold {
		return
	}
	shift := min(e.health.failures-t.options.FailureThreshold, 16)
	duration := min(t.options.FailureBackoff<<shift, t.options.MaxFailureBackoff)
	t.exclude(now, e, duration)
	// An endpoint that fails repeatedly may have restarted with an empty cache.
	e.cacheResetAt = t.prefix.elapsed(now)
}

func (t *Table) recordSuccess(now, startedAt time.Time, e *endpoint) {
	if !e.health.excludedAt.IsZero() && !startedAt.After(e.health.excludedAt) {
		return
	}
	e.health.failures = 0
	if e.health.probing {
		e.health.probing = false
		e.health.recoveredAt = now
	}
}

func (t *Table) exclude(now time.Time, e *endpoint, duration time.Duration) {
	until := now.Add(duration)
	e.health.probing, e.health.excludedAt = true, now
	if until.After(e.health.excludedUntil) {
		e.health.excludedUntil = until
		heap.Push(&t.rechecks, recheck{at: until, endpoint: e})
	}
}

// ForgiveFailures ends the exclusions that began at since or later. It answers a VM that had lost its links to all endpoints: their
// failures say nothing about them, and each would be tried again only after an exclusion that has grown during the cut.
func (t *Table) ForgiveFailures(now, since time.Time) {
	for _, e := range t.endpoints {
		if e.health.failures > 0 && !e.health.excludedAt.Before(since) {
			e.health = health{}
			t.refresh(now, e)
		}
	}
}

// Quarantine excludes the endpoint from choices for the given time. Afterwards it gets one request at a time
// until one succeeds.
func (t *Table) Quarantine(now time.Time, vm string, duration time.Duration) {
	if e := t.endpoints[vm]; e != nil {
		t.exclude(now, e, duration)
		t.refresh(now, e)
	}
}

// ReportPollFailure counts a failed poll of the endpoint as a failure.
func (t *Table) ReportPollFailure(now time.Time, vm string) {
	if e := t.endpoints[vm]; e != nil {
		e.report.polledAt = now
		t.recordFailure(now, now, e)
		t.refresh(now, e)
	}
}

// slowStartMS returns the delay in ms that is added to an endpoint's score after its recovery; it falls to 0. It keeps
// an idle endpoint whose cache is empty from attracting all requests at once.
func (t *Table) slowStartMS(now time.Time, e *endpoint) float64 {
	if e.health.recoveredAt.IsZero() {
		return 0
	}
	remaining := 1 - float64(now.Sub(e.health.recoveredAt))/float64(t.options.SlowStart)
	return t.options.SlowStartMS * max(0, remaining)
}

// recheck is a time at which an endpoint may become open: its exclusion ends, or its load report has no more weight.
type recheck struct {
	at       time.Time
	endpoint *endpoint
}

// recheckHeap implements heap.Interface, earliest time first.
type recheckHeap []recheck

func (h recheckHeap) Len() int           { return len(h) }
func (h recheckHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h recheckHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recheckHeap) Push(x any)        { *h = append(*h, x.(recheck)) }
func (h *recheckHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = recheck{}
	*h = (*h)[:last]
	return x
}

// runRechecks refreshes the endpoints whose recheck is due.
func (t *Table) runRechecks(now time.Time) {
	t.refreshCold(now)
	for len(t.rechecks) > 0 && !t.rechecks[0].at.After(now) {
		t.refresh(now, heap.Pop(&t.rechecks).(recheck).endpoint)
	}
}
