package observe

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// Guards against a run that is not read again although it had not ended when it was read, so that its end is missing
// from the counts.
func TestOpenRunsAreReadAgain(t *testing.T) {
	r := NewRecords(control.NewClient(), fleet.Process{VM: "g1"}, false)
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	r.applyEngineRecords(engine.Records{Records: []engine.Record{{N: 1, RequestID: "a", EndedAt: now}, {N: 2, RequestID: "b"}, {N: 3, RequestID: "c", EndedAt: now}}})
	must.Eq(t, 2, r.oldestOpen)
	r.applyEngineRecords(engine.Records{Records: []engine.Record{{N: 2, RequestID: "b", EndedAt: now, End: "crashed"}, {N: 3, RequestID: "c", EndedAt: now}, {N: 4, RequestID: "d"}}})
	runs, _, missing := r.Result()
	must.Eq(t, "", missing)
	must.Len(t, 4, runs)
	must.Eq(t, "crashed", runs[1].End)
	must.Eq(t, 4, r.oldestOpen)
}

// Guards against a change of the stored format, or of the hash of bills, in the ledger alone: the observer decodes the
// stored form itself.
func TestLedgerDecodesStoredShards(t *testing.T) {
	store := memstore.New(memstore.Options{})
	client := store.Client("test")
	shard := ledger.New()
	id := budget.ID{Organisation: "velocar", Budget: "main"}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for n, op := range []budget.Op{
		{ID: "create", Kind: budget.OpCreate, Budget: id},
		{ID: "top-up", Kind: budget.OpTopUp, Budget: id, Tokens: 1000},
		{ID: "e1@1.1/1", Kind: budget.OpGrant, Budget: id, Holder: "e1@1.1", Need: 300, Want: 300},
		{ID: "e1@1.1/2", Kind: budget.OpSettle, Budget: id, Holder: "e1@1.1", Bills: []budget.Bill{{Budget: id, Key: "k", Tokens: 120}}},
	} {
		must.Eq(t, budget.CodeOK, shard.Apply(now.Add(time.Duration(n)*time.Second), op).Code)
	}
	base, err := shard.Encode()
	must.NoError(t, err)
	value, err := ledger.Head{Inline: base}.Encode()
	must.NoError(t, err)
	_, err = client.Put(context.Background(), ledger.Key(0), value, 0)
	must.NoError(t, err)

	l := NewLedger(client)
	objects, _, err := client.List(context.Background(), ledgerPrefix)
	must.NoError(t, err)
	l.applyObjects(objects)
	var observed observation.Observations
	l.Fill(&observed)
	must.Len(t, 1, observed.Budgets)
	must.Eq(t, []int64{1000, 120, 180}, []int64{observed.Budgets[0].ToppedUp, observed.Budgets[0].Settled, observed.Budgets[0].Granted})
	must.True(t, l.Billed("velocar", "k"))
	must.False(t, l.Billed("velocar", "other"))
	must.False(t, l.Billed("svaz", "k"))
}

// Guards against a bill that is missing, or is reported as new again, after the ledger has dropped it. The ledger drops
// old bills.
func TestLedgerKeepsDroppedBills(t *testing.T) {
	l := NewLedger(nil)
	hash := observation.BillKey("velocar", "k")
	for _, state := range []*ledgerv1.BudgetState{
		{Name: "main", ToppedUp: 100}, {Name: "main", ToppedUp: 100, Settled: 40, BillKeys: []uint64{hash}},
		{Name: "main", ToppedUp: 100, Settled: 40}, {Name: "main", ToppedUp: 100, Settled: 60},
	} {
		value, err := proto.Marshal(&ledgerv1.ShardState{Organisations: []*ledgerv1.OrganisationState{{Id: "velocar", Budgets: []*ledgerv1.BudgetState{state}}}})
		must.NoError(t, err)
		head, err := proto.Marshal(&ledgerv1.HeadState{Inline: value})
		must.NoError(t, err)
		l.applyObjects([]platform.Object{{Key: ledger.Key(0), Value: head}})
	}
	var observed observation.Observations
	l.Fill(&observed)
	must.True(t, l.Billed("velocar", "k"))
	must.Eq(t, []observation.Settlement{
		{Organisation: "velocar", Budget: "main", Tokens: 40, Bills: []uint64{hash}},
		{Organisation: "velocar", Budget: "main", Tokens: 20},
	}, observed.Settlements)
	must.Len(t, 1, observed.TopUps)
}

// Guards against an observer that ignores deltas or chunks and therefore reports missing bills. A shard is stored as a
// head with a base and deltas, and a large base is stored as separate chunks.
func TestLedgerAppliesChunksAndDeltas(t *testing.T) {
	l := NewLedger(nil)
	state := func(b *ledgerv1.BudgetState) []byte {
		value, err := proto.Marshal(&ledgerv1.ShardState{
			Names: []string{"e1", "e2"}, Organisations: []*ledgerv1.OrganisationState{{Id: "velocar", Budgets: []*ledgerv1.BudgetState{b}}},
		})
		must.NoError(t, err)
		return value
	}
	one, two := observation.BillKey("velocar", "one"), observation.BillKey("velocar", "two")
	base := state(&ledgerv1.BudgetState{
		Name: "main", ToppedUp: 100, Settled: 10, BillKeys: []uint64{one}, GrantHolders: []uint32{0, 1}, GrantTokens: []int64{20, 30},
	})
	delta := state(&ledgerv1.BudgetState{
		Name: "main", ToppedUp: 100, Settled: 25, BillKeys: []uint64{two}, GrantHolders: []uint32{1}, GrantTokens: []int64{0},
	})
	half := len(base) / 2
	chunks := []string{ledger.Key(0) + "/b1", ledger.Key(0) + "/b2"}
	headWith := func(deltas ...[]byte) platform.Object {
		head, err := proto.Marshal(&ledgerv1.HeadState{Chunks: chunks, Deltas: deltas})
		must.NoError(t, err)
		return platform.Object{Key: ledger.Key(0), Value: head}
	}
	l.applyObjects([]platform.Object{headWith(), {Key: chunks[0], Value: base[:half]}, {Key: chunks[1], Value: base[half:]}})
	l.applyObjects([]platform.Object{headWith(delta)})
	l.applyObjects([]platform.Object{headWith(delta)})
	var observed observation.Observations
	l.Fill(&observed)
	must.True(t, l.Billed("velocar", "one"))
	must.True(t, l.Billed("velocar", "two"))
	must.Eq(t, []int64{25, 20}, []int64{observed.Budgets[0].Settled, observed.Budgets[0].Granted})
	must.Len(t, 2, observed.Settlements)
}
