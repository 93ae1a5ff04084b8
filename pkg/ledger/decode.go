package ledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// ErrCorrupt means that a stored value is not a valid shard or head of the known format.
var ErrCorrupt = errors.New("ledger: stored shard is corrupt or has an unknown format")

// Decode returns the shard stored in value. Errors wrap ErrCorrupt.
func Decode(value []byte) (*Shard, error) {
	s := New()
	if err := s.merge(value); err != nil {
		return nil, err
	}
	s.size = s.sizeBound(len(value))
	return s, nil
}

// merge adds the records of a stored shard or delta and replaces those that changed.
func (s *Shard) merge(value []byte) error {
	in := &ledgerv1.ShardState{}
	if err := proto.Unmarshal(value, in); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if !isConsistent(in) {
		return fmt.Errorf("%w: list lengths, name indexes or codes are inconsistent", ErrCorrupt)
	}
	s.clock = max(s.clock, in.Clock)
	for _, org := range in.Organisations {
		s.mergeOrganisation(org, in.Names)
	}
	s.mergeClosed(in)
	for _, i := range in.Issuers {
		parts := make([]string, len(i.Issuer))
		for n, index := range i.Issuer {
			parts[n] = in.Names[index]
		}
		s.mergeIssuer(issuerKey{strings.Join(parts, "/"), in.Names[i.Organisation]}, i)
	}
	for i, id := range in.OperatorIds {
		s.operatorOps[id] = operatorOp{until: s.clock + int64(in.OperatorKeeps[i]), code: storedCodes[in.OperatorCodes[i]]}
		s.size += operatorBytes
	}
	for _, key := range in.ReleasedClaims {
		if c := s.claims[key]; c != nil {
			s.dropClaim(key, c)
		}
	}
	for _, c := range in.Claims {
		s.mergeClaim(c, in.Names)
	}
	s.changes = newChanges()
	return nil
}

// isConsistent reports whether parallel lists have equal lengths and all indexes and codes are in range.
func isConsistent(in *ledgerv1.ShardState) bool {
	ok := len(in.OperatorIds) == len(in.OperatorKeeps) && len(in.OperatorIds) == len(in.OperatorCodes) &&
		len(in.Closed) == len(in.ClosedAges) && validCodes(in.OperatorCodes)
	checkNames := func(indexes []uint32) {
		for _, n := range indexes {
			ok = ok && int(n) < len(in.Names)
		}
	}
	for _, org := range in.Organisations {
		checkNames(org.Holders)
		ok = ok && len(org.Holders) == len(org.FlushAges)
		for _, b := range org.Budgets {
			checkNames(b.GrantHolders)
			ok = ok && len(b.GrantHolders) == len(b.GrantTokens) && len(b.BillKeys) == len(b.BillDeltas)
		}
	}
	for _, i := range in.Issuers {
		n := len(i.Sequences)
		ok = ok && n == len(i.Ages) && n == len(i.Codes) && n == len(i.Granted) && len(i.Duplicates)%2 == 0 &&
			validCodes(i.Codes) && int(i.Organisation) < len(in.Names)
		checkNames(i.Issuer)
		for d := 0; d < len(i.Duplicates); d += 2 {
			ok = ok && int(i.Duplicates[d]) < n
		}
	}
	for _, c := range in.Claims {
		ok = ok && int(c.Owner) < len(in.Names)
	}
	return ok
}

func validCodes(numbers []uint32) bool {
	for _, n := range numbers {
		if int(n) >= len(storedCodes) {
			return false
		}
	}
	return true
}

// mergeClosed marks holders as closed and drops their histories. Changes of their grants are merged with the budgets.
func (s *Shard) mergeClosed(in *ledgerv1.ShardState) {
	for i, id := range in.Closed {
		s.closedHolders[id] = s.clock - int64(in.ClosedAges[i])
		s.size += operatorBytes
	}
	if len(in.Closed) == 0 {
		return
	}
	maps.DeleteFunc(s.issuers, func(key issuerKey, _ *history) bool {
		holder, _, _ := strings.Cut(key.issuer, "/")
		return slices.Contains(in.Closed, xxhash.Sum64String(holder))
	})
}

// mergeOrganisation merges flush times after grants, because the grants determine which holders the organisation has.
func (s *Shard) mergeOrganisation(in *ledgerv1.OrganisationState, names []string) {
	org := s.ensureOrganisation(in.Id)
	for _, b := range in.Budgets {
		s.mergeAccount(org, b, names)
	}
	for i, n := range in.Holders {
		if h := org.holders[names[n]]; h != nil {
			h.flushedUntil = s.clock - in.FlushAges[i]
		}
	}
}

func (s *Shard) mergeAccount(org *organisation, in *ledgerv1.BudgetState, names []string) {
	a := org.accounts[in.Name]
	if a == nil {
		s.addAccount(&account{id: budget.ID{Organisation: org.id, Budget: in.Name}})
		a = org.accounts[in.Name]
	}
	a.preference, a.toppedUp, a.settled = budget.AvoidOverspend, in.ToppedUp, in.Settled
	if in.AvoidRefusal {
		a.preference = budget.AvoidRefusal
	}
	for i, n := range in.GrantHolders {
		if holder := names[n]; in.GrantTokens[i] != 0 && org.holders[holder] == nil {
			org.holders[holder] = &holderState{}
		}
		s.setGrant(a, names[n], in.GrantTokens[i])
	}
	at := s.clock
	for i, key := range in.BillKeys {
		if i == 0 {
			at -= int64(in.BillDeltas[i])
		} else {
			at += int64(in.BillDeltas[i])
		}
		a.bills = append(a.bills, billEntry{key: key, at: at})
		s.bills[key] = at
	}
	s.size += billBytes * len(in.BillKeys)
}

// mergeIssuer adds entries and drops those up to the new floor.
func (s *Shard) mergeIssuer(key issuerKey, in *ledgerv1.IssuerState) {
	s.addHistory(key, &history{})
	h := s.issuers[key]
	h.floor = max(h.floor, in.Floor)
	last := in.Floor
	for i, d := range in.Sequences {
		last += d
		entry := historyEntry{
			sequence: last, at: s.clock - int64(in.Ages[i]), code: storedCodes[in.Codes[i]], granted: in.Granted[i],
		}
		for n := 0; n < len(in.Duplicates); n += 2 {
			if int(in.Duplicates[n]) == i {
				entry.duplicates = append(entry.duplicates, in.Duplicates[n+1])
			}
		}
		if at, found := h.find(last); !found {
			h.entries = slices.Insert(h.entries, at, entry)
		}
	}
	h.entries = slices.DeleteFunc(h.entries, func(e historyEntry) bool { return e.sequence <= h.floor })
	s.size += historyEntryBytes*len(in.Sequences) + historyEntryBytes*len(in.Duplicates)
}

func (s *Shard) mergeClaim(in *ledgerv1.ClaimState, names []string) {
	if c := s.claims[in.Key]; c != nil {
		s.dropClaim(in.Key, c)
	}
	c := &claim{
		id: fullID(in.Id, names[in.Owner]), owner: names[in.Owner], bodyHash: in.BodyHash, at: s.clock - int64(in.Age),
	}
	if r := in.Result; r != nil {
		c.result = &budget.StoredResult{
			Status: int(r.Status), ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
		}
	}
	s.claims[in.Key] = c
	s.addClaimSize(c)
}
