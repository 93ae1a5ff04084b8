package tokenpool

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// scanInterval is the time between scans of all accounts.
const scanInterval = time.Second

// tick refuses requests whose deadline has passed, repeats failed calls and sends operations that are due. It checks
// the accounts in tickList, and all accounts once per scanInterval.
func (m *stateMachine) tick(now time.Time) {
	if m.closed {
		return
	}
	tickList := m.tickList
	m.tickList = nil
	for _, a := range tickList {
		a.inTickList = false
		m.tickAccount(now, a)
	}
	m.tickUnrecorded(now)
	pendingQueues := m.pendingQueues
	m.pendingQueues = nil
	for _, q := range pendingQueues {
		q.inPendingList = false
		m.flush(now, q.organisation)
	}
	if !now.Before(m.nextScan) {
		m.nextScan = now.Add(scanInterval)
		m.scanAccounts(now)
	}
}

func (m *stateMachine) tickAccount(now time.Time, a *account) {
	for len(a.waiting) > 0 && !now.Before(a.waiting[0].deadline) {
		m.refuseWaiter(a.waiting[0], m.deadlineRefusal(a))
	}
	m.serveWaiting(now, a)
	m.askPeers(now, a)
	m.probeLedger(now, a)
	if len(a.waiting) > 0 || a.needsReconcile {
		m.addToTickList(a)
	}
}

// tickUnrecorded refuses the requests whose reservation was not recorded before its deadline.
func (m *stateMachine) tickUnrecorded(now time.Time) {
	for len(m.unrecorded) > 0 {
		r := m.unrecorded[0]
		if r.call != 0 && now.Before(r.deadline) {
			return
		}
		m.unrecorded = m.unrecorded[1:]
		if r.call != 0 {
			m.refuseUnrecorded(now, r)
		}
	}
	m.unrecorded = nil
}

// scanAccounts returns idle tokens, refills accounts in use, and deletes unused accounts and ledger queues.
func (m *stateMachine) scanAccounts(now time.Time) {
	for _, a := range m.active {
		idle := now.Sub(a.lastUse) >= m.settings.idleTime(a.preference)
		if idle || m.draining {
			m.returnTokens(now, a, a.free-m.tokensToKeep())
		}
		if idle && a.isUnused() {
			delete(m.accounts, a.id)
		}
		if !idle {
			m.refill(now, a)
		}
	}
	m.active = slices.DeleteFunc(m.active, func(a *account) bool { return m.accounts[a.id] != a })
	for organisation, q := range m.ledgerQueues {
		q.flushedUntil(now, nil, m.laggingSince())
		if !q.hasPending() && len(q.spans) == 0 && !q.platformUnreachable() {
			delete(m.ledgerQueues, organisation)
		}
	}
}

// tokensToKeep returns the number of tokens of a budget that are not returned as idle: 1 while a witness is missing
// entries. The ledger keeps its records of bills only for holders of grants, and it needs them if the closing of this
// instance submits bills that the copy of that witness lists as open.
func (m *stateMachine) tokensToKeep() budget.Tokens {
	if m.draining || m.laggingSince().IsZero() {
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
func (m *stateMachine) drain(now time.Time) {
	m.draining = true
	for _, a := range m.active {
		m.serveWaiting(now, a)
	}
}

func (m *stateMachine) drainStatus() DrainStatus {
	s := DrainStatus{Reservations: len(m.reservations), Bills: len(m.bills), Transfers: len(m.transfers)}
	for _, a := range m.active {
		if a.heldTokens() > 0 {
			s.Held += a.heldTokens()
			s.Budgets = append(s.Budgets, a.id)
		}
		if err := m.ledgerQueueFor(a.id.Organisation).lastError; err != nil {
			s.LastError = err
		}
	}
	return s
}
