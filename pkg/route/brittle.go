package route

import (
	"container/heap"
	"time"
)

// brittleness is what an endpoint said about the rejections that it can bear, and what this router may send to it meanwhile.
//
// It answers a load that several endpoints have no room for while each rejection weakens them: every router sends on to an
// endpoint that has just rejected requests, and one that falls over leaves its load to the others.
type brittleness struct {
	// namedAt is the time of the latest answer that called the endpoint brittle, zero if there is none.
	namedAt       time.Time
	maxRejections float64
	// share is the number of requests that this router may have in progress without a load report that shows room.
	share int
	// routers is the number of routers that send to the endpoint.
	routers int
	// rejectedAt is the time of the latest rejection, and pause how long the endpoint got nothing after it.
	rejectedAt time.Time
	pause      time.Duration
	// pausedUntil is the end of the pause.
	pausedUntil time.Time
}

const (
	// minBrittlePause and maxBrittlePause bound the time for which a brittle endpoint gets no request after a rejection.
	// Rejections are counted in any second.
	minBrittlePause = time.Second
	maxBrittlePause = 30 * time.Second
	// rejectionMargin divides the rejections that an endpoint bears: routers use no more than this part of them together.
	rejectionMargin = 2
	// minMaxRejections stands for an endpoint that bears less than one rejection a second.
	minMaxRejections = 0.5
	// brittleQueueShare is the number of requests per slot that may wait at a brittle endpoint by its load report.
	brittleQueueShare = 0.125
	// maxRoomAge is the largest age of a load report that shows room.
	maxRoomAge = 1500 * time.Millisecond
	// blamedRejectionAge is the time after a rejection in which a fall of a brittle endpoint is put down to rejections.
	blamedRejectionAge = 3 * time.Second
)

// BrittleShare returns the number of requests that a router may have in progress at a brittle endpoint without a load report, if
// so many routers share its slots evenly.
func BrittleShare(slots, routers int) int { return max(1, slots/max(1, routers)) }

// BrittlePause returns how long a router sends nothing to a brittle endpoint after a rejection. It grows with the number of
// routers, so that all of them together cause no more rejections than the endpoint bears, and doubles with each further one.
func BrittlePause(maxRejections float64, routers int, last time.Duration) time.Duration {
	perRouter := rejectionMargin * float64(routers) / max(maxRejections, minMaxRejections)
	pause := max(minBrittlePause, time.Duration(perRouter*float64(time.Second)), 2*last)
	return min(pause, maxBrittlePause)
}

func (b *brittleness) isActive() bool { return !b.namedAt.IsZero() }

// BrittleNotice is what an answer to a request that was sent at SentAt said about the rejections that the endpoint can bear.
type BrittleNotice struct {
	VM      string
	SentAt  time.Time
	Brittle bool
	// MaxRejections is the number of requests that the endpoint can reject in a second, if Brittle is set.
	MaxRejections float64
	// Share is the number of requests that this router may have in progress without a load report, and Routers the number of
	// routers that send to the endpoint.
	Share, Routers int
	// Rejected is set if the endpoint has rejected the request.
	Rejected bool
}

// NameBrittle records the notice. It reports whether it says something new. An answer to a request from before the endpoint last
// called itself brittle doesn't end that.
func (t *Table) NameBrittle(now time.Time, n BrittleNotice) (changed bool) {
	e := t.endpoints[n.VM]
	if e == nil {
		return false
	}
	b := &e.brittle
	switch {
	case n.Brittle:
		changed = !b.isActive() || b.maxRejections != n.MaxRejections
		b.namedAt, b.maxRejections, b.share, b.routers = now, n.MaxRejections, n.Share, n.Routers
		switch {
		case !n.Rejected:
			if n.SentAt.After(b.rejectedAt) {
				b.pause = 0
			}
		case !b.pausedUntil.After(now):
			// Rejections of requests that were sent before the pause don't prolong it.
			b.pause = BrittlePause(b.maxRejections, b.routers, b.pause)
			b.pausedUntil = now.Add(b.pause)
			fallthrough
		default:
			b.rejectedAt = now
		}
	case b.isActive() && n.SentAt.After(b.namedAt):
		changed, e.brittle = true, brittleness{}
	}
	t.refresh(now, e)
	return changed
}

// isBrittleClosed reports whether a brittle endpoint gets no further request of this router now.
func (t *Table) isBrittleClosed(now time.Time, e *endpoint) bool {
	b := &e.brittle
	if !b.isActive() {
		return false
	}
	if now.Before(b.pausedUntil) {
		return true
	}
	if e.report.valid && now.Sub(e.report.measuredAt) <= maxRoomAge {
		slots := float64(e.vm.MaxInFlight)
		if float64(e.report.Queued) > brittleQueueShare*slots {
			return true
		}
		// All routers see the same room, so each takes only its part of it.
		room := (1+brittleQueueShare)*slots - float64(e.report.Running+e.report.Queued)
		return room <= 0 || float64(e.report.changeSum) >= max(1, room/float64(b.routers))
	}
	return e.inFlight >= b.share
}

// brittleRecheckInterval is the time until the next recheck of a brittle endpoint that is closed, but not paused: its report may
// have become too old to count.
const brittleRecheckInterval = 200 * time.Millisecond

// scheduleBrittleRecheck schedules a recheck of a closed brittle endpoint.
func (t *Table) scheduleBrittleRecheck(now time.Time, e *endpoint) {
	at := e.brittle.pausedUntil
	if !at.After(now) {
		at = now.Add(brittleRecheckInterval)
	}
	if e.brittleRecheckAt.After(now) && !e.brittleRecheckAt.After(at) {
		return
	}
	e.brittleRecheckAt = at
	heap.Push(&t.rechecks, recheck{at: at, endpoint: e})
}

// IsFallExplained reports whether the request's endpoint is brittle and has just rejected requests, which explains its fall better
// than the content of what it was running.
func (t *Table) IsFallExplained(now time.Time, f *InFlightRequest) bool {
	b := &f.endpoint.brittle
	return b.isActive() && !b.rejectedAt.IsZero() && now.Sub(b.rejectedAt) <= blamedRejectionAge
}
