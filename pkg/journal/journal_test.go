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

// Guards against a lost acknowledgement that blocks requests: the other witness takes over.
func TestFallback(t *testing.T) {
	var open []Entry
	l := testLog(&open, first, second)
	e := l.Add(start, bill(0, 7), true)
	a := one(t, l.Next(start))
	must.EqOp(t, "w1", a.Witness)
	must.SliceEmpty(t, l.Next(start.Add(time.Millisecond)))
	b := one(t, l.Next(start.Add(60*time.Millisecond)))
	must.EqOp(t, "w2", b.Witness)
	must.Eq(t, []Entry{e}, b.Entries)
	acked, closed := l.Answered(start, "w2", b.Number, Stored, nil)
	must.False(t, closed)
	must.Eq(t, []Entry{e}, acked)
	acked, _ = l.Answered(start, "w1", a.Number, Stored, nil)
	must.SliceEmpty(t, acked)
}

// Guards against dropping entries that only the other witness has: after a fallback it may drop only what the
// current witness has in full.
func TestCleaningKeepsLaterEntries(t *testing.T) {
	var open []Entry
	l := testLog(&open, first, second)
	open = append(open, l.Add(start, bill(0, 7), true))
	a := one(t, l.Next(start))
	l.Answered(start, "w1", a.Number, 0, ErrUnreachable)
	b := one(t, l.Next(start))
	must.EqOp(t, "w2", b.Witness)
	l.Answered(start, "w2", b.Number, Stored, nil)
	full := one(t, l.Next(start))
	must.EqOp(t, "w2", full.Witness)
	must.EqOp(t, uint64(1), full.Through)
	later := l.Add(start, bill(0, 8), true)
	open = append(open, later)
	l.Answered(start, "w2", full.Number, Stored, nil)
	for _, m := range l.Next(start.Add(time.Second)) {
		if m.Witness == "w1" {
			must.LessEq(t, full.Through, m.Through)
		}
	}
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
	a := one(t, l.Next(start))
	must.EqOp(t, "w2", a.Witness)
	l.Answered(start, "w3", full.Number, Stored, nil)
	set, ready := l.ReadyToRecord()
	must.True(t, ready)
	must.Eq(t, []Ref{second, third}, set)
	l.Abandon()
	must.True(t, l.Changing())
	acked, _ := l.Answered(start, "w2", a.Number, Stored, nil)
	must.Eq(t, []Entry{e}, acked)
	l.Recorded(true)
	must.Eq(t, set, l.Witnesses())
}

// Guards against dropping the last witness while it is the only one that has a bill.
func TestChangeToNoWitnessWaitsForTheLedger(t *testing.T) {
	var open []Entry
	l := testLog(&open, first)
	e := l.Add(start, bill(0, 7), true)
	a := one(t, l.Next(start))
	l.Answered(start, "w1", a.Number, Stored, nil)
	must.True(t, l.Propose(nil))
	_, ready := l.ReadyToRecord()
	must.False(t, ready)
	l.Settled(start, hire.Organisation, e.Seq)
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
	l.Answered(start, "w1", a.Number, Stored, nil)
	l.Settled(start, hire.Organisation, e2.Seq)
	must.SliceEmpty(t, l.Next(start.Add(time.Second)))
	l.Settled(start, hire.Organisation, e1.Seq)
	must.EqOp(t, Stored, c.Append(one(t, l.Next(start.Add(time.Second)))))
	_, entries := c.Size()
	must.EqOp(t, 0, entries)
}
