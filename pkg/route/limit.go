package route

import (
	"container/heap"
	"time"
)

// requestLimit is the number of requests a second that an endpoint takes from all routers together, and this router's part.
// It answers an engine in need that takes less than the routers would send it.
type requestLimit struct {
	perSecond float64
	// namedAt is the time of the latest answer that named the limit, zero if there is none.
	namedAt time.Time
	// share is the number of requests a second that this router may send, and credit how many it may send at updatedAt, at
	// most one: what a router doesn't send is not made up for by a burst.
	share     float64
	credit    float64
	updatedAt time.Time
	// recheckAt is the time of the last recheck that scheduleLimitRecheck scheduled.
	recheckAt time.Time
}

const (
	// minLimitRate is the least rate in requests a second at which an endpoint is tried, so that a limit of 0 can be seen
	// to end.
	minLimitRate = 0.1
	// sparesPerLimit and spareRouters bound the routers that share a limit. Each of them may send one request at once, which
	// must not add up to more than the endpoint can be expected to bear.
	sparesPerLimit = 2
	spareRouters   = 4
)

// LimitSharers returns the number of routers that share a limit of so many requests a second. All others send the
// endpoint nothing. It answers fleets that have more routers than the endpoint takes requests.
func LimitSharers(perSecond float64) int { return int(sparesPerLimit*perSecond) + spareRouters }

// LimitShare returns the share of each of the sharers, in requests a second.
func LimitShare(perSecond float64, sharers int) float64 {
	return max(perSecond, minLimitRate) / float64(max(1, sharers))
}

func (l *requestLimit) isActive() bool { return !l.namedAt.IsZero() }

// update adds the credit that has accrued.
func (l *requestLimit) update(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.credit = min(1, l.credit+l.share*elapsed.Seconds())
		l.updatedAt = now
	}
}

// wait returns the time until the next request may be sent, 0 if one may be sent now, and false if none may be sent at all.
func (l *requestLimit) wait(now time.Time) (time.Duration, bool) {
	l.update(now)
	switch {
	case l.credit >= 1:
		return 0, true
	case l.share <= 0:
		return 0, false
	}
	// Rounded up, so that the credit is complete at that time.
	return time.Duration((1-l.credit)/l.share*float64(time.Second)) + time.Millisecond, true
}

// isAtLimit reports whether this router has sent the endpoint what it may by the limit that the endpoint named.
func (e *endpoint) isAtLimit(now time.Time) bool {
	if !e.limit.isActive() {
		return false
	}
	wait, ok := e.limit.wait(now)
	return !ok || wait > 0
}

// countAgainstLimit takes a request that is about to be sent from the credit.
func (e *endpoint) countAgainstLimit(now time.Time) {
	if e.limit.isActive() {
		e.limit.update(now)
		e.limit.credit = max(0, e.limit.credit-1)
	}
}

// isQueueFull reports whether as many requests wait at the endpoint as Options.MaxQueuedBesideLimit allows. It answers a load
// that several endpoints no longer take: the others get it, and would let it wait until its deadlines.
func (t *Table) isQueueFull(now time.Time, e *endpoint) bool {
	bound := t.options.MaxQueuedBesideLimit
	return bound > 0 && e.isBesideLimit() && e.queuedRequests(now, t.options.StaleAfter) >= bound
}

// isBesideLimit reports whether an endpoint of one of the endpoint's pools has named a limit.
func (e *endpoint) isBesideLimit() bool {
	for _, m := range e.memberships {
		if m.pool.limited > 0 {
			return true
		}
	}
	return false
}

// endLimit ends the endpoint's limit, if it has one.
func (e *endpoint) endLimit() {
	if e.limit.isActive() {
		e.limit = requestLimit{}
		e.countLimited(-1)
	}
}

// countLimited adds to the number of endpoints with a limit in the endpoint's pools.
func (e *endpoint) countLimited(n int) {
	for _, m := range e.memberships {
		m.pool.limited += n
	}
}

// scheduleLimitRecheck schedules a recheck of an endpoint at its limit for the time at which it takes another request.
func (t *Table) scheduleLimitRecheck(now time.Time, e *endpoint) {
	wait, ok := e.limit.wait(now)
	at := now.Add(wait)
	if !ok || e.limit.recheckAt.After(now) && !e.limit.recheckAt.After(at) {
		return
	}
	e.limit.recheckAt = at
	heap.Push(&t.rechecks, recheck{at: at, endpoint: e})
}

// NameLimit records that an answer named the endpoint's limit, of which this router may use the share, both in requests a
// second. It reports whether the limit is new or has changed.
func (t *Table) NameLimit(now time.Time, vm string, perSecond, share float64) (changed bool) {
	e := t.endpoints[vm]
	if e == nil {
		return false
	}
	l := &e.limit
	changed = !l.isActive() || l.perSecond != perSecond
	if !l.isActive() {
		// The request whose answer names the limit for the first time has used what this router may send now.
		l.credit, l.updatedAt = 0, now
		e.countLimited(1)
	}
	l.update(now)
	l.perSecond, l.share, l.namedAt = perSecond, share, now
	t.refresh(now, e)
	return changed
}

// NameNoLimit records that an answer to a request that was sent at sentAt named no limit, which ends an earlier one. It
// reports whether there was one. An answer to a request from before the limit was last named says nothing about it.
func (t *Table) NameNoLimit(now time.Time, vm string, sentAt time.Time) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || !e.limit.isActive() || !sentAt.After(e.limit.namedAt) {
		return false
	}
	e.endLimit()
	t.refresh(now, e)
	return true
}

// StaleLimits returns the VMs of endpoints whose limit no answer has named for the given time.
func (t *Table) StaleLimits(now time.Time, age time.Duration) []string {
	var vms []string
	for name, e := range t.endpoints {
		if e.limit.isActive() && now.Sub(e.limit.namedAt) >= age {
			vms = append(vms, name)
		}
	}
	return vms
}

// ForgetLimits ends the limits that no answer has named for the given time.
func (t *Table) ForgetLimits(now time.Time, age time.Duration) {
	for _, vm := range t.StaleLimits(now, age) {
		e := t.endpoints[vm]
		e.endLimit()
		t.refresh(now, e)
	}
}
