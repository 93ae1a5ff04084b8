package ledger

import (
	"maps"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// settle bills requests against the holder's grants. It changes nothing if a grant does not cover its bills. The
// second value holds the positions of the bills that the ledger already had; they cost nothing.
func (s *Shard) settle(op budget.Op) (budget.Result, []uint32) {
	if r, ok := s.covered(op); !ok {
		return r, nil
	}
	if s.Size()+len(op.Bills)*billBytes > MaxSize {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for more bills"}, nil
	}
	var r budget.Result
	var duplicates []uint32
	for i, b := range op.Bills {
		if s.bill(s.account(b.Budget), op.Holder, b) {
			continue
		}
		duplicates = append(duplicates, uint32(i))
		r.Duplicates = append(r.Duplicates, b.Key)
	}
	s.flushed(op)
	for _, b := range op.Bills {
		s.account(b.Budget).check(op)
	}
	d := s.describe(op, budget.CodeOK)
	d.Duplicates = r.Duplicates
	return d, duplicates
}

// covered reports whether the holder's grants cover the bills that the ledger does not have yet.
func (s *Shard) covered(op budget.Op) (budget.Result, bool) {
	sums := map[*account]int64{}
	seen := make(map[uint64]bool, len(op.Bills))
	for _, b := range op.Bills {
		a := s.account(b.Budget)
		if a == nil {
			return budget.Result{Code: budget.CodeBudgetUnknown, Message: "budget " + b.Budget.String()}, false
		}
		key := recordKey(b.Budget.Organisation, b.Key)
		if _, ok := s.bills[key]; ok || seen[key] {
			continue
		}
		seen[key] = true
		sums[a] += b.Tokens
	}
	for a, sum := range sums {
		if held := a.held(op.Holder); sum > held {
			return invalid("holder %s has %d tokens of %s and can't settle %d", op.Holder, held, a.id, sum), false
		}
	}
	return budget.Result{}, true
}

// bill stores the bill and takes its tokens from the holder's grant. It reports false if the ledger has the bill.
func (s *Shard) bill(a *account, holder string, b budget.Bill) bool {
	key := recordKey(b.Budget.Organisation, b.Key)
	if _, ok := s.bills[key]; ok {
		return false
	}
	s.bills[key] = s.clock
	a.bills = append(a.bills, billEntry{key: key, at: s.clock})
	s.size += billBytes
	s.take(a, holder, b.Tokens)
	a.settled += b.Tokens
	s.changes.bill(a)
	return true
}

// flushed records up to when the holder's requests of the organisation are flushed.
func (s *Shard) flushed(op budget.Op) {
	at := op.FlushedMS / 1000
	if at == 0 {
		at = s.clock - int64(budget.LongestRequest.Seconds())
	}
	org := s.organisations[op.Budget.Organisation]
	if org == nil {
		return
	}
	if p := org.holders[op.Holder]; p != nil {
		p.flushed = max(p.flushed, min(at, s.clock))
		s.changes.flush(org, op.Holder)
	}
}

// closeHolder ends a holder: it applies the transfers, settles the bills and returns the rest of its grants in all
// budgets of the shard. Later operations of the holder are refused. Closing again changes nothing. The holder stays
// open if a transfer or a bill is not covered yet, because a transfer from a third holder is missing; the tokens
// then stay held.
func (s *Shard) closeHolder(op budget.Op) budget.Result {
	if s.isClosed(op.Holder) {
		return budget.Result{Code: budget.CodeOK, Message: "holder is closed already"}
	}
	if open := s.applyTransfers(op.Transfers); open > 0 {
		return invalid("%d transfers of holder %s are not covered by its grants", open, op.Holder)
	}
	if r, ok := s.covered(op); !ok {
		return r
	}
	r := budget.Result{Code: budget.CodeOK}
	for _, b := range op.Bills {
		if !s.bill(s.account(b.Budget), op.Holder, b) {
			r.Duplicates = append(r.Duplicates, b.Key)
		}
	}
	s.forget(op)
	s.closed[xxhash.Sum64String(op.Holder)] = s.clock
	s.changes.closed = append(s.changes.closed, xxhash.Sum64String(op.Holder))
	s.size += operatorBytes
	return r
}

// applyTransfers applies the transfers, whose order is not known, and returns the number of those that can't be
// applied. A transfer with a closed holder is complete: closing the giver applied it, and a closed receiver that
// did not bring it has not spent it.
func (s *Shard) applyTransfers(transfers []budget.Transfer) int {
	for {
		var open []budget.Transfer
		for _, t := range transfers {
			r := s.applyRouter(budget.Op{
				ID: t.ID, Kind: budget.OpTransfer, Budget: t.Budget, Holder: t.From, To: t.To, Tokens: t.Tokens,
			})
			if r.Code != budget.CodeOK && r.Code != budget.CodeHolderClosed {
				open = append(open, t)
			}
		}
		if len(open) == 0 || len(open) == len(transfers) {
			return len(open)
		}
		transfers = open
	}
}

// forget returns the holder's grants and drops its history; the closed mark replaces both.
func (s *Shard) forget(op budget.Op) {
	for _, org := range s.organisations {
		if org.holders[op.Holder] == nil {
			continue
		}
		for _, a := range org.accounts {
			s.take(a, op.Holder, a.held(op.Holder))
			a.check(op)
		}
	}
	for key := range s.issuers {
		if ownedBy(key.issuer, op.Holder) {
			delete(s.issuers, key)
		}
	}
}

func (s *Shard) isClosed(holder string) bool {
	_, ok := s.closed[xxhash.Sum64String(holder)]
	return ok
}

// Prune drops records whose retention has ended. A bill is kept for budget.RetentionTime, and until every present
// holder of its organisation has flushed all requests that it began within retryWindow of the bill: such a request
// can carry the same key, also on another budget of the organisation, and must still meet the bill.
func (s *Shard) Prune(now time.Time) {
	s.clock = max(s.clock, now.Unix())
	for _, org := range s.organisations {
		s.pruneBills(org)
	}
	maps.DeleteFunc(s.operators, func(_ uint64, e operatorEntry) bool { return s.clock > e.until })
	maps.DeleteFunc(s.closed, func(_ uint64, at int64) bool { return s.clock-at > int64(ClosedRetention.Seconds()) })
	s.pruneClaims()
	s.pruneIssuers()
}

// retryWindow is the time after a bill during which a repeated request is recognised: a request that begins in it
// ends within the retention time.
const retryWindow = budget.RetentionTime - budget.LongestRequest

func (s *Shard) pruneBills(org *organisation) {
	before := s.clock - int64(budget.RetentionTime.Seconds())
	for _, p := range org.holders {
		before = min(before, p.flushed-int64(retryWindow.Seconds()))
	}
	for _, a := range org.accounts {
		n := 0
		for n < len(a.bills) && a.bills[n].at < before {
			// A delta may hold a newer bill with the same key, stored after this one was dropped.
			if old := a.bills[n]; s.bills[old.key] == old.at {
				delete(s.bills, old.key)
			}
			n++
		}
		if n > 0 {
			a.bills = append([]billEntry(nil), a.bills[n:]...)
		}
	}
}

// pruneIssuers shortens histories without recent operations, and drops those of issuers that hold nothing.
func (s *Shard) pruneIssuers() {
	var present map[string]bool
	for key, h := range s.issuers {
		n := len(h.entries)
		if n == 0 {
			continue
		}
		idle := time.Duration(s.clock-h.entries[n-1].at) * time.Second
		if idle > idleHistory && n > 1 {
			h.floor = h.entries[n-2].sequence
			h.entries = h.entries[n-1:]
		}
		if idle <= IssuerRetention {
			continue
		}
		if present == nil {
			present = s.present()
		}
		holder, _, _ := strings.Cut(key.issuer, "/")
		if !present[holder] {
			delete(s.issuers, key)
		}
	}
}

// present returns the holders of grants.
func (s *Shard) present() map[string]bool {
	present := map[string]bool{}
	for _, org := range s.organisations {
		for holder := range org.holders {
			present[holder] = true
		}
	}
	return present
}
