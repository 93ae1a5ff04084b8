// Package journal replicates the reservations, bills and transfers of an instance to the memory of other routers, its
// witnesses.
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
	// Flush names the ledger operation that settles bills. It is recorded before the operation is sent, so that closing
	// the instance can repeat exactly this operation: the ledger recognises a repeated bill only for a limited time,
	// but a repeated operation for as long as its holder is open.
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

// isLedgerEntry reports whether witnesses keep the entry until the ledger has it.
func (e Entry) isLedgerEntry() bool { return e.Kind != Reserve && e.Kind != Cancel }

// Lanes is the number of groups of organisations. Each group has its own mark, so that an organisation whose ledger
// shard can't be written delays the removal of the entries of few others.
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
	// Witness is the router instance that has to store the entries.
	Witness string
	// Address is the witness's address; it is not sent.
	Address string
	// Number increases with each new message to the witness.
	Number uint64
	// Through is the position up to which the witness drops all entries that are not part of the message; 0 drops none.
	Through uint64
	Entries []Entry
	Marks   []Mark
}

// Code is a witness's answer to an Append. The values are those of the protocol's Code.
type Code uint8

// Answers of a witness.
const (
	// Stored means that the witness has the message.
	Stored Code = 1
	// Stale means that a later message was stored before; nothing was changed.
	Stale Code = 2
	// Closed means that the journal was closed before; nothing was changed.
	Closed Code = 3
	// NotWitness means that the callee is not the named witness, for example because it has restarted.
	NotWitness Code = 4
)

// Copy is the content of a closed journal at one witness.
type Copy struct {
	Entries []Entry
	Marks   []Mark
}

// RecoveredState is the outstanding state of an instance, merged from the copies of all its witnesses.
type RecoveredState struct {
	// SettleOps are the operations in which bills may have been sent to the ledger.
	SettleOps []SettleOp
	// Bills were never sent to the ledger.
	Bills        []Entry
	TransfersOut []Entry
	TransfersIn  []Entry
	// Open lists reservations without a known end. A reservation that ended at another witness can be among them.
	Open []Entry
}

// SettleOp is a ledger operation that settles the bills of a budget.
type SettleOp struct {
	Op     string
	Budget budget.ID
	Bills  []Entry
}

// Merge combines the copies of all witnesses that the instance record names. A bill that the ledger already has
// is left out even if a disconnected witness still has it, because the ledger may no longer recognise it as repeated.
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
	endedReservations := map[uint64]bool{}
	for _, c := range copies {
		for _, e := range c.Entries {
			if e.isLedgerEntry() && e.Seq <= marks[LaneOf(e.Budget.Organisation)] {
				continue
			}
			entries[e.Seq] = e
			if e.Kind == Bill {
				endedReservations[e.Reservation] = true
			}
		}
	}
	return buildRecoveredState(entries, endedReservations)
}

func buildRecoveredState(entries map[uint64]Entry, endedReservations map[uint64]bool) RecoveredState {
	var state RecoveredState
	settleOps := map[uint64]*SettleOp{}
	for _, seq := range sortedKeys(entries) {
		e := entries[seq]
		switch e.Kind {
		case Bill:
			if flush := latestFlushOf(entries, e); flush.Seq == 0 {
				state.Bills = append(state.Bills, e)
			} else {
				if settleOps[flush.Seq] == nil {
					settleOps[flush.Seq] = &SettleOp{Op: flush.Op, Budget: e.Budget}
				}
				settleOps[flush.Seq].Bills = append(settleOps[flush.Seq].Bills, e)
			}
		case TransferOut:
			state.TransfersOut = append(state.TransfersOut, e)
		case TransferIn:
			state.TransfersIn = append(state.TransfersIn, e)
		case Reserve:
			if !endedReservations[e.Reservation] {
				state.Open = append(state.Open, e)
			}
		}
	}
	for _, seq := range sortedKeys(settleOps) {
		state.SettleOps = append(state.SettleOps, *settleOps[seq])
	}
	return state
}

// latestFlushOf returns the latest flush that contains the bill. Its Seq is 0 if there is none.
func latestFlushOf(entries map[uint64]Entry, bill Entry) Entry {
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
