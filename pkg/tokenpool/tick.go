package tokenpool

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// scanInterval is the time between scans of all accounts.
const scanInterval = time.Second

// tick refuses requests whose deadline has passed, repeats failed calls and sends operations that are due. It checks the
// accounts in tickList, and all accounts once per scanInterval.
func (c *stateMachine) tick(now time.Time) {
	if c.closed {
		return
	}
	tickList := c.tickList
	c.tickList = nil
	for _, a := range tickList {
		a.inTickList = false
		c.tickAccount(now, a)
	}
	c.tickUnrecorded(now)
	pendingQueues := c.pendingQueues
	c.pendingQueues = nil
	for _, q := range pendingQueues {
		q.inPendingList = false
		c.flush(now, q.organisation)
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scanAccounts(now)
	}
}

func (c *stateMachine) tickAccount(now time.Time, a *account) {
	for len(a.waiting) > 0 && !now.Before(a.waiting[0].deadline) {
		c.refuseWaiter(a.waiting[0], c.deadlineRefusal(a))
	}
	c.serveWaiting(now, a)
	c.askPeers(now, a)
	c.probeLedger(now, a)
	if len(a.waiting) > 0 || a.needsReconcile {
		c.addToTickList(a)
	}
}

// tickUnrecorded refuses the requests whose reservation was not recorded before its deadline.
func (c *stateMachine) tickUnrecorded(now time.Time) {
	for len(c.unrecorded) > 0 {
		r := c.unrecorded[0]
		if r.call != 0 && now.Before(r.deadline) {
			return
		}
		c.unrecorded = c.unrecorded[1:]
		if r.call != 0 {
			c.refuseUnrecorded(now, r)
		}
	}
	c.unrecorded = nil
}

// scanAccounts returns idle tokens, refills accounts in use, and deletes unused accounts and ledger queues.
func (c *stateMachine) scanAccounts(now time.Time) {
	for _, a := range c.active {
		idle := now.Sub(a.lastUse) >= c.settings.idleTime(a.preference)
		if idle || c.draining {
			c.returnTokens(now, a, a.free-c.tokensToKeep())
		}
		if idle && a.isUnused() {
			delete(c.accounts, a.id)
		}
		if !idle {
			c.refill(now, a)
		}
	}
	c.active = slices.DeleteFunc(c.active, func(a *account) bool { return c.accounts[a.id] != a })
	for organisation, q := range c.ledgerQueues {
		q.flushedUntil(now, nil, c.laggingSince())
		if !q.hasPending() && len(q.spans) == 0 && !q.platformUnreachable() {
			delete(c.ledgerQueues, organisation)
		}
	}
}

// tokensToKeep returns the number of tokens of a budget that are not returned as idle: 1 while a witness is missing
// entries. The ledger keeps its records of bills only for holders of grants, and it needs them if the closing of this
// instance submits bills that the copy of that witness lists as open.
func (c *stateMachine) tokensToKeep() budget.Tokens {
	if c.draining || c.laggingSince().IsZero() {
		return 0
	}
	return 1
}

// DrainStatus describes what a draining token pool waits for.
type DrainStatus struct {
	// Reservations is the number of requests in progress.
	Reservations int
	// Bills is the number of bills that the ledger has not settled.
	Bills int
	// Transfers is the number of transfers that the ledger has not confirmed.
	Transfers int
	// Held is the number of tokens that have not been returned.
	Held budget.Tokens
	// Budgets lists the budgets with held tokens.
	Budgets []budget.ID
	// LastError is the error of the latest call to the ledger for one of the organisations, or nil if none failed.
	LastError error
}

// Done reports whether nothing is left to wait for.
func (s DrainStatus) Done() bool {
	return s.Reservations == 0 && s.Bills == 0 && s.Transfers == 0 && s.Held == 0
}

// drain stops new reservations and returns all free tokens.
func (c *stateMachine) drain(now time.Time) {
	c.draining = true
	for _, a := range c.active {
		c.serveWaiting(now, a)
	}
}

func (c *stateMachine) drainStatus() DrainStatus {
	s := DrainStatus{Reservations: len(c.reservations), Bills: len(c.bills), Transfers: len(c.transfers)}
	for _, a := range c.active {
		if a.heldTokens() > 0 {
			s.Held += a.heldTokens()
			s.Budgets = append(s.Budgets, a.id)
		}
		if err := c.ledgerQueueFor(a.id.Organisation).lastError; err != nil {
			s.LastError = err
		}
	}
	return s
}
