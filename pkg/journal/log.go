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
	// Fallback is the time without an answer after which entries are also sent to the other witness.
	Fallback time.Duration
	// Retry is the time after which a witness that failed is tried again.
	Retry time.Duration
	// Idle is the longest time that entries which nobody waits for, and marks, are held back.
	Idle time.Duration
	// Clean is the least time between two messages that clear what other witnesses have.
	Clean time.Duration
}

func (t Timing) withDefaults() Timing {
	setDuration(&t.Fallback, 50*time.Millisecond)
	setDuration(&t.Retry, time.Second)
	setDuration(&t.Idle, 100*time.Millisecond)
	setDuration(&t.Clean, 5*time.Second)
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
// An entry is acknowledged once any witness on which the instance relies has stored it. The instance relies on
// the witnesses that every possible version of its instance record names: while the record is being changed,
// these are the witnesses in both the former and the new set.
type Log struct {
	timing   Timing
	instance string
	// open returns all open reservations, and all bills, flushes and transfers that the ledger does not have.
	open func() []Entry

	seq uint64
	// number is the number of the last message to any witness; it also increases across a removal and a return of a
	// witness.
	number  uint64
	pending []Entry
	// urgent is set if somebody waits for a pending entry.
	urgent bool
	// pendingSince is the time of the oldest pending entry or mark.
	pendingSince time.Time

	links  map[string]*link
	set    []Ref
	change *change
	lanes  [Lanes]laneLog
	// marksDue is set if a lane may have a mark that no witness has.
	marksDue bool
	// spread is set if more than one witness may have entries, and cleanAt is when the next cleaning may start.
	spread  bool
	cleanAt time.Time
	target  string
	closed  bool
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
	// clear is the position up to which the witness is to drop its entries.
	clear   uint64
	cleared uint64
}

// message is a message in flight.
type message struct {
	append Append
	sentAt time.Time
	// full is set if the message holds all that is open up to its Through.
	full bool
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

// Witnessed reports whether entries must be acknowledged by a witness. Without witnesses, bills are durable once
// the ledger has them.
func (l *Log) Witnessed() bool { return len(l.set) > 0 }

// Witnesses returns the recorded witnesses.
func (l *Log) Witnesses() []Ref { return l.set }

// Add queues an entry and returns it with its position. Urgent entries are sent at once.
func (l *Log) Add(now time.Time, e Entry, urgent bool) Entry {
	l.seq++
	e.Seq = l.seq
	if e.settles() {
		l.lanes[LaneOf(e.Budget.Organisation)].add(e.Seq)
	}
	if l.Witnessed() || l.change != nil {
		l.wait(now)
		l.pending = append(l.pending, e)
		l.urgent = l.urgent || urgent
	}
	return e
}

func (l *Log) wait(now time.Time) {
	if l.pendingSince.IsZero() {
		l.pendingSince = now
	}
}

// Settled records that the ledger has the entry.
func (l *Log) Settled(now time.Time, organisation string, seq uint64) {
	lane := &l.lanes[LaneOf(organisation)]
	lane.settle(seq)
	if lane.due() {
		l.marksDue = true
		if l.Witnessed() {
			l.wait(now)
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

func (l *Log) dueMarks(all bool) []Mark {
	if !all && !l.marksDue {
		return nil
	}
	var marks []Mark
	for i := range l.lanes {
		if lane := &l.lanes[i]; lane.due() || all && lane.mark > 0 {
			marks = append(marks, Mark{Lane: uint32(i), Seq: lane.mark})
		}
	}
	if !all {
		l.marksDue = len(marks) > 0
	}
	return marks
}

// urgency divides the time after which a witness counts as failing if no witness answers.
const urgency = 3

// Failing returns the recorded witnesses that have restarted or have not answered for the given time, or for a part
// of it if none answers.
func (l *Log) Failing(now time.Time, d time.Duration) []Ref {
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
