package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// settle bills a reservation for the used tokens, but at most for the reserved ones. The call is completed once the bill
// is durable.
func (c *stateMachine) settle(now time.Time, call, id uint64, used budget.Tokens) {
	r, ok := c.reservations[id]
	if !ok || c.closed {
		c.complete(call, budget.Reservation{}, notBilledFailure("the reservation is not open"))
		return
	}
	c.removeReservation(r)
	if used > r.tokens {
		c.excess += used - r.tokens
	}
	used = min(max(used, 0), r.tokens)
	a := r.account
	a.free += r.tokens - used
	key := billKey{organisation: a.id.Organisation, key: r.request.IdempotencyKey}
	if b, ok := c.bills[key]; ok {
		// Another attempt of the same request was already billed by this router, so this one is free.
		a.free += used
		r.span.end(now)
		c.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: a.id}, false)
		c.addBillCall(b, call)
	} else {
		c.addBill(now, &bill{key: key, reservation: r.id, account: a, tokens: used, span: r.span, createdAt: now, calls: []uint64{call}})
	}
	c.serveWaiting(now, a)
}

// addBillCall makes the call wait until the bill is durable.
func (c *stateMachine) addBillCall(b *bill, call uint64) {
	if b.durable {
		c.complete(call, budget.Reservation{}, nil)
		return
	}
	c.pendingCalls[call] = pendingCall{bill: b}
	b.calls = append(b.calls, call)
}

func (c *stateMachine) removeBillCall(b *bill, call uint64) {
	for i, waiting := range b.calls {
		if waiting == call {
			b.calls = append(b.calls[:i:i], b.calls[i+1:]...)
			return
		}
	}
}

// addBill records a bill in the journal and queues it for the ledger.
func (c *stateMachine) addBill(now time.Time, b *bill) {
	a := b.account
	q := c.ledgerQueueFor(a.id.Organisation)
	if len(a.unflushed) == 0 {
		q.unflushedAccounts = append(q.unflushedAccounts, a)
	}
	if q.unflushedBills == 0 {
		q.oldestBillAt = now
	}
	q.unflushedBills++
	a.billed += b.tokens
	a.unflushed = append(a.unflushed, b)
	c.bills[b.key] = b
	for _, call := range b.calls {
		c.pendingCalls[call] = pendingCall{bill: b}
	}
	b.seq = c.log.Add(now, b.journalEntry(), true).Seq
	c.awaitingAck[b.seq] = ackHandler{run: func(time.Time) { c.markDurable(b) }}
	c.flush(now, a.id.Organisation)
}

// markDurable completes the calls that wait for the bill.
func (c *stateMachine) markDurable(b *bill) {
	b.durable = true
	delete(c.awaitingAck, b.seq)
	for _, call := range b.calls {
		c.complete(call, budget.Reservation{}, nil)
	}
	b.calls = nil
}

// handleSettleResult handles the result of a settle operation.
func (c *stateMachine) handleSettleResult(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	c.log.MarkSettled(now, a.id.Organisation, p.flushEntry.Seq)
	delete(c.settleEntries, p.op.ID)
	c.ledgerQueueFor(a.id.Organisation).unconfirmedSettles--
	switch result.Code {
	case budget.CodeOK:
	case budget.CodeFull:
		c.requeueBills(now, a, p.bills)
		return
	default:
		// The grant no longer covers the bills, because an operator has released it.
		c.close()
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
		c.log.MarkSettled(now, a.id.Organisation, b.seq)
		c.markDurable(b)
		delete(c.bills, b.key)
	}
}

// requeueBills puts bills back in front of the unflushed ones because the ledger shard had no room for their records.
// They are sent again after RetryInterval.
func (c *stateMachine) requeueBills(now time.Time, a *account, bills []*bill) {
	q := c.ledgerQueueFor(a.id.Organisation)
	if len(a.unflushed) == 0 {
		q.unflushedAccounts = append(q.unflushedAccounts, a)
	}
	a.unflushed = append(bills, a.unflushed...)
	q.unflushedBills += len(bills)
	q.retryAt = now.Add(c.settings.RetryInterval)
}
