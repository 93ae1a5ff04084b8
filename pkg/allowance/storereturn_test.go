package allowance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// silentStore answers no call while silent is set, and counts the writes that it answers.
type silentStore struct {
	platform.Store
	silent atomic.Bool
	writes atomic.Int64
}

func (s *silentStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return platform.Object{}, platform.ErrUncertain
	}
	s.writes.Add(1)
	return s.Store.Put(ctx, key, value, ifRevision)
}

// Guards against draws that wait for the rest of the delay after a failed call although another call of the router shows that the store
// answers, and against draws that nobody needs then.
func TestDrawsAtOnceWhenTheStoreIsBack(t *testing.T) {
	for offset := range 12 {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			store := &silentStore{Store: memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}).Client("a")}
			acc := NewAccounts(Options{
				Store: store, Peers: fleetPeers{fleet: &fleet{}, vm: "a", random: func() float64 { return 1 }}, VM: "a", Instance: "a-1", Log: discardLog(),
				Allocators: func(string) []string { return []string{"a"} }, Prepaid: func(string) int64 { return 1_000_000 },
			})
			go acc.Run(ctx)
			store.silent.Store(true)
			ended := time.Now().Add(10 * time.Second)
			go func() { // Requests go on all the time.
				for time.Now().Before(ended) {
					reserveCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
					acc.Reserve(reserveCtx, organisation, 1_000_000, 100)
					cancel()
					time.Sleep(20 * time.Millisecond)
				}
			}()
			time.Sleep(5*time.Second + time.Duration(offset)*100*time.Millisecond)
			store.silent.Store(false)
			time.Sleep(4 * time.Millisecond) // Another call is answered.
			acc.StoreReturned()
			time.Sleep(callTimeout + 10*time.Millisecond)
			drawnSoon := store.writes.Load()
			time.Sleep(time.Until(ended) + time.Second)
			drawn := store.writes.Load()
			stop()
			time.Sleep(time.Second)
			must.Positive(t, drawnSoon, must.Sprint("nothing is drawn within one timeout, offset ", offset))
			must.LessEq(t, 4, drawn)
		})
	}
}
