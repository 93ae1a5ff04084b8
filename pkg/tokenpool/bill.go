package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// settle bills a reservation for the used tokens, but at most for the reserved ones. The call is completed once the
// bill is durable.
func (m *stateMachine) settle(now time.Time, call, id uint64, used budget.Tokens) {
	r, ok := m.reservations[id]
	if !ok || m.closed {
		m.complete(call, budget.Reservation{}, notBilledFailure("the reservation is not open"))
		return
	}
	m.removeReservation(r)
	if used > r.tokens {
		m.excess += used - r.tokens
	}
	used = min(max(used, 0), r.tokens)
	a := r.account
	a.free += r.tokens - used
	key := billKey{organisation: a.id.Organisation, key: r.request.IdempotencyKey}
	if b, ok := m.bills[key]; ok {
		// Another attempt of the same request was already billed by this router, so this one is free.
		a.free += used
		r.span.end(now)
		m.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: a.id}, false)
		m.addBillCall(b, call)
	} else {
		m.addBill(now, &bill{key: key, reservation: r.id, account: a, tokens: used, span: r.span, createdAt: now, calls: []uint64{call}})
	}
	m.serveWaiting(now, a)
}

// addBillCall makes the call wait until the bill is durable.
func (m *stateMachine) addBillCall(b *bill, call uint64) {
	if b.durable {
		m.complete(call, budget.Reservation{}, nil)
		return
	}
	m.pendingCalls[call] = pendingCall{bill: b}
	b.calls = append(b.calls, call)
}

func (m *stateMachine) removeBillCall(b *bill, call uint64) {
	for i, waiting := range b.calls {
		if waiting == call {
			b.calls = append(b.calls[:i:i], b.calls[i+1:]...)
			return
		}
	}
}

// addBill records a bill in the journal and queues it for the ledger.
func (m *stateMachine) addBill(now time.Time, b *bill) {
	a := b.account
	q := m.ledgerQueueFor(a.id.Organisation)
	if len(a.unflushed) == 0 {
		q.unflushedAccounts = append(q.unflushedAccounts, a)
	}
	if q.unflushedBills == 0 {
		q.oldestBillAt = now
	}
	q.unflushedBills++
	a.billed += b.tokens
	a.unflushed = append(a.unflushed, b)
	m.bills[b.key] = b
	for _, call := range b.calls {
		m.pendingCalls[call] = pendingCall{bill: b}
	}
	b.seq = m.log.Add(now, b.journalEntry(), true).Seq
	m.awaitingAck[b.seq] = ackHandler{run: func(time.Time) { m.markDurable(b) }}
	m.flush(now, a.id.Organisation)
}

// markDurable completes the calls that wait for the bill.
func (m *stateMachine) markDurable(b *bill) {
	b.durable = true
	delete(m.awaitingAck, b.seq)
	for _, call := range b.calls {
		m.complete(call, budget.Reservation{}, nil)
	}
	b.calls = nil
}

// handleSettleResult handles the result of a settle operation.
func (m *stateMachine) handleSettleResult(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	m.log.MarkSettled(now, a.id.Organisation, p.flushEntry.Seq)
	delete(m.settleEntries, p.op.ID)
	m.ledgerQueueFor(a.id.Organisation).unconfirmedSettles--
	switch result.Code {
	case budget.CodeOK:
	case budget.CodeFull:
		m.requeueBills(now, a, p.bills)
		return
	default:
		// The grant no longer covers the bills, because an operator has released it.
		m.close()
		return
	}
	duplicates := map[string]bool{}
	for _, key := range result.Duplicates {
		duplicates[key] = true
	}
	for _, b := range p.bills {
		a.billed -= b.tokens
		if duplicates[b.key.key] {
			a.free += b.tokens
		} else {
			a.granted -= b.tokens
		}
		b.span.end(now)
		m.log.MarkSettled(now, a.id.Organisation, b.seq)
		m.markDurable(b)
		delete(m.bills, b.key)
	}
}

// requeueBills puts bills back in front of the unflushed ones because the ledger shard had no room for their records.
// They are sent again after RetryInterval.
func (m *stateMachine) requeueBills(now time.Time, a *account, bills []*bill) {
	q := m.ledgerQueueFor(a.id.Organisation)
	if len(a.unflushed) == 0 {
		q.unflushedAccounts = append(q.unflushedAccounts, a)
	}
	a.unflushed = append(bills, a.unflushed...)
	q.unflushedBills += len(bills)
	q.retryAt = now.Add(m.settings.RetryInterval)
}
