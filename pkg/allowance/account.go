// Package allowance keeps the prepaid budgets of organisations over a fleet of routers that keep nothing.
//
// The store holds one object per organisation with the number of tokens that routers have drawn. A router draws an
// amount by conditional update before it spends it, so drawn ≤ prepaid holds at every revision, and spending by all
// routers together is at most drawn. What a router that died had drawn and not spent counts as spent. Routers move
// drawn tokens between each other without the store: the giver takes them off its own account before it answers, so a
// lost answer can lose tokens but can't spend them twice.
package allowance

import (
	"math"
	"time"
)

const (
	// horizon is the time for which a draw lasts at the present demand. It covers a partition from the store of about
	// 9 s; a longer one loses more when a router dies.
	horizon = 12 * time.Second
	// reserveShare is the part of the remainder that the fleet holds at most. Of a budget that is nearly used up, what a
	// power loss takes is missed later, while requests that are refused in a partition leave their tokens to later ones.
	reserveShare = 0.4
	// refillShare is the part of the target below which more is drawn ahead of need.
	refillShare = 0.8
	// demandWindow is the time constant of the average of the demand.
	demandWindow = 5 * time.Second
	// floorShare is the part of the remainder that is held whatever the demand was so far, because a partition may come
	// before the demand is known.
	floorShare = 0.05
	// drawShare is the largest part of the remainder that one draw ahead of need takes: the first estimates of the
	// demand may be far too high.
	drawShare = 0.25
	// idleAfter is the time without requests after which unspent tokens are returned, by a primary allocator only if
	// little is left.
	idleAfter = 1500 * time.Millisecond
	// scarceShare is the share of the budget below which little is left.
	scarceShare = 0.1
	// backoff is the pause after a failed call to the store; it doubles up to maxBackoff.
	backoff    = 300 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// dryTime is how long a refusal holds for later requests that need as much, unless the operator raises the budget. It
	// doubles with each refusal up to maxDryTime, so that a used-up budget doesn't cost the fleet ever more questions.
	dryTime    = 700 * time.Millisecond
	maxDryTime = 4 * time.Second
)

// Verdict is the answer to a reservation.
type Verdict int

// Verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Verdict = iota
	// Exhausted means that the remaining budget does not cover the request.
	Exhausted
	// Unavailable means that the store or another router that may hold tokens did not answer; the request may come
	// again.
	Unavailable
)

// waiter is a request that waits for tokens.
type waiter struct {
	tokens  int64
	verdict chan Verdict
}

// write is a draw whose effect on the store is not known.
type write struct {
	amount int64
	// base is the revision that the write was conditional on.
	base uint64
}

// account is one organisation's budget as this router sees it. It does no I/O and reads no clock.
type account struct {
	// prepaid is the operator's total and drawn what the store last showed; known tells that it was read.
	prepaid, drawn int64
	known          bool
	// free are tokens that were drawn and are neither spent nor reserved.
	free    int64
	waiting []waiter
	// drawing and asking tell that a call to the store or to other routers is in progress.
	drawing, asking bool
	retryAt         time.Time
	// asked tells that the allocators were asked for the waiting requests and did not give enough, so that this router
	// draws.
	asked bool
	// open are the draws without an answer by their writer's mark.
	open map[string]write
	// demand is the sum of reserved tokens and requests their number, both decayed with demandWindow. seconds is the
	// decayed time of observation.
	demand, requests, seconds float64
	updated                   time.Time
	lastUse                   time.Time
	// Until dryUntil requests for dryTokens or more get dryVerdict at once.
	dryUntil   time.Time
	dryTokens  int64
	dryFor     time.Duration
	dryVerdict Verdict
}

// setPrepaid takes the operator's total.
func (a *account) setPrepaid(total int64) {
	if total != a.prepaid {
		a.dryUntil, a.dryFor = time.Time{}, 0
	}
	a.prepaid = total
}

// reserve takes tokens or queues the waiter.
func (a *account) reserve(now time.Time, w waiter) {
	a.lastUse = now
	switch {
	case len(a.waiting) == 0 && w.tokens <= a.free:
		a.observe(now, w.tokens)
		a.free -= w.tokens
		w.verdict <- Granted
	case now.Before(a.dryUntil) && w.tokens >= a.dryTokens:
		w.verdict <- a.dryVerdict
	default:
		a.observe(now, w.tokens)
		a.waiting = append(a.waiting, w)
	}
}

// observe adds tokens to the average demand.
func (a *account) observe(now time.Time, tokens int64) {
	a.decay(now)
	a.demand += float64(tokens)
	a.requests++
}

func (a *account) decay(now time.Time) {
	if !a.updated.IsZero() {
		passed := now.Sub(a.updated).Seconds()
		kept := math.Exp(-passed / demandWindow.Seconds())
		a.demand *= kept
		a.requests *= kept
		a.seconds = a.seconds*kept + demandWindow.Seconds()*(1-kept)
	}
	a.updated = now
}

// rate is the average of reserved tokens per second since the first one.
func (a *account) rate(now time.Time) float64 {
	a.decay(now)
	return a.demand / max(1, a.seconds)
}

// meanUse is the average number of tokens of a reservation, 0 before the first one.
func (a *account) meanUse() float64 {
	if a.requests == 0 {
		return 0
	}
	return a.demand / a.requests
}

// credit adds tokens that were released, drawn or given, and serves the waiting requests that they cover, in order.
func (a *account) credit(tokens int64) {
	a.free += tokens
	for len(a.waiting) > 0 && a.waiting[0].tokens <= a.free {
		a.free -= a.waiting[0].tokens
		a.waiting[0].verdict <- Granted
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 {
		a.asked = false
	}
}

// shortage is what the waiting requests lack.
func (a *account) shortage() int64 {
	sum := -a.free
	for _, w := range a.waiting {
		sum += w.tokens
	}
	return sum
}

// least is what the first waiting request lacks.
func (a *account) least() int64 {
	if len(a.waiting) == 0 {
		return 0
	}
	return max(1, a.waiting[0].tokens-a.free)
}

// target is what the account would hold.
func (a *account) target(now time.Time) int64 {
	remainder := float64(max(0, a.prepaid-a.drawn))
	rate := a.rate(now)
	// Drawing moves tokens from the remainder to the account, so the bound counts those of the account as remainder.
	left := reserveShare * (remainder + float64(a.free)) / max(1, rate)
	return int64(max(rate*min(horizon.Seconds(), left), floorShare*remainder))
}

// wantsDraw tells whether the account should call the store now. Only the organisation's primary allocator draws ahead
// of need. The other routers ask the allocators and draw what they need themselves if they reach no allocator.
func (a *account) wantsDraw(now time.Time, primary bool) bool {
	if a.drawing || now.Before(a.retryAt) {
		return false
	}
	if len(a.waiting) > 0 {
		return !a.asking && (primary || a.asked)
	}
	if !primary || a.scarce() && now.Sub(a.lastUse) >= idleAfter {
		return false
	}
	if !a.known || float64(a.free) > refillShare*float64(a.target(now)) || now.Sub(a.lastUse) > horizon {
		return false
	}
	// Less than a request needs is not worth a call.
	return float64(a.amount(now)) >= max(1, a.meanUse())
}

// wantsAsk tells whether the account should ask other routers now: because the store can't be reached, or because the
// allocators draw for it.
func (a *account) wantsAsk(now time.Time, primary bool) bool {
	return len(a.waiting) > 0 && !a.asking && !a.drawing && (now.Before(a.retryAt) || !primary && !a.asked)
}

// amount is how much to draw from the remainder, 0 if it doesn't cover the first waiting request.
func (a *account) amount(now time.Time) int64 {
	remainder := a.prepaid - a.drawn
	need := max(0, a.shortage())
	if len(a.waiting) > 0 && need > remainder {
		// The first request is served rather than none.
		need = a.waiting[0].tokens - a.free
	}
	if need > remainder || remainder <= 0 {
		return 0
	}
	ahead := min(a.target(now)-a.free, int64(drawShare*float64(remainder)))
	return min(remainder, max(need, ahead))
}

// seen takes the store's object: drawn is its total, mark this router's last write in it.
func (a *account) seen(drawn int64, mark string, revision uint64) {
	a.drawn, a.known = drawn, true
	if w, ok := a.open[mark]; ok {
		// The write took effect, so the others, which had the same condition or an older one, did not.
		clear(a.open)
		a.credit(w.amount)
		return
	}
	for m, w := range a.open {
		if w.base < revision {
			delete(a.open, m)
		}
	}
}

// wrote takes the result of a successful draw.
func (a *account) wrote(drawn, tokens int64) {
	a.drawn, a.known = drawn, true
	clear(a.open)
	if tokens >= a.dryTokens {
		a.dryFor = 0
	}
	a.credit(tokens)
}

// refuse gives the verdict to the waiting requests and to later ones that need as much.
func (a *account) refuse(now time.Time, v Verdict) {
	if len(a.waiting) == 0 {
		return
	}
	least := a.waiting[0].tokens
	for _, w := range a.waiting {
		least = min(least, w.tokens)
		w.verdict <- v
	}
	a.waiting, a.asked = nil, false
	first, longest := dryTime, maxDryTime
	if now.Before(a.retryAt) {
		// The store is lost: what it has comes back with it.
		first, longest = backoff, maxBackoff
	}
	a.dryFor = min(max(first, 2*a.dryFor), longest)
	a.dryUntil, a.dryTokens, a.dryVerdict = now.Add(a.dryFor), least, v
}

// withdraw takes a waiter out that has gone.
func (a *account) withdraw(verdict chan Verdict) {
	for i := range a.waiting {
		if a.waiting[i].verdict == verdict {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			a.credit(0)
			return
		}
	}
}

// transferOut takes tokens off the account for another router, whose next request lacks need tokens and which would
// take want. What would not serve such a request here is given in full; of more, at most half is given beyond the need.
func (a *account) transferOut(now time.Time, need, want int64) int64 {
	if len(a.waiting) > 0 || a.free <= 0 || need <= 0 {
		return 0
	}
	given := min(a.free, max(need, min(want, a.free/2)))
	a.free -= given
	// What others take counts as demand, so that an allocator holds enough for them.
	a.observe(now, given)
	a.lastUse = now
	return given
}

// surplus is what should be returned to the store: all free tokens of a router that has not used any for a while and is
// not the organisation's primary allocator, or of any one when little is left. Less than a request needs is not worth a
// call.
func (a *account) surplus(now time.Time, primary bool) int64 {
	if a.drawing || len(a.waiting) > 0 || now.Sub(a.lastUse) < idleAfter || now.Before(a.retryAt) {
		return 0
	}
	if primary && !a.scarce() || float64(a.free) < a.meanUse() {
		return 0
	}
	return a.free
}

// scarce reports whether little of the budget is left in the store.
func (a *account) scarce() bool {
	return a.known && float64(a.prepaid-a.drawn) < scarceShare*float64(a.prepaid)
}
