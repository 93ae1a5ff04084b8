package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// probeNeed is more than any budget has. The ledger refuses a grant of this size and returns the holders.
const probeNeed budget.Tokens = 1 << 53

// unallocatedDivisor gives the part of a budget's unallocated tokens, 1/128, that a router may hold beyond the horizon
// of the budget. So small a part can't cause refusals at other routers, and it lasts through a longer partition.
const unallocatedDivisor = 128

// expectedNeed returns the number of tokens expected to be needed during the horizon of the budget, or during the
// longest horizon as far as unallocatedDivisor allows.
func (m *stateMachine) expectedNeed(now time.Time, a *account) budget.Tokens {
	tokens := a.demand.expectedTokens(now, m.settings.DemandWindow, m.settings.horizon(a.preference))
	longest := a.demand.expectedTokens(now, m.settings.DemandWindow, m.settings.horizon(budget.AvoidRefusal))
	return max(tokens, min(longest, a.unallocated/unallocatedDivisor))
}

// refill requests a grant if requests wait or the free tokens are expected to run out soon. While tokens are scarce it
// requests only what waiting requests need.
func (m *stateMachine) refill(now time.Time, a *account) {
	if m.closed || a.grantPending || a.recall != nil && a.recall.outstanding > 0 && !a.recall.needCovered {
		return
	}
	scarce := now.Before(a.scarceUntil)
	var need, want budget.Tokens
	// Tokens that would soon be returned as idle are not requested.
	if quiet := now.Sub(a.lastUse) >= m.settings.idleTime(a.preference)/2; !scarce && !m.draining && !quiet {
		want = m.expectedNeed(now, a)
	}
	switch {
	case len(a.waiting) > 0:
		if now.Before(a.nextUrgentRefill) {
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
	a.grantPending = true
	op := budget.Op{Kind: budget.OpGrant, Need: need, Want: max(need, want-a.free)}
	m.enqueue(&pendingOp{op: op, account: a, urgent: len(a.waiting) > 0})
	m.flush(now, a.id.Organisation)
}

// handleGrantResult handles the result of a grant operation.
func (m *stateMachine) handleGrantResult(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	a.grantPending = false
	m.reconcile(a, result)
	if p.probe {
		return
	}
	a.nextUrgentRefill = now.Add(m.settings.RecallInterval)
	switch result.Code {
	case budget.CodeOK:
		a.free += result.Granted
		a.granted += result.Granted
		a.recall = nil
		a.nextUrgentRefill = now
		if result.Granted < p.op.Want/2 {
			m.markScarce(now, a)
		}
	case budget.CodeBudgetUnknown:
		for len(a.waiting) > 0 {
			m.refuseWaiter(a.waiting[0], outcome.NotRunf(outcome.ReasonBudgetUnknown, 0, "budget %s does not exist", a.id))
		}
		a.nextRefill = now.Add(m.settings.ScarceTime)
	case budget.CodeHeldElsewhere:
		m.markScarce(now, a)
		m.askHolders(now, a, result)
	case budget.CodeExhausted:
		m.markScarce(now, a)
		m.refuseIfExhausted(a, p.op.Need, result)
	case budget.CodeStale:
		// The ledger may have applied the operation earlier, so its tokens may be granted already.
		m.scheduleReconcile(now, a)
	}
}

// markScarce suspends grant operations for expected demand for the time Settings.ScarceTime.
func (m *stateMachine) markScarce(now time.Time, a *account) {
	a.scarceUntil = now.Add(m.settings.ScarceTime)
	a.nextRefill = a.scarceUntil
}

// refuseIfExhausted refuses the first waiting request if it could not be covered even by the tokens of other holders
// and the open reservations here.
func (m *stateMachine) refuseIfExhausted(a *account, need budget.Tokens, result budget.Result) {
	possible := result.Unallocated + a.reserved + a.inTransit
	for _, h := range result.Holders {
		if h.Instance != m.instance {
			possible += h.Tokens
		}
	}
	m.refuseFirstWaiter(a, need, possible)
}

// refuseFirstWaiter refuses the first waiting request if its need exceeds the tokens that can become free.
func (m *stateMachine) refuseFirstWaiter(a *account, need, possible budget.Tokens) {
	if len(a.waiting) == 0 || need <= possible || a.waiting[0].request.UpperBound-a.free < need {
		return
	}
	m.refuseWaiter(a.waiting[0], outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "budget %s has too few tokens left", a.id))
}

// deadlineRefusal returns the failure of a request that waited until its deadline.
func (m *stateMachine) deadlineRefusal(a *account) *outcome.Failure {
	if isPlatformUnavailable(m.ledgerQueueFor(a.id.Organisation).lastError) {
		return outcome.NotRunf(outcome.ReasonPlatformUnavailable, retryAfter, "the platform is not reachable and no tokens of %s are left here", a.id)
	}
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAfter, "no tokens of %s could be obtained in time", a.id)
}

// returnTokens returns free tokens to the ledger. The recall calls are answered when the ledger has confirmed it.
func (m *stateMachine) returnTokens(now time.Time, a *account, tokens budget.Tokens, calls ...uint64) {
	if tokens <= 0 || m.closed {
		return
	}
	a.free -= tokens
	a.inTransit += tokens
	m.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpReturn, Tokens: tokens}, account: a, calls: calls, urgent: len(calls) > 0})
	m.flush(now, a.id.Organisation)
}

// handleReturnResult handles the result of a return operation.
func (m *stateMachine) handleReturnResult(p *pendingOp, result budget.Result) {
	a := p.account
	switch result.Code {
	case budget.CodeOK, budget.CodeStale:
		a.inTransit -= p.op.Tokens
		a.granted -= p.op.Tokens
		for _, call := range p.calls {
			m.answerRecall(call, RecallAnswer{Returned: p.op.Tokens, Reserved: a.reserved + a.inTransit})
		}
	default:
		// The ledger records a smaller grant than this account, because an operator has released it.
		m.close()
	}
}

// scheduleReconcile schedules comparisons of the account with the ledger.
func (m *stateMachine) scheduleReconcile(now time.Time, a *account) {
	a.needsReconcile = true
	a.nextProbe = now.Add(m.settings.ScarceTime)
	a.probeCount = 0
	m.addToTickList(a)
}

// maxProbes bounds the comparisons after one lost answer. The time between them doubles.
const maxProbes = 10

// probeLedger reads the holders from the ledger if it may have applied a transfer or grant whose answer was lost.
func (m *stateMachine) probeLedger(now time.Time, a *account) {
	if !a.needsReconcile || a.grantPending || now.Before(a.nextProbe) {
		return
	}
	a.probeCount++
	a.nextProbe = now.Add(m.settings.ScarceTime << a.probeCount)
	if a.probeCount >= maxProbes {
		a.needsReconcile = false
	}
	a.grantPending = true
	m.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpGrant, Need: probeNeed, Want: probeNeed}, account: a, probe: true})
	m.flush(now, a.id.Organisation)
}

// reconcile adds the tokens that the ledger records for this instance beyond those in the account. With one call per
// organisation in progress and no unconfirmed transfer, the difference can only come from a transfer or grant whose
// answer was lost.
func (m *stateMachine) reconcile(a *account, result budget.Result) {
	if !a.needsReconcile || result.Holders == nil || a.transferRound.outstanding > 0 || a.unconfirmedTransfers > 0 {
		return
	}
	for _, h := range result.Holders {
		if h.Instance == m.instance && h.Tokens > a.granted {
			a.free += h.Tokens - a.granted
			a.granted = h.Tokens
		}
	}
}
