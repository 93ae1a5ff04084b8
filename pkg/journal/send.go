package journal

import (
	"errors"
	"slices"
	"time"
)

// ErrUnreachable means that a witness did not answer. The message may have been stored.
var ErrUnreachable = errors.New("journal: witness not reachable")

// ErrNotWitness means that the callee is not the named witness, for example because it has restarted.
var ErrNotWitness = errors.New("journal: not the named witness")

// Next returns the messages that are to be sent now. At most one message per witness is in flight.
func (l *Log) Next(now time.Time) []Append {
	if l.closed {
		return nil
	}
	var out []Append
	out = l.appendSyncMessages(now, out)
	return l.appendDueMessages(now, out)
}

// canSend reports whether a message may be sent to the witness.
func (k *link) canSend(now time.Time) bool {
	return k.inFlight == nil && !k.notWitness && (!k.suspect || !now.Before(k.retryAt))
}

// prepare numbers a message, records it as in flight and returns it.
func (l *Log) prepare(now time.Time, k *link, m message) Append {
	l.number++
	m.append.Instance, m.append.Witness, m.append.Address, m.append.Number = l.instance, k.ref.Router, k.ref.Address, l.number
	m.sentAt = now
	k.inFlight = &m
	return m.append
}

// prepareFull prepares a message with all open entries, which replaces the backlog.
func (l *Log) prepareFull(now time.Time, k *link) Append {
	k.backlog, k.resync, k.urgent, k.waitingSince = nil, false, false, time.Time{}
	return l.prepare(now, k, message{append: Append{Through: l.seq, Entries: l.openEntries(), Marks: l.allMarks()}, full: true})
}

// requireResync drops the backlog, so that the witness is sent all open entries instead.
func (k *link) requireResync() {
	k.backlog, k.resync = nil, true
}

// appendSyncMessages appends messages with all open entries to new witnesses that the record does not name yet. If the
// new set has no new witness, its witnesses are sent them until one has stored them.
func (l *Log) appendSyncMessages(now time.Time, out []Append) []Append {
	if l.change == nil || l.change.recording {
		return out
	}
	for _, ref := range l.change.witnesses {
		k := l.links[ref.Router]
		synced, isNew := l.change.synced[ref.Router]
		if !synced && (isNew || len(l.change.synced) == 0 && !l.change.anySynced) && k.canSend(now) {
			out = append(out, l.prepareFull(now, k))
		}
	}
	return out
}

// appendDueMessages appends the messages with the entries and marks that witnesses have not stored.
func (l *Log) appendDueMessages(now time.Time, out []Append) []Append {
	refs := l.witnesses
	if l.change != nil {
		refs = slices.Concat(l.witnesses, l.change.witnesses)
	}
	for _, ref := range refs {
		k := l.links[ref.Router]
		if !l.receivesEntries(k) || !k.canSend(now) {
			continue
		}
		switch {
		case k.suspect && (len(l.pending) == 0 || !l.allSuspect()):
			// An empty message checks whether the witness answers again, without the cost of sending all open entries.
			out = append(out, l.prepare(now, k, message{}))
		case k.resync:
			out = append(out, l.prepareFull(now, k))
		default:
			out = l.appendIncrement(now, k, out)
		}
	}
	return out
}

// appendIncrement appends a message with the backlog of a witness, if it is urgent or was held back for MaxDelay.
func (l *Log) appendIncrement(now time.Time, k *link, out []Append) []Append {
	marks := l.dueMarks(k)
	if len(k.backlog) == 0 && len(marks) == 0 {
		k.waitingSince, k.urgent = time.Time{}, false
		return out
	}
	if !k.urgent && now.Sub(k.waitingSince) < l.timing.MaxDelay {
		return out
	}
	n := min(len(k.backlog), maxEntriesPerMessage)
	entries := slices.Clone(k.backlog[:n])
	k.backlog = slices.Clone(k.backlog[n:])
	partial := len(k.backlog) > 0
	k.waitingSince = now
	if !partial {
		k.waitingSince, k.urgent = time.Time{}, false
	}
	return append(out, l.prepare(now, k, message{append: Append{Entries: entries, Marks: marks}, partial: partial}))
}

func (l *Log) allSuspect() bool {
	for _, ref := range l.reliedWitnesses() {
		if k := l.links[ref.Router]; !k.suspect && !k.notWitness {
			return false
		}
	}
	return true
}

// HandleAnswer processes the answer to a message and returns the entries that it acknowledges, in order. It reports
// closed if the instance was closed.
func (l *Log) HandleAnswer(now time.Time, witness string, number uint64, code Code, err error) (acked []Entry, closed bool) {
	k, ok := l.links[witness]
	if !ok || k.inFlight == nil || k.inFlight.append.Number != number {
		return nil, false
	}
	m := k.inFlight
	k.inFlight = nil
	switch {
	case err != nil || code == Stale:
		l.handleFailure(now, k)
	case code == NotWitness:
		k.notWitness = true
	case code == Closed:
		l.closed = true
		return nil, true
	default:
		k.suspect, k.failingSince = false, time.Time{}
		return l.handleStored(k, m), false
	}
	return nil, false
}

func (l *Log) handleFailure(now time.Time, k *link) {
	if !k.suspect {
		k.failingSince = now
	}
	k.suspect = true
	k.requireResync()
	k.retryAt = now.Add(l.timing.RetryInterval)
}

func (l *Log) handleStored(k *link, m *message) []Entry {
	switch {
	case k.resync:
	case len(k.backlog) == 0:
		k.laggingSince = time.Time{}
	case !m.partial:
		k.laggingSince = m.sentAt
	}
	for _, mark := range m.append.Marks {
		k.marks[mark.Lane] = max(k.marks[mark.Lane], mark.Seq)
	}
	if l.change != nil && m.full && m.append.Number > l.change.lastNumber {
		l.change.markSynced(k.ref.Router)
	}
	if !l.reliesOn(k.ref.Router) {
		return nil
	}
	return l.acknowledge(m)
}

func (l *Log) acknowledge(m *message) []Entry {
	stored := map[uint64]bool{}
	for _, e := range m.append.Entries {
		stored[e.Seq] = true
	}
	var acked, unacked []Entry
	for _, e := range l.pending {
		if stored[e.Seq] || m.full && e.Seq <= m.append.Through {
			acked = append(acked, e)
		} else {
			unacked = append(unacked, e)
		}
	}
	l.pending = unacked
	return acked
}
