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
	out = l.joiners(now, out)
	return l.entries(now, out)
}

// ready reports whether a message may be sent to the witness.
func (k *link) ready(now time.Time) bool {
	return k.inFlight == nil && !k.lost && (!k.suspect || !now.Before(k.retryAt))
}

func (l *Log) send(now time.Time, k *link, m message) Append {
	l.number++
	m.append.Instance, m.append.Witness, m.append.Address, m.append.Number = l.instance, k.ref.Router, k.ref.Address, l.number
	m.sentAt = now
	k.inFlight = &m
	return m.append
}

// sendFull sends all that is open in place of what the witness lacks.
func (l *Log) sendFull(now time.Time, k *link) Append {
	k.backlog, k.resync, k.urgent, k.since = nil, false, false, time.Time{}
	return l.send(now, k, message{append: Append{Through: l.seq, Entries: l.open(), Marks: l.allMarks()}, full: true})
}

// lose makes the next message hold all that is open.
func (k *link) lose() {
	k.backlog, k.resync = nil, true
}

// joiners sends all that is open to new witnesses before the record names them.
func (l *Log) joiners(now time.Time, out []Append) []Append {
	if l.change == nil || l.change.recording {
		return out
	}
	for _, ref := range l.change.set {
		k := l.links[ref.Router]
		full, joining := l.change.full[ref.Router]
		if !full && (joining || len(l.change.full) == 0 && !l.change.covered) && k.ready(now) {
			out = append(out, l.sendFull(now, k))
		}
	}
	return out
}

// entries sends to every witness what it lacks.
func (l *Log) entries(now time.Time, out []Append) []Append {
	refs := l.set
	if l.change != nil {
		refs = slices.Concat(l.set, l.change.set)
	}
	for _, ref := range refs {
		k := l.links[ref.Router]
		if !l.mirrored(k) || !k.ready(now) {
			continue
		}
		switch {
		case k.suspect && (len(l.pending) == 0 || !l.allSuspect()):
			// Finds out whether the witness answers again, without the cost of all that is open.
			out = append(out, l.send(now, k, message{}))
		case k.resync:
			out = append(out, l.sendFull(now, k))
		default:
			out = l.increment(now, k, out)
		}
	}
	return out
}

// increment sends the backlog of a witness, if it is urgent or was held back for long enough.
func (l *Log) increment(now time.Time, k *link, out []Append) []Append {
	marks := l.dueMarks(k)
	if len(k.backlog) == 0 && len(marks) == 0 {
		k.since, k.urgent = time.Time{}, false
		return out
	}
	if !k.urgent && now.Sub(k.since) < l.timing.Idle {
		return out
	}
	n := min(len(k.backlog), maxEntries)
	entries := slices.Clone(k.backlog[:n])
	k.backlog = slices.Clone(k.backlog[n:])
	rest := len(k.backlog) > 0
	k.since = now
	if !rest {
		k.since, k.urgent = time.Time{}, false
	}
	return append(out, l.send(now, k, message{append: Append{Entries: entries, Marks: marks}, rest: rest}))
}

func (l *Log) allSuspect() bool {
	for _, ref := range l.reliance() {
		if k := l.links[ref.Router]; !k.suspect && !k.lost {
			return false
		}
	}
	return true
}

// HandleAnswer takes the answer to a message and returns the entries that it has acknowledged, in order. It reports
// closed if the instance has been closed.
func (l *Log) HandleAnswer(now time.Time, witness string, number uint64, code Code, err error) (acked []Entry, closed bool) {
	k, ok := l.links[witness]
	if !ok || k.inFlight == nil || k.inFlight.append.Number != number {
		return nil, false
	}
	m := k.inFlight
	k.inFlight = nil
	switch {
	case err != nil || code == Stale:
		l.fail(now, k)
	case code == NotWitness:
		k.lost = true
	case code == Closed:
		l.closed = true
		return nil, true
	default:
		k.suspect, k.failing = false, time.Time{}
		return l.stored(k, m), false
	}
	return nil, false
}

func (l *Log) fail(now time.Time, k *link) {
	if !k.suspect {
		k.failing = now
	}
	k.suspect = true
	k.lose()
	k.retryAt = now.Add(l.timing.Retry)
}

func (l *Log) stored(k *link, m *message) []Entry {
	switch {
	case k.resync:
	case len(k.backlog) == 0:
		k.behind = time.Time{}
	case !m.rest:
		k.behind = m.sentAt
	}
	for _, mark := range m.append.Marks {
		k.marks[mark.Lane] = max(k.marks[mark.Lane], mark.Seq)
	}
	if l.change != nil && m.full && m.append.Number > l.change.after {
		l.change.join(k.ref.Router)
	}
	if !l.relies(k.ref.Router) {
		return nil
	}
	return l.acknowledge(m)
}

func (l *Log) acknowledge(m *message) []Entry {
	stored := map[uint64]bool{}
	for _, e := range m.append.Entries {
		stored[e.Seq] = true
	}
	var acked, rest []Entry
	for _, e := range l.pending {
		if stored[e.Seq] || m.full && e.Seq <= m.append.Through {
			acked = append(acked, e)
		} else {
			rest = append(rest, e)
		}
	}
	l.pending = rest
	return acked
}
