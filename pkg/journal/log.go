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

// Timing holds the intervals of a Log. Zero values stand for the defaults.
type Timing struct {
	// RetryInterval is the time from the failure of a witness to the next message to it. The default is 1 s.
	RetryInterval time.Duration
	// MaxDelay is the longest delay of marks, and of entries for whose acknowledgement no caller waits. The default is
	// 100 ms.
	MaxDelay time.Duration
}

func (t Timing) withDefaults() Timing {
	setDuration(&t.RetryInterval, time.Second)
	setDuration(&t.MaxDelay, 100*time.Millisecond)
	return t
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// maxEntriesPerMessage bounds the entries of an incremental message.
const maxEntriesPerMessage = 1024

// Log is an instance's side of its journal. It is not safe for concurrent use.
//
// Every entry is sent to all witnesses, in order, and is acknowledged once any witness on which the instance relies
// has stored it. The instance relies on the witnesses that every possible version of its instance record names: while
// the record is being changed, these are the witnesses in both the previous and the new set. An entry waits only
// for the message in flight to a witness, so a witness that answers has it within two round trips: that of this message
// and its own. If the instance and one witness fail together, only entries that this witness alone acknowledged within
// this time can be lost. A witness that failed is sent all open entries once it answers again.
type Log struct {
	timing   Timing
	instance string
	// openEntries returns all open entries: open reservations, and the bills, flushes and transfers that the ledger does
	// not have.
	openEntries func() []Entry

	seq uint64
	// number is the number of the last message to any witness; it keeps increasing when a witness is removed and named
	// again.
	number uint64
	// pending lists the entries that are not acknowledged.
	pending []Entry

	links     map[string]*link
	witnesses []Ref
	change    *change
	lanes     [Lanes]laneLog
	closed    bool
}

// link is the state of the exchange with one witness.
type link struct {
	ref      Ref
	inFlight *message
	// suspect is set after a failure, until the witness stores a message; failingSince is the time of the first failure,
	// and no message is sent before retryAt.
	suspect bool
	// notWitness is set once the callee answered that it is not the named witness.
	notWitness   bool
	retryAt      time.Time
	failingSince time.Time
	// backlog lists the entries that were not sent to the witness. It is empty while resync is set: the witness is
	// then to be sent all open entries, because a message to it may have been lost.
	backlog []Entry
	resync  bool
	// urgent is set if a caller waits for the acknowledgement of an unsent entry. waitingSince is the time of the oldest
	// entry or mark that was not sent.
	urgent       bool
	waitingSince time.Time
	// laggingSince is a time before which the witness has stored every entry; zero if it has stored all entries.
	laggingSince time.Time
	// marks are the marks that the witness has stored, and marksDue is set if it may not have the latest ones.
	marks    [Lanes]uint64
	marksDue bool
}

// message is a message in flight.
type message struct {
	append Append
	sentAt time.Time
	// full is set if the message holds all open entries up to its Through.
	full bool
	// partial is set if entries of the backlog were left for the next message.
	partial bool
}

// change is a change of the witnesses in progress.
type change struct {
	witnesses []Ref
	// synced holds for each new witness whether it has stored a message with all open entries.
	synced map[string]bool
	// anySynced is set once any witness of the new set has stored such a message since the change began.
	anySynced bool
	// lastNumber is the number of the last message before the change.
	lastNumber uint64
	// recording is set once the instance record may name the new set.
	recording bool
}

// NewLog returns the log of an instance whose record names the witnesses, in order of preference. openEntries returns
// all open reservations, and all bills, flushes and transfers that the ledger does not have.
func NewLog(instance string, witnesses []Ref, timing Timing, openEntries func() []Entry) *Log {
	l := &Log{timing: timing.withDefaults(), instance: instance, openEntries: openEntries, links: map[string]*link{}, witnesses: witnesses}
	for _, ref := range witnesses {
		l.links[ref.Router] = &link{ref: ref}
	}
	return l
}

// RequiresWitnessAck reports whether entries must be acknowledged by a witness. Without witnesses, bills are durable once
// the ledger has them.
func (l *Log) RequiresWitnessAck() bool { return len(l.witnesses) > 0 }

// Witnesses returns the recorded witnesses.
func (l *Log) Witnesses() []Ref { return l.witnesses }

// Add queues an entry and returns it with its position. Urgent entries are sent without delay, because a caller waits for
// their acknowledgement.
func (l *Log) Add(now time.Time, e Entry, urgent bool) Entry {
	l.seq++
	e.Seq = l.seq
	if e.isLedgerEntry() {
		l.lanes[LaneOf(e.Budget.Organisation)].add(e.Seq)
	}
	if l.RequiresWitnessAck() || l.change != nil {
		l.pending = append(l.pending, e)
	}
	for _, k := range l.links {
		if l.receivesEntries(k) {
			k.add(now, e, urgent)
		}
	}
	return e
}

// receivesEntries reports whether every entry is sent to the witness: the record names it, or may soon do so and the
// witness has been sent all open entries.
func (l *Log) receivesEntries(k *link) bool {
	switch {
	case k.notWitness:
		return false
	case l.isRecorded(k.ref.Router):
		return true
	}
	return l.change != nil && (l.change.synced[k.ref.Router] || k.inFlight != nil && k.inFlight.full)
}

func (k *link) add(now time.Time, e Entry, urgent bool) {
	k.startWaiting(now)
	k.urgent = k.urgent || urgent
	if k.laggingSince.IsZero() {
		k.laggingSince = now
	}
	if !k.resync {
		k.backlog = append(k.backlog, e)
	}
}

func (k *link) startWaiting(now time.Time) {
	if k.waitingSince.IsZero() {
		k.waitingSince = now
	}
}

// LaggingSince reports whether entries are missing at any witness, and returns a time before which every witness has
// stored every entry. A bill that the ledger settled after this time may still be open in a lagging witness's copy.
func (l *Log) LaggingSince() (since time.Time, ok bool) {
	for _, k := range l.links {
		if l.receivesEntries(k) && !k.laggingSince.IsZero() && (!ok || k.laggingSince.Before(since)) {
			since, ok = k.laggingSince, true
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
		if l.receivesEntries(k) {
			k.marksDue = true
			k.startWaiting(now)
		}
	}
}

// reliedWitnesses returns the witnesses that every possible version of the record names.
func (l *Log) reliedWitnesses() []Ref {
	if l.change == nil {
		return l.witnesses
	}
	var both []Ref
	for _, ref := range l.witnesses {
		if slices.ContainsFunc(l.change.witnesses, func(r Ref) bool { return r.Router == ref.Router }) {
			both = append(both, ref)
		}
	}
	return both
}

func (l *Log) reliesOn(router string) bool {
	return slices.ContainsFunc(l.reliedWitnesses(), func(r Ref) bool { return r.Router == router })
}

// dueMarks returns the marks that the witness has not stored.
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

// allSuspectDivisor divides the time after which a witness counts as failing if no witness answers.
const allSuspectDivisor = 3

// FailingWitnesses returns the recorded witnesses that have restarted or have not answered for the given time, or for a
// third of it if no witness answers.
func (l *Log) FailingWitnesses(now time.Time, d time.Duration) []Ref {
	if l.allSuspect() {
		d /= allSuspectDivisor
	}
	since := now.Add(-d)
	var out []Ref
	for _, ref := range l.witnesses {
		k := l.links[ref.Router]
		if k.notWitness || k.suspect && !k.failingSince.After(since) {
			out = append(out, ref)
		}
	}
	return out
}
