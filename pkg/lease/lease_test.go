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

type leasePair struct {
	t     *testing.T
	store *memstore.Store
	a, b  *Lease
}

func alwaysCandidate() bool { return true }

// newPair returns the leases of two processes; a holds the lease.
func newPair(t *testing.T) leasePair {
	store := memstore.New(memstore.Options{Seed: 1})
	p := leasePair{t: t, store: store, a: newLease(store, "a", 1), b: newLease(store, "b", 2)}
	p.run(2*time.Second, p.a)
	_, held := p.a.Valid(time.Now())
	must.True(t, held)
	return p
}

func newLease(store *memstore.Store, id string, seed uint64) *Lease {
	return New(Options{Store: store.Client(id), Key: testKey, Self: id, Rand: rand.New(rand.NewPCG(seed, 0))})
}

// run calls Step on each of leases ten times a second and checks that a and b never hold the lease at the same time.
func (p leasePair) run(d time.Duration, leases ...*Lease) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, l := range leases {
			_ = l.Step(p.t.Context(), alwaysCandidate)
		}
		_, a := p.a.Valid(time.Now())
		_, b := p.b.Valid(time.Now())
		must.False(p.t, a && b, must.Sprint("two processes hold the lease"))
	}
}

// runUntil calls run until l holds the lease, and returns the time until then. It fails after two minutes.
func (p leasePair) runUntil(l *Lease, leases ...*Lease) time.Duration {
	start := time.Now()
	for {
		p.run(100*time.Millisecond, leases...)
		if _, held := l.Valid(time.Now()); held {
			return time.Since(start)
		}
		must.Less(p.t, 2*time.Minute, time.Since(start))
	}
}

// Guards against a takeover before the lease has ended by the holder's own clock, against a fencing number that does not
// grow, and against a previous holder that is removed from the record before it is known to send no more orders.
func TestTakeoverAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.run(30*time.Second, p.a, p.b)
		previousFencing, held := p.a.Valid(time.Now())
		must.True(t, held)
		elapsed := p.runUntil(p.b, p.b)
		must.Greater(t, TTL-Interval, elapsed)
		fencing, _ := p.b.Valid(time.Now())
		must.Greater(t, previousFencing, fencing)
		must.Eq(t, []string{"a"}, p.b.PreviousHolders())
		p.run(time.Minute, p.b)
		must.Eq(t, []string{"a"}, p.b.PreviousHolders())
		p.run(3*Interval, p.a, p.b)
		must.Len(t, 0, p.b.PreviousHolders())
		fencingAfter, held := p.b.Valid(time.Now())
		must.True(t, held)
		must.Eq(t, fencing, fencingAfter)
	})
}

// Guards against a holder that does not recognise its own write after a lost response, or that uses another fencing
// number than the revision of its acquisition.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{Seed: 1})
		_, err := store.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
		must.NoError(t, err)
		p := leasePair{t: t, store: store, a: newLease(store, "a", 1), b: newLease(store, "b", 2)}
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
			fencingAfter, held := p.a.Valid(time.Now())
			must.True(t, held)
			must.Eq(t, fencing, fencingAfter)
		}
	})
}

// Guards against a lease that stays valid without renewals while the platform is unavailable, and against a holder that
// loses the lease although no other process took it.
func TestPlatformUnavailableDuringRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
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
				fencingAfter, _ := p.a.Valid(time.Now())
				must.Eq(t, fencing, fencingAfter)
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

// Guards against a released lease that others can take only after its TTL, and against a release that drops its holder
// from the previous holders while an order of it may still be in flight.
func TestRelease(t *testing.T) {
	for _, uncertain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t)
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

// Guards against overwriting an object that is not a lease record.
func TestInvalidRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{})
		_, err := store.Client("x").Put(t.Context(), testKey, []byte("not a lease"), 0)
		must.NoError(t, err)
		l := newLease(store, "a", 1)
		for range 5 {
			time.Sleep(2 * Interval)
			must.ErrorIs(t, l.Step(t.Context(), alwaysCandidate), ErrInvalidRecord)
		}
	})
}
