package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

var start = time.Unix(1_800_000_000, 0)

var testBudget = budget.ID{Organisation: "velocar", Budget: "main"}

// testShard is a shard with one budget. Operations are applied at the time now.
type testShard struct {
	t     *testing.T
	shard *Shard
	// replica is the shard as another router reads it: a base and all deltas since.
	replica   *Shard
	now       time.Time
	sequences map[string]int
}

func newTestShard(t *testing.T, topUp int64) *testShard {
	ts := &testShard{t: t, shard: New(), replica: New(), now: start, sequences: map[string]int{}}
	ts.expectOK(budget.Op{ID: "create", Kind: budget.OpCreate, Budget: testBudget})
	ts.expectOK(budget.Op{ID: "top", Kind: budget.OpTopUp, Budget: testBudget, Tokens: topUp})
	return ts
}

func (ts *testShard) apply(op budget.Op) budget.Result {
	ts.t.Helper()
	if op.ID == "" {
		issuer := op.Holder
		if op.Claim != nil {
			issuer = op.Claim.Owner
		}
		ts.sequences[issuer]++
		op.ID = fmt.Sprintf("%s/%d", issuer, ts.sequences[issuer])
	}
	if op.Budget.Organisation == "" {
		op.Budget = testBudget
	}
	r := ts.shard.Apply(ts.now, op)
	ts.roundTrip()
	return r
}

// roundTrip replaces the shard by its decoded encoding and compares it with the replica, so that every test also covers
// encoding, decoding and deltas.
func (ts *testShard) roundTrip() {
	ts.t.Helper()
	bound := ts.shard.Size()
	delta, err := ts.shard.Delta()
	must.NoError(ts.t, err)
	must.NoError(ts.t, ts.replica.merge(delta))
	ts.prune()
	value, err := ts.shard.Encode()
	must.NoError(ts.t, err)
	must.GreaterEq(ts.t, len(value), bound)
	must.GreaterEq(ts.t, len(value), ts.replica.Size())
	ts.shard, err = Decode(value)
	must.NoError(ts.t, err)
	reencoded, err := ts.shard.Encode()
	must.NoError(ts.t, err)
	must.Eq(ts.t, value, reencoded)
	fromDeltas, err := ts.replica.Encode()
	must.NoError(ts.t, err)
	must.Eq(ts.t, value, fromDeltas)
}

func (ts *testShard) prune() {
	ts.shard.Prune(ts.now)
	ts.replica.Prune(ts.now)
}

func (ts *testShard) expectOK(op budget.Op) budget.Result {
	ts.t.Helper()
	return ts.expectCode(budget.CodeOK, op)
}

func (ts *testShard) expectCode(want budget.Code, op budget.Op) budget.Result {
	ts.t.Helper()
	r := ts.apply(op)
	must.Eq(ts.t, want, r.Code, must.Sprintf("%s %s: %s", op.Kind, op.ID, r.Message))
	return r
}

func (ts *testShard) grant(holder string, n int64) {
	ts.t.Helper()
	must.Eq(ts.t, n, ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: holder, Need: n}).Granted)
}

func (ts *testShard) settleAt(holder string, flushed time.Time, keys ...string) budget.Result {
	ts.t.Helper()
	op := budget.Op{Kind: budget.OpSettle, Holder: holder, FlushedMS: flushed.UnixMilli()}
	for _, key := range keys {
		op.Bills = append(op.Bills, budget.Bill{Budget: testBudget, Key: key, Tokens: 10})
	}
	return ts.expectOK(op)
}

func (ts *testShard) status() budget.Status { return ts.shard.Read(testBudget.Organisation)[0] }

// Guards against a repeated operation that takes effect again, or that returns another result than the first time.
func TestDuplicateHasNoFurtherEffect(t *testing.T) {
	ts := newTestShard(t, 1000)
	op := budget.Op{ID: "a/7", Kind: budget.OpGrant, Holder: "a", Need: 100, Want: 200}
	first := ts.expectOK(op)
	must.Eq(t, 200, first.Granted)
	must.Eq(t, 200, ts.expectOK(op).Granted)
	settle := budget.Op{ID: "a/8", Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{
		{Budget: testBudget, Key: "x", Tokens: 10}, {Budget: testBudget, Key: "x", Tokens: 10},
	}}
	must.Eq(t, []string{"x"}, ts.expectOK(settle).Duplicates)
	must.Eq(t, []string{"x"}, ts.expectOK(settle).Duplicates)
	ts.expectOK(budget.Op{ID: "top", Kind: budget.OpTopUp, Budget: testBudget, Tokens: 1000})
	must.Eq(t, budget.Status{ID: testBudget, Preference: budget.AvoidOverspend, ToppedUp: 1000, Settled: 10,
		Grants: []budget.HolderGrant{{Instance: "a", Tokens: 190}}}, ts.status())
}

// Guards against applying a duplicate that arrives after its entry was dropped from the history: it must be refused.
func TestLateDuplicateIsStale(t *testing.T) {
	ts := newTestShard(t, 1_000_000)
	ts.expectOK(budget.Op{ID: "a/1", Kind: budget.OpGrant, Holder: "a", Need: 100})
	for i := 2; i <= maxHistoryEntries+2; i++ {
		ts.expectOK(budget.Op{ID: fmt.Sprintf("a/%d", i), Kind: budget.OpReturn, Holder: "a"})
	}
	ts.expectCode(budget.CodeStale, budget.Op{ID: "a/1", Kind: budget.OpGrant, Holder: "a", Need: 100})
	must.Eq(t, 100, ts.status().Grants[0].Tokens)
	ts.now = ts.now.Add(2 * HistoryRetention)
	ts.expectOK(budget.Op{ID: "a/999", Kind: budget.OpReturn, Holder: "a"})
	must.LessEq(t, minHistoryEntries, len(ts.shard.issuers[issuerKey{"a", testBudget.Organisation}].entries))
	ts.expectCode(budget.CodeStale, budget.Op{ID: fmt.Sprintf("a/%d", maxHistoryEntries-9), Kind: budget.OpReturn, Holder: "a"})
}

// Guards against losing or repeating an operation that arrives after later ones of the same issuer.
func TestReorderedOperations(t *testing.T) {
	ts := newTestShard(t, 1000)
	for _, n := range []int{3, 1, 2, 1, 3} {
		ts.expectOK(budget.Op{ID: fmt.Sprintf("a/%d", n), Kind: budget.OpGrant, Holder: "a", Need: 10})
	}
	must.Eq(t, 30, ts.status().Grants[0].Tokens)
}

// Guards against overspending (invariant I1): a settlement that the holder's grant does not cover must change nothing,
// not even for those of its bills that the grant covers.
func TestSettlementMustBeCoveredByGrant(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 15)
	ts.grant("b", 100)
	ts.expectCode(budget.CodeInvalid, budget.Op{Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{
		{Budget: testBudget, Key: "x", Tokens: 10}, {Budget: testBudget, Key: "y", Tokens: 10},
	}})
	must.Eq(t, 0, ts.status().Settled)
	must.SliceEmpty(t, ts.settleAt("a", ts.now, "x").Duplicates)
	// The same operation takes effect once a transfer covers it.
	op := budget.Op{ID: "a/77", Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{{Budget: testBudget, Key: "y", Tokens: 10}}}
	ts.expectCode(budget.CodeInvalid, op)
	ts.expectOK(budget.Op{Kind: budget.OpTransfer, Holder: "b", To: "a", Tokens: 50})
	ts.expectOK(op)
	must.Eq(t, 20, ts.status().Settled)
}

// Guards against grants that are smaller than the need, or larger than half of the unallocated tokens divided by the
// number of holders, unless the need is larger.
func TestGrantSize(t *testing.T) {
	ts := newTestShard(t, 1000)
	must.Eq(t, 500, ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: "a", Need: 10, Want: 900}).Granted)
	must.Eq(t, 125, ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: "b", Need: 10, Want: 900}).Granted)
	must.Eq(t, 300, ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 300, Want: 10}).Granted)
	must.Eq(t, 5, ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 1, Want: 5}).Granted)
	r := ts.expectCode(budget.CodeHeldElsewhere, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 600})
	must.SliceLen(t, 3, r.Holders)
	ts.expectCode(budget.CodeExhausted, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 700})
	ts.expectCode(budget.CodeBudgetUnknown, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 1,
		Budget: budget.ID{Organisation: "x", Budget: "y"}})
	ts.expectCode(budget.CodeInvalid, budget.Op{Kind: budget.OpReturn, Holder: "a", Tokens: 501})
	ts.expectCode(budget.CodeInvalid, budget.Op{ID: "zz", Kind: budget.OpReturn, Holder: "a", Tokens: 1})
	ts.expectCode(budget.CodeInvalid, budget.Op{ID: "b/9", Kind: budget.OpReturn, Holder: "a", Tokens: 1})
}

// Guards against billing a request twice (invariant I2) when a disconnected holder reconnects long after another holder
// billed the retry: the bill must be kept while a holder may still settle the same key.
func TestBillKeptUntilHoldersFlushed(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 100)
	ts.grant("b", 100)
	ts.settleAt("b", ts.now, "k")
	billedAt := ts.now
	for range 40 {
		ts.now = ts.now.Add(time.Minute)
		ts.settleAt("b", ts.now)
		ts.prune()
	}
	// This flush of holder a ends before the time of its attempt.
	ts.settleAt("a", billedAt.Add(-time.Second))
	ts.prune()
	must.Eq(t, []string{"k"}, ts.settleAt("a", billedAt, "k").Duplicates)
	ts.settleAt("a", ts.now)
	ts.prune()
	must.MapEmpty(t, ts.shard.bills)
	must.Eq(t, 10, ts.status().Settled)
}

// Guards against billing a request twice (invariant I2) when it is repeated on another budget of the organisation: a
// holder that has a grant only on that budget must also delay the removal of the bill.
func TestBillKeptForHoldersOfOtherBudgets(t *testing.T) {
	ts := newTestShard(t, 1000)
	other := budget.ID{Organisation: testBudget.Organisation, Budget: "other"}
	ts.expectOK(budget.Op{ID: "create2", Kind: budget.OpCreate, Budget: other})
	ts.expectOK(budget.Op{ID: "top2", Kind: budget.OpTopUp, Budget: other, Tokens: 100})
	ts.grant("b", 100)
	ts.expectOK(budget.Op{Kind: budget.OpGrant, Holder: "a", Need: 50, Budget: other})
	ts.settleAt("b", ts.now, "k")
	ts.now = ts.now.Add(time.Hour)
	ts.settleAt("b", ts.now)
	ts.prune()
	r := ts.expectOK(budget.Op{Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{{Budget: other, Key: "k", Tokens: 10}}})
	must.Eq(t, []string{"k"}, r.Duplicates)
}

// Guards against dropping a bill while a long request with the same key may still run: a settlement without a flush
// time counts as a flush of budget.LongestRequest ago, not of now.
func TestFlushWithoutTimeCountsFromLongestRequest(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 100)
	ts.settleAt("a", ts.now, "k")
	ts.now = ts.now.Add(budget.BillRetention - time.Second)
	ts.expectOK(budget.Op{Kind: budget.OpSettle, Holder: "a"})
	ts.prune()
	must.MapLen(t, 1, ts.shard.bills)
	ts.now = ts.now.Add(2 * time.Second)
	ts.expectOK(budget.Op{Kind: budget.OpSettle, Holder: "a"})
	ts.prune()
	must.MapEmpty(t, ts.shard.bills)
}

// Guards invariants I1 (never overspent) and I2 (billed once) when an instance is closed: its bills and transfers count
// once, the rest of its grants returns to the budget, and its later operations are refused.
func TestCloseHolder(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 300)
	ts.grant("b", 100)
	transfer := budget.Transfer{ID: "a/t/1", Budget: testBudget, From: "a", To: "b", Tokens: 50}
	op := budget.Op{ID: "closer/1", Kind: budget.OpCloseHolder, Holder: "a", Transfers: []budget.Transfer{transfer},
		Bills: []budget.Bill{{Budget: testBudget, Key: "k", Tokens: 20}}}
	ts.expectOK(op)
	ts.expectOK(op)
	must.Eq(t, []budget.HolderGrant{{Instance: "b", Tokens: 150}}, ts.status().Grants)
	must.Eq(t, 20, ts.status().Settled)
	for _, kind := range []budget.OpKind{budget.OpGrant, budget.OpSettle, budget.OpReturn} {
		ts.expectCode(budget.CodeHolderClosed, budget.Op{Kind: kind, Holder: "a"})
	}
	ts.expectCode(budget.CodeHolderClosed, budget.Op{ID: transfer.ID, Kind: budget.OpTransfer, Holder: "a", To: "b", Tokens: 50})
	ts.expectCode(budget.CodeHolderClosed, budget.Op{Kind: budget.OpTransfer, Holder: "b", To: "a", Tokens: 50})
	// After the mark is dropped the holder has no grant, so its settlements are refused.
	ts.now = ts.now.Add(ClosedRetention + time.Minute)
	ts.prune()
	ts.expectCode(budget.CodeInvalid, budget.Op{Kind: budget.OpSettle, Holder: "a",
		Bills: []budget.Bill{{Budget: testBudget, Key: "late", Tokens: 20}}})
}

// Guards against losing tokens when the last holder of a chain of transfers is closed before an earlier transfer of the
// chain has been applied: the holder must stay open until then.
func TestCloseWaitsForChainOfTransfers(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 100)
	ab := budget.Transfer{ID: "a/t/1", Budget: testBudget, From: "a", To: "b", Tokens: 50}
	bc := budget.Transfer{ID: "b/t/1", Budget: testBudget, From: "b", To: "c", Tokens: 50}
	op := budget.Op{ID: "z/1", Kind: budget.OpCloseHolder, Holder: "c", Transfers: []budget.Transfer{bc},
		Bills: []budget.Bill{{Budget: testBudget, Key: "k", Tokens: 40}}}
	ts.expectCode(budget.CodeInvalid, op)
	must.Eq(t, 0, ts.status().Settled)
	op.Transfers = append(op.Transfers, ab)
	ts.expectOK(op)
	must.Eq(t, 40, ts.status().Settled)
	must.Eq(t, []budget.HolderGrant{{Instance: "a", Tokens: 50}}, ts.status().Grants)
}

// Guards against a process that continues with wrong balances.
func TestBrokenInvariantPanics(t *testing.T) {
	ts := newTestShard(t, 100)
	ts.shard.account(testBudget).settled = 101
	defer func() { must.NotNil(t, recover()) }()
	ts.shard.Apply(ts.now, budget.Op{ID: "a/1", Kind: budget.OpReturn, Holder: "a", Budget: testBudget})
}

// Guards against billing a request twice (invariant I2) in shards that are read from a base and deltas: a bill that was
// dropped and stored again with the same key must be kept, although the base still contains the older one.
func TestBillStoredAgainAfterPrune(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 100)
	ts.settleAt("a", ts.now, "k")
	base, err := ts.shard.Encode()
	must.NoError(t, err)
	ts.now = ts.now.Add(time.Hour)
	ts.settleAt("a", ts.now)
	s, err := Decode(base)
	must.NoError(t, err)
	s.Prune(ts.now)
	flush := budget.Op{ID: "a/90", Kind: budget.OpSettle, Holder: "a", Budget: testBudget, FlushedMS: ts.now.UnixMilli()}
	s.Apply(ts.now, flush)
	s.Prune(ts.now)
	must.MapEmpty(t, s.bills)
	flush.ID, flush.Bills = "a/91", []budget.Bill{{Budget: testBudget, Key: "k", Tokens: 10}}
	must.SliceEmpty(t, s.Apply(ts.now, flush).Duplicates)
	delta, err := s.Delta()
	must.NoError(t, err)
	restored, err := Head{Inline: base, Deltas: [][]byte{delta}}.Open(nil)
	must.NoError(t, err)
	restored.Prune(ts.now)
	flush.ID = "a/92"
	must.Eq(t, []string{"k"}, restored.Apply(ts.now, flush).Duplicates)
}

// Guards against accepting, and later overwriting, a damaged value or one of another format: decoding it must return
// ErrCorrupt.
func TestCorruptValueIsRefused(t *testing.T) {
	ts := newTestShard(t, 1000)
	ts.grant("a", 100)
	value, err := ts.shard.Encode()
	must.NoError(t, err)
	_, err = Decode(value[:len(value)-3])
	must.ErrorIs(t, err, ErrCorrupt)
	_, err = DecodeHead(value)
	must.ErrorIs(t, err, ErrCorrupt)
	_, err = Head{Inline: value, Deltas: [][]byte{[]byte("x")}}.Open(nil)
	must.ErrorIs(t, err, ErrCorrupt)
}
