package journal

import (
	"github.com/lavendershunt/lavendershunt/pkg/budget"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
)

func entryToProto(e Entry) *pursev1.Entry {
	return &pursev1.Entry{
		Seq: e.Seq, Kind: pursev1.EntryKind(e.Kind), Reservation: e.Reservation, Organisation: e.Budget.Organisation,
		Budget: e.Budget.Budget, Key: e.Key, Tokens: e.Tokens, Op: e.Op, Peer: e.Peer,
		First: e.First, Last: e.Last,
	}
}

func entryFromProto(e *pursev1.Entry) Entry {
	return Entry{
		Seq: e.GetSeq(), Kind: Kind(e.GetKind()), Reservation: e.GetReservation(),
		Budget: budget.ID{Organisation: e.GetOrganisation(), Budget: e.GetBudget()},
		Key:    e.GetKey(), Tokens: e.GetTokens(), Op: e.GetOp(), Peer: e.GetPeer(),
		First: e.GetFirst(), Last: e.GetLast(),
	}
}

func entriesToProto(entries []Entry) []*pursev1.Entry {
	out := make([]*pursev1.Entry, len(entries))
	for i, e := range entries {
		out[i] = entryToProto(e)
	}
	return out
}

func entriesFromProto(entries []*pursev1.Entry) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = entryFromProto(e)
	}
	return out
}

func marksToProto(marks []Mark) []*pursev1.Mark {
	out := make([]*pursev1.Mark, len(marks))
	for i, m := range marks {
		out[i] = &pursev1.Mark{Lane: m.Lane, Seq: m.Seq}
	}
	return out
}

func marksFromProto(marks []*pursev1.Mark) []Mark {
	out := make([]Mark, len(marks))
	for i, m := range marks {
		out[i] = Mark{Lane: m.GetLane(), Seq: m.GetSeq()}
	}
	return out
}

// Request returns the message in its protocol form.
func (a Append) Request() *pursev1.AppendRequest {
	return &pursev1.AppendRequest{
		Instance: a.Instance, Witness: a.Witness, Number: a.Number, Through: a.Through,
		Entries: entriesToProto(a.Entries), Marks: marksToProto(a.Marks),
	}
}

func appendFromProto(m *pursev1.AppendRequest) Append {
	return Append{
		Instance: m.GetInstance(), Witness: m.GetWitness(), Number: m.GetNumber(), Through: m.GetThrough(),
		Entries: entriesFromProto(m.GetEntries()), Marks: marksFromProto(m.GetMarks()),
	}
}
