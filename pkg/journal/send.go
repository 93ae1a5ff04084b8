package journal

import (
	"errors"
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
	out = l.entries(now, out)
	out = l.cleaning(now, out)
	return l.probes(now, out)
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

// full returns a message with all that is open.
func (l *Log) full() message {
	return message{append: Append{Through: l.seq, Entries: l.open(), Marks: l.dueMarks(true)}, full: true}
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
			out = append(out, l.send(now, k, l.full()))
		}
	}
	return out
}

// entries sends the pending entries to the preferred witness, and to the other one if that does not answer.
func (l *Log) entries(now time.Time, out []Append) []Append {
	marks := l.dueMarks(false)
	if len(l.pending) == 0 && len(marks) == 0 {
		l.pendingSince, l.urgent = time.Time{}, false
		return out
	}
	if !l.urgent && now.Sub(l.pendingSince) < l.timing.Idle {
		return out
	}
	for _, ref := range l.reliance() {
		k := l.links[ref.Router]
		if k.ready(now) && (!k.suspect || l.allSuspect()) {
			l.useTarget(ref.Router)
			n := min(len(l.pending), maxEntries)
			entries := append([]Entry(nil), l.pending[:n]...)
			return append(out, l.send(now, k, message{append: Append{Entries: entries, Marks: marks}}))
		}
		if k.inFlight != nil && now.Sub(k.inFlight.sentAt) < l.timing.Fallback {
			return out
		}
	}
	return out
}

func (l *Log) allSuspect() bool {
	for _, ref := range l.reliance() {
		if k := l.links[ref.Router]; !k.suspect && !k.lost {
			return false
		}
	}
	return true
}

func (l *Log) useTarget(router string) {
	if l.target != "" && l.target != router {
		l.spread = true
	}
	l.target = router
}

// cleaning gives the current witness all that is open, so that the others can drop their entries.
func (l *Log) cleaning(now time.Time, out []Append) []Append {
	if l.spread && l.change == nil && !now.Before(l.cleanAt) && l.relies(l.target) {
		if k := l.links[l.target]; k.ready(now) && !k.suspect {
			l.cleanAt = now.Add(l.timing.Clean)
			out = append(out, l.send(now, k, l.full()))
		}
	}
	for _, ref := range l.reliance() {
		if k := l.links[ref.Router]; k.clear > k.cleared && k.ready(now) {
			out = append(out, l.send(now, k, message{append: Append{Through: k.clear}}))
		}
	}
	return out
}

// probes finds out whether a witness that failed answers again.
func (l *Log) probes(now time.Time, out []Append) []Append {
	for _, ref := range l.reliance() {
		if k := l.links[ref.Router]; k.suspect && k.ready(now) {
			out = append(out, l.send(now, k, message{}))
		}
	}
	return out
}

// Answered takes the answer to a message and returns the entries that it has acknowledged, in order. It reports
// closed if the instance has been closed.
func (l *Log) Answered(now time.Time, witness string, number uint64, code Code, err error) (acked []Entry, closed bool) {
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
		return l.stored(now, k, m), false
	}
	return nil, false
}

func (l *Log) fail(now time.Time, k *link) {
	if !k.suspect {
		k.failing = now
	}
	k.suspect = true
	k.retryAt = now.Add(l.timing.Retry)
}

func (l *Log) stored(now time.Time, k *link, m *message) []Entry {
	k.cleared = max(k.cleared, m.append.Through)
	if l.change != nil && m.full && m.append.Number > l.change.after {
		l.change.join(k.ref.Router)
	}
	if !l.relies(k.ref.Router) {
		return nil
	}
	for _, mark := range m.append.Marks {
		lane := &l.lanes[mark.Lane]
		lane.recorded = max(lane.recorded, mark.Seq)
	}
	if m.full {
		l.cleaned(k, m.append.Through)
	}
	acked := l.acknowledge(m)
	if len(l.pending) > 0 {
		l.pendingSince = now
	}
	return acked
}

// cleaned lets the other witnesses drop what the current one has.
func (l *Log) cleaned(k *link, through uint64) {
	if k.ref.Router != l.target {
		return
	}
	l.spread = false
	for _, ref := range l.reliance() {
		if ref.Router != l.target {
			l.links[ref.Router].clear = through
		}
	}
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
