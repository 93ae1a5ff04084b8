package route

import (
	"container/heap"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// endpoint is one VM that runs work.
type endpoint struct {
	vm       platform.VM
	distance float64
	// marked is an operator's leaving mark.
	marked  bool
	removed bool
	pools   []membership

	// Own work in progress.
	inflight int
	suspects int
	prefill  int

	report report
	// staleWake is the last time for which wakeWhenStale set a wake.
	staleWake time.Time
	health    health
	speed     speed

	// State of the endpoint's prefix cache, as times of the prefix index.
	sequence   uint64
	cacheSince time.Duration
	gapAt      time.Duration
}

func (e *endpoint) leaving() bool { return e.marked || e.vm.State == platform.VMLeaving }

func (e *endpoint) unhealthy(now time.Time) bool { return now.Before(e.health.closedUntil) }

// full reports whether the endpoint takes no further request: it is at its limit, or it has to prove itself
// after an exclusion with one request at a time.
func (e *endpoint) full(now time.Time, staleAfter time.Duration) bool {
	if e.health.probing && e.inflight > 0 {
		return true
	}
	return e.vm.MaxInFlight > 0 && e.total(now, staleAfter) >= float64(e.vm.MaxInFlight)
}

// refresh moves the endpoint into or out of the open lists after a change of its state.
func (t *Table) refresh(now time.Time, e *endpoint) {
	if e.removed {
		return
	}
	closed := e.leaving() || e.unhealthy(now)
	if !closed && e.full(now, t.options.StaleAfter) {
		closed = true
		t.wakeWhenStale(e)
	}
	if closed {
		e.closePools()
		return
	}
	e.openPools()
}

// wakeWhenStale examines a full endpoint again when its report no longer counts, because no further report may
// come.
func (t *Table) wakeWhenStale(e *endpoint) {
	stale := e.report.measured.Add(2 * t.options.StaleAfter)
	if e.report.known && !e.staleWake.Equal(stale) {
		e.staleWake = stale
		heap.Push(&t.wakes, wake{at: stale, endpoint: e})
	}
}
