package tokenpool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

func (r *reservation) entry() journal.Entry {
	return journal.Entry{
		Seq: r.seq, Kind: journal.Reserve, Reservation: r.id, Budget: r.account.id,
		Key: r.request.IdempotencyKey, Tokens: r.tokens,
	}
}

func (b *bill) entry() journal.Entry {
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

// openEntries returns all that a witness must know.
func (c *stateMachine) openEntries() []journal.Entry {
	var out []journal.Entry
	for _, r := range c.reservations {
		out = append(out, r.entry())
	}
	for _, b := range c.bills {
		out = append(out, b.entry())
	}
	for _, e := range c.flushing {
		out = append(out, e)
	}
	for _, m := range c.moves {
		if m.seq > 0 {
			out = append(out, m.entry())
		}
	}
	slices.SortFunc(out, func(a, b journal.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// send collects the messages to witnesses and a due change of the instance record.
func (c *stateMachine) send(now time.Time) {
	if c.closed {
		return
	}
	c.out.appends = append(c.out.appends, c.log.Next(now)...)
	if set, ok := c.log.ReadyToRecord(); ok {
		c.out.record, c.out.recordSet = set, true
	}
}

// appended takes the answer of a witness.
func (c *stateMachine) appended(now time.Time, a journal.Append, code journal.Code, err error) {
	acked, closed := c.log.HandleAnswer(now, a.Witness, a.Number, code, err)
	if closed {
		c.close()
	}
	if c.closed {
		return
	}
	for _, e := range acked {
		if done, ok := c.awaiting[e.Seq]; ok {
			delete(c.awaiting, e.Seq)
			done.then(now)
		}
	}
	for _, f := range c.busy {
		c.flush(now, f.organisation)
	}
}

// rewitnessed takes the outcome of a change of the instance record. An instance that was closed meanwhile ends.
func (c *stateMachine) rewitnessed(now time.Time, ok, closed bool) {
	if closed {
		c.close()
		return
	}
	c.log.FinishChange(ok)
	if !c.log.RequiresWitnessAck() {
		for _, seq := range slices.Sorted(maps.Keys(c.awaiting)) {
			if done, ok := c.awaiting[seq]; ok && done.plain {
				delete(c.awaiting, seq)
				done.then(now)
			}
		}
	}
	for _, f := range c.busy {
		c.flush(now, f.organisation)
	}
}
