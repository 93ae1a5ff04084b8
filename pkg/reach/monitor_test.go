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
