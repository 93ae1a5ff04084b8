package instance

import (
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
)

// earliestFlushedMS (ms since 1970) is the FlushedMS of settle operations that state nothing about other requests of
// their holder: the bills that follow may be older. 0 would stand for LongestRequest before the operation.
const earliestFlushedMS = 1000

// settleOps returns the operations, by shard, that settle the bills of an instance whose grants stay held: the
// transfers that may pay for them, the settle operations that the instance may have sent, unchanged, and one for each
// other bill. The id of the latter depends only on the bill, because a later attempt may get the copies of fewer
// witnesses and must not settle a bill again after the ledger has dropped its record of the bill.
func settleOps(instance string, state journal.RecoveredState, shards int) [][]budget.Op {
	for _, e := range state.Bills {
		id := fmt.Sprintf("%s/%s/closing/%d", instance, e.Budget.Organisation, e.Seq)
		state.SettleOps = append(state.SettleOps, journal.SettleOp{Op: id, Budget: e.Budget, Bills: []journal.Entry{e}})
	}
	state.Bills, state.TransfersOut = nil, nil
	ops := closeOps(instance, state, shards)
	for shard := range ops {
		ops[shard] = ops[shard][:len(ops[shard])-1]
	}
	return ops
}

// closeOps returns the operations that close an instance, by shard: transfers, which may pay for bills, then the
// settle operations that the instance may have sent, unchanged, and the closing of the holder with the bills that the
// instance has not sent.
func closeOps(instance string, state journal.RecoveredState, shards int) [][]budget.Op {
	ops := make([][]budget.Op, shards)
	closeHolderOps := make([]budget.Op, shards)
	opsFor := func(organisation string) (*[]budget.Op, *budget.Op) {
		shard := ledger.ShardOf(organisation, shards)
		return &ops[shard], &closeHolderOps[shard]
	}
	for _, e := range slices.Concat(state.TransfersIn, state.TransfersOut) {
		t := budget.Transfer{ID: e.Op, Budget: e.Budget, From: instance, To: e.Peer, Tokens: e.Tokens}
		if e.Kind == journal.TransferIn {
			t.From, t.To = e.Peer, instance
		}
		shardOps, closeOp := opsFor(e.Budget.Organisation)
		*shardOps = append(*shardOps, budget.Op{
			ID: t.ID, Kind: budget.OpTransfer, Budget: t.Budget, Holder: t.From, To: t.To, Tokens: t.Tokens,
		})
		closeOp.Transfers = append(closeOp.Transfers, t)
	}
	for _, s := range state.SettleOps {
		shardOps, _ := opsFor(s.Budget.Organisation)
		*shardOps = append(*shardOps, budget.Op{
			ID: s.Op, Kind: budget.OpSettle, Budget: s.Budget, Holder: instance, Bills: toBills(s.Bills),
			FlushedMS: earliestFlushedMS,
		})
	}
	for _, e := range state.Bills {
		_, closeOp := opsFor(e.Budget.Organisation)
		closeOp.Bills = append(closeOp.Bills, toBills([]journal.Entry{e})...)
	}
	for shard := range ops {
		op := closeHolderOps[shard]
		op.ID, op.Kind, op.Holder = "close/"+instance, budget.OpCloseHolder, instance
		ops[shard] = append(ops[shard], op)
	}
	return ops
}

func toBills(entries []journal.Entry) []budget.Bill {
	out := make([]budget.Bill, len(entries))
	for i, e := range entries {
		out[i] = budget.Bill{Budget: e.Budget, Key: e.Key, Tokens: e.Tokens}
	}
	return out
}
