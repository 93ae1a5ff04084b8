package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// probeNeed is more than any budget has, so that the ledger refuses and names the holders.
const probeNeed budget.Tokens = 1 << 53

// plenty is the part of the unallocated tokens of a budget that a router may hold beyond its horizon. Holding so
// little of a budget can't lead to refusals elsewhere, and it carries the router through a longer partition.
const plenty = 128

// expected returns the tokens that are expected to be needed during the horizon, or during the longest horizon if
// the budget has plenty left.
func (c *stateMachine) expected(now time.Time, a *account) budget.Tokens {
	tokens := a.demand.over(now, c.settings.DemandWindow, c.settings.horizon(a.preference))
	longest := a.demand.over(now, c.settings.DemandWindow, c.settings.horizon(budget.AvoidRefusal))
	return max(tokens, min(longest, a.unallocated/plenty))
}

// refill asks for tokens if requests wait or the free tokens will run out soon. While tokens are scarce it asks
// only for what waiting requests need.
func (c *stateMachine) refill(now time.Time, a *account) {
	if c.closed || a.refilling || a.recall != nil && a.recall.outstanding > 0 && !a.recall.enough {
		return
	}
	scarce := now.Before(a.scarceUntil)
	var need, want budget.Tokens
	// Tokens that would soon be returned as idle are not asked for.
	if quiet := now.Sub(a.lastUse) >= c.settings.idleTime(a.preference)/2; !scarce && !c.draining && !quiet {
		want = c.expected(now, a)
	}
	switch {
	case len(a.waiting) > 0:
		if now.Before(a.nextNeed) {
			return
		}
		need = max(1, a.waiting[0].request.UpperBound-a.free)
		for _, w := range a.waiting {
			want += w.request.UpperBound
		}
	case a.free < want/2 && !now.Before(a.nextRefill):
		need = 1
	default:
		return
	}
	a.refilling = true
	op := budget.Op{Kind: budget.OpGrant, Need: need, Want: max(need, want-a.free)}
	c.enqueue(&pendingOp{op: op, account: a, urgent: len(a.waiting) > 0})
	c.flush(now, a.id.Organisation)
}

// granted takes the ledger's answer to a grant operation.
func (c *stateMachine) granted(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	a.refilling = false
	c.reconciled(a, result)
	if p.probe {
		return
	}
	a.nextNeed = now.Add(c.settings.RecallInterval)
	switch result.Code {
	case budget.CodeOK:
		a.free += result.Granted
		a.granted += result.Granted
		a.recall = nil
		a.nextNeed = now
		if result.Granted < p.op.Want/2 {
			c.scarce(now, a)
		}
	case budget.CodeBudgetUnknown:
		for len(a.waiting) > 0 {
			c.drop(a.waiting[0], outcome.NotRunf(outcome.ReasonBudgetUnknown, 0, "budget %s does not exist", a.id))
		}
		a.nextRefill = now.Add(c.settings.ScarceTime)
	case budget.CodeHeldElsewhere:
		c.scarce(now, a)
		c.startRecall(now, a, result)
	case budget.CodeExhausted:
		c.scarce(now, a)
		c.exhausted(a, p.op.Need, result)
	case budget.CodeStale:
		// The operation may have taken effect long ago.
		c.suspectGrant(now, a)
	}
}

// scarce suspends requests for tokens that nobody waits for.
func (c *stateMachine) scarce(now time.Time, a *account) {
	a.scarceUntil = now.Add(c.settings.ScarceTime)
	a.nextRefill = a.scarceUntil
}

// exhausted refuses the first waiting request if neither other holders nor open reservations here could cover it.
func (c *stateMachine) exhausted(a *account, need budget.Tokens, result budget.Result) {
	possible := result.Unallocated + a.reserved + a.inTransit
	for _, h := range result.Holders {
		if h.Instance != c.instance {
			possible += h.Tokens
		}
	}
	c.refuseFirst(a, need, possible)
}

// refuseFirst refuses the first request if its need exceeds what can become free.
func (c *stateMachine) refuseFirst(a *account, need, possible budget.Tokens) {
	if len(a.waiting) == 0 || need <= possible || a.waiting[0].request.UpperBound-a.free < need {
		return
	}
	c.drop(a.waiting[0], outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "budget %s has too few tokens left", a.id))
}

// refusal returns the failure of a request that waited until its deadline.
func (c *stateMachine) refusal(a *account) *outcome.Failure {
	if isAway(c.flushOf(a.id.Organisation).lastError) {
		return outcome.NotRunf(outcome.ReasonPlatformUnavailable, retryAdvice, "the platform is not reachable and no tokens of %s are left here", a.id)
	}
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAdvice, "no tokens of %s could be obtained in time", a.id)
}

// giveBack returns free tokens to the ledger.
func (c *stateMachine) giveBack(now time.Time, a *account, tokens budget.Tokens, calls ...uint64) {
	if tokens <= 0 || c.closed {
		return
	}
	a.free -= tokens
	a.inTransit += tokens
	c.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpReturn, Tokens: tokens}, account: a, calls: calls, urgent: len(calls) > 0})
	c.flush(now, a.id.Organisation)
}

// returned takes the ledger's answer to a return.
func (c *stateMachine) returned(p *pendingOp, result budget.Result) {
	a := p.account
	switch result.Code {
	case budget.CodeOK, budget.CodeStale:
		a.inTransit -= p.op.Tokens
		a.granted -= p.op.Tokens
		for _, call := range p.calls {
			c.answerRecall(call, RecallAnswer{Returned: p.op.Tokens, Reserved: a.reserved + a.inTransit})
		}
	default:
		// The grant is smaller than the books here: an operator has released it.
		c.close()
	}
}

// suspectGrant makes the account compare its books with the ledger.
func (c *stateMachine) suspectGrant(now time.Time, a *account) {
	a.reconcile = true
	a.nextProbe = now.Add(c.settings.ScarceTime)
	a.probes = 0
	c.heat(a)
}

// maxProbes bounds the comparisons after one suspicion; the time between them doubles.
const maxProbes = 10

// probe asks the ledger for the holders if a transfer or grant may have arrived without the knowledge of this
// router.
func (c *stateMachine) probe(now time.Time, a *account) {
	if !a.reconcile || a.refilling || now.Before(a.nextProbe) {
		return
	}
	a.probes++
	a.nextProbe = now.Add(c.settings.ScarceTime << a.probes)
	if a.probes >= maxProbes {
		a.reconcile = false
	}
	a.refilling = true
	c.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpGrant, Need: probeNeed, Want: probeNeed}, account: a, probe: true})
	c.flush(now, a.id.Organisation)
}

// reconciled adds tokens that the ledger records for this instance beyond its own books. With one call per
// organisation in progress and no transfer pending, the difference can only be a transfer or grant whose answer
// was lost.
func (c *stateMachine) reconciled(a *account, result budget.Result) {
	if !a.reconcile || result.Holders == nil || a.transfers.outstanding > 0 || a.moving > 0 {
		return
	}
	for _, h := range result.Holders {
		if h.Instance == c.instance && h.Tokens > a.granted {
			a.free += h.Tokens - a.granted
			a.granted = h.Tokens
		}
	}
}
