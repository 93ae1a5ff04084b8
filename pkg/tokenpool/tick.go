package tokenpool

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// scanInterval is the time between two looks at all accounts.
const scanInterval = time.Second

// tick ends waits whose deadline has passed, repeats failed calls and sends what is due. It looks at all accounts
// only once per scan interval.
func (c *stateMachine) tick(now time.Time) {
	if c.closed {
		return
	}
	hot := c.hot
	c.hot = nil
	for _, a := range hot {
		a.hot = false
		c.tickAccount(now, a)
	}
	c.tickUnrecorded(now)
	busy := c.busy
	c.busy = nil
	for _, f := range busy {
		f.busy = false
		c.flush(now, f.organisation)
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scan(now)
	}
}

func (c *stateMachine) tickAccount(now time.Time, a *account) {
	for len(a.waiting) > 0 && !now.Before(a.waiting[0].deadline) {
		c.drop(a.waiting[0], c.refusal(a))
	}
	c.serve(now, a)
	c.askPeers(now, a)
	c.probe(now, a)
	if len(a.waiting) > 0 || a.reconcile {
		c.heat(a)
	}
}

func (c *stateMachine) tickUnrecorded(now time.Time) {
	for len(c.unrecorded) > 0 {
		r := c.unrecorded[0]
		if r.call != 0 && now.Before(r.deadline) {
			return
		}
		c.unrecorded = c.unrecorded[1:]
		if r.call != 0 {
			c.unrecordedInTime(now, r)
		}
	}
	c.unrecorded = nil
}

// scan returns idle tokens and forgets accounts that are not used.
func (c *stateMachine) scan(now time.Time) {
	for _, a := range c.active {
		idle := now.Sub(a.lastUse) >= c.settings.idleTime(a.preference)
		if idle || c.draining {
			c.giveBack(now, a, a.free-c.presence())
		}
		if idle && a.unused() {
			delete(c.accounts, a.id)
		}
		if !idle {
			c.refill(now, a)
		}
	}
	c.active = slices.DeleteFunc(c.active, func(a *account) bool { return c.accounts[a.id] != a })
	for organisation, f := range c.flushes {
		f.flushedUntil(now, nil, c.behind())
		if !f.pending() && len(f.spans) == 0 && !f.platformUnreachable() {
			delete(c.flushes, organisation)
		}
	}
}

// presence is the number of tokens of a budget that are not returned while a witness lacks entries. The ledger keeps
// bills only for holders of grants, and the closing of this instance may still bring bills that the witness has as open.
func (c *stateMachine) presence() budget.Tokens {
	if c.draining || c.behind().IsZero() {
		return 0
	}
	return 1
}

// DrainStatus tells what a token pool that is being drained waits for.
type DrainStatus struct {
	// Reservations is the number of requests in progress.
	Reservations int
	// Bills is the number of bills that the ledger does not have.
	Bills int
	// Transfers is the number of transfers that the ledger does not have.
	Transfers int
	// Held is the number of tokens that are not returned.
	Held budget.Tokens
	// Budgets lists the budgets with held tokens.
	Budgets []budget.ID
	// LastError is the latest error of the ledger, if tokens can't be returned.
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
		c.serve(now, a)
	}
}

func (c *stateMachine) status() DrainStatus {
	s := DrainStatus{Reservations: len(c.reservations), Bills: len(c.bills), Transfers: len(c.moves)}
	for _, a := range c.active {
		if a.held() > 0 {
			s.Held += a.held()
			s.Budgets = append(s.Budgets, a.id)
		}
		if err := c.flushOf(a.id.Organisation).lastError; err != nil {
			s.LastError = err
		}
	}
	return s
}
