package ledgerwriter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func applied(t *testing.T, r []budget.Result, err error) {
	t.Helper()
	must.NoError(t, err)
	for _, r := range r {
		must.Eq(t, budget.CodeOK, r.Code)
	}
}

// putsPer1000 returns the writes that 1,000 operations need when they arrive at the given interval.
func putsPer1000(t *testing.T, interval time.Duration) (puts uint64) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		w := New(Options{Store: store, Rate: func() float64 { return 50 }, Burst: 5})
		defer w.Close()
		r, err := w.Apply(t.Context(), 0, create())
		applied(t, r, err)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 1)})
				applied(t, r, err)
			})
			time.Sleep(interval)
		}
		wg.Wait()
		must.Eq(t, 1000, store.shard(0).Read(acct.Organisation)[0].Grants[0].Tokens)
		puts = w.Counts().Puts
	})
	return puts
}

// Guards the cost at the platform: the writes per operation fall as the load rises.
func TestWritesPerOperationFallWithLoad(t *testing.T) {
	var counts []uint64
	for _, interval := range []time.Duration{40 * time.Millisecond, 5 * time.Millisecond, time.Millisecond} {
		n := putsPer1000(t, interval)
		t.Logf("one operation every %v: %d writes for 1,000 operations", interval, n)
		counts = append(counts, n)
	}
	must.Less(t, counts[0]/2, counts[1])
	must.Less(t, counts[1]/2, counts[2])
}

// Guards against a lost response: the write took effect or not, the operation counts once.
func TestLostResponse(t *testing.T) {
	for name, lost := range map[string]fault{"after": faultLostAfter, "before": faultLostBefore} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				w := New(Options{Store: store})
				defer w.Close()
				r, err := w.Apply(t.Context(), 0, create())
				applied(t, r, err)
				faults := []fault{lost, faultNone, lost}
				store.fault = func(write bool) fault {
					if !write || len(faults) == 0 {
						return faultNone
					}
					f := faults[0]
					faults = faults[1:]
					return f
				}
				for i := range 3 {
					r, err = w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 10)})
					applied(t, r, err)
				}
				must.Eq(t, 30, store.shard(0).Read(acct.Organisation)[0].Grants[0].Tokens)
			})
		})
	}
}

// Guards against a stale cache: two writers of one shard lose nothing to each other.
func TestTwoWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		writers := []*Writer{New(Options{Store: store}), New(Options{Store: store})}
		r, err := writers[0].Apply(t.Context(), 0, create())
		applied(t, r, err)
		var wg sync.WaitGroup
		for i := range 100 {
			for n, w := range writers {
				wg.Go(func() {
					holder := string(rune('a' + n))
					r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp(holder, i+1, 1)})
					applied(t, r, err)
				})
			}
			time.Sleep(3 * time.Millisecond)
		}
		wg.Wait()
		for _, g := range store.shard(0).Read(acct.Organisation)[0].Grants {
			must.Eq(t, 100, g.Tokens)
		}
		must.Positive(t, writers[0].Counts().Conflicts+writers[1].Counts().Conflicts)
		for _, w := range writers {
			w.Close()
		}
	})
}

// Guards the platform against a herd: during an outage few calls are made, and afterwards what waited is stored in
// few writes.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		w := New(Options{Store: store, Rate: func() float64 { return 50 }, Burst: 5})
		defer w.Close()
		r, err := w.Apply(t.Context(), 0, create())
		applied(t, r, err)
		store.mu.Lock()
		store.fault = func(bool) fault { return faultDown }
		before := store.calls
		store.mu.Unlock()
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				waits := newBackOff(50*time.Millisecond, 5*time.Second)
				for {
					r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp(fmt.Sprintf("h%d", i), 1, 1)})
					if err == nil {
						must.Eq(t, budget.CodeOK, r[0].Code)
						return
					}
					must.ErrorIs(t, err, platform.ErrUnavailable)
					time.Sleep(waits.NextBackOff())
				}
			})
		}
		time.Sleep(10 * time.Minute)
		store.mu.Lock()
		during := store.calls - before
		store.fault = nil
		store.mu.Unlock()
		wg.Wait()
		after := store.calls - before - during
		t.Logf("500 callers: %d calls in 10 minutes of outage, %d calls to recover", during, after)
		must.LessEq(t, 10*60/2, during)
		// Without the slow start every second caller or more has a write of its own.
		must.Less(t, 500/2, after)
		must.SliceLen(t, 500, store.shard(0).Read(acct.Organisation)[0].Grants)
	})
}

// Guards the order of service: settlements are served before grants and those before the rest.
func TestLimiterOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(func() float64 { return 1 }, 1)
		must.NoError(t, l.take(t.Context(), classRest))
		order := make(chan class, 6)
		for _, c := range []class{classRest, classGrant, classSettle, classRest, classGrant, classSettle} {
			go func() {
				must.NoError(t, l.take(t.Context(), c))
				order <- c
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		must.ErrorIs(t, l.take(ctx, classSettle), context.DeadlineExceeded)
		for _, want := range []class{classSettle, classSettle, classGrant, classGrant, classRest, classRest} {
			must.Eq(t, want, <-order)
		}
	})
}

// Guards against unbounded queues.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Options{Store: newStore(), Rate: func() float64 { return 0 }, Burst: 1})
		r, err := w.Apply(t.Context(), 0, create())
		applied(t, r, err)
		for i := range maxQueue {
			go func() { _, _ = w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 1)}) }()
		}
		synctest.Wait()
		_, err = w.Apply(t.Context(), 0, []budget.Op{grantOp("b", 1, 1)})
		must.ErrorIs(t, err, ErrQueueFull)
		_, err = w.Apply(t.Context(), 0, make([]budget.Op, MaxOps+1))
		must.ErrorIs(t, err, ErrTooManyOps)
		w.Close()
		_, err = w.Apply(t.Context(), 0, []budget.Op{grantOp("b", 1, 1)})
		must.ErrorIs(t, err, ErrClosed)
	})
}

// Guards the bytes written: a write of a large shard carries its changes and not the whole shard, and a shard may
// be larger than one object.
func TestWritesCarryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		w := New(Options{Store: store})
		defer w.Close()
		var ops []budget.Op
		for i := range 6000 {
			ops = append(ops, budget.Op{
				ID: fmt.Sprintf("c%d", i), Kind: budget.OpCreate,
				Budget: budget.ID{Organisation: acct.Organisation, Budget: fmt.Sprintf("%0200d", i)},
			})
		}
		for batch := range slices.Chunk(append(ops, create()...), MaxOps) {
			r, err := w.Apply(t.Context(), 0, batch)
			applied(t, r, err)
		}
		before := w.Counts()
		for i := range 1000 {
			r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 1)})
			applied(t, r, err)
		}
		after := w.Counts()
		whole, err := store.shard(0).Encode()
		must.NoError(t, err)
		perWrite := (after.Bytes - before.Bytes) / (after.Puts - before.Puts)
		t.Logf("shard of %d bytes: %d bytes per write, %d writes for 1,000 batches", len(whole), perWrite, after.Puts-before.Puts)
		must.Greater(t, platform.MaxValueBytes, len(whole))
		must.Less(t, uint64(len(whole)/10), perWrite)
		must.LessEq(t, 1+2, len(store.keys()))
	})
}

// Guards the layout: it is created once, also after a lost response, and never changes.
func TestLayout(t *testing.T) {
	store := newStore()
	store.fault = func(write bool) fault {
		if write {
			return faultLostAfter
		}
		return faultNone
	}
	n, err := Layout(t.Context(), store, 7)
	must.NoError(t, err)
	must.Eq(t, 7, n)
	n, err = Layout(t.Context(), store, 9)
	must.NoError(t, err)
	must.Eq(t, 7, n)
}

// Guards the routing: operations meet at the primary router; without it they take this router's own way, and
// without that the way through another router.
func TestRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		names := []string{"a", "b", "c", "d"}
		fleet := &fakeFleet{clients: map[string]*Client{}, cut: map[string]bool{}, visits: map[string]int{}}
		away := map[string]bool{}
		for _, n := range names {
			w := New(Options{Store: &gatedStore{fakeStore: store, away: away, name: n}})
			defer w.Close()
			fleet.clients[n] = NewClient(w, fleet, fakeView{self: n, names: names}, 1)
		}
		others, isHome := fleet.clients["a"].ranked(acct.Organisation)
		primary := others[0].Instance
		if isHome {
			primary = "a"
		}
		self := map[string]string{"a": "b"}[primary]
		if self == "" {
			self = "a"
		}
		c := fleet.clients[self]
		r, err := c.Apply(t.Context(), acct.Organisation, create())
		applied(t, r, err)
		must.MapEq(t, map[string]int{primary: 1}, fleet.visits)
		fleet.cut[primary] = true
		r, err = c.Apply(t.Context(), acct.Organisation, []budget.Op{grantOp("a", 1, 1)})
		applied(t, r, err)
		must.Positive(t, c.writer.Counts().Puts)
		away[self] = true
		r, err = c.Apply(t.Context(), acct.Organisation, []budget.Op{grantOp("a", 2, 1)})
		applied(t, r, err)
		must.MapLen(t, 2, fleet.visits)
		for _, n := range names {
			away[n] = true
		}
		_, err = c.Apply(t.Context(), acct.Organisation, []budget.Op{grantOp("a", 3, 1)})
		must.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// gatedStore is the store as one router reaches it.
type gatedStore struct {
	*fakeStore
	away map[string]bool
	name string
}

func (g *gatedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if g.away[g.name] {
		return platform.Object{}, platform.ErrUnavailable
	}
	return g.fakeStore.Get(ctx, key)
}

func (g *gatedStore) Put(ctx context.Context, key string, value []byte, rev uint64) (platform.Object, error) {
	if g.away[g.name] {
		return platform.Object{}, platform.ErrUnavailable
	}
	return g.fakeStore.Put(ctx, key, value, rev)
}
