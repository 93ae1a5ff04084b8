package ledger

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
)

// changes lists the records that changed since the last Delta or Encode.
type changes struct {
	organisations map[string]*organisationChanges
	issuers       map[issuerKey][]uint64
	operatorOps   []uint64
	closedHolders []uint64
	claims        map[uint64]struct{}
}

type organisationChanges struct {
	accounts map[string]*accountChanges
	// holders is the set of holders with a new flush time.
	holders map[string]struct{}
}

type accountChanges struct {
	// holders is the set of holders with a changed grant.
	holders map[string]struct{}
	// bills is the number of new bills, which are the last of the account's bills.
	bills int
}

func newChanges() changes {
	return changes{
		organisations: map[string]*organisationChanges{}, issuers: map[issuerKey][]uint64{},
		claims: map[uint64]struct{}{},
	}
}

func (c *changes) markOrganisation(org *organisation) *organisationChanges {
	o := c.organisations[org.id]
	if o == nil {
		o = &organisationChanges{accounts: map[string]*accountChanges{}, holders: map[string]struct{}{}}
		c.organisations[org.id] = o
	}
	return o
}

func (c *changes) markAccount(a *account) *accountChanges {
	o := c.markOrganisation(a.org)
	changed := o.accounts[a.id.Budget]
	if changed == nil {
		changed = &accountChanges{holders: map[string]struct{}{}}
		o.accounts[a.id.Budget] = changed
	}
	return changed
}

func (c *changes) markGrant(a *account, holder string) { c.markAccount(a).holders[holder] = struct{}{} }

func (c *changes) markBill(a *account) { c.markAccount(a).bills++ }

func (c *changes) markFlush(org *organisation, holder string) {
	c.markOrganisation(org).holders[holder] = struct{}{}
}

// Delta returns the changes since the last call of Delta or Encode in their stored form, or nil if there are none.
// Records that Prune dropped are not listed in it: any reader drops them with its own next Prune.
func (s *Shard) Delta() ([]byte, error) {
	c := s.changes
	if len(c.organisations)+len(c.issuers)+len(c.operatorOps)+len(c.closedHolders)+len(c.claims) == 0 {
		return nil, nil
	}
	e := encoder{shard: s, nameIndexes: map[string]uint32{}}
	e.out.Clock = s.clock
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		e.out.Organisations = append(e.out.Organisations, e.organisationDelta(s.organisations[name], c.organisations[name]))
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.issuers), compareIssuers) {
		if h := s.issuers[key]; h != nil {
			e.out.Issuers = append(e.out.Issuers, e.issuer(key, h.withSequences(c.issuers[key])))
		}
	}
	e.addOperatorOps(c.operatorOps)
	e.addClosedHolders(c.closedHolders)
	for _, key := range slices.Sorted(maps.Keys(c.claims)) {
		if claim := s.claims[key]; claim != nil {
			e.out.Claims = append(e.out.Claims, e.claim(key, claim))
		} else {
			e.out.ReleasedClaims = append(e.out.ReleasedClaims, key)
		}
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&e.out)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode delta: %w", err)
	}
	s.changes = newChanges()
	return value, nil
}

// organisationDelta returns the changed records of the organisation.
func (e *encoder) organisationDelta(org *organisation, c *organisationChanges) *ledgerv1.OrganisationState {
	out := &ledgerv1.OrganisationState{Id: org.id}
	e.addFlushTimes(out, org, slices.Sorted(maps.Keys(c.holders)))
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a, changed := org.accounts[name], c.accounts[name]
		b := e.accountTotals(a)
		for _, holder := range slices.Sorted(maps.Keys(changed.holders)) {
			b.GrantHolders = append(b.GrantHolders, e.nameIndex(holder))
			b.GrantTokens = append(b.GrantTokens, a.grantedTo(holder))
		}
		e.addBills(b, a.bills[len(a.bills)-min(changed.bills, len(a.bills)):])
		out.Budgets = append(out.Budgets, b)
	}
	return out
}

// withSequences returns a history that has only the entries with the given sequence numbers.
func (h *history) withSequences(sequences []uint64) *history {
	out := &history{floor: h.floor}
	slices.Sort(sequences)
	for _, n := range sequences {
		if i, ok := h.find(n); ok {
			out.entries = append(out.entries, h.entries[i])
		}
	}
	return out
}
