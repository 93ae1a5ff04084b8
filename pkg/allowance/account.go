// Package allowance manages the prepaid token budgets of organisations in a fleet of routers that have no persistent
// storage.
//
// The store holds one object per organisation with the number of tokens that routers have drawn. A router draws tokens
// by conditional update before it spends them, so drawn ≤ prepaid holds at every revision, and all routers together
// spend at most drawn. Tokens that a router had drawn but not spent when it crashed count as spent. Routers transfer
// drawn tokens to each other without the store: the sending router deducts them from its own account before it answers,
// so a lost answer can lose tokens but can't spend them twice.
package allowance

import (
	"math"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// drawHorizon is the time for which a draw lasts at the current demand. It covers a partition from the store of about
	// 9 s; a longer horizon loses more tokens when a router crashes.
	drawHorizon = 12 * time.Second
	// maxHeldShare is the largest part of the remaining budget that the fleet holds. Below scarceHeldShare of the prepaid
	// total it falls with the square of what is left: when a budget is nearly used up, tokens lost in a power failure are
	// missing for all later requests, while requests refused in a partition leave their tokens to later ones.
	maxHeldShare    = 0.4
	scarceHeldShare = 0.6
	// refillShare is the part of the target below which more tokens are drawn ahead of need.
	refillShare = 0.8
	// demandWindow is the time constant of the exponential average of the demand.
	demandWindow = 5 * time.Second
	// minHeldShare is the part of the remainder that is held whatever the demand was so far, because a partition may begin
	// before the demand is known.
	minHeldShare = 0.05
	// minHeldRequests is the number of average requests for which tokens are held, so that few requests wait for a draw.
	minHeldRequests = 2
	// maxDrawShare is the largest part of the remainder that one draw ahead of need takes: the first estimates of the
	// demand may be far too high.
	maxDrawShare = 0.25
	// askHorizon is the time for which a router that isn't the primary allocator asks for tokens ahead, and minAskRate the
	// number of requests a second from which it does. A question for each request would cost a busy router a tenth of its
	// link, and every request a round trip.
	askHorizon = time.Second
	minAskRate = 4
	// askPause is the time without further questions ahead of need after one that brought too little.
	askPause = time.Second
	// idleTimeout is the time without requests after which unspent tokens are returned. A primary allocator returns them
	// only if the budget is scarce.
	idleTimeout = 1500 * time.Millisecond
	// scarceShare is the share of the prepaid total below which the remainder in the store counts as scarce.
	scarceShare = 0.1
	// minBackoff is the delay after a failed call to the store; it doubles up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// minRefusalDuration is how long a refusal also applies to later requests for as many tokens, unless the operator
	// changes the budget. It doubles with each refusal up to maxRefusalDuration, so that an exhausted budget doesn't cost
	// the fleet ever more requests between routers.
	minRefusalDuration = 700 * time.Millisecond
	maxRefusalDuration = 4 * time.Second
	// settleTime is the time after a restore of the store in which the routers tell it again what they have drawn. Meanwhile none
	// draws: what another one drew while it could reach neither this one nor the store again is not known yet.
	settleTime = 1500 * time.Millisecond
	// maxCopyAge is more than the age of a copy from which the store is restored: older changes are in the copy.
	maxCopyAge = time.Minute
)

// Verdict is the outcome of a reservation.
type Verdict int

// Verdicts.
const (
	// Granted means that the tokens are reserved.
	Granted Verdict = iota
	// Exhausted means that the remaining budget does not cover the request.
	Exhausted
	// Unavailable means that the store or another router that may hold tokens did not answer; the request may be
	// retried.
	Unavailable
)

// waiter is a request that waits for tokens.
type waiter struct {
	tokens  int64
	verdict chan Verdict
}

// pendingDraw is a draw without an answer from the store: it may or may not have taken effect.
type pendingDraw struct {
	amount int64
	// baseRevision is the revision that the write was conditional on, and era the one to which it counts.
	baseRevision uint64
	era          uint64
}

// account is one organisation's budget as this router sees it. It does no I/O and reads no clock.
type account struct {
	// prepaid is the operator's total, and drawn the last known value in the store. loaded reports whether drawn is
	// known.
	prepaid, drawn int64
	loaded         bool
	// known is the latest state of each era that this router has heard of, and knownAt the time of its last change.
	known   Draws
	knownAt time.Time
	// onlyRecalled is set while known comes only from what other routers remembered when this one had started.
	onlyRecalled bool
	// mustReconcile is set after a restore of the store until the record has all draws that this router knows.
	mustReconcile bool
	// settledAt is the end of settleTime after a restore. mustSettle is set if this router knows nothing of the time before the
	// restore, so that it has to read the record again then.
	settledAt  time.Time
	mustSettle bool
	// free is the number of drawn tokens that are neither spent nor reserved.
	free    int64
	flows   flows
	waiters []waiter
	// storeCallInProgress covers draws and returns, peerRequestInProgress a request to other routers.
	storeCallInProgress, peerRequestInProgress bool
	// returnReadInProgress covers the read of the record before a return. The free tokens stay available meanwhile.
	returnReadInProgress bool
	// storeCallAt is the start of the last draw or return.
	storeCallAt time.Time
	// retryAt is the earliest time of the next call to the store.
	retryAt time.Time
	// askAheadAt is the earliest time of the next question ahead of need.
	askAheadAt time.Time
	// drawDirectly reports whether this router itself draws for the waiting requests, because it asked the allocators
	// and did not get enough, or because it draws for another router.
	drawDirectly bool
	// pendingDraws holds the draws without an answer by write ID.
	pendingDraws map[string]pendingDraw
	// demand is the sum of requested tokens and requests the number of requests, both decayed with demandWindow.
	// observedSeconds is the observation time, decayed in the same way.
	demand, requests, observedSeconds float64
	decayedAt                         time.Time
	lastUse                           time.Time
	// Until refuseUntil, requests for refuseTokens or more get refusalVerdict at once.
	refuseUntil     time.Time
	refuseTokens    int64
	refusalDuration time.Duration
	refusalVerdict  Verdict
}

// setPrepaid sets the operator's total. A change ends the current refusal period.
func (a *account) setPrepaid(total int64) {
	if total != a.prepaid {
		a.refuseUntil, a.refusalDuration = time.Time{}, 0
	}
	a.prepaid = total
}

// reserve grants the tokens, refuses them while an earlier refusal applies, or queues the waiter.
func (a *account) reserve(now time.Time, w waiter) {
	a.lastUse = now
	switch {
	case len(a.waiters) == 0 && w.tokens <= a.spendable():
		a.recordDemand(now, w.tokens)
		a.free -= w.tokens
		w.verdict <- Granted
	case now.Before(a.refuseUntil) && w.tokens >= a.refuseTokens:
		w.verdict <- a.refusalVerdict
	default:
		a.recordDemand(now, w.tokens)
		a.waiters = append(a.waiters, w)
	}
}

// recordDemand adds a request for tokens to the average demand.
func (a *account) recordDemand(now time.Time, tokens int64) {
	a.decay(now)
	a.demand += float64(tokens)
	a.requests++
}

func (a *account) decay(now time.Time) {
	if !a.decayedAt.IsZero() {
		elapsed := now.Sub(a.decayedAt).Seconds()
		factor := math.Exp(-elapsed / demandWindow.Seconds())
		a.demand *= factor
		a.requests *= factor
		a.observedSeconds = a.observedSeconds*factor + demandWindow.Seconds()*(1-factor)
	}
	a.decayedAt = now
}

// demandRate returns the average of requested tokens per second since the first request.
func (a *account) demandRate(now time.Time) float64 {
	a.decay(now)
	return a.demand / max(1, a.observedSeconds)
}

// meanRequestTokens returns the average number of tokens of a request, 0 before the first one.
func (a *account) meanRequestTokens() float64 {
	if a.requests == 0 {
		return 0
	}
	return a.demand / a.requests
}

// credit adds tokens that were released, drawn or received, and grants waiting requests in order as far as the free
// tokens cover them.
func (a *account) credit(tokens int64) {
	a.free += tokens
	for len(a.waiters) > 0 && a.waiters[0].tokens <= a.spendable() {
		a.free -= a.waiters[0].tokens
		a.waiters[0].verdict <- Granted
		a.waiters = a.waiters[1:]
	}
	if len(a.waiters) == 0 {
		a.drawDirectly = false
	}
}

// shortage returns the number of tokens missing for all waiting requests. It is negative if more tokens are free than
// they need.
func (a *account) shortage() int64 {
	sum := -a.spendable()
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

// nextShortage returns the number of tokens missing for the first waiting request, 0 if none waits.
func (a *account) nextShortage() int64 {
	if len(a.waiters) == 0 {
		return 0
	}
	return max(1, a.waiters[0].tokens-a.spendable())
}

// target returns the number of free tokens that the account should hold.
func (a *account) target(now time.Time) int64 {
	remainder := float64(max(0, a.prepaid-a.drawn))
	rate := a.demandRate(now)
	// Drawing moves tokens from the remainder to the account, so the bound counts the account's free tokens as remainder.
	unspent := remainder + float64(a.free)
	heldSeconds := a.heldShare(unspent) * unspent / max(1, rate)
	return int64(max(rate*min(drawHorizon.Seconds(), heldSeconds), minHeldShare*remainder, min(minHeldRequests*a.meanRequestTokens(), maxHeldShare*unspent)))
}

// heldShare returns the part of the unspent tokens that the account may hold.
func (a *account) heldShare(unspent float64) float64 {
	left := min(1, unspent/max(1, scarceHeldShare*float64(a.prepaid)))
	return maxHeldShare * left * left
}

// spendable returns the free tokens without those that were drawn beyond the total, which are to be returned.
func (a *account) spendable() int64 { return a.free - a.overdrawn() }

// overdrawn returns the number of free tokens that were drawn beyond the total: routers that draw while the store lacks the
// latest draws draw too much, and the operator may lower the total.
func (a *account) overdrawn() int64 {
	if a.prepaid <= 0 || !a.loaded {
		return 0
	}
	return min(a.free, max(0, a.drawn-a.prepaid))
}

// mayDraw reports whether the account may draw: neither after a failed call, nor while what others have drawn before a
// restore isn't known yet.
func (a *account) mayDraw(now time.Time) bool {
	return !now.Before(a.retryAt) && !now.Before(a.settledAt)
}

// restored begins the time after a restore of the store.
func (a *account) restored(now time.Time) {
	a.settledAt = now.Add(settleTime)
	a.mustReconcile = a.mustReconcile || a.hasRecentDraws(now)
}

// learn adds what routers have drawn.
func (a *account) learn(now time.Time, d Draws) {
	if a.known.lacks(d) {
		a.knownAt = now
	}
	a.known = a.known.merged(d)
	a.drawn, a.loaded = a.known.total(), true
}

// shouldDraw reports whether the account should draw from the store now. Only the organisation's primary allocator
// draws ahead of need. The other routers ask the allocators first and draw what they need themselves if they can't
// reach them.
func (a *account) shouldDraw(now time.Time, primary bool) bool {
	if a.storeCallInProgress || now.Before(a.retryAt) {
		return false
	}
	if a.mustReconcile {
		return true
	}
	if !a.mayDraw(now) {
		return false
	}
	if len(a.waiters) > 0 {
		return !a.peerRequestInProgress && (primary || a.drawDirectly)
	}
	if !primary || a.isScarce() && now.Sub(a.lastUse) >= idleTimeout {
		return false
	}
	if !a.loaded || float64(a.free) > refillShare*float64(a.target(now)) || now.Sub(a.lastUse) > drawHorizon {
		return false
	}
	// Drawing fewer tokens than an average request needs is not worth a call.
	return float64(a.drawAmount(now, primary)) >= max(1, a.meanRequestTokens())
}

// shouldRequestFromPeers reports whether the account should ask other routers now: because the store can't be reached,
// because the allocators draw for it, or ahead of need.
func (a *account) shouldRequestFromPeers(now time.Time, primary bool) bool {
	if a.peerRequestInProgress || a.storeCallInProgress {
		return false
	}
	if len(a.waiters) == 0 {
		return !primary && !now.Before(a.refuseUntil) && !now.Before(a.askAheadAt) && a.free < a.askTarget(now)/2
	}
	return !a.mayDraw(now) || !primary && !a.drawDirectly
}

// askTarget returns the number of free tokens that a router which isn't the primary allocator should hold, 0 if its
// demand is low.
func (a *account) askTarget(now time.Time) int64 {
	a.decay(now)
	if a.requests/max(1, a.observedSeconds) < minAskRate {
		return 0
	}
	return int64(a.demandRate(now) * askHorizon.Seconds())
}

// peerShortage returns what to ask other routers for. With ahead, it includes tokens ahead of need.
func (a *account) peerShortage(now time.Time, ahead bool) Shortage {
	s := Shortage{Next: a.nextShortage(), Total: a.shortage()}
	if len(a.waiters) == 0 {
		s.Next = max(1, int64(a.meanRequestTokens()))
		s.Total = s.Next
	}
	if ahead {
		s.Ahead = max(0, a.askTarget(now)-a.free)
	}
	return s
}

// drawAmount returns how much to draw from the remainder, 0 if it doesn't cover the first waiting request. Only the primary allocator
// draws for the whole fleet; another router would hold tokens that nobody asks it for and that its end takes along.
func (a *account) drawAmount(now time.Time, primary bool) int64 {
	remainder := a.prepaid - a.drawn
	need := max(0, a.shortage())
	if len(a.waiters) > 0 && need > remainder {
		// Serve the first request if not all can be served.
		need = a.waiters[0].tokens - a.spendable()
	}
	if need > remainder || remainder <= 0 {
		return 0
	}
	target := a.target(now)
	if !primary {
		target = min(target, a.askTarget(now))
	}
	return min(remainder, max(need, min(target-a.free, int64(maxDrawShare*float64(remainder)))))
}

// applyRead updates the account from the store's object: writeID is this router's last write in it. It reports whether that is
// a draw whose response was lost.
func (a *account) applyRead(now time.Time, d Draws, writeID string, revision uint64) (recognised bool) {
	a.learn(now, d)
	a.onlyRecalled = false
	if w, ok := a.pendingDraws[writeID]; ok {
		// This write took effect, so the other pending ones, conditional on the same or an older revision, did not.
		clear(a.pendingDraws)
		if platform.Era(revision) != w.era {
			// The store was restored meanwhile, perhaps before the write: a later state of its era may replace it.
			return true
		}
		a.flows.drawn += w.amount
		a.credit(w.amount)
		return true
	}
	for id, w := range a.pendingDraws {
		if w.baseRevision < revision {
			delete(a.pendingDraws, id)
		}
	}
	return false
}

// applyDraw updates the account after a successful draw of tokens.
func (a *account) applyDraw(now time.Time, d Draws, tokens int64) {
	a.learn(now, d)
	a.mustReconcile, a.onlyRecalled = false, false
	clear(a.pendingDraws)
	if tokens >= a.refuseTokens {
		a.refusalDuration = 0
	}
	a.flows.drawn += tokens
	a.credit(tokens)
}

// refuse returns the verdict to all waiting requests, and for a time to later ones for at least as many tokens as the
// smallest of them.
func (a *account) refuse(now time.Time, v Verdict) {
	if len(a.waiters) == 0 {
		return
	}
	smallest := a.waiters[0].tokens
	for _, w := range a.waiters {
		smallest = min(smallest, w.tokens)
		w.verdict <- v
	}
	a.waiters, a.drawDirectly = nil, false
	shortest, longest := minRefusalDuration, maxRefusalDuration
	if now.Before(a.retryAt) || now.Before(a.settledAt) {
		// The store can't be drawn on. Its tokens become available as soon as it answers, so the refusal is shorter.
		shortest, longest = minBackoff, maxBackoff
	}
	a.refusalDuration = min(max(shortest, 2*a.refusalDuration), longest)
	a.refuseUntil, a.refuseTokens, a.refusalVerdict = now.Add(a.refusalDuration), smallest, v
}

// removeWaiter removes a request that no longer waits.
func (a *account) removeWaiter(verdict chan Verdict) {
	for i := range a.waiters {
		if a.waiters[i].verdict == verdict {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			a.credit(0)
			return
		}
	}
}

// transferOut deducts tokens from the account for another router, which is need tokens short for its next request and
// want tokens short in all. If fewer than need tokens are free, it transfers all of them, because they would not serve
// such a request here either. Beyond the need it transfers at most half of the free tokens.
func (a *account) transferOut(now time.Time, need, want int64) int64 {
	free := a.spendable()
	if len(a.waiters) > 0 || free <= 0 || need <= 0 {
		return 0
	}
	tokens := min(free, max(need, min(want, free/2)))
	a.free -= tokens
	a.flows.given += tokens
	// Transfers count as demand, so that an allocator holds enough for other routers.
	a.recordDemand(now, tokens)
	a.lastUse = now
	return tokens
}

// surplus returns the number of tokens to return to the store: all free tokens of a router that has used none for
// idleTimeout, and those drawn beyond the total at once. The primary allocator returns tokens only when the budget is scarce.
// Returning fewer tokens than an average request needs is not worth a call.
func (a *account) surplus(now time.Time, primary bool) int64 {
	if a.storeCallInProgress || a.returnReadInProgress || a.mustReconcile || now.Before(a.retryAt) {
		return 0
	}
	if excess := a.overdrawn(); excess > 0 {
		return excess
	}
	if len(a.waiters) > 0 || now.Sub(a.lastUse) < idleTimeout {
		return 0
	}
	if primary && !a.isScarce() || float64(a.free) < a.meanRequestTokens() {
		return 0
	}
	return a.free
}

// isScarce reports whether the remainder in the store is below scarceShare of the budget.
func (a *account) isScarce() bool {
	return a.loaded && float64(a.prepaid-a.drawn) < scarceShare*float64(a.prepaid)
}
