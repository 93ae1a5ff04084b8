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

// Upper bounds of the encoded size of one record, in bytes, without its strings.
const (
	accountBytes      = 48
	grantBytes        = 24
	billBytes         = 13
	issuerBytes       = 48
	historyEntryBytes = 24
	operatorBytes     = 16
	claimBytes        = 56
	// ageGrowthBytes is how much the encoding of one stored age can grow as time passes.
	ageGrowthBytes = 4
)

// storedCodes defines the numbers under which codes are stored: their indexes. New codes must be appended at the end.
var storedCodes = []budget.Code{
	budget.CodeOK, budget.CodeBudgetUnknown, budget.CodeExists, budget.CodeExhausted, budget.CodeHeldElsewhere,
	budget.CodeHolderClosed, budget.CodeClaimed, budget.CodeInvalid, budget.CodeStale, budget.CodeFull,
}

// Size returns an upper bound of the encoded size in bytes.
func (s *Shard) Size() int { return s.size }

// Encode returns the stored form of the whole shard. The next Delta starts from it.
func (s *Shard) Encode() ([]byte, error) {
	e := encoder{shard: s, nameIndexes: map[string]uint32{}}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(e.encode())
	if err != nil {
		return nil, fmt.Errorf("ledger: encode shard: %w", err)
	}
	s.size = s.sizeBound(len(value))
	s.changes = newChanges()
	return value, nil
}

// sizeBound returns an upper bound of the encoded size at any later time, given the current size n in bytes.
func (s *Shard) sizeBound(n int) int {
	ages := len(s.operatorOps) + len(s.closedHolders) + len(s.claims)
	for _, org := range s.organisations {
		ages += len(org.accounts) + len(org.holders)
	}
	for _, h := range s.issuers {
		ages += len(h.entries)
	}
	return n + ageGrowthBytes*ages
}

type encoder struct {
	shard *Shard
	out   ledgerv1.ShardState
	// nameIndexes maps names to their indexes in out.Names.
	nameIndexes map[string]uint32
}

func (e *encoder) encode() *ledgerv1.ShardState {
	s := e.shard
	e.out.Clock = s.clock
	for _, name := range slices.Sorted(maps.Keys(s.organisations)) {
		org := s.organisations[name]
		out := &ledgerv1.OrganisationState{Id: name}
		e.addFlushTimes(out, org, slices.Sorted(maps.Keys(org.holders)))
		for _, b := range slices.Sorted(maps.Keys(org.accounts)) {
			out.Budgets = append(out.Budgets, e.account(org.accounts[b]))
		}
		e.out.Organisations = append(e.out.Organisations, out)
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.issuers), compareIssuers) {
		e.out.Issuers = append(e.out.Issuers, e.issuer(key, s.issuers[key]))
	}
	e.addOperatorOps(slices.Sorted(maps.Keys(s.operatorOps)))
	e.addClosedHolders(slices.Sorted(maps.Keys(s.closedHolders)))
	for _, key := range slices.Sorted(maps.Keys(s.claims)) {
		e.out.Claims = append(e.out.Claims, e.claim(key, s.claims[key]))
	}
	return &e.out
}

func (e *encoder) addOperatorOps(ids []uint64) {
	for _, id := range ids {
		entry := e.shard.operatorOps[id]
		e.out.OperatorIds = append(e.out.OperatorIds, id)
		e.out.OperatorKeeps = append(e.out.OperatorKeeps, uint32(max(0, entry.until-e.shard.clock)))
		e.out.OperatorCodes = append(e.out.OperatorCodes, codeNumber(entry.code))
	}
}

func (e *encoder) addClosedHolders(ids []uint64) {
	for _, id := range ids {
		e.out.Closed = append(e.out.Closed, id)
		e.out.ClosedAges = append(e.out.ClosedAges, e.age(e.shard.closedHolders[id]))
	}
}

// addFlushTimes adds the flush times of those of the named holders that have a grant.
func (e *encoder) addFlushTimes(out *ledgerv1.OrganisationState, org *organisation, names []string) {
	for _, name := range names {
		if h := org.holders[name]; h != nil {
			out.Holders = append(out.Holders, e.nameIndex(name))
			out.FlushAges = append(out.FlushAges, e.shard.clock-h.flushedUntil)
		}
	}
}

// accountTotals returns the state of the account without grants and bills.
func (e *encoder) accountTotals(a *account) *ledgerv1.BudgetState {
	return &ledgerv1.BudgetState{
		Name: a.id.Budget, AvoidRefusal: a.preference == budget.AvoidRefusal, ToppedUp: a.toppedUp, Settled: a.settled,
	}
}

func (e *encoder) account(a *account) *ledgerv1.BudgetState {
	out := e.accountTotals(a)
	for _, g := range a.grants {
		out.GrantHolders = append(out.GrantHolders, e.nameIndex(g.holder))
		out.GrantTokens = append(out.GrantTokens, g.tokens)
	}
	e.addBills(out, a.bills)
	return out
}

func (e *encoder) addBills(out *ledgerv1.BudgetState, bills []billEntry) {
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
	out := &ledgerv1.IssuerState{Organisation: e.nameIndex(key.organisation), Floor: h.floor}
	for part := range strings.SplitSeq(key.issuer, "/") {
		out.Issuer = append(out.Issuer, e.nameIndex(part))
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
		Key: key, Id: c.shortID(), Owner: e.nameIndex(c.owner), BodyHash: c.bodyHash, Age: e.age(c.at),
	}
	if r := c.result; r != nil {
		out.Result = &ledgerv1.ResultState{
			Status: uint32(r.Status), ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
		}
	}
	return out
}

// nameIndex returns the index of the name in out.Names; it adds the name if necessary.
func (e *encoder) nameIndex(name string) uint32 {
	if n, ok := e.nameIndexes[name]; ok {
		return n
	}
	n := uint32(len(e.out.Names))
	e.nameIndexes[name] = n
	e.out.Names = append(e.out.Names, name)
	return n
}

// age returns the age of a time in seconds. Stored times are relative to the shard's clock.
func (e *encoder) age(at int64) uint32 { return uint32(max(0, e.shard.clock-at)) }

func codeNumber(c budget.Code) uint32 { return uint32(slices.Index(storedCodes, c)) }
