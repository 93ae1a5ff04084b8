package tokenpool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

func (r *reservation) journalEntry() journal.Entry {
	return journal.Entry{
		Seq: r.seq, Kind: journal.Reserve, Reservation: r.id, Budget: r.account.id,
		Key: r.request.IdempotencyKey, Tokens: r.tokens,
	}
}

func (b *bill) journalEntry() journal.Entry {
	return journal.Entry{
		Seq: b.seq, Kind: journal.Bill, Reservation: b.reservation, Budget: b.account.id, Key: b.key.key, Tokens: b.tokens,
	}
}

func (c *stateMachine) sortedReservations() []*reservation {
	out := make([]*reservation, 0, len(c.reservations))
	for _, r := range c.reservations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *reservation) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (c *stateMachine) sortedBills() []*bill {
	out := make([]*bill, 0, len(c.bills))
	for _, b := range c.bills {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *bill) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// openEntries returns the entries that every witness must have a copy of, ordered by sequence number.
func (c *stateMachine) openEntries() []journal.Entry {
	var out []journal.Entry
	for _, r := range c.reservations {
		out = append(out, r.journalEntry())
	}
	for _, b := range c.bills {
		out = append(out, b.journalEntry())
	}
	for _, e := range c.settleEntries {
		out = append(out, e)
	}
	for _, t := range c.transfers {
		if t.seq > 0 {
			out = append(out, t.journalEntry())
		}
	}
	slices.SortFunc(out, func(a, b journal.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// collectAppends adds the messages to witnesses, and a change of the instance record that is due, to the effects.
func (c *stateMachine) collectAppends(now time.Time) {
	if c.closed {
		return
	}
	c.out.appends = append(c.out.appends, c.log.Next(now)...)
	if set, ok := c.log.ReadyToRecord(); ok {
		c.out.witnessChange, c.out.hasWitnessChange = set, true
	}
}

// handleAppendAnswer handles the answer of a witness to an append.
func (c *stateMachine) handleAppendAnswer(now time.Time, a journal.Append, code journal.Code, err error) {
	acked, closed := c.log.HandleAnswer(now, a.Witness, a.Number, code, err)
	if closed {
		c.close()
	}
	if c.closed {
		return
	}
	for _, e := range acked {
		if handler, ok := c.awaitingAck[e.Seq]; ok {
			delete(c.awaitingAck, e.Seq)
			handler.run(now)
		}
	}
	for _, q := range c.pendingQueues {
		c.flush(now, q.organisation)
	}
}

// handleWitnessChange handles the outcome of a change of the instance record. If the record shows that the instance is
// being closed, the state machine closes it.
func (c *stateMachine) handleWitnessChange(now time.Time, ok, closed bool) {
	if closed {
		c.close()
		return
	}
	c.log.FinishChange(ok)
	if !c.log.RequiresWitnessAck() {
		for _, seq := range slices.Sorted(maps.Keys(c.awaitingAck)) {
			if handler, ok := c.awaitingAck[seq]; ok && handler.runWithoutWitnesses {
				delete(c.awaitingAck, seq)
				handler.run(now)
			}
		}
	}
	for _, q := range c.pendingQueues {
		c.flush(now, q.organisation)
	}
}
