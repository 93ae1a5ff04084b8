package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// settle bills a reservation; the call is completed once the bill is durable.
func (c *stateMachine) settle(now time.Time, call, id uint64, used budget.Tokens) {
	r, ok := c.reservations[id]
	if !ok || c.closed {
		c.complete(call, budget.Reservation{}, notBilled("the reservation is not open"))
		return
	}
	c.end(r)
	if used > r.tokens {
		c.excess += used - r.tokens
	}
	used = min(max(used, 0), r.tokens)
	a := r.account
	a.free += r.tokens - used
	key := billKey{organisation: a.id.Organisation, key: r.request.IdempotencyKey}
	if b, ok := c.bills[key]; ok {
		// Another attempt of the same request was billed here; this one costs nothing.
		a.free += used
		r.span.end(now)
		c.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: a.id}, false)
		c.join(b, call)
	} else {
		c.bill(now, &bill{key: key, reservation: r.id, account: a, tokens: used, span: r.span, at: now, calls: []uint64{call}})
	}
	c.serve(now, a)
}

func (c *stateMachine) join(b *bill, call uint64) {
	if b.durable {
		c.complete(call, budget.Reservation{}, nil)
		return
	}
	c.callers[call] = caller{bill: b}
	b.calls = append(b.calls, call)
}

func (c *stateMachine) leave(b *bill, call uint64) {
	for i, waiting := range b.calls {
		if waiting == call {
			b.calls = append(b.calls[:i:i], b.calls[i+1:]...)
			return
		}
	}
}

func (c *stateMachine) bill(now time.Time, b *bill) {
	a := b.account
	f := c.flushOf(a.id.Organisation)
	if len(a.unflushed) == 0 {
		f.billed = append(f.billed, a)
	}
	if f.bills == 0 {
		f.firstBill = now
	}
	f.bills++
	a.billed += b.tokens
	a.unflushed = append(a.unflushed, b)
	c.bills[b.key] = b
	for _, call := range b.calls {
		c.callers[call] = caller{bill: b}
	}
	b.seq = c.log.Add(now, b.entry(), true).Seq
	c.awaiting[b.seq] = ack{then: func(time.Time) { c.durable(b) }}
	c.flush(now, a.id.Organisation)
}

// durable completes the calls that wait for the bill.
func (c *stateMachine) durable(b *bill) {
	b.durable = true
	delete(c.awaiting, b.seq)
	for _, call := range b.calls {
		c.complete(call, budget.Reservation{}, nil)
	}
	b.calls = nil
}

// settled takes the ledger's answer to a settle operation.
func (c *stateMachine) settled(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	c.log.MarkSettled(now, a.id.Organisation, p.flush.Seq)
	delete(c.flushing, p.op.ID)
	c.flushOf(a.id.Organisation).settling--
	switch result.Code {
	case budget.CodeOK:
	case budget.CodeFull:
		c.unsettled(now, a, p.bills)
		return
	default:
		// The grant no longer covers the bills: an operator has released it.
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
		c.durable(b)
		delete(c.bills, b.key)
	}
}

func (c *stateMachine) unsettled(now time.Time, a *account, bills []*bill) {
	f := c.flushOf(a.id.Organisation)
	if len(a.unflushed) == 0 {
		f.billed = append(f.billed, a)
	}
	a.unflushed = append(bills, a.unflushed...)
	f.bills += len(bills)
	f.retryAt = now.Add(c.settings.RetryInterval)
}
