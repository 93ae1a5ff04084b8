package journal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

var (
	start      = time.Unix(1_800_000_000, 0)
	testBudget = budget.ID{Organisation: "svaz", Budget: "hire"}
	witness1   = Ref{Router: "w1", Address: "a1"}
	witness2   = Ref{Router: "w2", Address: "a2"}
	witness3   = Ref{Router: "w3", Address: "a3"}
)

func bill(seq uint64, tokens budget.Tokens) Entry {
	return Entry{Seq: seq, Kind: Bill, Reservation: seq, Budget: testBudget, Key: "k", Tokens: tokens}
}

func newAppend(number uint64, entries ...Entry) Append {
	return Append{Instance: "i.1", Witness: "w1", Number: number, Entries: entries}
}

// Guards against a late message that overwrites what a later one has stored, and against a duplicate that takes effect
// twice.
func TestReorderedAndDuplicatedMessages(t *testing.T) {
	c := NewCopies("w1")
	must.EqOp(t, Stored, c.Append(newAppend(1, Entry{Seq: 1, Kind: Reserve, Reservation: 1, Budget: testBudget})))
	must.EqOp(t, Stored, c.Append(newAppend(3, Entry{Seq: 3, Kind: Cancel, Reservation: 1, Budget: testBudget}, bill(4, 7))))
	must.EqOp(t, Stored, c.Append(newAppend(3, Entry{Seq: 3, Kind: Cancel, Reservation: 1, Budget: testBudget}, bill(4, 7))))
	must.EqOp(t, Stale, c.Append(newAppend(2, Entry{Seq: 1, Kind: Reserve, Reservation: 1, Budget: testBudget})))
	content, ok := c.Close("i.1", "w1")
	must.True(t, ok)
	must.Eq(t, []Entry{bill(4, 7)}, content.Entries)
}

// Guards against acknowledging entries of an instance whose process resumes after the instance was closed, even if the
// witness never had a message from it, and after the content was dropped.
func TestClosedJournalAcknowledgesNothing(t *testing.T) {
	c := NewCopies("w1")
	_, ok := c.Close("i.1", "w1")
	must.True(t, ok)
	must.EqOp(t, Closed, c.Append(newAppend(1, bill(1, 7))))
	must.True(t, c.Forget("i.1", "w1"))
	must.EqOp(t, Closed, c.Append(newAppend(2, bill(1, 7))))
}

// Guards against a restarted witness that answers as if its copy were complete.
func TestRestartedWitnessReportsNotWitness(t *testing.T) {
	c := NewCopies("w1b")
	must.EqOp(t, NotWitness, c.Append(newAppend(1, bill(1, 7))))
	_, ok := c.Close("i.1", "w1")
	must.False(t, ok)
	must.False(t, c.Forget("i.1", "w1"))
}

// Guards against losing entries that only one witness has, and against settling again a bill that only a disconnected
// witness still has, after the ledger has dropped its record of it.
func TestMerge(t *testing.T) {
	lane := LaneOf(testBudget.Organisation)
	stale := Copy{Entries: []Entry{{Seq: 1, Kind: Reserve, Reservation: 1, Budget: testBudget}, bill(2, 5), bill(6, 9)}}
	current := Copy{
		Entries: []Entry{bill(4, 6), {Seq: 5, Kind: Flush, Budget: testBudget, Op: "i.1/svaz/settle/1", First: 4, Last: 4}},
		Marks:   []Mark{{Lane: lane, Seq: 3}},
	}
	state := Merge([]Copy{stale, current})
	must.Eq(t, []SettleOp{{Op: "i.1/svaz/settle/1", Budget: testBudget, Bills: []Entry{bill(4, 6)}}}, state.SettleOps)
	must.Eq(t, []Entry{bill(6, 9)}, state.Bills)
	must.Len(t, 1, state.Open)
}

// newTestLog returns a log whose open entries are set by the test.
func newTestLog(openEntries *[]Entry, witnesses ...Ref) *Log {
	return NewLog("i.1", witnesses, Timing{}, func() []Entry { return *openEntries })
}

func onlyMessage(t *testing.T, appends []Append) Append {
	must.Len(t, 1, appends)
	return appends[0]
}

// Guards against an entry that is sent to only one witness, against a lost acknowledgement that blocks requests, and
// against sending entries out of order to a lagging witness. LaggingSince reports the lag until that witness has them.
func TestEntriesGoToAllWitnesses(t *testing.T) {
	var openEntries []Entry
	l := newTestLog(&openEntries, witness1, witness2)
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
	b := onlyMessage(t, l.Next(later))
	must.EqOp(t, "w2", b.Witness)
	acked, _ = l.HandleAnswer(later, "w2", b.Number, Stored, nil)
	must.Eq(t, []Entry{e2, e3}, acked)
	must.SliceEmpty(t, l.Next(later))
	since, lagging := l.LaggingSince()
	must.True(t, lagging)
	must.EqOp(t, start, since)
	acked, _ = l.HandleAnswer(later, "w1", sent[0].Number, Stored, nil)
	must.SliceEmpty(t, acked)
	retransmitted := onlyMessage(t, l.Next(later))
	must.EqOp(t, "w1", retransmitted.Witness)
	must.Eq(t, []Entry{e2, e3}, retransmitted.Entries)
	acked, _ = l.HandleAnswer(later, "w1", retransmitted.Number, Stored, nil)
	must.SliceEmpty(t, acked)
	_, lagging = l.LaggingSince()
	must.False(t, lagging)
}

// Guards against a witness that answers again after a failure but is not sent the entries that it missed or keeps
// entries that have ended meanwhile, and against dropping entries that are later than the message with all open ones.
func TestReturningWitnessGetsAllOpenEntries(t *testing.T) {
	var openEntries []Entry
	l := newTestLog(&openEntries, witness1, witness2)
	c := NewCopies("w1")
	ended := l.Add(start, bill(0, 6), true)
	openEntries = []Entry{ended}
	for _, m := range l.Next(start) {
		if m.Witness == "w1" {
			must.EqOp(t, Stored, c.Append(m))
			l.HandleAnswer(start, "w1", m.Number, 0, ErrUnreachable)
		} else {
			l.HandleAnswer(start, "w2", m.Number, Stored, nil)
		}
	}
	missed := l.Add(start, bill(0, 7), true)
	openEntries = []Entry{missed}
	b := onlyMessage(t, l.Next(start))
	must.EqOp(t, "w2", b.Witness)
	l.HandleAnswer(start, "w2", b.Number, Stored, nil)
	now := start.Add(time.Second)
	empty := onlyMessage(t, l.Next(now))
	must.EqOp(t, "w1", empty.Witness)
	must.SliceEmpty(t, empty.Entries)
	l.HandleAnswer(now, "w1", empty.Number, c.Append(empty), nil)
	full := onlyMessage(t, l.Next(now))
	must.EqOp(t, missed.Seq, full.Through)
	later := l.Add(now, bill(0, 8), true)
	must.EqOp(t, "w2", onlyMessage(t, l.Next(now)).Witness)
	l.HandleAnswer(now, "w1", full.Number, c.Append(full), nil)
	c.Append(onlyMessage(t, l.Next(now)))
	content, _ := c.Close("i.1", "w1")
	must.Eq(t, []Entry{missed, later}, content.Entries)
}

// Guards against relying on a witness that a possible version of the record does not name.
func TestReliedWitnessesDuringAChange(t *testing.T) {
	var openEntries []Entry
	l := newTestLog(&openEntries, witness1, witness2)
	must.True(t, l.Propose([]Ref{witness2, witness3}))
	must.False(t, l.Propose([]Ref{witness1}))
	_, ready := l.ReadyToRecord()
	must.False(t, ready)
	full := onlyMessage(t, l.Next(start))
	must.EqOp(t, "w3", full.Witness)
	e := l.Add(start, bill(0, 7), true)
	openEntries = append(openEntries, e)
	sent := l.Next(start)
	must.Len(t, 2, sent)
	must.EqOp(t, "w2", sent[1].Witness)
	early, _ := l.HandleAnswer(start, "w1", sent[0].Number, Stored, nil)
	must.SliceEmpty(t, early)
	l.HandleAnswer(start, "w3", full.Number, Stored, nil)
	update := onlyMessage(t, l.Next(start))
	must.EqOp(t, "w3", update.Witness)
	must.Eq(t, []Entry{e}, update.Entries)
	early, _ = l.HandleAnswer(start, "w3", update.Number, Stored, nil)
	must.SliceEmpty(t, early)
	set, ready := l.ReadyToRecord()
	must.True(t, ready)
	must.Eq(t, []Ref{witness2, witness3}, set)
	l.AbortChange()
	must.True(t, l.Changing())
	f := l.Add(start, bill(0, 8), true)
	openEntries = append(openEntries, f)
	for _, m := range l.Next(start) {
		early, _ = l.HandleAnswer(start, m.Witness, m.Number, Stored, nil)
		must.SliceEmpty(t, early)
	}
	l.FinishChange(true)
	must.Eq(t, set, l.Witnesses())
	resync := onlyMessage(t, l.Next(start))
	must.EqOp(t, "w3", resync.Witness)
	must.Eq(t, openEntries, resync.Entries)
	acked, _ := l.HandleAnswer(start, "w3", resync.Number, Stored, nil)
	must.Eq(t, []Entry{e, f}, acked)
}

// Guards against removing the last witness while a bill is stored only there.
func TestChangeToNoWitnessWaitsForTheLedger(t *testing.T) {
	var openEntries []Entry
	l := newTestLog(&openEntries, witness1)
	e := l.Add(start, bill(0, 7), true)
	a := onlyMessage(t, l.Next(start))
	l.HandleAnswer(start, "w1", a.Number, Stored, nil)
	must.True(t, l.Propose(nil))
	_, ready := l.ReadyToRecord()
	must.False(t, ready)
	l.MarkSettled(start, testBudget.Organisation, e.Seq)
	_, ready = l.ReadyToRecord()
	must.True(t, ready)
}

// Guards against a witness that keeps bills that the ledger has.
func TestMarksDropSettledBills(t *testing.T) {
	var openEntries []Entry
	l := newTestLog(&openEntries, witness1)
	c := NewCopies("w1")
	e1, e2 := l.Add(start, bill(0, 7), true), l.Add(start, bill(0, 8), true)
	a := onlyMessage(t, l.Next(start))
	must.EqOp(t, Stored, c.Append(a))
	l.HandleAnswer(start, "w1", a.Number, Stored, nil)
	l.MarkSettled(start, testBudget.Organisation, e2.Seq)
	must.SliceEmpty(t, l.Next(start.Add(time.Second)))
	l.MarkSettled(start, testBudget.Organisation, e1.Seq)
	must.EqOp(t, Stored, c.Append(onlyMessage(t, l.Next(start.Add(time.Second)))))
	_, entries := c.Size()
	must.EqOp(t, 0, entries)
}
