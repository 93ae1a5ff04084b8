package allowance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// Guards against tokens that are drawn a second time after the first restore of the store, by a router that sees the restore from its
// own draw: it must wait for what others have drawn, whether or not it was told a revision of the store before.
func TestFirstRestoreIsNoticedByADraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prepaid, most = 100_000, 60_000
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := startFleet(ctx, memory, []string{"vm1", "vm2"}, prepaid, func(acc *Accounts) { withAllocators(acc.VM)(acc) })
		f.mu.Lock()
		f.isolated["vm1"] = true
		f.mu.Unlock()
		must.EqOp(t, Granted, f.accounts["vm1"].Reserve(ctx, organisation, prepaid, 100))
		older := memory.Copy()
		must.EqOp(t, Granted, f.accounts["vm2"].Reserve(ctx, organisation, prepaid, most))
		memory.Restore(older)
		must.EqOp(t, Unavailable, f.accounts["vm1"].Reserve(ctx, organisation, prepaid, most))
		f.accounts["vm2"].StoreReached(platform.NewRevision(memory.Era(), 1))
		time.Sleep(2 * settleTime)
		must.EqOp(t, Exhausted, f.accounts["vm1"].Reserve(ctx, organisation, prepaid, most))
	})
}

// Guards against spending tokens of a draw that fell into a restore and whose answer was lost: the router found its mark in the record
// of the new era, but a later state of the era to which the draw counted replaced it.
func TestMarkInALaterEraIsNoDraw(t *testing.T) {
	a := &account{prepaid: 20_000, pendingDraws: map[string]pendingDraw{"vm2#1/9": {amount: 330, baseRevision: platform.NewRevision(0, 9)}}}
	a.applyRead(time.Unix(0, 0), Draws{0: {Writes: 1, Drawn: 330}}, "vm2#1/9", platform.NewRevision(1, 1))
	must.EqOp(t, 0, a.free)
	must.MapEmpty(t, a.pendingDraws)
}
