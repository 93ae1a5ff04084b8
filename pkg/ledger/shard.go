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
	// clock is the latest time passed to Apply or Prune, in seconds since 1970.
	clock         int64
	organisations map[string]*organisation
	issuers       map[issuerKey]*history
	operatorOps   map[uint64]operatorOp
	// closedHolders maps the hash of a closed holder's name to the time of closing, in seconds since 1970.
	closedHolders map[uint64]int64
	// bills maps the record keys of all bills of all accounts to their times, in seconds since 1970.
	bills map[uint64]int64
	// claims maps record keys to claims.
	claims map[uint64]*claim
	// claimBytes is the total size of all claims including the bodies of their results, resultBytes that of the
	// bodies alone.
	claimBytes, resultBytes int
	// size is an upper bound of the encoded size in bytes: that of the last Encode or Decode plus a bound on what
	// was added since.
	size    int
	changes changes
}

// organisation holds the accounts of one organisation by budget name, and the holders that have a grant on any of them.
type organisation struct {
	id       string
	accounts map[string]*account
	holders  map[string]*holderState
}

// holderState describes a holder that has a grant on at least one of an organisation's budgets.
type holderState struct {
	// grants is the number of budgets on which the holder has a grant.
	grants int
	// flushedUntil, in seconds since 1970: every request that the holder reserved before it is cancelled or billed in
	// the shard.
	flushedUntil int64
}

// account is the state of one budget.
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
	// at is the time of the bill in seconds since 1970.
	at int64
}

// New returns an empty shard.
func New() *Shard {
	return &Shard{
		organisations: map[string]*organisation{},
		issuers:       map[issuerKey]*history{},
		operatorOps:   map[uint64]operatorOp{},
		closedHolders: map[uint64]int64{},
		bills:         map[uint64]int64{},
		claims:        map[uint64]*claim{},
		changes:       newChanges(),
	}
}

// Apply applies the operation at the given time and returns its result. The shard's clock never goes back: if now is
// earlier than the clock, the clock is used. Apply panics if the operation breaks the package's invariant.
func (s *Shard) Apply(now time.Time, op budget.Op) budget.Result {
	s.clock = max(s.clock, now.Unix())
	if r, bad := validate(op); bad {
		return r
	}
	switch op.Kind {
	case budget.OpCreate, budget.OpTopUp, budget.OpPrefer, budget.OpRelease:
		return s.applyOperatorOp(op)
	case budget.OpCloseHolder:
		return s.closeHolder(op)
	default:
		return s.applyRouterOp(op)
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
			ID: a.id, Preference: a.preference, ToppedUp: a.toppedUp, Settled: a.settled, Grants: a.holderGrants(),
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
			if g := a.findGrant(holder); g != nil {
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

func (a *account) findGrant(holder string) *grant {
	for i := range a.grants {
		if a.grants[i].holder == holder {
			return &a.grants[i]
		}
	}
	return nil
}

func (a *account) grantedTo(holder string) int64 {
	if g := a.findGrant(holder); g != nil {
		return g.tokens
	}
	return 0
}

func (a *account) totalGranted() int64 {
	var sum int64
	for _, g := range a.grants {
		sum += g.tokens
	}
	return sum
}

func (a *account) unallocated() int64 { return a.toppedUp - a.settled - a.totalGranted() }

func (a *account) holderGrants() []budget.HolderGrant {
	holders := make([]budget.HolderGrant, len(a.grants))
	for i, g := range a.grants {
		holders[i] = budget.HolderGrant{Instance: g.holder, Tokens: g.tokens}
	}
	return holders
}

// grantTokens adds tokens to the holder's grant. A holder that is new in the organisation starts with the given
// flushedUntil; for an existing one the earlier time is kept.
func (s *Shard) grantTokens(a *account, holder string, tokens, flushedUntil int64) {
	if tokens == 0 {
		return
	}
	if h := a.org.holders[holder]; h != nil {
		h.flushedUntil = min(h.flushedUntil, flushedUntil)
	} else {
		a.org.holders[holder] = &holderState{flushedUntil: flushedUntil}
		s.size += grantBytes + len(holder)
	}
	s.setGrant(a, holder, a.grantedTo(holder)+tokens)
	s.changes.markFlush(a.org, holder)
}

// removeTokens removes tokens from the holder's grant. The caller must have checked that the grant covers them;
// otherwise it panics.
func (s *Shard) removeTokens(a *account, holder string, tokens int64) {
	if tokens == 0 {
		return
	}
	granted := a.grantedTo(holder)
	if granted < tokens {
		panic(fmt.Sprintf("ledger: holder %s of budget %s has %d tokens, fewer than the %d to remove", holder, a.id, granted,
			tokens))
	}
	s.setGrant(a, holder, granted-tokens)
}

// setGrant sets a holder's grant and updates the organisation's map of holders. A holder without a grant on any budget
// is removed from that map; a new one must have been added to it before.
func (s *Shard) setGrant(a *account, holder string, tokens int64) {
	s.changes.markGrant(a, holder)
	g := a.findGrant(holder)
	switch {
	case g != nil && tokens != 0:
		g.tokens = tokens
	case g != nil:
		a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.holder == holder })
		h := a.org.holders[holder]
		if h.grants--; h.grants == 0 {
			delete(a.org.holders, holder)
		}
	case tokens != 0:
		a.grants = append(a.grants, grant{holder: holder, tokens: tokens})
		a.org.holders[holder].grants++
		s.size += grantBytes
	}
}

// checkInvariant panics if a grant or the settled amount is negative, or if settled + sum of grants > topped up.
func (a *account) checkInvariant(op budget.Op) {
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

// result returns a result with the code and the account's current state.
func (a *account) result(code budget.Code) budget.Result {
	return budget.Result{Code: code, Unallocated: a.unallocated(), Preference: a.preference}
}
