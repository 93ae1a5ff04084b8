package journal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	hire   = budget.ID{Organisation: "svaz", Budget: "hire"}
	first  = Ref{Router: "w1", Address: "a1"}
	second = Ref{Router: "w2", Address: "a2"}
	third  = Ref{Router: "w3", Address: "a3"}
)

func bill(seq uint64, tokens budget.Tokens) Entry {
	return Entry{Seq: seq, Kind: Bill, Reservation: seq, Budget: hire, Key: "k", Tokens: tokens}
}

func appendOf(number uint64, entries ...Entry) Append {
	return Append{Instance: "i.1", Witness: "w1", Number: number, Entries: entries}
}

// Guards against a late message that changes what a later one has stored, and against a double effect of a
// duplicate.
func TestReorderedAndDuplicatedMessages(t *testing.T) {
	c := NewCopies("w1")
	must.EqOp(t, Stored, c.Append(appendOf(1, Entry{Seq: 1, Kind: Reserve, Reservation: 1, Budget: hire})))
	must.EqOp(t, Stored, c.Append(appendOf(3, Entry{Seq: 3, Kind: Cancel, Reservation: 1, Budget: hire}, bill(4, 7))))
	must.EqOp(t, Stored, c.Append(appendOf(3, Entry{Seq: 3, Kind: Cancel, Reservation: 1, Budget: hire}, bill(4, 7))))
	must.EqOp(t, Stale, c.Append(appendOf(2, Entry{Seq: 1, Kind: Reserve, Reservation: 1, Budget: hire})))
	content, ok := c.Close("i.1", "w1")
	must.True(t, ok)
	must.Eq(t, []Entry{bill(4, 7)}, content.Entries)
}

// Guards against a frozen instance that wakes up after its closing, also if the witness never had a message of it,
// and after the content was dropped.
func TestClosedJournalAcknowledgesNothing(t *testing.T) {
	c := NewCopies("w1")
	_, ok := c.Close("i.1", "w1")
	must.True(t, ok)
	must.EqOp(t, Closed, c.Append(appendOf(1, bill(1, 7))))
	must.True(t, c.Forget("i.1", "w1"))
	must.EqOp(t, Closed, c.Append(appendOf(2, bill(1, 7))))
}

// Guards against a witness that has restarted and answers as if its journal were complete.
func TestRestartedWitnessDoesNotAnswer(t *testing.T) {
	c := NewCopies("w1b")
	must.EqOp(t, NotWitness, c.Append(appendOf(1, bill(1, 7))))
	_, ok := c.Close("i.1", "w1")
	must.False(t, ok)
	must.False(t, c.Forget("i.1", "w1"))
}

// Guards against the loss of entries that only one witness has, and against bills that a witness which was cut off
// brings up after the ledger has dropped their record.
func TestMerge(t *testing.T) {
	lane := LaneOf(hire.Organisation)
	stale := Copy{Entries: []Entry{{Seq: 1, Kind: Reserve, Reservation: 1, Budget: hire}, bill(2, 5), bill(6, 9)}}
	current := Copy{
		Entries: []Entry{bill(4, 6), {Seq: 5, Kind: Flush, Budget: hire, Op: "i.1/svaz/settle/1", First: 4, Last: 4}},
		Marks:   []Mark{{Lane: lane, Seq: 3}},
	}
	f := Merge([]Copy{stale, current})
	must.Eq(t, []Settle{{Op: "i.1/svaz/settle/1", Budget: hire, Bills: []Entry{bill(4, 6)}}}, f.Settles)
	must.Eq(t, []Entry{bill(6, 9)}, f.Bills)
	must.Len(t, 1, f.Open)
}

// testLog is a log whose open entries are given by the test.
func testLog(open *[]Entry, witnesses ...Ref) *Log {
	return NewLog("i.1", witnesses, Timing{}, func() []Entry { return *open })
}

func one(t *testing.T, appends []Append) Append {
	must.Len(t, 1, appends)
	return appends[0]
}

// Guards against an entry that only one witness gets, against a lost acknowledgement that blocks requests, and against
// a witness that lags and gets entries out of order. Until the lagging witness has them, the log tells since when.
func TestMirror(t *testing.T) {
	var open []Entry
	l := testLog(&open, first, second)
	e1 := l.Add(start, bill(0, 7), true)
	sent := l.Next(start)
	must.Len(t, 2, sent)
	for _, m := range sent {
		must.Eq(t, []Entry{e1}, m.Entries)
	}
	acked, closed := l.HandleAnswer(start, "w2", sent[1].Number, Stored, nil)
	must.False(t, closed)
	must.Eq(t, []Entry{e1}, acked)
	later := start.Add(time.Millisecond)
	e2, e3 := l.Add(later, bill(0, 8), true), l.Add(later, bill(0, 9), true)
	b := one(t, l.Next(later))
	must.EqOp(t, "w2", b.Witness)
	acked, _ = l.HandleAnswer(later, "w2", b.Number, Stored, nil)
	must.Eq(t, []Entry{e2, e3}, acked)
	must.SliceEmpty(t, l.Next(later))
	since, behind := l.LaggingSince()
	must.True(t, behind)
	must.EqOp(t, start, since)
	acked, _ = l.HandleAnswer(later, "w1", sent[0].Number, Stored, nil)
	must.SliceEmpty(t, acked)
	rest := one(t, l.Next(later))
	must.EqOp(t, "w1", rest.Witness)
	must.Eq(t, []Entry{e2, e3}, rest.Entries)
	acked, _ = l.HandleAnswer(later, "w1", rest.Number, Stored, nil)
	must.SliceEmpty(t, acked)
	_, behind = l.LaggingSince()
	must.False(t, behind)
}

// Guards against a witness that failed and stays without what it missed, or keeps what has ended meanwhile, and
// against dropping entries that are later than the message with all that is open.
func TestReturningWitnessGetsAllThatIsOpen(t *testing.T) {
	var open []Entry
	l := testLog(&open, first, second)
	c := NewCopies("w1")
	ended := l.Add(start, bill(0, 6), true)
	open = []Entry{ended}
	for _, m := range l.Next(start) {
		if m.Witness == "w1" {
			must.EqOp(t, Stored, c.Append(m))
			l.HandleAnswer(start, "w1", m.Number, 0, ErrUnreachable)
		} else {
			l.HandleAnswer(start, "w2", m.Number, Stored, nil)
		}
	}
	missed := l.Add(start, bill(0, 7), true)
	open = []Entry{missed}
	b := one(t, l.Next(start))
	must.EqOp(t, "w2", b.Witness)
	l.HandleAnswer(start, "w2", b.Number, Stored, nil)
	now := start.Add(time.Second)
	probe := one(t, l.Next(now))
	must.EqOp(t, "w1", probe.Witness)
	must.SliceEmpty(t, probe.Entries)
	l.HandleAnswer(now, "w1", probe.Number, c.Append(probe), nil)
	full := one(t, l.Next(now))
	must.EqOp(t, missed.Seq, full.Through)
	later := l.Add(now, bill(0, 8), true)
	must.EqOp(t, "w2", one(t, l.Next(now)).Witness)
	l.HandleAnswer(now, "w1", full.Number, c.Append(full), nil)
	c.Append(one(t, l.Next(now)))
	content, _ := c.Close("i.1", "w1")
	must.Eq(t, []Entry{missed, later}, content.Entries)
}

// Guards against relying on a witness that a possible version of the record does not name.
func TestRelianceDuringAChange(t *testing.T) {
	var open []Entry
	l := testLog(&open, first, second)
	must.True(t, l.Propose([]Ref{second, third}))
	must.False(t, l.Propose([]Ref{first}))
	_, ready := l.ReadyToRecord()
	must.False(t, ready)
	full := one(t, l.Next(start))
	must.EqOp(t, "w3", full.Witness)
	e := l.Add(start, bill(0, 7), true)
	open = append(open, e)
	sent := l.Next(start)
	must.Len(t, 2, sent)
	must.EqOp(t, "w2", sent[1].Witness)
	early, _ := l.HandleAnswer(start, "w1", sent[0].Number, Stored, nil)
	must.SliceEmpty(t, early)
	l.HandleAnswer(start, "w3", full.Number, Stored, nil)
	mirrored := one(t, l.Next(start))
	must.EqOp(t, "w3", mirrored.Witness)
	must.Eq(t, []Entry{e}, mirrored.Entries)
	early, _ = l.HandleAnswer(start, "w3", mirrored.Number, Stored, nil)
	must.SliceEmpty(t, early)
	set, ready := l.ReadyToRecord()
	must.True(t, ready)
	must.Eq(t, []Ref{second, third}, set)
	l.AbortChange()
	must.True(t, l.Changing())
	f := l.Add(start, bill(0, 8), true)
	open = append(open, f)
	for _, m := range l.Next(start) {
		early, _ = l.HandleAnswer(start, m.Witness, m.Number, Stored, nil)
		must.SliceEmpty(t, early)
	}
	l.FinishChange(true)
	must.Eq(t, set, l.Witnesses())
	again := one(t, l.Next(start))
	must.EqOp(t, "w3", again.Witness)
	must.Eq(t, open, again.Entries)
	acked, _ := l.HandleAnswer(start, "w3", again.Number, Stored, nil)
	must.Eq(t, []Entry{e, f}, acked)
}

// Guards against dropping the last witness while it is the only one that has a bill.
func TestChangeToNoWitnessWaitsForTheLedger(t *testing.T) {
	var open []Entry
	l := testLog(&open, first)
	e := l.Add(start, bill(0, 7), true)
	a := one(t, l.Next(start))
	l.HandleAnswer(start, "w1", a.Number, Stored, nil)
	must.True(t, l.Propose(nil))
	_, ready := l.ReadyToRecord()
	must.False(t, ready)
	l.MarkSettled(start, hire.Organisation, e.Seq)
	_, ready = l.ReadyToRecord()
	must.True(t, ready)
}

// Guards against a witness that keeps bills that the ledger has.
func TestMarksTruncate(t *testing.T) {
	var open []Entry
	l := testLog(&open, first)
	c := NewCopies("w1")
	e1, e2 := l.Add(start, bill(0, 7), true), l.Add(start, bill(0, 8), true)
	a := one(t, l.Next(start))
	must.EqOp(t, Stored, c.Append(a))
	l.HandleAnswer(start, "w1", a.Number, Stored, nil)
	l.MarkSettled(start, hire.Organisation, e2.Seq)
	must.SliceEmpty(t, l.Next(start.Add(time.Second)))
	l.MarkSettled(start, hire.Organisation, e1.Seq)
	must.EqOp(t, Stored, c.Append(one(t, l.Next(start.Add(time.Second)))))
	_, entries := c.Size()
	must.EqOp(t, 0, entries)
}
