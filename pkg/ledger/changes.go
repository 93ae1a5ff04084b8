package ledger

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
)

// changes are the records that changed since the last Delta or Encode.
type changes struct {
	organisations map[string]*organisationChanges
	issuers       map[issuerKey][]uint64
	operators     []uint64
	closed        []uint64
	claims        map[uint64]struct{}
}

type organisationChanges struct {
	accounts map[string]*accountChanges
	// holders are those with a new flush time.
	holders map[string]struct{}
}

type accountChanges struct {
	holders map[string]struct{}
	// bills is the number of new bills, which are the last ones of the account.
	bills int
}

func newChanges() changes {
	return changes{
		organisations: map[string]*organisationChanges{}, issuers: map[issuerKey][]uint64{},
		claims: map[uint64]struct{}{},
	}
}

func (c *changes) organisation(org *organisation) *organisationChanges {
	o := c.organisations[org.id]
	if o == nil {
		o = &organisationChanges{accounts: map[string]*accountChanges{}, holders: map[string]struct{}{}}
		c.organisations[org.id] = o
	}
	return o
}

func (c *changes) account(a *account) *accountChanges {
	o := c.organisation(a.org)
	changed := o.accounts[a.id.Budget]
	if changed == nil {
		changed = &accountChanges{holders: map[string]struct{}{}}
		o.accounts[a.id.Budget] = changed
	}
	return changed
}

func (c *changes) grant(a *account, holder string) { c.account(a).holders[holder] = struct{}{} }

func (c *changes) bill(a *account) { c.account(a).bills++ }

func (c *changes) flush(org *organisation, holder string) {
	c.organisation(org).holders[holder] = struct{}{}
}

// Delta returns the changes since the last call of Delta or Encode in their stored form, or nil if there are none.
// What Prune dropped is not part of it: the next Prune of any reader drops it again.
func (s *Shard) Delta() ([]byte, error) {
	c := s.changes
	if len(c.organisations)+len(c.issuers)+len(c.operators)+len(c.closed)+len(c.claims) == 0 {
		return nil, nil
	}
	e := encoder{shard: s, positions: map[string]uint32{}}
	e.out.Clock = s.clock
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		e.out.Organisations = append(e.out.Organisations, e.changedOrganisation(s.organisations[name], c.organisations[name]))
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.issuers), compareIssuers) {
		if h := s.issuers[key]; h != nil {
			e.out.Issuers = append(e.out.Issuers, e.issuer(key, h.only(c.issuers[key])))
		}
	}
	e.operators(c.operators)
	e.closed(c.closed)
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

func (e *encoder) changedOrganisation(org *organisation, c *organisationChanges) *ledgerv1.OrganisationState {
	out := &ledgerv1.OrganisationState{Id: org.id}
	e.holders(out, org, slices.Sorted(maps.Keys(c.holders)))
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a, changed := org.accounts[name], c.accounts[name]
		b := e.head(a)
		for _, holder := range slices.Sorted(maps.Keys(changed.holders)) {
			b.GrantHolders = append(b.GrantHolders, e.name(holder))
			b.GrantTokens = append(b.GrantTokens, a.held(holder))
		}
		e.bills(b, a.bills[len(a.bills)-min(changed.bills, len(a.bills)):])
		out.Budgets = append(out.Budgets, b)
	}
	return out
}

// only returns a history with the entries of the given sequence numbers.
func (h *history) only(sequences []uint64) *history {
	out := &history{floor: h.floor}
	slices.Sort(sequences)
	for _, n := range sequences {
		if i, ok := h.find(n); ok {
			out.entries = append(out.entries, h.entries[i])
		}
	}
	return out
}
