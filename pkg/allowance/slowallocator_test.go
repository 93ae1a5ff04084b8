package allowance

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// servedPeers asks one allocator after the other, and each draws for no longer than Service.Give lets it.
type servedPeers struct{ fleetPeers }

func (p servedPeers) RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, _ func(int64)) RequestResult {
	result := RequestResult{Complete: true}
	for _, peer := range p.reachable(p.vm, allocators) {
		if !slices.Contains(allocators, peer.VM) {
			continue
		}
		give, cancel := context.WithTimeout(ctx, peerDrawTimeout)
		tokens, exhausted := peer.TransferOut(give, organisation, shortage.Next, shortage.Total, !shortage.NoDraw)
		cancel()
		result.Tokens += tokens
		if result.Exhausted = exhausted; exhausted || result.Tokens >= shortage.Total {
			break
		}
	}
	return result
}

func withServedPeers(acc *Accounts) { acc.Peers = servedPeers{acc.Peers.(fleetPeers)} }

// Guards against refusing requests whose budget the router could draw itself: all allocators have answered, but without tokens, because
// their draws took longer than they let another router wait, or because only they can't reach the store.
func TestDrawsItselfIfAllocatorsHaveNoTokens(t *testing.T) {
	allocators := []string{"vm1", "vm2"}
	for name, fault := range map[string]memstore.Fault{
		"slow store":                   {Kind: memstore.FaultSlow, DelayMS: 250},
		"allocators without the store": {Kind: memstore.FaultDown, Clients: allocators},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
				ctx, stop := context.WithCancel(t.Context())
				f := startFleet(ctx, memory, []string{"vm1", "vm2", "vm3"}, 100_000, withAllocators(allocators...), withServedPeers)
				_, err := memory.Inject(fault)
				must.NoError(t, err)
				verdict := f.accounts["vm3"].Reserve(ctx, organisation, 100_000, 140)
				stop()
				time.Sleep(2 * callTimeout) // Calls in progress end.
				must.EqOp(t, Granted, verdict)
			})
		})
	}
}

// Guards against requests that wait for their router's own draw while other routers have tokens: when the store is slow and many
// routers draw, a draw fails for one conflict after the other. Requests that come during the draw must be covered by others, too.
func TestNoRequestWaitsForManyDraws(t *testing.T) {
	const prepaid, routers, rounds = 10_000_000, 40, 20
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		var vms []string
		for i := range routers {
			vms = append(vms, fmt.Sprintf("vm%d", i+1))
		}
		f := startFleet(ctx, memory, vms, prepaid, withAllocators(vms[:4]...), withServedPeers)
		_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultSlow, DelayMS: 250})
		must.NoError(t, err)
		var refused, late atomic.Int64
		var callers sync.WaitGroup
		for i, vm := range vms {
			for round := range rounds {
				callers.Go(func() {
					time.Sleep(time.Duration(round)*250*time.Millisecond + time.Duration(i)*3*time.Millisecond)
					sent := time.Now()
					if f.accounts[vm].Reserve(ctx, organisation, prepaid, 140) != Granted {
						refused.Add(1)
					}
					if time.Since(sent) > callTimeout {
						late.Add(1)
					}
				})
			}
		}
		callers.Wait()
		stop()
		time.Sleep(2 * callTimeout) // Calls in progress end.
		must.Zero(t, refused.Load(), must.Sprint("refused"))
		must.Zero(t, late.Load(), must.Sprint("waited for longer than one call"))
	})
}
