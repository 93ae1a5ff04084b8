package allowance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/allowance/v1/allowancev1connect"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// Guards against forgetting draws although a router that knew them and one that had started later ran at the same time: the
// latter was told with the next draw only, and if the former was killed before it, a restored store didn't know them either.
func TestStartedRouterRecallsDraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stopAll := context.WithCancel(t.Context())
		defer stopAll()
		const prepaid, size = 20_000, 500
		f := &fleet{accounts: map[string]*Accounts{}, isolated: map[string]bool{}}
		start := func(vm, instance string) (stop context.CancelFunc) {
			acc := NewAccounts(Options{
				Store: memory.Client(vm), VM: vm, Instance: instance, Log: discardLog(), Allocators: func(string) []string { return []string{"vm1", "vm2"} },
				Prepaid: func(string) int64 { return prepaid }, Peers: fleetPeers{fleet: f, vm: vm, random: func() float64 { return 1 }},
			})
			accountsCtx, stop := context.WithCancel(ctx)
			go acc.Run(accountsCtx)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accounts[vm] = acc
			return stop
		}
		spent := 0
		spend := func(vm string, requests int) {
			for range requests {
				if f.accounts[vm].Reserve(ctx, organisation, prepaid, size) == Granted {
					spent += size
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		stop1 := start("vm1", "vm1-1")
		stop2 := start("vm2", "vm2-1")
		spend("vm1", 1)
		older := memory.Copy()
		spend("vm1", prepaid/size)
		must.EqOp(t, prepaid, spent)
		stop2()
		start("vm2", "vm2-2")
		time.Sleep(2 * recallCheckInterval)
		memory.Restore(older)
		stop1()
		start("vm1", "vm1-2")
		spend("vm1", 1) // It finds the restore and waits for the others.
		time.Sleep(2 * settleTime)
		spend("vm1", prepaid/size)
		must.LessEq(t, prepaid, spent)
	})
}

// Guards against asking routers again that have answered, asking silent ones all the time, and asking a whole large fleet.
func TestRecallAsksUntilAnswered(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := newRecall(now)
	must.Eq(t, []string{"vm1", "vm2"}, r.next(now, []string{"vm1", "vm2"}))
	r.answered["vm1"] = true
	must.SliceEmpty(t, r.next(now.Add(recallPause-1), []string{"vm1", "vm2"}))
	must.Eq(t, []string{"vm2", "vm3"}, r.next(now.Add(recallPause), []string{"vm1", "vm2", "vm3"}))
	many := make([]string, 3*maxRecallRouters)
	for i := range many {
		many[i] = string(rune('a' + i))
	}
	must.Len(t, maxRecallRouters-3, r.next(now, many))
	must.SliceEmpty(t, r.next(now, many))
	must.False(t, r.isOver(now.Add(maxCopyAge-1)))
	must.True(t, r.isOver(now.Add(maxCopyAge)))
}

// Guards against drawing at once after a restore on the word of a router that may not know all draws: a router that has started
// waits for the others as if it knew nothing, until it has read the record once.
func TestRecalledDrawsDontReplaceTheWait(t *testing.T) {
	now, draws := time.Unix(1_800_000_000, 0), Draws{0: {Writes: 3, Drawn: 900}}
	a := &account{pendingDraws: map[string]pendingDraw{}, prepaid: 1000}
	a.recalled(now, draws)
	must.EqOp(t, 900, a.drawn)
	must.False(t, a.remembersRestore())
	a.applyRead(now, draws, "", 1)
	a.recalled(now, Draws{0: {Writes: 4, Drawn: 950}})
	must.True(t, a.remembersRestore())
	must.EqOp(t, 950, a.drawn)
}

// earlierPeer answers as routers did that knew no questions for draws.
type earlierPeer struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
}

func (earlierPeer) Inform(context.Context, *connect.Request[allowancev1.InformRequest]) (*connect.Response[allowancev1.InformResponse], error) {
	return connect.NewResponse(&allowancev1.InformResponse{}), nil
}

// Guards against draws that get lost in the message, against old ones in it, and against failing on a router of an earlier version.
func TestRecallOverConnections(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	acc := NewAccounts(Options{
		Store: memstore.New(memstore.Options{}).Client("vm2"), VM: "vm2", Instance: "vm2", Log: discardLog(), Allocators: func(string) []string { return []string{"vm2"} },
		Prepaid: func(string) int64 { return 0 }, Peers: fleetPeers{fleet: &fleet{}, vm: "vm2"},
	})
	go acc.Run(ctx)
	draws := Draws{0: {Writes: 3, Drawn: 900}, 2: {Writes: 1, Drawn: -50}}
	acc.Learn(organisation, draws)
	acc.Learn("unchanged for long", draws)
	acc.owner.Do(func(t *accountTable) { t.account("unchanged for long").knownAt = time.Now().Add(-maxCopyAge) })
	addresses := map[string]string{}
	for name, handler := range map[string]allowancev1connect.AllowanceServiceHandler{"vm2": NewService(acc), "vm3": earlierPeer{}} {
		mux := http.NewServeMux()
		mux.Handle(allowancev1connect.NewAllowanceServiceHandler(handler))
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[name] = server.Listener.Addr().String()
	}
	peers := &RemotePeers{Addresses: func() map[string]string { return addresses }, Client: http.DefaultClient, Log: discardLog()}
	must.SliceContainsAll(t, []string{"vm2", "vm3"}, peers.Routers())
	recalled, err := peers.Recall(ctx, "vm2")
	must.NoError(t, err)
	must.Eq(t, map[string]Draws{organisation: draws}, recalled)
	recalled, err = peers.Recall(ctx, "vm3")
	must.NoError(t, err)
	must.MapEmpty(t, recalled)
	_, err = peers.Recall(ctx, "vm4")
	must.Error(t, err)
}
