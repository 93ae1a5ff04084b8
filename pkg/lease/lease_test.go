package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const testKey = "lease/test"

type pair struct {
	t     *testing.T
	store *memstore.Store
	a, b  *Lease
}

func always() bool { return true }

// two returns two processes of which a holds the lease.
func two(t *testing.T) pair {
	store := memstore.New(memstore.Options{Seed: 1})
	p := pair{t: t, store: store, a: one(store, "a", 1), b: one(store, "b", 2)}
	p.run(2*time.Second, p.a)
	_, held := p.a.Valid(time.Now())
	must.True(t, held)
	return p
}

func one(store *memstore.Store, id string, seed uint64) *Lease {
	return New(Options{Store: store.Client(id), Key: testKey, Self: id, Rand: rand.New(rand.NewPCG(seed, 0))})
}

// run steps the processes ten times a second and checks that never two hold the lease.
func (p pair) run(d time.Duration, leases ...*Lease) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, l := range leases {
			_ = l.Step(p.t.Context(), always)
		}
		_, a := p.a.Valid(time.Now())
		_, b := p.b.Valid(time.Now())
		must.False(p.t, a && b, must.Sprint("two processes hold the lease"))
	}
}

// runUntil is run until the lease is held and returns the time that took.
func (p pair) runUntil(l *Lease, leases ...*Lease) time.Duration {
	start := time.Now()
	for {
		p.run(100*time.Millisecond, leases...)
		if _, held := l.Valid(time.Now()); held {
			return time.Since(start)
		}
		must.Less(p.t, 2*time.Minute, time.Since(start))
	}
}

// Guards against a takeover before the holder's lease has ended by its own clock, against a fencing number that does
// not grow, and against a previous holder that is forgotten before it is known to give no orders.
func TestTakeoverAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := two(t)
		p.run(30*time.Second, p.a, p.b)
		old, held := p.a.Valid(time.Now())
		must.True(t, held)
		took := p.runUntil(p.b, p.b)
		must.Greater(t, TTL-Interval, took)
		fencing, _ := p.b.Valid(time.Now())
		must.Greater(t, old, fencing)
		must.Eq(t, []string{"a"}, p.b.PreviousHolders())
		p.run(time.Minute, p.b)
		must.Eq(t, []string{"a"}, p.b.PreviousHolders())
		p.run(3*Interval, p.a, p.b)
		must.Len(t, 0, p.b.PreviousHolders())
		again, held := p.b.Valid(time.Now())
		must.True(t, held)
		must.Eq(t, fencing, again)
	})
}

// Guards against a holder that does not know that it holds the lease, or uses another number than the revision of its
// acquisition.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{Seed: 1})
		_, err := store.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
		must.NoError(t, err)
		p := pair{t: t, store: store, a: one(store, "a", 1), b: one(store, "b", 2)}
		p.run(time.Second, p.a)
		object, err := store.Client("test").Get(t.Context(), testKey)
		must.NoError(t, err)
		p.runUntil(p.a, p.a, p.b)
		fencing, _ := p.a.Valid(time.Now())
		must.Eq(t, object.Revision, fencing)
		_, err = store.Inject(memstore.Fault{Kind: memstore.FaultLost, Probability: 0.7})
		must.NoError(t, err)
		for range 60 {
			p.run(time.Second, p.a, p.b)
			again, held := p.a.Valid(time.Now())
			must.True(t, held)
			must.Eq(t, fencing, again)
		}
	})
}

// Guards against a holder that goes on without renewals, and against a lease that is lost although nobody took it.
func TestPlatformAwayDuringRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := two(t)
		fencing, _ := p.a.Valid(time.Now())
		for _, clients := range [][]string{nil, {"a"}} {
			id, err := p.store.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: clients})
			must.NoError(t, err)
			p.run(TTL, p.a, p.b)
			_, held := p.a.Valid(time.Now())
			must.False(t, held)
			if clients == nil {
				p.store.Clear(id)
				p.runUntil(p.a, p.a)
				again, _ := p.a.Valid(time.Now())
				must.Eq(t, fencing, again)
				continue
			}
			p.runUntil(p.b, p.a, p.b)
			p.store.Clear(id)
			p.run(time.Minute, p.a, p.b)
			_, held = p.b.Valid(time.Now())
			must.True(t, held)
		}
	})
}

// Guards against a wait for the end of a lease that was given up, and against a release that hides an order that may
// still arrive.
func TestRelease(t *testing.T) {
	for _, uncertain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := two(t)
			p.run(time.Second, p.a, p.b)
			if uncertain {
				p.a.MarkUncertain()
			}
			must.NoError(t, p.a.Release(t.Context()))
			must.Less(t, 2*Interval, p.runUntil(p.b, p.b))
			must.Eq(t, uncertain, len(p.b.PreviousHolders()) == 1)
			if uncertain {
				p.run(time.Minute, p.a, p.b)
				must.Eq(t, []string{"a"}, p.b.PreviousHolders())
			}
		})
	}
}

// Guards against a write that goes through with a record of another kind in its place.
func TestForeignObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		_, err := store.Client("x").Put(t.Context(), testKey, []byte("not a lease"), 0)
		must.NoError(t, err)
		l := one(store, "a", 1)
		for range 5 {
			time.Sleep(2 * Interval)
			must.ErrorIs(t, l.Step(t.Context(), always), ErrInvalidRecord)
		}
	})
}
