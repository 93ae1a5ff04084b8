package allowance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	allowancev1 "github.com/lavendershunt/lavendershunt/api/ls/allowance/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/allowance/v1/allowancev1connect"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// cutStore is a store that may be out of reach.
type cutStore struct {
	Store
	cut *atomic.Bool
}

func (s cutStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if s.cut.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, ifRevision)
}

// startConnected starts n routers, vm1 to vmN, that reach each other over connections. The first four are the allocators. The store is
// out of reach for all but the last one while cut is set.
func startConnected(t *testing.T, n int, prepaid int64, cut *atomic.Bool) []*Accounts {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	addresses := map[string]string{}
	routers := make([]*Accounts, n)
	for i := range n {
		vm := "vm" + strconv.Itoa(i+1)
		store := cutStore{memory.Client(vm), cut}
		if i == n-1 {
			store.cut = &atomic.Bool{}
		}
		peers := &RemotePeers{Client: http.DefaultClient, Log: discardLog(), Addresses: func() map[string]string {
			others := map[string]string{}
			for name, address := range addresses {
				if name != vm {
					others[name] = address
				}
			}
			return others
		}}
		routers[i] = NewAccounts(Options{
			Store: store, Peers: peers, VM: vm, Instance: vm + "#1", Log: discardLog(),
			Allocators: func(string) []string { return []string{"vm1", "vm2", "vm3", "vm4"} },
			Prepaid:    func(string) int64 { return prepaid },
		})
		mux := http.NewServeMux()
		mux.Handle(NewService(routers[i]).Handler())
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		addresses[vm] = server.Listener.Addr().String()
	}
	for _, acc := range routers {
		go acc.Run(t.Context())
	}
	return routers
}

// reserveSoon repeats a request until it is granted, at most 100 times, and returns the last verdict.
func reserveSoon(t *testing.T, acc *Accounts, prepaid, tokens int64) (v Verdict) {
	for range 100 {
		if v = acc.Reserve(t.Context(), organisation, prepaid, tokens); v == Granted {
			return v
		}
		time.Sleep(20 * time.Millisecond)
	}
	return v
}

// Guards against refusing requests while the budget is undrawn and some router reaches the store: in a partition of most routers from
// the store only the allocators were asked, and all of these were cut off.
func TestDrawsThroughARouterThatReachesTheStore(t *testing.T) {
	const prepaid, tokens = 1_000_000, 1000
	cut := &atomic.Bool{}
	cut.Store(true)
	routers := startConnected(t, 8, prepaid, cut)
	must.EqOp(t, Granted, reserveSoon(t, routers[0], prepaid, tokens), must.Sprint("at an allocator"))
	must.EqOp(t, Granted, reserveSoon(t, routers[5], prepaid, tokens), must.Sprint("at another router"))
	// A budget that the router with contact finds used up is refused as such.
	must.EqOp(t, Exhausted, reserveSoon(t, routers[5], prepaid, 2*prepaid))
}

// Guards against messages for a silent store that grow with its length, and against routers that are never asked.
func TestHelperSearchAsksEachRouterOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var s helperSearch
		var routers []string
		for i := range rapid.IntRange(1, 40).Draw(t, "routers") {
			routers = append(routers, strconv.Itoa(i))
		}
		var lastPause time.Duration
		for range rapid.IntRange(1, 5).Draw(t, "searches") {
			must.True(t, s.start(now))
			must.False(t, s.start(now), must.Sprint("two searches at once"))
			asked := map[string]int{}
			for {
				ask := s.next(now, routers)
				if len(ask) == 0 {
					break
				}
				must.LessEq(t, helperProbes, len(ask))
				for _, name := range ask {
					asked[name]++
				}
				now = now.Add(helperProbeInterval)
			}
			must.MapLen(t, len(routers), asked)
			for _, n := range asked {
				must.EqOp(t, 1, n)
			}
			must.False(t, s.start(now), must.Sprint("no pause after a search in vain"))
			must.GreaterEq(t, lastPause, s.pause)
			lastPause = s.pause
			now = s.nextAt
		}
		must.LessEq(t, maxSearchPause, s.pause)
		must.True(t, s.start(now))
		s.found(now, routers[0])
		must.SliceEmpty(t, s.next(now, routers), must.Sprint("asks on after one was found"))
		must.EqOp(t, routers[0], s.helper(now.Add(helperTrust-1)))
		must.EqOp(t, "", s.helper(now.Add(helperTrust)))
		s.found(now, routers[0])
		s.failed(routers[0])
		must.EqOp(t, "", s.helper(now))
	})
}

// earlierGive answers as a router of the build before probes does: it ignores the field and gives nothing for a need of 0.
type earlierGive struct {
	allowancev1connect.UnimplementedAllowanceServiceHandler
}

func (earlierGive) Give(context.Context, *connect.Request[allowancev1.GiveRequest]) (*connect.Response[allowancev1.GiveResponse], error) {
	return connect.NewResponse(&allowancev1.GiveResponse{}), nil
}

// Guards against taking a router of an earlier build, which doesn't know probes, for one that reaches the store.
func TestEarlierRoutersAreNoHelpers(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(allowancev1connect.NewAllowanceServiceHandler(earlierGive{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peers := RemotePeers{Client: http.DefaultClient, Log: discardLog(), Addresses: func() map[string]string {
		return map[string]string{"vm2": server.Listener.Addr().String()}
	}}
	peers.probe("vm2", organisation)
	must.EqOp(t, "", peers.search.helper(time.Now()))
}
