package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// silencedStore answers after 4 ms. Calls that are made or in progress while it is silent are never answered.
type silencedStore struct {
	platform.Store
	mu       sync.Mutex
	silent   bool
	silences int
}

func (s *silencedStore) state() (silent bool, silences int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.silences
}

func (s *silencedStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent = silent; silent {
		s.silences++
	}
}

func (s *silencedStore) call(ctx context.Context, wait time.Duration, f func(context.Context) error) error {
	const timeout, latency = 1500 * time.Millisecond, 4 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	silent, before := s.state()
	if !silent {
		err := f(ctx)
		time.Sleep(latency)
		if _, after := s.state(); after == before {
			return err
		}
	}
	<-ctx.Done()
	return platform.ErrUnavailable
}

func (s *silencedStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (o platform.Object, err error) {
	err = s.call(ctx, 0, func(ctx context.Context) (err error) { o, err = s.Store.Put(ctx, key, value, ifRevision); return err })
	return o, err
}

func (s *silencedStore) List(ctx context.Context, prefix string) (objects []platform.Object, revision uint64, err error) {
	err = s.call(ctx, 0, func(ctx context.Context) (err error) { objects, revision, err = s.Store.List(ctx, prefix); return err })
	return objects, revision, err
}

func (s *silencedStore) ListStale(ctx context.Context, prefix string) ([]platform.Object, error) {
	objects, _, err := s.List(ctx, prefix)
	return objects, err
}

func (s *silencedStore) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) (objects []platform.Object, revision uint64, err error) {
	err = s.call(ctx, wait, func(ctx context.Context) (err error) {
		objects, revision, err = s.Store.Poll(ctx, prefix, after, wait)
		return err
	})
	return objects, revision, err
}

// appliedTimes records when a consumer got the object with the name changed.
type appliedTimes struct {
	mu sync.Mutex
	at time.Time
}

func (a *appliedTimes) ReplaceAll(objects []platform.Object, _ time.Duration) {
	a.ApplyChanges(objects)
}

func (a *appliedTimes) ApplyChanges(objects []platform.Object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range objects {
		if a.at.IsZero() && (o.Key == "config/changed" || o.Key == "servers/changed") {
			a.at = time.Now()
		}
	}
}

// delaysAfterSilence returns how long after the store's return, or after the change if it comes later, a router has a change of the
// configuration and one of the endpoints.
func delaysAfterSilence(t *testing.T, random *rand.Rand) (delays []time.Duration) {
	length := 2*time.Second + time.Duration(random.Int64N(int64(7*time.Second)))
	changeAfter := length - 1500*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))
	begins := 20*time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		silenced := &silencedStore{Store: memory.Client("router")}
		monitor := contact.NewMonitor(contact.Options{Log: discardLog(), MayProbe: func() bool { return true }})
		store := monitoredStore{Store: silenced, monitor: monitor, calls: newStoreCalls()}
		monitor.Probe = func(ctx context.Context) error { _, err := store.ListStale(ctx, "crashrecords/"); return err }
		breaker := &circuitBreaker{Store: store, contact: monitor}
		go monitor.Run(ctx)
		options := feed.Options{
			Log: discardLog(), AwaitRetry: monitor.Sleep, WatchWait: func() time.Duration { return watchWaitSmallFleet },
			WatchPause: func() time.Duration { return watchPauseSmallFleet },
		}
		applied := []*appliedTimes{{}, {}, {}, {}}
		for i, kind := range []string{"config", "servers", "crashrecords", "routers"} {
			o := options
			o.Kind, o.Store, o.Consumer = kind, breaker, applied[i]
			switch kind {
			case "config":
				o.Store, o.SetStoreLost = store, breaker.setLost
			case "routers":
				o.StaleListInterval = 2 * time.Second
			}
			go feed.New(o).Run(ctx)
		}
		time.Sleep(begins)
		silenced.setSilent(true)
		back := time.Now().Add(length)
		time.AfterFunc(length, func() { silenced.setSilent(false) })
		time.Sleep(changeAfter)
		changed := time.Now()
		for _, key := range []string{"config/changed", "servers/changed"} {
			_, err := memory.Client("operator").Put(ctx, key, []byte(`"a"`), 0)
			must.NoError(t, err)
		}
		if back.After(changed) {
			changed = back
		}
		time.Sleep(15 * time.Second)
		for _, a := range applied[:2] {
			a.mu.Lock()
			must.False(t, a.at.IsZero())
			delays = append(delays, a.at.Sub(changed))
			a.mu.Unlock()
		}
		stop()
		time.Sleep(10 * time.Second)
	})
	return delays
}

// Guards against a router that has the newest configuration and endpoints seconds after a silent store is back, or after a change
// that the store confirms as it comes back.
func TestChangesAreAppliedSoonAfterASilence(t *testing.T) {
	const seeds, bound = 50, time.Second
	var delays []time.Duration
	for seed := range uint64(seeds) {
		delays = append(delays, delaysAfterSilence(t, rand.New(rand.NewPCG(36, seed)))...)
	}
	slices.Sort(delays)
	p99 := delays[len(delays)*99/100-1]
	t.Log(fmt.Sprint("p50 ", delays[len(delays)/2], ", p99 ", p99, ", longest ", delays[len(delays)-1]))
	must.Less(t, bound, p99)
}
