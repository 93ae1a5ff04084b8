package ledger

import (
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// executeOperatorOp executes an operation that an operator requested.
func (s *Shard) executeOperatorOp(op budget.Op) budget.Result {
	if op.Kind == budget.OpCreate {
		return s.createBudget(op)
	}
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	s.changes.markAccount(a)
	switch op.Kind {
	case budget.OpTopUp:
		if a.toppedUp > maxTokens-op.Tokens {
			return invalid("budget %s would exceed %d tokens", a.id, maxTokens)
		}
		a.toppedUp += op.Tokens
	case budget.OpPrefer:
		a.preference = preferenceOrDefault(op.Preference)
	case budget.OpRelease:
		s.removeTokens(a, op.Holder, a.grantedTo(op.Holder))
	}
	a.checkInvariant(op)
	return a.result(budget.CodeOK)
}

func (s *Shard) createBudget(op budget.Op) budget.Result {
	if a := s.account(op.Budget); a != nil {
		return a.result(budget.CodeExists)
	}
	if s.Size() > maxSizeForNewRecords {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for another budget"}
	}
	s.addAccount(&account{id: op.Budget, preference: preferenceOrDefault(op.Preference)})
	return s.account(op.Budget).result(budget.CodeOK)
}

func (s *Shard) addAccount(a *account) {
	a.org = s.ensureOrganisation(a.id.Organisation)
	a.org.accounts[a.id.Budget] = a
	s.size += accountBytes + len(a.id.Budget)
	s.changes.markAccount(a)
}

func (s *Shard) ensureOrganisation(id string) *organisation {
	org := s.organisations[id]
	if org == nil {
		org = &organisation{id: id, accounts: map[string]*account{}, holders: map[string]*holderState{}}
		s.organisations[id] = org
		s.size += accountBytes + len(id)
	}
	return org
}

func preferenceOrDefault(p budget.Preference) budget.Preference {
	if p == "" {
		return budget.AvoidOverspend
	}
	return p
}

// grant adds tokens to the holder's grant: op.Want limited to the holder's share of the unallocated tokens, but at
// least op.Need. The share is half of the unallocated tokens divided by the number of holders.
func (s *Shard) grant(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if s.Size() > maxSizeForNewRecords {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for the bills of another grant"}
	}
	unallocated := a.unallocated()
	if op.Need > unallocated {
		code := budget.CodeExhausted
		if op.Need <= unallocated+a.totalGranted()-a.grantedTo(op.Holder) {
			code = budget.CodeHeldElsewhere
		}
		r := a.result(code)
		r.Holders = a.holderGrants()
		return r
	}
	holders := int64(len(a.grants))
	if a.findGrant(op.Holder) == nil {
		holders++
	}
	granted := max(op.Need, min(op.Want, unallocated/2/holders))
	s.grantTokens(a, op.Holder, granted, s.clock)
	a.checkInvariant(op)
	r := a.result(budget.CodeOK)
	r.Granted = granted
	return r
}

// returnTokens returns tokens of a grant to the budget.
func (s *Shard) returnTokens(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if a.grantedTo(op.Holder) < op.Tokens {
		return invalid("holder %s has %d tokens of %s and can't return %d", op.Holder,
			a.grantedTo(op.Holder), a.id, op.Tokens)
	}
	s.removeTokens(a, op.Holder, op.Tokens)
	a.checkInvariant(op)
	return a.result(budget.CodeOK)
}

// transfer moves tokens from one holder to another. The receiver may already have spent them, so its flush time is
// lowered to that of the sending holder, which is before the transfer.
func (s *Shard) transfer(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if s.isClosed(op.To) {
		return budget.Result{Code: budget.CodeHolderClosed, Message: "receiver is closed"}
	}
	if a.grantedTo(op.Holder) < op.Tokens {
		return invalid("holder %s has %d tokens of %s and can't transfer %d", op.Holder,
			a.grantedTo(op.Holder), a.id, op.Tokens)
	}
	if op.Tokens > 0 {
		s.grantTokens(a, op.To, op.Tokens, a.org.holders[op.Holder].flushedUntil)
		s.removeTokens(a, op.Holder, op.Tokens)
	}
	a.checkInvariant(op)
	return a.result(budget.CodeOK)
}
