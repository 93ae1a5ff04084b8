// Package journal keeps what an instance has promised in the memory of other routers, its witnesses.
//
// An instance appends an entry before the effect of the entry becomes visible. Log is the instance's side and
// Copies the witness's side; both are deterministic and do no I/O.
package journal

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// Kind selects what an Entry records. The values are those of the protocol's EntryKind.
type Kind uint8

// Kinds of entries.
const (
	Reserve     Kind = 1
	Bill        Kind = 2
	Cancel      Kind = 3
	TransferOut Kind = 4
	TransferIn  Kind = 5
	// Flush names the ledger operation that settles bills. It is recorded before the operation is sent, so that the
	// closing of the instance can repeat exactly this operation: the ledger recognises a bill only for a time, but
	// an operation as long as its holder is open.
	Flush Kind = 6
)

// Entry is one record of a journal.
type Entry struct {
	// Seq is the position in the instance's journal.
	Seq  uint64
	Kind Kind
	// Reservation is the reservation that Reserve opens and Bill or Cancel ends.
	Reservation uint64
	Budget      budget.ID
	// Key is the idempotency key of Reserve and Bill.
	Key    string
	Tokens budget.Tokens
	// Op is the id of the ledger operation of a transfer or flush.
	Op string
	// Peer is the other instance of a transfer.
	Peer string
	// First and Last are the positions of the first and the last of the budget's bills in a flush.
	First, Last uint64
}

// settles reports whether the entry is kept until the ledger has it.
func (e Entry) settles() bool { return e.Kind != Reserve && e.Kind != Cancel }

// Lanes is the number of groups of organisations that have a mark of their own, so that an organisation whose
// shard can't be written keeps the entries of few others.
const Lanes = 256

// LaneOf returns the lane of an organisation.
func LaneOf(organisation string) uint32 { return uint32(xxhash.Sum64String(organisation) % Lanes) }

// Mark states that the ledger has all bills, flushes and transfers of a lane up to Seq.
type Mark struct {
	Lane uint32
	Seq  uint64
}

// Append is a message from an instance to a witness.
type Append struct {
	Instance string
	// Witness is the router instance that is to store the entries.
	Witness string
	// Address is the witness's address; it is not part of the message.
	Address string
	// Number increases with each new message to the witness.
	Number uint64
	// Through is the position up to which the witness drops all entries that are not part of the message.
	Through uint64
	Entries []Entry
	Marks   []Mark
}

// Code is the answer of a witness. The values are those of the protocol's Code.
type Code uint8

// Codes.
const (
	// Stored means that the witness has the message.
	Stored Code = 1
	// Stale means that a later message was stored before; nothing was changed.
	Stale Code = 2
	// Closed means that the journal is closed; nothing was changed.
	Closed Code = 3
	// NotWitness means that the callee is not the named witness, for example because it has restarted.
	NotWitness Code = 4
)

// Copy is the content of a closed journal at one witness.
type Copy struct {
	Entries []Entry
	Marks   []Mark
}

// RecoveredState is what an instance has left, merged from the copies of all its witnesses.
type RecoveredState struct {
	// Settles are the operations in which bills may have been sent to the ledger.
	Settles []Settle
	// Bills were never sent to the ledger.
	Bills        []Entry
	TransfersOut []Entry
	TransfersIn  []Entry
	// Open lists reservations without a known end. A reservation that ended at another witness can be among them.
	Open []Entry
}

// Settle is a settle operation.
type Settle struct {
	Op     string
	Budget budget.ID
	Bills  []Entry
}

// Merge combines the copies of all witnesses that the instance record names. A bill that the ledger already had
// is left out even if a witness that was cut off still has it, because the ledger may no longer recognise it.
func Merge(copies []Copy) RecoveredState {
	var marks [Lanes]uint64
	for _, c := range copies {
		for _, m := range c.Marks {
			if m.Lane < Lanes {
				marks[m.Lane] = max(marks[m.Lane], m.Seq)
			}
		}
	}
	entries := map[uint64]Entry{}
	ended := map[uint64]bool{}
	for _, c := range copies {
		for _, e := range c.Entries {
			if e.settles() && e.Seq <= marks[LaneOf(e.Budget.Organisation)] {
				continue
			}
			entries[e.Seq] = e
			if e.Kind == Bill {
				ended[e.Reservation] = true
			}
		}
	}
	return final(entries, ended)
}

func final(entries map[uint64]Entry, ended map[uint64]bool) RecoveredState {
	var f RecoveredState
	settles := map[uint64]*Settle{}
	for _, seq := range sortedKeys(entries) {
		e := entries[seq]
		switch e.Kind {
		case Bill:
			if flush := flushOf(entries, e); flush.Seq == 0 {
				f.Bills = append(f.Bills, e)
			} else {
				if settles[flush.Seq] == nil {
					settles[flush.Seq] = &Settle{Op: flush.Op, Budget: e.Budget}
				}
				settles[flush.Seq].Bills = append(settles[flush.Seq].Bills, e)
			}
		case TransferOut:
			f.TransfersOut = append(f.TransfersOut, e)
		case TransferIn:
			f.TransfersIn = append(f.TransfersIn, e)
		case Reserve:
			if !ended[e.Reservation] {
				f.Open = append(f.Open, e)
			}
		}
	}
	for _, seq := range sortedKeys(settles) {
		f.Settles = append(f.Settles, *settles[seq])
	}
	return f
}

// flushOf returns the latest flush that contains the bill. Its Seq is 0 if there is none.
func flushOf(entries map[uint64]Entry, bill Entry) Entry {
	var latest Entry
	for _, e := range entries {
		if e.Kind == Flush && e.Budget == bill.Budget && e.First <= bill.Seq && bill.Seq <= e.Last && e.Seq > latest.Seq {
			latest = e
		}
	}
	return latest
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
