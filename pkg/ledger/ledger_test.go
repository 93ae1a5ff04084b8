package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

var start = time.Unix(1_800_000_000, 0)

var acct = budget.ID{Organisation: "velocar", Budget: "main"}

// books is a shard with one budget; every operation is applied at the time now.
type books struct {
	t *testing.T
	s *Shard
	// mirror is the shard as another router reads it: a base and all deltas since.
	mirror *Shard
	now    time.Time
	seq    map[string]int
}

func newBooks(t *testing.T, topUp int64) *books {
	b := &books{t: t, s: New(), mirror: New(), now: start, seq: map[string]int{}}
	b.ok(budget.Op{ID: "create", Kind: budget.OpCreate, Budget: acct})
	b.ok(budget.Op{ID: "top", Kind: budget.OpTopUp, Budget: acct, Tokens: topUp})
	return b
}

func (b *books) apply(op budget.Op) budget.Result {
	b.t.Helper()
	if op.ID == "" {
		issuer := op.Holder
		if op.Claim != nil {
			issuer = op.Claim.Owner
		}
		b.seq[issuer]++
		op.ID = fmt.Sprintf("%s/%d", issuer, b.seq[issuer])
	}
	if op.Budget.Organisation == "" {
		op.Budget = acct
	}
	r := b.s.Apply(b.now, op)
	b.roundTrip()
	return r
}

// roundTrip replaces the shard by its decoded encoding, and compares it with the one made of deltas, so that every
// test also covers the codec.
func (b *books) roundTrip() {
	b.t.Helper()
	bound := b.s.Size()
	delta, err := b.s.Delta()
	must.NoError(b.t, err)
	must.NoError(b.t, b.mirror.merge(delta))
	b.prune()
	value, err := b.s.Encode()
	must.NoError(b.t, err)
	must.GreaterEq(b.t, len(value), bound)
	must.GreaterEq(b.t, len(value), b.mirror.Size())
	b.s, err = Decode(value)
	must.NoError(b.t, err)
	again, err := b.s.Encode()
	must.NoError(b.t, err)
	must.Eq(b.t, value, again)
	mirrored, err := b.mirror.Encode()
	must.NoError(b.t, err)
	must.Eq(b.t, value, mirrored)
}

func (b *books) prune() {
	b.s.Prune(b.now)
	b.mirror.Prune(b.now)
}

func (b *books) ok(op budget.Op) budget.Result { b.t.Helper(); return b.code(budget.CodeOK, op) }

func (b *books) code(want budget.Code, op budget.Op) budget.Result {
	b.t.Helper()
	r := b.apply(op)
	must.Eq(b.t, want, r.Code, must.Sprintf("%s %s: %s", op.Kind, op.ID, r.Message))
	return r
}

func (b *books) grant(holder string, n int64) {
	b.t.Helper()
	must.Eq(b.t, n, b.ok(budget.Op{Kind: budget.OpGrant, Holder: holder, Need: n}).Granted)
}

func (b *books) settleAt(holder string, flushed time.Time, keys ...string) budget.Result {
	b.t.Helper()
	op := budget.Op{Kind: budget.OpSettle, Holder: holder, FlushedMS: flushed.UnixMilli()}
	for _, key := range keys {
		op.Bills = append(op.Bills, budget.Bill{Budget: acct, Key: key, Tokens: 10})
	}
	return b.ok(op)
}

func (b *books) status() budget.Status { return b.s.Read(acct.Organisation)[0] }

// Guards against a duplicate that takes effect again, and against a replay that answers something else.
func TestDuplicateHasNoFurtherEffect(t *testing.T) {
	b := newBooks(t, 1000)
	op := budget.Op{ID: "a/7", Kind: budget.OpGrant, Holder: "a", Need: 100, Want: 200}
	first := b.ok(op)
	must.Eq(t, 200, first.Granted)
	must.Eq(t, 200, b.ok(op).Granted)
	settle := budget.Op{ID: "a/8", Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{
		{Budget: acct, Key: "x", Tokens: 10}, {Budget: acct, Key: "x", Tokens: 10},
	}}
	must.Eq(t, []string{"x"}, b.ok(settle).Duplicates)
	must.Eq(t, []string{"x"}, b.ok(settle).Duplicates)
	b.ok(budget.Op{ID: "top", Kind: budget.OpTopUp, Budget: acct, Tokens: 1000})
	must.Eq(t, budget.Status{ID: acct, Preference: budget.AvoidOverspend, ToppedUp: 1000, Settled: 10,
		Grants: []budget.HolderGrant{{Instance: "a", Tokens: 190}}}, b.status())
}

// Guards against a very late duplicate: after the history has moved on it must be refused, not applied.
func TestLateDuplicateIsStale(t *testing.T) {
	b := newBooks(t, 1_000_000)
	b.ok(budget.Op{ID: "a/1", Kind: budget.OpGrant, Holder: "a", Need: 100})
	for i := 2; i <= historyMax+2; i++ {
		b.ok(budget.Op{ID: fmt.Sprintf("a/%d", i), Kind: budget.OpReturn, Holder: "a"})
	}
	b.code(budget.CodeStale, budget.Op{ID: "a/1", Kind: budget.OpGrant, Holder: "a", Need: 100})
	must.Eq(t, 100, b.status().Grants[0].Tokens)
	b.now = b.now.Add(2 * HistoryRetention)
	b.ok(budget.Op{ID: "a/999", Kind: budget.OpReturn, Holder: "a"})
	must.LessEq(t, historyMin, len(b.s.issuers[issuerKey{"a", acct.Organisation}].entries))
	b.code(budget.CodeStale, budget.Op{ID: fmt.Sprintf("a/%d", historyMax-9), Kind: budget.OpReturn, Holder: "a"})
}

// Guards the order of arrival: an operation that is overtaken by later ones still takes effect once.
func TestReorderedOperations(t *testing.T) {
	b := newBooks(t, 1000)
	for _, n := range []int{3, 1, 2, 1, 3} {
		b.ok(budget.Op{ID: fmt.Sprintf("a/%d", n), Kind: budget.OpGrant, Holder: "a", Need: 10})
	}
	must.Eq(t, 30, b.status().Grants[0].Tokens)
}

// Guards I1: a settlement that the holder's grant does not cover changes nothing, not even for its other bills.
func TestSettleIsCoveredByGrant(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 15)
	b.grant("b", 100)
	b.code(budget.CodeInvalid, budget.Op{Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{
		{Budget: acct, Key: "x", Tokens: 10}, {Budget: acct, Key: "y", Tokens: 10},
	}})
	must.Eq(t, 0, b.status().Settled)
	must.SliceEmpty(t, b.settleAt("a", b.now, "x").Duplicates)
	// The same operation takes effect once a transfer covers it.
	op := budget.Op{ID: "a/77", Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{{Budget: acct, Key: "y", Tokens: 10}}}
	b.code(budget.CodeInvalid, op)
	b.ok(budget.Op{Kind: budget.OpTransfer, Holder: "b", To: "a", Tokens: 50})
	b.ok(op)
	must.Eq(t, 20, b.status().Settled)
}

// Guards the grant sizes of the design: need at least, half of the rest divided by the holders at most.
func TestGrantSize(t *testing.T) {
	b := newBooks(t, 1000)
	must.Eq(t, 500, b.ok(budget.Op{Kind: budget.OpGrant, Holder: "a", Need: 10, Want: 900}).Granted)
	must.Eq(t, 125, b.ok(budget.Op{Kind: budget.OpGrant, Holder: "b", Need: 10, Want: 900}).Granted)
	must.Eq(t, 300, b.ok(budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 300, Want: 10}).Granted)
	must.Eq(t, 5, b.ok(budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 1, Want: 5}).Granted)
	r := b.code(budget.CodeHeldElsewhere, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 600})
	must.SliceLen(t, 3, r.Holders)
	b.code(budget.CodeExhausted, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 700})
	b.code(budget.CodeBudgetUnknown, budget.Op{Kind: budget.OpGrant, Holder: "c", Need: 1,
		Budget: budget.ID{Organisation: "x", Budget: "y"}})
	b.code(budget.CodeInvalid, budget.Op{Kind: budget.OpReturn, Holder: "a", Tokens: 501})
	b.code(budget.CodeInvalid, budget.Op{ID: "zz", Kind: budget.OpReturn, Holder: "a", Tokens: 1})
	b.code(budget.CodeInvalid, budget.Op{ID: "b/9", Kind: budget.OpReturn, Holder: "a", Tokens: 1})
}

// Guards I2 when a holder that was cut off reconnects long after another holder billed the retry: the bill must
// still be known as long as a present holder may bring the same key.
func TestBillKeptUntilHoldersFlushed(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 100)
	b.grant("b", 100)
	b.settleAt("b", b.now, "k")
	billed := b.now
	for range 40 {
		b.now = b.now.Add(time.Minute)
		b.settleAt("b", b.now)
		b.prune()
	}
	// The first flush of a does not cover the time of its attempt.
	b.settleAt("a", billed.Add(-time.Second))
	b.prune()
	must.Eq(t, []string{"k"}, b.settleAt("a", billed, "k").Duplicates)
	b.settleAt("a", b.now)
	b.prune()
	must.MapEmpty(t, b.s.bills)
	must.Eq(t, 10, b.status().Settled)
}

// Guards I2 when a request is repeated on another budget of the organisation: a holder of that budget alone also
// keeps the bill.
func TestBillKeptForHoldersOfOtherBudgets(t *testing.T) {
	b := newBooks(t, 1000)
	other := budget.ID{Organisation: acct.Organisation, Budget: "other"}
	b.ok(budget.Op{ID: "create2", Kind: budget.OpCreate, Budget: other})
	b.ok(budget.Op{ID: "top2", Kind: budget.OpTopUp, Budget: other, Tokens: 100})
	b.grant("b", 100)
	b.ok(budget.Op{Kind: budget.OpGrant, Holder: "a", Need: 50, Budget: other})
	b.settleAt("b", b.now, "k")
	b.now = b.now.Add(time.Hour)
	b.settleAt("b", b.now)
	b.prune()
	r := b.ok(budget.Op{Kind: budget.OpSettle, Holder: "a", Bills: []budget.Bill{{Budget: other, Key: "k", Tokens: 10}}})
	must.Eq(t, []string{"k"}, r.Duplicates)
}

// Guards against the loss of bills of requests that run long: a flush before the request ends must not count.
func TestFlushWithoutTimeCountsFromLongestRequest(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 100)
	b.settleAt("a", b.now, "k")
	b.now = b.now.Add(budget.RetentionTime - time.Second)
	b.ok(budget.Op{Kind: budget.OpSettle, Holder: "a"})
	b.prune()
	must.MapLen(t, 1, b.s.bills)
	b.now = b.now.Add(2 * time.Second)
	b.ok(budget.Op{Kind: budget.OpSettle, Holder: "a"})
	b.prune()
	must.MapEmpty(t, b.s.bills)
}

// Guards I1 and I2 when an instance is closed: its bills and transfers count once, the rest returns, and the
// instance can do nothing afterwards.
func TestCloseHolder(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 300)
	b.grant("b", 100)
	tr := budget.Transfer{ID: "a/t/1", Budget: acct, From: "a", To: "b", Tokens: 50}
	op := budget.Op{ID: "closer/1", Kind: budget.OpCloseHolder, Holder: "a", Transfers: []budget.Transfer{tr},
		Bills: []budget.Bill{{Budget: acct, Key: "k", Tokens: 20}}}
	b.ok(op)
	b.ok(op)
	must.Eq(t, []budget.HolderGrant{{Instance: "b", Tokens: 150}}, b.status().Grants)
	must.Eq(t, 20, b.status().Settled)
	for _, kind := range []budget.OpKind{budget.OpGrant, budget.OpSettle, budget.OpReturn} {
		b.code(budget.CodeHolderClosed, budget.Op{Kind: kind, Holder: "a"})
	}
	b.code(budget.CodeHolderClosed, budget.Op{ID: tr.ID, Kind: budget.OpTransfer, Holder: "a", To: "b", Tokens: 50})
	b.code(budget.CodeHolderClosed, budget.Op{Kind: budget.OpTransfer, Holder: "b", To: "a", Tokens: 50})
	// After the mark is forgotten the holder has no grant, so what it brings is refused.
	b.now = b.now.Add(ClosedRetention + time.Minute)
	b.prune()
	b.code(budget.CodeInvalid, budget.Op{Kind: budget.OpSettle, Holder: "a",
		Bills: []budget.Bill{{Budget: acct, Key: "late", Tokens: 20}}})
}

// Guards against lost tokens when a chain of transfers is recorded in the wrong order: the last holder stays open.
func TestCloseWaitsForChainOfTransfers(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 100)
	ab := budget.Transfer{ID: "a/t/1", Budget: acct, From: "a", To: "b", Tokens: 50}
	bc := budget.Transfer{ID: "b/t/1", Budget: acct, From: "b", To: "c", Tokens: 50}
	op := budget.Op{ID: "z/1", Kind: budget.OpCloseHolder, Holder: "c", Transfers: []budget.Transfer{bc},
		Bills: []budget.Bill{{Budget: acct, Key: "k", Tokens: 40}}}
	b.code(budget.CodeInvalid, op)
	must.Eq(t, 0, b.status().Settled)
	op.Transfers = append(op.Transfers, ab)
	b.ok(op)
	must.Eq(t, 40, b.status().Settled)
	must.Eq(t, []budget.HolderGrant{{Instance: "a", Tokens: 50}}, b.status().Grants)
}

// Guards against a process that goes on with wrong books.
func TestBrokenInvariantPanics(t *testing.T) {
	b := newBooks(t, 100)
	b.s.account(acct).settled = 101
	defer func() { must.NotNil(t, recover()) }()
	b.s.Apply(b.now, budget.Op{ID: "a/1", Kind: budget.OpReturn, Holder: "a", Budget: acct})
}

// Guards I2 in shards that are read from a base and deltas: a bill that was dropped and stored again with the same
// key stays, although the base still holds the older one.
func TestBillStoredAgainAfterPrune(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 100)
	b.settleAt("a", b.now, "k")
	base, err := b.s.Encode()
	must.NoError(t, err)
	b.now = b.now.Add(time.Hour)
	b.settleAt("a", b.now)
	s, err := Decode(base)
	must.NoError(t, err)
	s.Prune(b.now)
	flush := budget.Op{ID: "a/90", Kind: budget.OpSettle, Holder: "a", Budget: acct, FlushedMS: b.now.UnixMilli()}
	s.Apply(b.now, flush)
	s.Prune(b.now)
	must.MapEmpty(t, s.bills)
	flush.ID, flush.Bills = "a/91", []budget.Bill{{Budget: acct, Key: "k", Tokens: 10}}
	must.SliceEmpty(t, s.Apply(b.now, flush).Duplicates)
	delta, err := s.Delta()
	must.NoError(t, err)
	read, err := Head{Inline: base, Deltas: [][]byte{delta}}.Open(nil)
	must.NoError(t, err)
	read.Prune(b.now)
	flush.ID = "a/92"
	must.Eq(t, []string{"k"}, read.Apply(b.now, flush).Duplicates)
}

// Guards against a value of another format or a damaged one: it is refused and never overwritten.
func TestCorruptValueIsRefused(t *testing.T) {
	b := newBooks(t, 1000)
	b.grant("a", 100)
	value, err := b.s.Encode()
	must.NoError(t, err)
	_, err = Decode(value[:len(value)-3])
	must.ErrorIs(t, err, ErrCorrupt)
	_, err = DecodeHead(value)
	must.ErrorIs(t, err, ErrCorrupt)
	_, err = Head{Inline: value, Deltas: [][]byte{[]byte("x")}}.Open(nil)
	must.ErrorIs(t, err, ErrCorrupt)
}
