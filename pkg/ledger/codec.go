package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// Bounds on the encoded size of one record, in bytes, without its strings.
const (
	accountBytes  = 48
	grantBytes    = 24
	billBytes     = 13
	issuerBytes   = 48
	entryBytes    = 24
	operatorBytes = 16
	claimBytes    = 56
	// ageBytes is how much longer one stored age can become.
	ageBytes = 4
)

// codes fixes the stored numbers of the codes; new ones go to the end.
var codes = []budget.Code{
	budget.CodeOK, budget.CodeBudgetUnknown, budget.CodeExists, budget.CodeExhausted, budget.CodeHeldElsewhere,
	budget.CodeHolderClosed, budget.CodeClaimed, budget.CodeInvalid, budget.CodeStale, budget.CodeFull,
}

// Size returns an upper bound of the encoded size in bytes.
func (s *Shard) Size() int { return s.size }

// Encode returns the stored form of the whole shard.
func (s *Shard) Encode() ([]byte, error) {
	e := encoder{shard: s, positions: map[string]uint32{}}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(e.encode())
	if err != nil {
		return nil, fmt.Errorf("ledger: encode shard: %w", err)
	}
	s.size = s.bound(len(value))
	s.changes = newChanges()
	return value, nil
}

// bound returns a bound on the encoded size after any time, if it is n now.
func (s *Shard) bound(n int) int {
	ages := len(s.operators) + len(s.closed) + len(s.claims)
	for _, org := range s.organisations {
		ages += len(org.accounts) + len(org.holders)
	}
	for _, h := range s.issuers {
		ages += len(h.entries)
	}
	return n + ageBytes*ages
}

type encoder struct {
	shard     *Shard
	out       ledgerv1.ShardState
	positions map[string]uint32
}

func (e *encoder) encode() *ledgerv1.ShardState {
	s := e.shard
	e.out.Clock = s.clock
	for _, name := range slices.Sorted(maps.Keys(s.organisations)) {
		org := s.organisations[name]
		out := &ledgerv1.OrganisationState{Id: name}
		e.holders(out, org, slices.Sorted(maps.Keys(org.holders)))
		for _, b := range slices.Sorted(maps.Keys(org.accounts)) {
			out.Budgets = append(out.Budgets, e.account(org.accounts[b]))
		}
		e.out.Organisations = append(e.out.Organisations, out)
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.issuers), compareIssuers) {
		e.out.Issuers = append(e.out.Issuers, e.issuer(key, s.issuers[key]))
	}
	e.operators(slices.Sorted(maps.Keys(s.operators)))
	e.closed(slices.Sorted(maps.Keys(s.closed)))
	for _, key := range slices.Sorted(maps.Keys(s.claims)) {
		e.out.Claims = append(e.out.Claims, e.claim(key, s.claims[key]))
	}
	return &e.out
}

func (e *encoder) operators(ids []uint64) {
	for _, id := range ids {
		entry := e.shard.operators[id]
		e.out.OperatorIds = append(e.out.OperatorIds, id)
		e.out.OperatorKeeps = append(e.out.OperatorKeeps, uint32(max(0, entry.until-e.shard.clock)))
		e.out.OperatorCodes = append(e.out.OperatorCodes, codeNumber(entry.code))
	}
}

func (e *encoder) closed(ids []uint64) {
	for _, id := range ids {
		e.out.Closed = append(e.out.Closed, id)
		e.out.ClosedAges = append(e.out.ClosedAges, e.age(e.shard.closed[id]))
	}
}

// holders adds the flush times of those holders that are present.
func (e *encoder) holders(out *ledgerv1.OrganisationState, org *organisation, names []string) {
	for _, name := range names {
		if p := org.holders[name]; p != nil {
			out.Holders = append(out.Holders, e.name(name))
			out.FlushAges = append(out.FlushAges, e.shard.clock-p.flushed)
		}
	}
}

// head returns the state of the account without grants and bills.
func (e *encoder) head(a *account) *ledgerv1.BudgetState {
	return &ledgerv1.BudgetState{
		Name: a.id.Budget, AvoidRefusal: a.preference == budget.AvoidRefusal, ToppedUp: a.toppedUp, Settled: a.settled,
	}
}

func (e *encoder) account(a *account) *ledgerv1.BudgetState {
	out := e.head(a)
	for _, g := range a.grants {
		out.GrantHolders = append(out.GrantHolders, e.name(g.holder))
		out.GrantTokens = append(out.GrantTokens, g.tokens)
	}
	e.bills(out, a.bills)
	return out
}

func (e *encoder) bills(out *ledgerv1.BudgetState, bills []billEntry) {
	if len(bills) == 0 {
		return
	}
	out.BillKeys = make([]uint64, len(bills))
	out.BillDeltas = make([]uint32, len(bills))
	for i, b := range bills {
		out.BillKeys[i] = b.key
		if i == 0 {
			out.BillDeltas[i] = e.age(b.at)
		} else {
			out.BillDeltas[i] = uint32(b.at - bills[i-1].at)
		}
	}
}

func compareIssuers(a, b issuerKey) int {
	return cmp.Or(cmp.Compare(a.issuer, b.issuer), cmp.Compare(a.organisation, b.organisation))
}

func (e *encoder) issuer(key issuerKey, h *history) *ledgerv1.IssuerState {
	out := &ledgerv1.IssuerState{Organisation: e.name(key.organisation), Floor: h.floor}
	for part := range strings.SplitSeq(key.issuer, "/") {
		out.Issuer = append(out.Issuer, e.name(part))
	}
	last := h.floor
	for i, entry := range h.entries {
		out.Sequences = append(out.Sequences, entry.sequence-last)
		last = entry.sequence
		out.Ages = append(out.Ages, e.age(entry.at))
		out.Codes = append(out.Codes, codeNumber(entry.code))
		out.Granted = append(out.Granted, entry.granted)
		for _, d := range entry.duplicates {
			out.Duplicates = append(out.Duplicates, uint32(i), d)
		}
	}
	return out
}

func (e *encoder) claim(key uint64, c *claim) *ledgerv1.ClaimState {
	out := &ledgerv1.ClaimState{
		Key: key, Id: c.shortID(), Owner: e.name(c.owner), BodyHash: c.bodyHash, Age: e.age(c.at),
	}
	if r := c.result; r != nil {
		out.Result = &ledgerv1.ResultState{
			Status: uint32(r.Status), ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
		}
	}
	return out
}

// name returns the position of the name in the table of names.
func (e *encoder) name(id string) uint32 {
	if n, ok := e.positions[id]; ok {
		return n
	}
	n := uint32(len(e.out.Names))
	e.positions[id] = n
	e.out.Names = append(e.out.Names, id)
	return n
}

func (e *encoder) age(at int64) uint32 { return uint32(max(0, e.shard.clock-at)) }

func codeNumber(c budget.Code) uint32 { return uint32(slices.Index(codes, c)) }
