package ledger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// issuerKey identifies a sequence of operations. Each issuer has one history per organisation, because a router sends
// the operations of one organisation in order, but those of different organisations in any order.
type issuerKey struct {
	issuer, organisation string
}

// history holds the recent operations of one issuer, ordered by sequence number. Entries up to the floor have been
// dropped.
type history struct {
	floor   uint64
	entries []historyEntry
}

type historyEntry struct {
	sequence uint64
	// at is the time of the operation in seconds since 1970.
	at      int64
	code    budget.Code
	granted int64
	// duplicates lists the indexes in Op.Bills of bills that the shard had stored before.
	duplicates []uint32
}

// operatorOp is the recorded outcome of an operator's operation.
type operatorOp struct {
	// until is the time up to which the record is kept, in seconds since 1970.
	until int64
	code  budget.Code
}

// applyOperatorOp applies an operation that is identified by the hash of its id.
func (s *Shard) applyOperatorOp(op budget.Op) budget.Result {
	id := xxhash.Sum64String(op.ID)
	if e, ok := s.operatorOps[id]; ok {
		return s.currentResult(op, e.code)
	}
	if len(s.operatorOps) >= maxOperatorOps {
		return budget.Result{Code: budget.CodeFull, Message: "too many operators' operations are remembered"}
	}
	r := s.executeOperatorOp(op)
	if r.Code != budget.CodeInvalid && r.Code != budget.CodeFull {
		retention := OperatorRetention
		if op.Kind == budget.OpTopUp {
			retention = TopUpRetention
		}
		s.operatorOps[id] = operatorOp{until: s.clock + int64(retention.Seconds()), code: r.Code}
		s.changes.operatorOps = append(s.changes.operatorOps, id)
		s.size += operatorBytes
	}
	return r
}

// currentResult returns a result with the code and, if the budget exists, its current state.
func (s *Shard) currentResult(op budget.Op, code budget.Code) budget.Result {
	if a := s.account(op.Budget); a != nil {
		return a.result(code)
	}
	return budget.Result{Code: code}
}

// applyRouterOp applies an operation that is identified by its issuer and sequence number.
func (s *Shard) applyRouterOp(op budget.Op) budget.Result {
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
		return s.replayResult(op, h.entries[i])
	}
	if sequence <= h.floor {
		return budget.Result{Code: budget.CodeStale, Message: "operation is older than the history of its issuer"}
	}
	r, duplicates := s.executeRouterOp(op)
	if (op.Kind == budget.OpTransfer && r.Code != budget.CodeOK) ||
		(op.Kind == budget.OpSettle && r.Code == budget.CodeInvalid) {
		// The outcome is not recorded, so that the operation can be applied later under the same id: the holders have
		// already agreed on the transfer, and refused bills may depend on such a transfer.
		return r
	}
	s.addHistory(key, h)
	h.entries = slices.Insert(h.entries, i, historyEntry{
		sequence: sequence, at: s.clock, code: r.Code, granted: r.Granted, duplicates: duplicates,
	})
	s.changes.issuers[key] = append(s.changes.issuers[key], sequence)
	s.size += historyEntryBytes + historyEntryBytes*len(duplicates)
	s.trimHistory(h)
	return r
}

// addHistory adds the history to the shard unless the shard has one for the key.
func (s *Shard) addHistory(key issuerKey, h *history) {
	if s.issuers[key] == nil {
		s.issuers[key] = h
		s.size += issuerBytes + len(key.issuer) + len(key.organisation)
	}
}

// find returns the index of the entry with the sequence number, or the index to insert it at.
func (h *history) find(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(h.entries, sequence, func(e historyEntry, n uint64) int {
		return cmp.Compare(e.sequence, n)
	})
}

// trimHistory drops the entries with the lowest sequence numbers and raises the floor accordingly.
func (s *Shard) trimHistory(h *history) {
	for len(h.entries) > minHistoryEntries {
		first := h.entries[0]
		if len(h.entries) <= maxHistoryEntries && s.clock-first.at < int64(HistoryRetention.Seconds()) {
			return
		}
		h.floor = first.sequence
		h.entries = h.entries[1:]
	}
}

// replayResult returns the result of an operation that was applied before. Code, Granted and Duplicates are those of
// the first application; the other fields describe the current state.
func (s *Shard) replayResult(op budget.Op, e historyEntry) budget.Result {
	r := s.currentResult(op, e.code)
	r.Granted = e.granted
	for _, i := range e.duplicates {
		if int(i) < len(op.Bills) {
			r.Duplicates = append(r.Duplicates, op.Bills[i].Key)
		}
	}
	if a := s.account(op.Budget); a != nil && e.code == budget.CodeHeldElsewhere {
		r.Holders = a.holderGrants()
	}
	if op.Claim != nil {
		if c := s.claims[recordKey(op.Budget.Organisation, op.Claim.Key)]; c != nil {
			r.Claim = c.record(op.Claim.Key)
		}
	}
	return r
}

// executeRouterOp executes a router's operation. The second value lists the indexes of duplicate bills.
func (s *Shard) executeRouterOp(op budget.Op) (budget.Result, []uint32) {
	switch op.Kind {
	case budget.OpGrant:
		return s.grant(op), nil
	case budget.OpSettle:
		return s.settle(op)
	case budget.OpReturn:
		return s.returnTokens(op), nil
	case budget.OpTransfer:
		return s.transfer(op), nil
	case budget.OpClaim:
		return s.storeClaim(op), nil
	case budget.OpClaimResult:
		return s.storeClaimResult(op), nil
	default:
		return s.releaseClaim(op), nil
	}
}
