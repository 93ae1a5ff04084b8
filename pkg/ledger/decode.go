package ledger

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// ErrCorrupt means that a stored value is not a shard of the known format.
var ErrCorrupt = errors.New("ledger: stored shard is corrupt or of another format")

// Decode returns the shard stored in value. Errors wrap ErrCorrupt.
func Decode(value []byte) (*Shard, error) {
	in := &ledgerv1.ShardState{}
	if err := proto.Unmarshal(value, in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if in.Format != format || !consistent(in) {
		return nil, fmt.Errorf("%w: format %d", ErrCorrupt, in.Format)
	}
	s := New()
	s.clock = in.Clock
	for _, org := range in.Organisations {
		for _, b := range org.Budgets {
			s.decodeAccount(org.Id, b, in.Names)
		}
	}
	for _, i := range in.Issuers {
		parts := make([]string, len(i.Issuer))
		for n, position := range i.Issuer {
			parts[n] = in.Names[position]
		}
		s.issuers[issuerKey{strings.Join(parts, "/"), in.Names[i.Organisation]}] = s.decodeIssuer(i)
	}
	for i, id := range in.OperatorIds {
		s.operators[id] = operatorEntry{until: s.clock + int64(in.OperatorKeeps[i]), code: codes[in.OperatorCodes[i]]}
	}
	for i, id := range in.Closed {
		s.closed[id] = s.clock - int64(in.ClosedAges[i])
	}
	for _, c := range in.Claims {
		s.decodeClaim(c, in.Names)
	}
	s.size = s.bound(len(value))
	return s, nil
}

// consistent checks the lengths of parallel lists and the positions in them.
func consistent(in *ledgerv1.ShardState) bool {
	ok := len(in.OperatorIds) == len(in.OperatorKeeps) && len(in.OperatorIds) == len(in.OperatorCodes) &&
		len(in.Closed) == len(in.ClosedAges) && knownCodes(in.OperatorCodes)
	for _, org := range in.Organisations {
		for _, b := range org.Budgets {
			ok = ok && len(b.GrantHolders) == len(b.GrantTokens) && len(b.GrantHolders) == len(b.GrantFlushAges) &&
				len(b.BillKeys) == len(b.BillDeltas)
			for _, n := range b.GrantHolders {
				ok = ok && int(n) < len(in.Names)
			}
		}
	}
	for _, i := range in.Issuers {
		n := len(i.Sequences)
		ok = ok && n == len(i.Ages) && n == len(i.Codes) && n == len(i.Granted) && len(i.Duplicates)%2 == 0 &&
			knownCodes(i.Codes) && int(i.Organisation) < len(in.Names)
		for _, position := range i.Issuer {
			ok = ok && int(position) < len(in.Names)
		}
		for d := 0; d < len(i.Duplicates); d += 2 {
			ok = ok && int(i.Duplicates[d]) < n
		}
	}
	for _, c := range in.Claims {
		ok = ok && int(c.Owner) < len(in.Names)
	}
	return ok
}

func knownCodes(numbers []uint32) bool {
	for _, n := range numbers {
		if int(n) >= len(codes) {
			return false
		}
	}
	return true
}

func (s *Shard) decodeAccount(organisation string, in *ledgerv1.BudgetState, names []string) {
	a := &account{
		id:         budget.ID{Organisation: organisation, Budget: in.Name},
		preference: budget.AvoidOverspend, toppedUp: in.ToppedUp, settled: in.Settled,
	}
	if in.AvoidRefusal {
		a.preference = budget.AvoidRefusal
	}
	for i, n := range in.GrantHolders {
		a.grants = append(a.grants, grant{
			holder: names[n], tokens: in.GrantTokens[i], flushed: s.clock - int64(in.GrantFlushAges[i]),
		})
	}
	a.bills = make([]billEntry, len(in.BillKeys))
	at := s.clock
	for i, key := range in.BillKeys {
		if i == 0 {
			at -= int64(in.BillDeltas[i])
		} else {
			at += int64(in.BillDeltas[i])
		}
		a.bills[i] = billEntry{key: key, at: at}
		s.bills[key] = struct{}{}
	}
	s.open(a)
}

func (s *Shard) decodeIssuer(in *ledgerv1.IssuerState) *history {
	h := &history{floor: in.Floor, entries: make([]historyEntry, len(in.Sequences))}
	last := in.Floor
	for i, d := range in.Sequences {
		last += d
		h.entries[i] = historyEntry{
			sequence: last, at: s.clock - int64(in.Ages[i]), code: codes[in.Codes[i]], granted: in.Granted[i],
		}
	}
	for i := 0; i < len(in.Duplicates); i += 2 {
		e := &h.entries[in.Duplicates[i]]
		e.duplicates = append(e.duplicates, in.Duplicates[i+1])
	}
	return h
}

func (s *Shard) decodeClaim(in *ledgerv1.ClaimState, names []string) {
	c := &claim{
		id: longID(in.Id, names[in.Owner]), owner: names[in.Owner], bodyHash: in.BodyHash, at: s.clock - int64(in.Age),
	}
	if r := in.Result; r != nil {
		c.result = &budget.StoredResult{
			Status: int(r.Status), ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
		}
	}
	s.claims[in.Key] = c
	s.addClaimSize(c)
}
