package ledger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// issuerKey names a sequence of operations. Each organisation has its own history, because a router sends the
// operations of one organisation in order, but those of several organisations in any order.
type issuerKey struct {
	issuer, organisation string
}

// history is the recent operations of one issuer. Operations up to the floor are no longer known.
type history struct {
	floor   uint64
	entries []historyEntry
}

type historyEntry struct {
	sequence uint64
	at       int64
	code     budget.Code
	granted  int64
	// duplicates holds the positions of bills that the ledger already had.
	duplicates []uint32
}

type operatorEntry struct {
	// until is the time up to which the operation is recognised, in seconds since 1970.
	until int64
	code  budget.Code
}

// applyOperator applies an operation that is identified by the hash of its id.
func (s *Shard) applyOperator(op budget.Op) budget.Result {
	id := xxhash.Sum64String(op.ID)
	if e, ok := s.operators[id]; ok {
		return s.describe(op, e.code)
	}
	if len(s.operators) >= operatorMax {
		return budget.Result{Code: budget.CodeFull, Message: "too many operators' operations are remembered"}
	}
	r := s.operate(op)
	if r.Code != budget.CodeInvalid && r.Code != budget.CodeFull {
		keep := OperatorRetention
		if op.Kind == budget.OpTopUp {
			keep = TopUpRetention
		}
		s.operators[id] = operatorEntry{until: s.clock + int64(keep.Seconds()), code: r.Code}
		s.changes.operators = append(s.changes.operators, id)
		s.size += operatorBytes
	}
	return r
}

// describe returns a result for an operation that was applied before.
func (s *Shard) describe(op budget.Op, code budget.Code) budget.Result {
	if a := s.account(op.Budget); a != nil {
		return a.result(code)
	}
	return budget.Result{Code: code}
}

// applyRouter applies an operation that is identified by its issuer and sequence number.
func (s *Shard) applyRouter(op budget.Op) budget.Result {
	holder := op.Holder
	if op.Claim != nil {
		holder = op.Claim.Owner
	}
	if s.isClosed(holder) {
		return budget.Result{Code: budget.CodeHolderClosed}
	}
	issuer, sequence, _ := splitID(op.ID)
	key := issuerKey{issuer, op.Budget.Organisation}
	h := s.issuers[key]
	if h == nil {
		h = &history{}
	}
	i, found := h.find(sequence)
	if found {
		return s.replay(op, h.entries[i])
	}
	if sequence <= h.floor {
		return budget.Result{Code: budget.CodeStale, Message: "operation is older than the history of its issuer"}
	}
	r, duplicates := s.run(op)
	if (op.Kind == budget.OpTransfer && r.Code != budget.CodeOK) ||
		(op.Kind == budget.OpSettle && r.Code == budget.CodeInvalid) {
		// A transfer that the holders have agreed on, and bills that wait for such a transfer, must be possible to
		// apply later under the same id.
		return r
	}
	s.remember(key, h)
	h.entries = slices.Insert(h.entries, i, historyEntry{
		sequence: sequence, at: s.clock, code: r.Code, granted: r.Granted, duplicates: duplicates,
	})
	s.changes.issuers[key] = append(s.changes.issuers[key], sequence)
	s.size += entryBytes + entryBytes*len(duplicates)
	s.trim(h)
	return r
}

// remember adds the history to the shard unless it is there.
func (s *Shard) remember(key issuerKey, h *history) {
	if s.issuers[key] == nil {
		s.issuers[key] = h
		s.size += issuerBytes + len(key.issuer) + len(key.organisation)
	}
}

func (h *history) find(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(h.entries, sequence, func(e historyEntry, n uint64) int {
		return cmp.Compare(e.sequence, n)
	})
}

// trim drops the entries with the lowest sequence numbers, which raises the floor.
func (s *Shard) trim(h *history) {
	for len(h.entries) > historyMin {
		first := h.entries[0]
		if len(h.entries) <= historyMax && s.clock-first.at < int64(HistoryRetention.Seconds()) {
			return
		}
		h.floor = first.sequence
		h.entries = h.entries[1:]
	}
}

// replay returns the result of an operation that was applied before. Code, Granted and Duplicates are those of the
// first time; the rest describes the present state.
func (s *Shard) replay(op budget.Op, e historyEntry) budget.Result {
	r := s.describe(op, e.code)
	r.Granted = e.granted
	for _, i := range e.duplicates {
		if int(i) < len(op.Bills) {
			r.Duplicates = append(r.Duplicates, op.Bills[i].Key)
		}
	}
	if a := s.account(op.Budget); a != nil && e.code == budget.CodeHeldElsewhere {
		r.Holders = a.holders()
	}
	if op.Claim != nil {
		if c := s.claims[recordKey(op.Budget.Organisation, op.Claim.Key)]; c != nil {
			r.Claim = c.record(op.Claim.Key)
		}
	}
	return r
}

// run executes a router's operation.
func (s *Shard) run(op budget.Op) (budget.Result, []uint32) {
	switch op.Kind {
	case budget.OpGrant:
		return s.grant(op), nil
	case budget.OpSettle:
		return s.settle(op)
	case budget.OpReturn:
		return s.giveBack(op), nil
	case budget.OpTransfer:
		return s.transfer(op), nil
	case budget.OpClaim:
		return s.claim(op), nil
	case budget.OpClaimResult:
		return s.claimResult(op), nil
	default:
		return s.claimRelease(op), nil
	}
}
