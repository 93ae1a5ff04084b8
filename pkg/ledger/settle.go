package ledger

import (
	"maps"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// settle charges bills to the holder's grants. It changes nothing if a grant does not cover its bills. The second
// value lists the indexes in op.Bills of bills that the shard had stored before; they are not charged again.
func (s *Shard) settle(op budget.Op) (budget.Result, []uint32) {
	if r, ok := s.checkCoverage(op); !ok {
		return r, nil
	}
	if s.Size()+len(op.Bills)*billBytes > MaxSize {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for more bills"}, nil
	}
	var r budget.Result
	var duplicates []uint32
	for i, b := range op.Bills {
		if s.addBill(s.account(b.Budget), op.Holder, b) {
			continue
		}
		duplicates = append(duplicates, uint32(i))
		r.Duplicates = append(r.Duplicates, b.Key)
	}
	s.recordFlush(op)
	for _, b := range op.Bills {
		s.account(b.Budget).checkInvariant(op)
	}
	result := s.currentResult(op, budget.CodeOK)
	result.Duplicates = r.Duplicates
	return result, duplicates
}

// checkCoverage reports whether the holder's grants cover the bills that the shard has not stored yet. If they don't,
// or if a budget is unknown, it returns the result to refuse the operation with.
func (s *Shard) checkCoverage(op budget.Op) (budget.Result, bool) {
	sums := map[*account]int64{}
	newKeys := make(map[uint64]bool, len(op.Bills))
	for _, b := range op.Bills {
		a := s.account(b.Budget)
		if a == nil {
			return budget.Result{Code: budget.CodeBudgetUnknown, Message: "budget " + b.Budget.String()}, false
		}
		key := recordKey(b.Budget.Organisation, b.Key)
		if _, ok := s.bills[key]; ok || newKeys[key] {
			continue
		}
		newKeys[key] = true
		sums[a] += b.Tokens
	}
	for a, sum := range sums {
		if granted := a.grantedTo(op.Holder); sum > granted {
			return invalid("holder %s has %d tokens of %s and can't settle %d", op.Holder, granted, a.id, sum), false
		}
	}
	return budget.Result{}, true
}

// addBill stores the bill and removes its tokens from the holder's grant. It reports false, and changes nothing, if the
// bill is stored already.
func (s *Shard) addBill(a *account, holder string, b budget.Bill) bool {
	key := recordKey(b.Budget.Organisation, b.Key)
	if _, ok := s.bills[key]; ok {
		return false
	}
	s.bills[key] = s.clock
	a.bills = append(a.bills, billEntry{key: key, at: s.clock})
	s.size += billBytes
	s.removeTokens(a, holder, b.Tokens)
	a.settled += b.Tokens
	s.changes.markBill(a)
	return true
}

// recordFlush raises the holder's flush time in the organisation to op.FlushedMS or its default.
func (s *Shard) recordFlush(op budget.Op) {
	at := op.FlushedMS / 1000
	if at == 0 {
		at = s.clock - int64(budget.LongestRequest.Seconds())
	}
	org := s.organisations[op.Budget.Organisation]
	if org == nil {
		return
	}
	if h := org.holders[op.Holder]; h != nil {
		h.flushedUntil = max(h.flushedUntil, min(at, s.clock))
		s.changes.markFlush(org, op.Holder)
	}
}

// closeHolder closes a holder: it applies the transfers, settles the bills and returns the rest of the holder's grants
// on all budgets of the shard. Later operations of the holder are refused. Closing it again changes nothing. If the
// grants don't cover a transfer or a bill, because a transfer from a third holder has not been applied yet, the holder
// stays open and keeps its tokens.
func (s *Shard) closeHolder(op budget.Op) budget.Result {
	if s.isClosed(op.Holder) {
		return budget.Result{Code: budget.CodeOK, Message: "holder is closed already"}
	}
	if uncovered := s.applyTransfers(op.Transfers); uncovered > 0 {
		return invalid("%d transfers of holder %s are not covered by its grants", uncovered, op.Holder)
	}
	if r, ok := s.checkCoverage(op); !ok {
		return r
	}
	r := budget.Result{Code: budget.CodeOK}
	for _, b := range op.Bills {
		if !s.addBill(s.account(b.Budget), op.Holder, b) {
			r.Duplicates = append(r.Duplicates, b.Key)
		}
	}
	s.removeHolder(op)
	s.closedHolders[xxhash.Sum64String(op.Holder)] = s.clock
	s.changes.closedHolders = append(s.changes.closedHolders, xxhash.Sum64String(op.Holder))
	s.size += operatorBytes
	return r
}

// applyTransfers applies the transfers, whose order is not known, and returns the number of those that can't be
// applied. A transfer from or to a closed holder needs nothing more: closing the sending holder applied it, and a
// receiver that was closed without reporting it has not spent its tokens.
func (s *Shard) applyTransfers(transfers []budget.Transfer) int {
	for {
		var uncovered []budget.Transfer
		for _, t := range transfers {
			r := s.applyRouterOp(budget.Op{
				ID: t.ID, Kind: budget.OpTransfer, Budget: t.Budget, Holder: t.From, To: t.To, Tokens: t.Tokens,
			})
			if r.Code != budget.CodeOK && r.Code != budget.CodeHolderClosed {
				uncovered = append(uncovered, t)
			}
		}
		if len(uncovered) == 0 || len(uncovered) == len(transfers) {
			return len(uncovered)
		}
		transfers = uncovered
	}
}

// removeHolder returns the holder's grants to their budgets and drops its history. The mark in closedHolders then
// refuses its operations.
func (s *Shard) removeHolder(op budget.Op) {
	for _, org := range s.organisations {
		if org.holders[op.Holder] == nil {
			continue
		}
		for _, a := range org.accounts {
			s.removeTokens(a, op.Holder, a.grantedTo(op.Holder))
			a.checkInvariant(op)
		}
	}
	for key := range s.issuers {
		if issuerBelongsTo(key.issuer, op.Holder) {
			delete(s.issuers, key)
		}
	}
}

func (s *Shard) isClosed(holder string) bool {
	_, ok := s.closedHolders[xxhash.Sum64String(holder)]
	return ok
}

// Prune drops records whose retention has ended. A bill is kept for budget.BillRetention, and until every holder of a
// grant of its organisation has flushed all requests that it began up to retryWindow after the bill. Such a request can
// have the same key, also on another budget of the organisation, and must then be recognised as a duplicate.
func (s *Shard) Prune(now time.Time) {
	s.clock = max(s.clock, now.Unix())
	for _, org := range s.organisations {
		s.pruneBills(org)
	}
	maps.DeleteFunc(s.operatorOps, func(_ uint64, e operatorOp) bool { return s.clock > e.until })
	maps.DeleteFunc(s.closedHolders, func(_ uint64, at int64) bool {
		return s.clock-at > int64(ClosedRetention.Seconds())
	})
	s.pruneClaims()
	s.pruneIssuers()
}

// retryWindow is the time after a bill during which a repeated request is recognised: a request that begins in it ends
// within budget.BillRetention.
const retryWindow = budget.BillRetention - budget.LongestRequest

func (s *Shard) pruneBills(org *organisation) {
	cutoff := s.clock - int64(budget.BillRetention.Seconds())
	for _, h := range org.holders {
		cutoff = min(cutoff, h.flushedUntil-int64(retryWindow.Seconds()))
	}
	for _, a := range org.accounts {
		n := 0
		for n < len(a.bills) && a.bills[n].at < cutoff {
			// A delta may contain a newer bill with the same key, stored after this one was dropped.
			if bill := a.bills[n]; s.bills[bill.key] == bill.at {
				delete(s.bills, bill.key)
			}
			n++
		}
		if n > 0 {
			a.bills = append([]billEntry(nil), a.bills[n:]...)
		}
	}
}

// pruneIssuers shortens histories without recent operations, and drops those of issuers without grants after
// IssuerRetention.
func (s *Shard) pruneIssuers() {
	var holders map[string]bool
	for key, h := range s.issuers {
		n := len(h.entries)
		if n == 0 {
			continue
		}
		idle := time.Duration(s.clock-h.entries[n-1].at) * time.Second
		if idle > historyIdleTime && n > 1 {
			h.floor = h.entries[n-2].sequence
			h.entries = h.entries[n-1:]
		}
		if idle <= IssuerRetention {
			continue
		}
		if holders == nil {
			holders = s.grantHolders()
		}
		holder, _, _ := strings.Cut(key.issuer, "/")
		if !holders[holder] {
			delete(s.issuers, key)
		}
	}
}

// grantHolders returns the set of holders that have a grant.
func (s *Shard) grantHolders() map[string]bool {
	holders := map[string]bool{}
	for _, org := range s.organisations {
		for holder := range org.holders {
			holders[holder] = true
		}
	}
	return holders
}
