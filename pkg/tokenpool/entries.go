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

func (m *stateMachine) sortedReservations() []*reservation {
	out := make([]*reservation, 0, len(m.reservations))
	for _, r := range m.reservations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *reservation) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (m *stateMachine) sortedBills() []*bill {
	out := make([]*bill, 0, len(m.bills))
	for _, b := range m.bills {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *bill) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// openEntries returns the entries that every witness must have a copy of, ordered by sequence number.
func (m *stateMachine) openEntries() []journal.Entry {
	var out []journal.Entry
	for _, r := range m.reservations {
		out = append(out, r.journalEntry())
	}
	for _, b := range m.bills {
		out = append(out, b.journalEntry())
	}
	for _, e := range m.settleEntries {
		out = append(out, e)
	}
	for _, t := range m.transfers {
		if t.seq > 0 {
			out = append(out, t.journalEntry())
		}
	}
	slices.SortFunc(out, func(a, b journal.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// collectAppends adds the messages to witnesses, and a change of the instance record that is due, to the effects.
func (m *stateMachine) collectAppends(now time.Time) {
	if m.closed {
		return
	}
	m.out.appends = append(m.out.appends, m.log.Next(now)...)
	if set, ok := m.log.ReadyToRecord(); ok {
		m.out.witnessChange, m.out.hasWitnessChange = set, true
	}
}

// handleAppendAnswer handles the answer of a witness to an append.
func (m *stateMachine) handleAppendAnswer(now time.Time, a journal.Append, code journal.Code, err error) {
	acked, closed := m.log.HandleAnswer(now, a.Witness, a.Number, code, err)
	if closed {
		m.close()
	}
	if m.closed {
		return
	}
	for _, e := range acked {
		if handler, ok := m.awaitingAck[e.Seq]; ok {
			delete(m.awaitingAck, e.Seq)
			handler.run(now)
		}
	}
	for _, q := range m.pendingQueues {
		m.flush(now, q.organisation)
	}
}

// handleWitnessChange handles the outcome of a change of the instance record. If the record shows that the instance is
// being closed, the state machine closes it.
func (m *stateMachine) handleWitnessChange(now time.Time, ok, closed bool) {
	if closed {
		m.close()
		return
	}
	m.log.FinishChange(ok)
	if !m.log.RequiresWitnessAck() {
		for _, seq := range slices.Sorted(maps.Keys(m.awaitingAck)) {
			if handler, ok := m.awaitingAck[seq]; ok && handler.runWithoutWitnesses {
				delete(m.awaitingAck, seq)
				handler.run(now)
			}
		}
	}
	for _, q := range m.pendingQueues {
		m.flush(now, q.organisation)
	}
}
