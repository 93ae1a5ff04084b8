package route

import (
	"container/heap"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// endpoint is one VM that runs work.
type endpoint struct {
	vm         platform.VM
	distanceMS float64
	// markedLeaving is set by an operator's leaving mark.
	markedLeaving bool
	// announced is what the endpoint's answers said of this run, nil if they said nothing.
	announced *announcement
	removed   bool
	// evacuated is set while the endpoint's zone gets nothing by an operator's order.
	evacuated   bool
	memberships []membership

	// This router's requests in progress, the suspects among them, and their prompt tokens that are still to be computed.
	inFlight      int
	suspects      int
	prefillTokens int

	report report
	// staleRecheckAt is the time of the last recheck that scheduleStaleRecheck scheduled.
	staleRecheckAt time.Time
	health         health
	speed          speed
	// peers is what other routers have at this run, and unshared what they are to be told.
	peers    peerWork
	unshared ownWork
	limit    requestLimit
	brittle  brittleness
	cold     coldness
	// lastBegin is the time of the last Begin.
	lastBegin time.Time
	// brittleRecheckAt is the time of the last recheck that scheduleBrittleRecheck scheduled.
	brittleRecheckAt time.Time

	// State of the endpoint's prefix cache: the number of its last event, the time before which no index entry is valid,
	// and the time of the last gap in its events. Both times are those of prefixIndex.elapsed.
	sequence     uint64
	cacheResetAt time.Duration
	lastGapAt    time.Duration
}

func (e *endpoint) isLeaving() bool {
	return e.markedLeaving || e.announced.isLeaving() || e.vm.State == platform.VMLeaving
}

func (e *endpoint) isUnhealthy(now time.Time) bool { return now.Before(e.health.excludedUntil) }

// isFull reports whether the endpoint can take no further request: it is at its limit, or it is limited to one request
// at a time after an exclusion.
func (e *endpoint) isFull(now time.Time, staleAfter time.Duration) bool {
	if e.health.probing && e.inFlight > 0 {
		return true
	}
	return e.vm.MaxInFlight > 0 && e.totalRequests(now, staleAfter) >= float64(e.vm.MaxInFlight)
}

// refresh adds the endpoint to the open lists or removes it from them after a change of its state.
func (t *Table) refresh(now time.Time, e *endpoint) {
	if e.removed {
		return
	}
	e.evacuated = t.isEvacuated(e.vm.Zone)
	closed := t.isColdClosed(now, e) || e.isWithdrawn() || e.isUnhealthy(now) || e.announced.isPaused(now)
	if !closed && t.isQueueFull(now, e) {
		closed = true
		t.scheduleStaleRecheck(e)
	}
	if !closed && t.isBrittleClosed(now, e) {
		closed = true
		t.scheduleBrittleRecheck(now, e)
	}
	if !closed && e.isAtLimit(now) {
		closed = true
		t.scheduleLimitRecheck(now, e)
	}
	if !closed && e.isFull(now, t.options.StaleAfter) {
		closed = true
		t.scheduleStaleRecheck(e)
	}
	if closed {
		e.removeFromOpenLists()
		return
	}
	e.addToOpenLists()
}

// scheduleStaleRecheck schedules a recheck of a full endpoint for the time when its report has no more weight, because
// there may be no further report.
func (t *Table) scheduleStaleRecheck(e *endpoint) {
	stale := e.report.measuredAt.Add(2 * t.options.StaleAfter)
	if e.report.valid && !e.staleRecheckAt.Equal(stale) {
		e.staleRecheckAt = stale
		heap.Push(&t.rechecks, recheck{at: stale, endpoint: e})
	}
}
