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

func requireApplied(t *testing.T, r []budget.Result, err error) {
	t.Helper()
	must.NoError(t, err)
	for _, r := range r {
		must.Eq(t, budget.CodeOK, r.Code)
	}
}

// putsPer1000 returns the number of writes for 1,000 operations that arrive at the given interval.
func putsPer1000(t *testing.T, interval time.Duration) (puts uint64) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		w := New(Options{Store: store, Rate: func() float64 { return 50 }, Burst: 5})
		defer w.Close()
		r, err := w.Apply(t.Context(), 0, createOps())
		requireApplied(t, r, err)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 1)})
				requireApplied(t, r, err)
			})
			time.Sleep(interval)
		}
		wg.Wait()
		must.Eq(t, 1000, store.shard(0).Read(mainBudget.Organisation)[0].Grants[0].Tokens)
		puts = w.Counts().Puts
	})
	return puts
}

// Guards against a cost at the platform that grows with the load: writes per operation must fall as the load rises,
// because one write stores all queued operations.
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

// Guards against an operation that is applied twice or not at all when the response of its write is lost, whether the
// write took effect or not.
func TestLostResponse(t *testing.T) {
	for name, lost := range map[string]fault{"after": faultLostAfter, "before": faultLostBefore} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				w := New(Options{Store: store})
				defer w.Close()
				r, err := w.Apply(t.Context(), 0, createOps())
				requireApplied(t, r, err)
				faults := []fault{lost, faultNone, lost}
				store.nextFault = func(write bool) fault {
					if !write || len(faults) == 0 {
						return faultNone
					}
					f := faults[0]
					faults = faults[1:]
					return f
				}
				for i := range 3 {
					r, err = w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 10)})
					requireApplied(t, r, err)
				}
				must.Eq(t, 30, store.shard(0).Read(mainBudget.Organisation)[0].Grants[0].Tokens)
			})
		})
	}
}

// Guards against lost updates: two writers of one shard that each cache it must not overwrite each other's operations.
func TestTwoWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		writers := []*Writer{New(Options{Store: store}), New(Options{Store: store})}
		r, err := writers[0].Apply(t.Context(), 0, createOps())
		requireApplied(t, r, err)
		var wg sync.WaitGroup
		for i := range 100 {
			for n, w := range writers {
				wg.Go(func() {
					holder := string(rune('a' + n))
					r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp(holder, i+1, 1)})
					requireApplied(t, r, err)
				})
			}
			time.Sleep(3 * time.Millisecond)
		}
		wg.Wait()
		for _, g := range store.shard(0).Read(mainBudget.Organisation)[0].Grants {
			must.Eq(t, 100, g.Tokens)
		}
		must.Positive(t, writers[0].Counts().Conflicts+writers[1].Counts().Conflicts)
		for _, w := range writers {
			w.Close()
		}
	})
}

// Guards against a thundering herd at the platform: during an outage few calls are made, and afterwards the waiting
// operations are stored in few writes.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.latency = 5 * time.Millisecond
		w := New(Options{Store: store, Rate: func() float64 { return 50 }, Burst: 5})
		defer w.Close()
		r, err := w.Apply(t.Context(), 0, createOps())
		requireApplied(t, r, err)
		store.mu.Lock()
		store.nextFault = func(bool) fault { return faultUnavailable }
		before := store.calls
		store.mu.Unlock()
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				delays := newBackOff(50*time.Millisecond, 5*time.Second)
				for {
					r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp(fmt.Sprintf("h%d", i), 1, 1)})
					if err == nil {
						must.Eq(t, budget.CodeOK, r[0].Code)
						return
					}
					must.ErrorIs(t, err, platform.ErrUnavailable)
					time.Sleep(delays.NextBackOff())
				}
			})
		}
		time.Sleep(10 * time.Minute)
		store.mu.Lock()
		during := store.calls - before
		store.nextFault = nil
		store.mu.Unlock()
		wg.Wait()
		after := store.calls - before - during
		t.Logf("500 callers: %d calls in 10 minutes of outage, %d calls to recover", during, after)
		must.LessEq(t, 10*60/2, during)
		// Without the slow start at least every second caller has a write of its own.
		must.Less(t, 500/2, after)
		must.SliceLen(t, 500, store.shard(0).Read(mainBudget.Organisation)[0].Grants)
	})
}

// Guards against calls served in the wrong order: settlements come before grants, and grants before all others.
func TestLimiterOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(func() float64 { return 1 }, 1)
		must.NoError(t, l.wait(t.Context(), classOther))
		order := make(chan class, 6)
		for _, c := range []class{classOther, classGrant, classSettle, classOther, classGrant, classSettle} {
			go func() {
				must.NoError(t, l.wait(t.Context(), c))
				order <- c
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		must.ErrorIs(t, l.wait(ctx, classSettle), context.DeadlineExceeded)
		for _, want := range []class{classSettle, classSettle, classGrant, classGrant, classOther, classOther} {
			must.Eq(t, want, <-order)
		}
	})
}

// Guards against unbounded queues and calls, and against a closed writer that accepts calls.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Options{Store: newStore(), Rate: func() float64 { return 0 }, Burst: 1})
		r, err := w.Apply(t.Context(), 0, createOps())
		requireApplied(t, r, err)
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

// Guards against a write that carries the whole of a large shard instead of its changes, and against a shard that can't
// exceed the size of one object.
func TestWritesCarryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		w := New(Options{Store: store})
		defer w.Close()
		var ops []budget.Op
		for i := range 6000 {
			ops = append(ops, budget.Op{
				ID: fmt.Sprintf("c%d", i), Kind: budget.OpCreate,
				Budget: budget.ID{Organisation: mainBudget.Organisation, Budget: fmt.Sprintf("%0200d", i)},
			})
		}
		for batch := range slices.Chunk(append(ops, createOps()...), MaxOps) {
			r, err := w.Apply(t.Context(), 0, batch)
			requireApplied(t, r, err)
		}
		before := w.Counts()
		for i := range 1000 {
			r, err := w.Apply(t.Context(), 0, []budget.Op{grantOp("a", i+1, 1)})
			requireApplied(t, r, err)
		}
		after := w.Counts()
		encoded, err := store.shard(0).Encode()
		must.NoError(t, err)
		perWrite := (after.Bytes - before.Bytes) / (after.Puts - before.Puts)
		t.Logf("shard of %d bytes: %d bytes per write, %d writes for 1,000 batches", len(encoded), perWrite, after.Puts-before.Puts)
		must.Greater(t, platform.MaxValueBytes, len(encoded))
		must.Less(t, uint64(len(encoded)/10), perWrite)
		must.LessEq(t, 1+2, len(store.keys()))
	})
}

// Guards against a number of shards that changes: it is stored once, even if the response of the write is lost.
func TestEnsureLayout(t *testing.T) {
	store := newStore()
	store.nextFault = func(write bool) fault {
		if write {
			return faultLostAfter
		}
		return faultNone
	}
	n, err := EnsureLayout(t.Context(), store, 7)
	must.NoError(t, err)
	must.Eq(t, 7, n)
	n, err = EnsureLayout(t.Context(), store, 9)
	must.NoError(t, err)
	must.Eq(t, 7, n)
}

// Guards against operations that miss the primary router or have no fallback: without the primary router this router
// writes itself, and if it does not reach the platform another router does.
func TestRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		names := []string{"a", "b", "c", "d"}
		fleet := &fakeFleet{clients: map[string]*Client{}, unreachable: map[string]bool{}, callsTo: map[string]int{}}
		unreachable := map[string]bool{}
		for _, n := range names {
			w := New(Options{Store: &gatedStore{fakeStore: store, unreachable: unreachable, name: n}})
			defer w.Close()
			fleet.clients[n] = NewClient(w, fleet, fakeView{self: n, names: names}, 1)
		}
		others, isPrimary := fleet.clients["a"].rankRouters(mainBudget.Organisation)
		primary := others[0].Instance
		if isPrimary {
			primary = "a"
		}
		self := map[string]string{"a": "b"}[primary]
		if self == "" {
			self = "a"
		}
		c := fleet.clients[self]
		r, err := c.Apply(t.Context(), mainBudget.Organisation, createOps())
		requireApplied(t, r, err)
		must.MapEq(t, map[string]int{primary: 1}, fleet.callsTo)
		fleet.unreachable[primary] = true
		r, err = c.Apply(t.Context(), mainBudget.Organisation, []budget.Op{grantOp("a", 1, 1)})
		requireApplied(t, r, err)
		must.Positive(t, c.writer.Counts().Puts)
		unreachable[self] = true
		r, err = c.Apply(t.Context(), mainBudget.Organisation, []budget.Op{grantOp("a", 2, 1)})
		requireApplied(t, r, err)
		must.MapLen(t, 2, fleet.callsTo)
		for _, n := range names {
			unreachable[n] = true
		}
		_, err = c.Apply(t.Context(), mainBudget.Organisation, []budget.Op{grantOp("a", 3, 1)})
		must.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// gatedStore is the store as seen by one router. Its calls fail while the router's name is in unreachable.
type gatedStore struct {
	*fakeStore
	unreachable map[string]bool
	name        string
}

func (g *gatedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if g.unreachable[g.name] {
		return platform.Object{}, platform.ErrUnavailable
	}
	return g.fakeStore.Get(ctx, key)
}

func (g *gatedStore) Put(ctx context.Context, key string, value []byte, rev uint64) (platform.Object, error) {
	if g.unreachable[g.name] {
		return platform.Object{}, platform.ErrUnavailable
	}
	return g.fakeStore.Put(ctx, key, value, rev)
}
