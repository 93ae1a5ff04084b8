package journal

import (
	"slices"
	"time"
)

// Ref names a witness.
type Ref struct {
	// Router is the router instance that keeps the copy.
	Router string `json:"router"`
	// Address is the IP address and port of its peer API.
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}

// Timing are the intervals of a Log. Zero values are replaced by the defaults.
type Timing struct {
	// Retry is the time after which a witness that failed is tried again.
	Retry time.Duration
	// Idle is the longest time that entries which nobody waits for, and marks, are held back.
	Idle time.Duration
}

func (t Timing) withDefaults() Timing {
	setDuration(&t.Retry, time.Second)
	setDuration(&t.Idle, 100*time.Millisecond)
	return t
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// maxEntries bounds the entries of an incremental message.
const maxEntries = 1024

// Log is an instance's side of its journal. It is not safe for concurrent use.
//
// Every entry is sent to all witnesses, in order, and is acknowledged once any witness on which the instance relies
// has stored it. The instance relies on the witnesses that every possible version of its instance record names: while
// the record is being changed, these are the witnesses in both the former and the new set. An entry waits only
// for the message in flight to a witness, so a witness that answers has it within two round trips: that of this message
// and its own. The death of the instance together with one witness can lose only what that witness alone acknowledged
// within this time. A witness that failed gets all that is open once it answers again.
type Log struct {
	timing   Timing
	instance string
	// open returns all open reservations, and all bills, flushes and transfers that the ledger does not have.
	open func() []Entry

	seq uint64
	// number is the number of the last message to any witness; it also increases across a removal and a return of a
	// witness.
	number uint64
	// pending lists the entries that are not acknowledged.
	pending []Entry

	links  map[string]*link
	set    []Ref
	change *change
	lanes  [Lanes]laneLog
	closed bool
}

// link is the exchange with one witness.
type link struct {
	ref      Ref
	inFlight *message
	// suspect is set after a failure; retryAt is when the next message may be sent then.
	suspect bool
	lost    bool
	retryAt time.Time
	failing time.Time
	// backlog lists the entries that were not sent to the witness. It is empty while resync is set: the witness is
	// then to get all that is open, because a message to it may have been lost.
	backlog []Entry
	resync  bool
	// urgent is set if somebody waits for an entry of the backlog, and since is the time of its oldest entry or mark.
	urgent bool
	since  time.Time
	// behind is a time before which every entry is known to be stored by the witness; zero if all are.
	behind time.Time
	// marks are the marks that the witness has, and marksDue is set if it may lack one.
	marks    [Lanes]uint64
	marksDue bool
}

// message is a message in flight.
type message struct {
	append Append
	sentAt time.Time
	// full is set if the message holds all that is open up to its Through.
	full bool
	// rest is set if entries of the backlog were left for the next message.
	rest bool
}

// change is a change of the witnesses in progress.
type change struct {
	set []Ref
	// full tells of each new witness whether it has all that was open.
	full map[string]bool
	// covered is set once any witness of the new set has all that was open.
	covered bool
	// after is the number of the last message before the change.
	after uint64
	// recording is set once the instance record may have been changed.
	recording bool
}

// NewLog returns the log of an instance whose record names the witnesses, in the order of preference.
func NewLog(instance string, witnesses []Ref, timing Timing, open func() []Entry) *Log {
	l := &Log{timing: timing.withDefaults(), instance: instance, open: open, links: map[string]*link{}, set: witnesses}
	for _, ref := range witnesses {
		l.links[ref.Router] = &link{ref: ref}
	}
	return l
}

// RequiresWitnessAck reports whether entries must be acknowledged by a witness. Without witnesses, bills are durable once
// the ledger has them.
func (l *Log) RequiresWitnessAck() bool { return len(l.set) > 0 }

// Witnesses returns the recorded witnesses.
func (l *Log) Witnesses() []Ref { return l.set }

// Add queues an entry and returns it with its position. Urgent entries are sent at once.
func (l *Log) Add(now time.Time, e Entry, urgent bool) Entry {
	l.seq++
	e.Seq = l.seq
	if e.settles() {
		l.lanes[LaneOf(e.Budget.Organisation)].add(e.Seq)
	}
	if l.RequiresWitnessAck() || l.change != nil {
		l.pending = append(l.pending, e)
	}
	for _, k := range l.links {
		if l.mirrored(k) {
			k.add(now, e, urgent)
		}
	}
	return e
}

// mirrored reports whether the witness is to get every entry: the record names it, or may soon do so and the witness
// has been sent all that was open.
func (l *Log) mirrored(k *link) bool {
	switch {
	case k.lost:
		return false
	case l.isRecorded(k.ref.Router):
		return true
	}
	return l.change != nil && (l.change.full[k.ref.Router] || k.inFlight != nil && k.inFlight.full)
}

func (k *link) add(now time.Time, e Entry, urgent bool) {
	k.wait(now)
	k.urgent = k.urgent || urgent
	if k.behind.IsZero() {
		k.behind = now
	}
	if !k.resync {
		k.backlog = append(k.backlog, e)
	}
}

func (k *link) wait(now time.Time) {
	if k.since.IsZero() {
		k.since = now
	}
}

// LaggingSince returns the time before which every witness has stored every entry, and reports whether one of them lacks
// any. A bill that the ledger settled after this time may be open in the copy of a witness that lags.
func (l *Log) LaggingSince() (since time.Time, ok bool) {
	for _, k := range l.links {
		if l.mirrored(k) && !k.behind.IsZero() && (!ok || k.behind.Before(since)) {
			since, ok = k.behind, true
		}
	}
	return since, ok
}

// MarkSettled records that the ledger has the entry.
func (l *Log) MarkSettled(now time.Time, organisation string, seq uint64) {
	lane := &l.lanes[LaneOf(organisation)]
	before := lane.mark
	lane.settle(seq)
	if lane.mark == before {
		return
	}
	for _, k := range l.links {
		if l.mirrored(k) {
			k.marksDue = true
			k.wait(now)
		}
	}
}

// reliance returns the witnesses that every possible version of the record names.
func (l *Log) reliance() []Ref {
	if l.change == nil {
		return l.set
	}
	var both []Ref
	for _, ref := range l.set {
		if slices.ContainsFunc(l.change.set, func(r Ref) bool { return r.Router == ref.Router }) {
			both = append(both, ref)
		}
	}
	return both
}

func (l *Log) relies(router string) bool {
	return slices.ContainsFunc(l.reliance(), func(r Ref) bool { return r.Router == router })
}

// dueMarks returns the marks that the witness lacks.
func (l *Log) dueMarks(k *link) []Mark {
	if !k.marksDue {
		return nil
	}
	var marks []Mark
	for i := range l.lanes {
		if mark := l.lanes[i].mark; mark > k.marks[i] {
			marks = append(marks, Mark{Lane: uint32(i), Seq: mark})
		}
	}
	k.marksDue = len(marks) > 0
	return marks
}

func (l *Log) allMarks() []Mark {
	var marks []Mark
	for i := range l.lanes {
		if mark := l.lanes[i].mark; mark > 0 {
			marks = append(marks, Mark{Lane: uint32(i), Seq: mark})
		}
	}
	return marks
}

// urgency divides the time after which a witness counts as failing if no witness answers.
const urgency = 3

// FailingWitnesses returns the recorded witnesses that have restarted or have not answered for the given time, or for a
// part of it if none answers.
func (l *Log) FailingWitnesses(now time.Time, d time.Duration) []Ref {
	if l.allSuspect() {
		d /= urgency
	}
	since := now.Add(-d)
	var out []Ref
	for _, ref := range l.set {
		k := l.links[ref.Router]
		if k.lost || k.suspect && !k.failing.After(since) {
			out = append(out, ref)
		}
	}
	return out
}
