package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// Shard is the state of one ledger shard. It is not safe for concurrent use.
type Shard struct {
	// clock is the latest time seen, in seconds since 1970.
	clock         int64
	organisations map[string]*organisation
	issuers       map[issuerKey]*history
	operators     map[uint64]operatorEntry
	// closed maps the hash of a closed instance to the time of the closure.
	closed map[uint64]int64
	// bills maps the keys of all bills of all accounts to their times.
	bills  map[uint64]int64
	claims map[uint64]*claim
	// claimBytes and resultBytes are the sizes of all claims and of the bodies of their results.
	claimBytes, resultBytes int
	// size is the encoded size at the last Encode or Decode plus a bound on what was added since.
	size    int
	changes changes
}

// organisation holds the budgets of one organisation, and the holders that have a grant on any of them.
type organisation struct {
	id       string
	accounts map[string]*account
	holders  map[string]*presence
}

// presence is what the shard knows about a holder of grants on an organisation's budgets.
type presence struct {
	// grants is the number of budgets on which the holder has a grant.
	grants int
	// flushed is the time before which every request of the holder is flushed, in seconds since 1970.
	flushed int64
}

// account is the books of one budget.
type account struct {
	id         budget.ID
	org        *organisation
	preference budget.Preference
	toppedUp   int64
	settled    int64
	grants     []grant
	// bills is ordered by time.
	bills []billEntry
}

type grant struct {
	holder string
	tokens int64
}

type billEntry struct {
	key uint64
	at  int64
}

// New returns an empty shard.
func New() *Shard {
	return &Shard{
		organisations: map[string]*organisation{},
		issuers:       map[issuerKey]*history{},
		operators:     map[uint64]operatorEntry{},
		closed:        map[uint64]int64{},
		bills:         map[uint64]int64{},
		claims:        map[uint64]*claim{},
		changes:       newChanges(),
	}
}

// Apply applies the operation at the given time and returns its result. The time only moves forward: an earlier
// one counts as the latest time seen.
func (s *Shard) Apply(now time.Time, op budget.Op) budget.Result {
	s.clock = max(s.clock, now.Unix())
	if r, bad := validate(op); bad {
		return r
	}
	switch op.Kind {
	case budget.OpCreate, budget.OpTopUp, budget.OpPrefer, budget.OpRelease:
		return s.applyOperator(op)
	case budget.OpCloseHolder:
		return s.closeHolder(op)
	default:
		return s.applyRouter(op)
	}
}

// Read returns the status of the organisation's budgets, sorted by name.
func (s *Shard) Read(organisation string) []budget.Status {
	org := s.organisations[organisation]
	if org == nil {
		return nil
	}
	statuses := make([]budget.Status, 0, len(org.accounts))
	for _, a := range org.accounts {
		statuses = append(statuses, budget.Status{
			ID: a.id, Preference: a.preference, ToppedUp: a.toppedUp, Settled: a.settled, Grants: a.holders(),
		})
	}
	slices.SortFunc(statuses, func(a, b budget.Status) int { return cmp.Compare(a.ID.Budget, b.ID.Budget) })
	return statuses
}

// GrantsOf returns the tokens granted to a holder, sorted by budget.
func (s *Shard) GrantsOf(holder string) []HolderGrant {
	var grants []HolderGrant
	for _, org := range s.organisations {
		for _, a := range org.accounts {
			if g := a.find(holder); g != nil {
				grants = append(grants, HolderGrant{Budget: a.id, Tokens: g.tokens})
			}
		}
	}
	slices.SortFunc(grants, func(a, b HolderGrant) int { return cmp.Compare(a.Budget.String(), b.Budget.String()) })
	return grants
}

// HolderGrant is a holder's grant of one budget.
type HolderGrant struct {
	Budget budget.ID
	Tokens budget.Tokens
}

func (s *Shard) account(id budget.ID) *account {
	if org := s.organisations[id.Organisation]; org != nil {
		return org.accounts[id.Budget]
	}
	return nil
}

func (a *account) find(holder string) *grant {
	for i := range a.grants {
		if a.grants[i].holder == holder {
			return &a.grants[i]
		}
	}
	return nil
}

func (a *account) held(holder string) int64 {
	if g := a.find(holder); g != nil {
		return g.tokens
	}
	return 0
}

func (a *account) granted() int64 {
	var sum int64
	for _, g := range a.grants {
		sum += g.tokens
	}
	return sum
}

func (a *account) unallocated() int64 { return a.toppedUp - a.settled - a.granted() }

func (a *account) holders() []budget.HolderGrant {
	holders := make([]budget.HolderGrant, len(a.grants))
	for i, g := range a.grants {
		holders[i] = budget.HolderGrant{Instance: g.holder, Tokens: g.tokens}
	}
	return holders
}

// add gives tokens to a holder. flushed is used if the holder is new in the organisation; a present one keeps the
// earlier time.
func (s *Shard) add(a *account, holder string, tokens, flushed int64) {
	if tokens == 0 {
		return
	}
	if p := a.org.holders[holder]; p != nil {
		p.flushed = min(p.flushed, flushed)
	} else {
		a.org.holders[holder] = &presence{flushed: flushed}
		s.size += grantBytes + len(holder)
	}
	s.setGrant(a, holder, a.held(holder)+tokens)
	s.changes.flush(a.org, holder)
}

// take removes tokens from a holder; the caller has checked that it holds them.
func (s *Shard) take(a *account, holder string, tokens int64) {
	if tokens == 0 {
		return
	}
	held := a.held(holder)
	if held < tokens {
		panic(fmt.Sprintf("ledger: holder %s of budget %s has %d tokens and loses %d", holder, a.id, held, tokens))
	}
	s.setGrant(a, holder, held-tokens)
}

// setGrant sets a holder's grant and keeps the holder's presence in the organisation.
func (s *Shard) setGrant(a *account, holder string, tokens int64) {
	s.changes.grant(a, holder)
	g := a.find(holder)
	switch {
	case g != nil && tokens != 0:
		g.tokens = tokens
	case g != nil:
		a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.holder == holder })
		p := a.org.holders[holder]
		if p.grants--; p.grants == 0 {
			delete(a.org.holders, holder)
		}
	case tokens != 0:
		a.grants = append(a.grants, grant{holder: holder, tokens: tokens})
		a.org.holders[holder].grants++
		s.size += grantBytes
	}
}

// check panics if the account's books are wrong.
func (a *account) check(op budget.Op) {
	sum := a.settled
	for _, g := range a.grants {
		if g.tokens < 0 {
			panic(fmt.Sprintf("ledger: holder %s of budget %s has %d tokens after %s %s", g.holder, a.id, g.tokens,
				op.Kind, op.ID))
		}
		sum += g.tokens
	}
	if sum > a.toppedUp || a.settled < 0 {
		panic(fmt.Sprintf("ledger: budget %s: settled %d + grants %d > topped up %d after %s %s", a.id, a.settled,
			sum-a.settled, a.toppedUp, op.Kind, op.ID))
	}
}

// result returns the result of an operation on the account.
func (a *account) result(code budget.Code) budget.Result {
	return budget.Result{Code: code, Unallocated: a.unallocated(), Preference: a.preference}
}
