package reach

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
)

// Guards against a VM that stays cut off for ever, because the attempts of one check gave no evidence and so led to no other check.
func TestCutIsCheckedUntilItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := addresses(3)
		var checks atomic.Int64
		var linksBack atomic.Bool
		var m *Monitor
		m = NewMonitor(MonitorOptions{
			Listed: func() []string { return listed }, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
			Connect: func(_ context.Context, address string, _ time.Duration) error {
				checks.Add(1)
				if linksBack.Load() {
					m.Record(Attempt{Address: address, Started: time.Now(), Ended: time.Now(), Connected: true})
				}
				return context.DeadlineExceeded // Not recorded, as on a full link.
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go m.Run(ctx)
		for _, a := range listed {
			m.Record(Attempt{Address: a, Started: time.Now(), Ended: time.Now()})
		}
		time.Sleep(10 * time.Second)
		must.True(t, m.IsCut())
		must.Between(t, 20, checks.Load(), 200)
		linksBack.Store(true)
		time.Sleep(2 * checkInterval)
		must.False(t, m.IsCut())
		time.Sleep(checkInterval / 2) // Between two checks: one that begins at the same time may be counted or not.
		before := checks.Load()
		time.Sleep(10 * time.Second)
		must.EqOp(t, before, checks.Load(), must.Sprint("no checks while the links are well"))
	})
}

// Guards against checks without a pause while the VM is in doubt: because attempts give no evidence, or because an endpoint that is
// down fails again after each connection to another one.
func TestChecksInDoubtHavePauses(t *testing.T) {
	const (
		duration  = 10 * time.Second
		maxChecks = 10 * firstTargets * int64(duration/checkInterval)
	)
	for name, connected := range map[string]bool{"no evidence": false, "one endpoint is down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listed := addresses(3)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				var checks atomic.Int64
				var m *Monitor
				m = NewMonitor(MonitorOptions{
					Listed: func() []string { return listed }, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
					Connect: func(_ context.Context, address string, _ time.Duration) error {
						if checks.Add(1) > maxChecks {
							stop() // Otherwise checks without a pause would never let the time pass.
						}
						if connected {
							m.Record(Attempt{Address: address, Started: time.Now(), Ended: time.Now(), Connected: true})
							m.Record(Attempt{Address: listed[0], Started: time.Now(), Ended: time.Now(), Refused: true}) // Of a request.
						}
						return context.DeadlineExceeded
					},
				})
				go m.Run(ctx)
				m.Record(Attempt{Address: listed[0], Started: time.Now(), Ended: time.Now(), Refused: true})
				time.Sleep(duration)
				must.False(t, m.IsCut())
				must.Between(t, int64(duration/checkInterval)/2, checks.Load(), firstTargets*int64(duration/checkInterval+1))
			})
		})
	}
}

// Guards against a cut that is found out later than after two rounds of attempts: the second round must not wait.
func TestCutIsFoundInTwoRounds(t *testing.T) {
	for _, n := range []int{1, 3, 12, maxWitnesses, 4500} {
		for _, attemptTime := range []time.Duration{0, connectTimeout} {
			synctest.Test(t, func(t *testing.T) {
				listed := addresses(n)
				var m *Monitor
				m = NewMonitor(MonitorOptions{
					Listed: func() []string { return listed }, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
					Connect: func(ctx context.Context, address string, _ time.Duration) error {
						started := time.Now()
						if sleep.For(ctx, attemptTime) {
							m.Record(Attempt{Address: address, Started: started, Ended: time.Now()})
						}
						return context.DeadlineExceeded
					},
				})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go m.Run(ctx)
				m.Record(Attempt{Address: listed[0], Started: time.Now(), Ended: time.Now()})
				time.Sleep(2 * attemptTime)
				synctest.Wait()
				must.True(t, m.IsCut(), must.Sprintf("%d endpoints, attempts of %s", n, attemptTime))
			})
		}
	}
}
