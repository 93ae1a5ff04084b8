package instance

import (
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
)

// flushedUnknown tells the ledger that a settle operation says nothing about other requests of its holder: the
// bills that follow it may be older.
const flushedUnknown = 1000

// settleOps returns the operations, by shard, that settle the bills of an instance whose grants stay held: the
// transfers that may pay for them, the settle operations that the instance may have sent, unchanged, and one for each
// other bill. Its id depends on nothing but the bill, because a later attempt may find the copies of fewer witnesses
// and must not settle a bill again after the ledger has dropped its record.
func settleOps(instance string, f journal.RecoveredState, shards int) [][]budget.Op {
	for _, e := range f.Bills {
		id := fmt.Sprintf("%s/%s/closing/%d", instance, e.Budget.Organisation, e.Seq)
		f.SettleOps = append(f.SettleOps, journal.SettleOp{Op: id, Budget: e.Budget, Bills: []journal.Entry{e}})
	}
	f.Bills, f.TransfersOut = nil, nil
	ops := closeOps(instance, f, shards)
	for shard := range ops {
		ops[shard] = ops[shard][:len(ops[shard])-1]
	}
	return ops
}

// closeOps returns the operations that close an instance, by shard: transfers, which may pay for bills, then the
// settle operations that the instance may have sent, unchanged, and the closing with the bills that it has not sent.
func closeOps(instance string, f journal.RecoveredState, shards int) [][]budget.Op {
	ops := make([][]budget.Op, shards)
	closing := make([]budget.Op, shards)
	add := func(organisation string) (*[]budget.Op, *budget.Op) {
		shard := ledger.ShardOf(organisation, shards)
		return &ops[shard], &closing[shard]
	}
	for _, e := range slices.Concat(f.TransfersIn, f.TransfersOut) {
		t := budget.Transfer{ID: e.Op, Budget: e.Budget, From: instance, To: e.Peer, Tokens: e.Tokens}
		if e.Kind == journal.TransferIn {
			t.From, t.To = e.Peer, instance
		}
		before, last := add(e.Budget.Organisation)
		*before = append(*before, budget.Op{
			ID: t.ID, Kind: budget.OpTransfer, Budget: t.Budget, Holder: t.From, To: t.To, Tokens: t.Tokens,
		})
		last.Transfers = append(last.Transfers, t)
	}
	for _, s := range f.SettleOps {
		before, _ := add(s.Budget.Organisation)
		*before = append(*before, budget.Op{
			ID: s.Op, Kind: budget.OpSettle, Budget: s.Budget, Holder: instance, Bills: bills(s.Bills),
			FlushedMS: flushedUnknown,
		})
	}
	for _, e := range f.Bills {
		_, last := add(e.Budget.Organisation)
		last.Bills = append(last.Bills, bills([]journal.Entry{e})...)
	}
	for shard := range ops {
		op := closing[shard]
		op.ID, op.Kind, op.Holder = "close/"+instance, budget.OpCloseHolder, instance
		ops[shard] = append(ops[shard], op)
	}
	return ops
}

func bills(entries []journal.Entry) []budget.Bill {
	out := make([]budget.Bill, len(entries))
	for i, e := range entries {
		out[i] = budget.Bill{Budget: e.Budget, Key: e.Key, Tokens: e.Tokens}
	}
	return out
}
