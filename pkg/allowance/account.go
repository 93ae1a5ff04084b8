// Package allowance keeps the prepaid budgets of organisations over a fleet of routers that keep nothing.
//
// The store holds one object per organisation with the number of tokens that routers have drawn. A router draws an
// amount by conditional update before it spends it, so drawn ≤ prepaid holds at every revision, and spending by all
// routers together is at most drawn. What a router that died had drawn and not spent counts as spent.
package allowance

import (
	"math"
	"time"
)

const (
	// horizon is the time for which a draw lasts at the present demand. A longer one costs fewer calls, and loses more
	// when a router dies.
	horizon = 3 * time.Second
	// lowWater is the part of the horizon below which more is drawn ahead of need.
	lowWater = horizon / 3
	// demandWindow is the time constant of the average of the demand.
	demandWindow = 4 * time.Second
	// shares is the number of equal draws per router that would use up the remainder; it keeps tokens from being
	// held by many routers when little is left.
	shares = 4
	// idleAfter is the time without requests after which unspent tokens are returned if little is left.
	idleAfter = 1500 * time.Millisecond
	// scarceShare is the share of the budget below which little is left.
	scarceShare = 0.1
	// backoff is the pause after a failed call to the store.
	backoff = 300 * time.Millisecond
)

// Verdict is the answer to a reservation.
type Verdict int

// Verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Verdict = iota
	// Exhausted means that the remaining budget does not cover the request.
	Exhausted
	// Unavailable means that the store did not answer; the request may come again.
	Unavailable
)

// waiter is a request that waits for a draw.
type waiter struct {
	tokens  int64
	verdict chan Verdict
}

// account is one organisation's budget as this router sees it. It does no I/O and reads no clock.
type account struct {
	// prepaid is the operator's total and drawn what the store last showed; known tells that it was read.
	prepaid, drawn int64
	known          bool
	// free are tokens that were drawn and are neither spent nor reserved.
	free    int64
	waiting []waiter
	// drawing tells that a call to the store is in progress.
	drawing bool
	retryAt time.Time
	// demand is the average of reserved tokens per second.
	demand  float64
	updated time.Time
	lastUse time.Time
}

// reserve takes tokens or queues the waiter.
func (a *account) reserve(now time.Time, w waiter) {
	a.lastUse = now
	a.observe(now, w.tokens)
	if len(a.waiting) == 0 && w.tokens <= a.free {
		a.free -= w.tokens
		w.verdict <- Granted
		return
	}
	if now.Before(a.retryAt) && !a.drawing {
		w.verdict <- Unavailable
		return
	}
	a.waiting = append(a.waiting, w)
}

// observe adds tokens to the average demand, which decays with demandWindow.
func (a *account) observe(now time.Time, tokens int64) {
	a.decay(now)
	a.demand += float64(tokens) / demandWindow.Seconds()
}

func (a *account) decay(now time.Time) {
	if !a.updated.IsZero() {
		a.demand *= math.Exp(-now.Sub(a.updated).Seconds() / demandWindow.Seconds())
	}
	a.updated = now
}

// release returns tokens of a reservation that were not used.
func (a *account) release(tokens int64) {
	a.free += tokens
	a.serve()
}

// serve grants the waiting requests that the free tokens cover, in order.
func (a *account) serve() {
	for len(a.waiting) > 0 && a.waiting[0].tokens <= a.free {
		a.free -= a.waiting[0].tokens
		a.waiting[0].verdict <- Granted
		a.waiting = a.waiting[1:]
	}
}

func (a *account) needed() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return sum
}

// wants tells whether the account should draw now.
func (a *account) wants(now time.Time) bool {
	if a.drawing || now.Before(a.retryAt) {
		return false
	}
	if len(a.waiting) > 0 {
		return true
	}
	a.decay(now)
	ahead := int64(a.demand * lowWater.Seconds())
	return a.known && a.free < ahead && a.prepaid-a.drawn > 0 && now.Sub(a.lastUse) < horizon
}

// amount is how much to draw from the remainder, 0 if it doesn't cover the first waiting request.
func (a *account) amount(now time.Time, routers int) int64 {
	remainder := a.prepaid - a.drawn
	need := max(0, a.needed()-a.free)
	if need > remainder {
		// The first request that fits is served rather than none.
		need = 0
		if len(a.waiting) > 0 {
			need = a.waiting[0].tokens - a.free
		}
		if need > remainder {
			return 0
		}
	}
	a.decay(now)
	ahead := int64(a.demand*horizon.Seconds()) - a.free
	limit := remainder / int64(shares*max(1, routers))
	return min(remainder, max(need, min(ahead, limit)))
}

// granted takes the result of a successful draw.
func (a *account) granted(tokens int64) {
	a.free += tokens
	a.serve()
}

// exhausted refuses the waiting requests that the remainder and the free tokens don't cover.
func (a *account) exhausted() {
	remainder := a.prepaid - a.drawn
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if w.tokens > remainder+a.free {
			w.verdict <- Exhausted
			continue
		}
		kept = append(kept, w)
	}
	a.waiting = kept
	a.serve()
}

// failed refuses all waiting requests because the store did not answer.
func (a *account) failed(now time.Time) {
	a.retryAt = now.Add(backoff)
	for _, w := range a.waiting {
		w.verdict <- Unavailable
	}
	a.waiting = nil
}

// surplus is what should be returned to the store: all free tokens when little is left and nothing was asked for.
func (a *account) surplus(now time.Time) int64 {
	scarce := a.known && float64(a.prepaid-a.drawn) < scarceShare*float64(a.prepaid)
	if a.drawing || !scarce || len(a.waiting) > 0 || now.Sub(a.lastUse) < idleAfter {
		return 0
	}
	return a.free
}
