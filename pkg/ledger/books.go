package ledger

import (
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// operate executes an operator's operation.
func (s *Shard) operate(op budget.Op) budget.Result {
	if op.Kind == budget.OpCreate {
		return s.create(op)
	}
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	s.changes.account(a)
	switch op.Kind {
	case budget.OpTopUp:
		if a.toppedUp > maxTokens-op.Tokens {
			return invalid("budget %s would exceed %d tokens", a.id, maxTokens)
		}
		a.toppedUp += op.Tokens
	case budget.OpPrefer:
		a.preference = preferenceOf(op.Preference)
	case budget.OpRelease:
		s.take(a, op.Holder, a.held(op.Holder))
	}
	a.check(op)
	return a.result(budget.CodeOK)
}

func (s *Shard) create(op budget.Op) budget.Result {
	if a := s.account(op.Budget); a != nil {
		return a.result(budget.CodeExists)
	}
	if s.Size() > growthSize {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for another budget"}
	}
	s.open(&account{id: op.Budget, preference: preferenceOf(op.Preference)})
	return s.account(op.Budget).result(budget.CodeOK)
}

func (s *Shard) open(a *account) {
	a.org = s.organisation(a.id.Organisation)
	a.org.accounts[a.id.Budget] = a
	s.size += accountBytes + len(a.id.Budget)
	s.changes.account(a)
}

func (s *Shard) organisation(id string) *organisation {
	org := s.organisations[id]
	if org == nil {
		org = &organisation{id: id, accounts: map[string]*account{}, holders: map[string]*presence{}}
		s.organisations[id] = org
		s.size += accountBytes + len(id)
	}
	return org
}

func preferenceOf(p budget.Preference) budget.Preference {
	if p == "" {
		return budget.AvoidOverspend
	}
	return p
}

// grant gives the holder what it wants, at least its need and at most its share of the unallocated remainder.
// The share is half of the remainder divided by the number of holders, but not less than the need.
func (s *Shard) grant(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if s.Size() > growthSize {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for the bills of another grant"}
	}
	rest := a.unallocated()
	if op.Need > rest {
		code := budget.CodeExhausted
		if op.Need <= rest+a.granted()-a.held(op.Holder) {
			code = budget.CodeHeldElsewhere
		}
		r := a.result(code)
		r.Holders = a.holders()
		return r
	}
	holders := int64(len(a.grants))
	if a.find(op.Holder) == nil {
		holders++
	}
	granted := max(op.Need, min(op.Want, rest/2/holders))
	s.add(a, op.Holder, granted, s.clock)
	a.check(op)
	r := a.result(budget.CodeOK)
	r.Granted = granted
	return r
}

// giveBack returns tokens of a grant to the budget.
func (s *Shard) giveBack(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if a.held(op.Holder) < op.Tokens {
		return invalid("holder %s has %d tokens of %s and can't return %d", op.Holder, a.held(op.Holder), a.id, op.Tokens)
	}
	s.take(a, op.Holder, op.Tokens)
	a.check(op)
	return a.result(budget.CodeOK)
}

// transfer moves tokens from one holder to another. The receiver may have spent them already, so it counts as
// flushed only up to the giver's flush time, which is before the transfer.
func (s *Shard) transfer(op budget.Op) budget.Result {
	a := s.account(op.Budget)
	if a == nil {
		return budget.Result{Code: budget.CodeBudgetUnknown}
	}
	if s.isClosed(op.To) {
		return budget.Result{Code: budget.CodeHolderClosed, Message: "receiver is closed"}
	}
	if a.held(op.Holder) < op.Tokens {
		return invalid("holder %s has %d tokens of %s and can't transfer %d", op.Holder, a.held(op.Holder), a.id, op.Tokens)
	}
	if op.Tokens > 0 {
		s.add(a, op.To, op.Tokens, a.org.holders[op.Holder].flushed)
		s.take(a, op.Holder, op.Tokens)
	}
	a.check(op)
	return a.result(budget.CodeOK)
}
