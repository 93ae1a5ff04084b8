package contact

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// fakeStore answers calls after latency. While it is silent, and to calls that it got then, it never answers.
type fakeStore struct {
	silent  atomic.Bool
	latency time.Duration
	probes  atomic.Int64
}

func (s *fakeStore) call(ctx context.Context, wait time.Duration) error {
	if s.silent.Load() {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(s.latency + wait):
	}
	if s.silent.Load() {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	return nil
}

// newTestMonitor returns a running monitor that probes the store if mayProbe is set.
func newTestMonitor(t *testing.T, s *fakeStore, mayProbe bool) *Monitor {
	var m *Monitor
	m = NewMonitor(Options{
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, MayProbe: func() bool { return mayProbe },
		Probe: func(ctx context.Context) error {
			s.probes.Add(1)
			return m.Call(ctx, false, func(ctx context.Context) error { return s.call(ctx, 0) })
		},
	})
	go m.Run(t.Context())
	return m
}

// watch makes a call that the store holds for 3 s and that is waited for 1.5 s longer.
func watch(ctx context.Context, m *Monitor, s *fakeStore) error {
	return m.Call(ctx, true, func(ctx context.Context) error {
		const wait = 3 * time.Second
		ctx, cancel := context.WithTimeout(ctx, wait+1500*time.Millisecond)
		defer cancel()
		return s.call(ctx, wait)
	})
}

// shortCall makes a call that is waited for 1.5 s.
func shortCall(ctx context.Context, m *Monitor, s *fakeStore) error {
	return m.Call(ctx, false, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		return s.call(ctx, 0)
	})
}

// Guards against a router that goes on waiting for a watch which a silent store has taken, for seconds after the store is back: it
// uses an old configuration and endpoints that have left.
func TestLostWatchIsGivenUpWhenTheStoreIsBack(t *testing.T) {
	for _, silence := range []time.Duration{1710 * time.Millisecond, 3010 * time.Millisecond, 4410 * time.Millisecond, 8960 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{latency: 4 * time.Millisecond}
			m := newTestMonitor(t, s, true)
			must.NoError(t, shortCall(t.Context(), m, s))
			s.silent.Store(true)
			go func() { _ = shortCall(t.Context(), m, s) }()
			back := time.Now().Add(silence)
			time.AfterFunc(silence, func() { s.silent.Store(false) })
			for time.Now().Before(back) {
				_ = watch(t.Context(), m, s) // The last one was sent into the silence.
			}
			must.LessEq(t, probeInterval+10*time.Millisecond, time.Since(back), must.Sprint(silence))
			time.Sleep(probeInterval)
			last := m.LastSilence()
			must.LessEq(t, probeInterval+10*time.Millisecond, last.Ended.Sub(back))
			must.False(t, m.IsSilent(), must.Sprint(silence))
			probes := s.probes.Load()
			must.LessEq(t, int64(silence/probeInterval)+2, probes)
			time.Sleep(10 * time.Second)
			must.EqOp(t, probes, s.probes.Load(), must.Sprint("a store that answers is not probed"))
		})
	}
}

// Guards against giving up watches of a store that is only slow or loses single answers, again and again.
func TestWatchesOfAWorkingStoreAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{latency: 400 * time.Millisecond}
		m := newTestMonitor(t, s, true)
		ended := time.Now().Add(30 * time.Second)
		go func() {
			for time.Now().Before(ended) {
				must.NoError(t, shortCall(t.Context(), m, s))
			}
		}()
		go func() {
			for time.Now().Before(ended) {
				time.Sleep(700 * time.Millisecond)
				_ = m.Call(t.Context(), false, func(context.Context) error {
					time.Sleep(500 * time.Millisecond)
					return platform.ErrUncertain
				})
			}
		}()
		for time.Now().Before(ended) {
			must.NoError(t, watch(t.Context(), m, s))
		}
		must.EqOp(t, 0, s.probes.Load())
	})
}

// Guards against a wave of probes: a router that follows others doesn't probe, and neither does one whose caller gave up its call.
func TestOnlyWatchingRoutersProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{latency: 4 * time.Millisecond}
		m := newTestMonitor(t, s, false)
		s.silent.Store(true)
		must.Error(t, shortCall(t.Context(), m, s))
		must.True(t, m.IsSilent())
		time.Sleep(5 * time.Second)
		must.EqOp(t, 0, s.probes.Load())

		m = newTestMonitor(t, s, true)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(overdueAfter-time.Millisecond, cancel)
		must.Error(t, shortCall(ctx, m, s))
		must.False(t, m.IsSilent())
	})
}

// Guards against a retry that waits although the store is back.
func TestSleepEndsWithTheSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		m := newTestMonitor(t, s, false)
		s.silent.Store(true)
		must.Error(t, shortCall(t.Context(), m, s))
		started := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { _ = m.Call(t.Context(), false, func(context.Context) error { return nil }) })
		must.True(t, m.Sleep(t.Context(), time.Minute))
		must.EqOp(t, 300*time.Millisecond, time.Since(started))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		must.False(t, m.Sleep(ctx, time.Minute))
	})
}

// Guards against a watch that is waited for with its full time after a silence in which no call had failed before the store answered
// again: a short one, or one in which the router made a single call late.
func TestSilenceIsNoticedBeforeACallFails(t *testing.T) {
	for _, silence := range []time.Duration{1110, 1710, 2010, 2310, 3010} {
		for _, firstCall := range []time.Duration{10, 300, 700, 1010} {
			silence, firstCall := silence*time.Millisecond, firstCall*time.Millisecond
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{latency: 4 * time.Millisecond}
				m := newTestMonitor(t, s, true)
				must.NoError(t, shortCall(t.Context(), m, s))
				s.silent.Store(true)
				back := time.Now().Add(silence)
				time.AfterFunc(silence, func() { s.silent.Store(false) })
				time.AfterFunc(firstCall, func() { _ = shortCall(t.Context(), m, s) })
				// Another call ends the silence for the router before the first one fails.
				time.AfterFunc(silence+50*time.Millisecond, func() { _ = shortCall(t.Context(), m, s) })
				must.ErrorIs(t, watch(t.Context(), m, s), ErrInterrupted)
				must.LessEq(t, overdueAfter+10*time.Millisecond, time.Since(back), must.Sprint(silence, firstCall))
				time.Sleep(2 * time.Second)
			})
		}
	}
}

// Guards against a draw or an own record that is waited for with its full timeout after the store is back, and against giving up
// one that was sent to a store that answers.
func TestShortCallIsGivenUpWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{latency: 4 * time.Millisecond}
		m := newTestMonitor(t, s, true)
		must.NoError(t, shortCall(t.Context(), m, s))
		s.silent.Store(true)
		go func() { _ = shortCall(t.Context(), m, s) }()
		const silence = 2 * time.Second
		back := time.Now().Add(silence)
		time.AfterFunc(silence, func() { s.silent.Store(false) })
		time.AfterFunc(silence+time.Millisecond, func() { must.NoError(t, shortCall(t.Context(), m, s)) })
		for _, before := range []time.Duration{time.Second, 500 * time.Millisecond, 200 * time.Millisecond} {
			time.AfterFunc(silence-before, func() {
				must.ErrorIs(t, shortCall(t.Context(), m, s), ErrInterrupted, must.Sprint(before))
				must.LessEq(t, overdueAfter, time.Since(back), must.Sprint(before))
			})
		}
		time.Sleep(2 * silence)
	})
}

// slowCall makes a call that the store answers after a fifth of slowest to slowest.
func slowCall(ctx context.Context, m *Monitor, slowest time.Duration) error {
	return m.Call(ctx, false, func(context.Context) error {
		time.Sleep(slowest/5 + rand.N(slowest*4/5))
		return nil
	})
}

// Guards against breaking off watches again and again because a slow store's answers overtake each other or take longer than the
// time after which a call is overdue.
func TestWatchesOfASlowStoreAreLeftAlone(t *testing.T) {
	for _, slowest := range []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			m := newTestMonitor(t, s, true)
			m.Probe = func(ctx context.Context) error { return slowCall(ctx, m, slowest) }
			ctx, stop := context.WithCancel(t.Context())
			for range 2 {
				go func() {
					for ctx.Err() == nil {
						must.NoError(t, slowCall(ctx, m, slowest))
						time.Sleep(2 * time.Second)
					}
				}()
			}
			for range 20 {
				must.NoError(t, watch(t.Context(), m, s), must.Sprint(slowest))
			}
			stop()
			time.Sleep(4 * time.Second)
		})
	}
}

// Guards against a router that waits for its own lost list although routers that it may follow are answered again, and against giving
// up calls of a router whose store answers, or calls that are younger than the answer.
func TestLeaderAnsweredGivesUpLostReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{latency: 4 * time.Millisecond}
		m := newTestMonitor(t, s, false)
		must.NoError(t, shortCall(t.Context(), m, s))
		time.AfterFunc(time.Second, func() { m.LeaderAnswered(time.Now()) })
		must.NoError(t, watch(t.Context(), m, s))

		s.silent.Store(true)
		must.Error(t, shortCall(t.Context(), m, s))
		started := time.Now()
		for _, after := range []time.Duration{400, 800} {
			time.AfterFunc(after*time.Millisecond, func() { m.LeaderAnswered(started.Add(probeInterval - 1)) })
		}
		time.AfterFunc(time.Second, func() { m.LeaderAnswered(started.Add(probeInterval)) })
		must.ErrorIs(t, watch(t.Context(), m, s), ErrLeaderAnswered)
		must.EqOp(t, time.Second, time.Since(started))
		must.True(t, m.IsSilent())
	})
}
