package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against taking dark endpoints or one slow attempt for a full link, and against an estimate from old attempts.
func TestDelayIsMedianOfRecentAttempts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var m delayMeter
	must.Zero(t, m.estimate(now))
	for i := range 10 {
		took := 4 * time.Millisecond
		if i%3 == 0 {
			took = dialTimeout
		}
		m.record(now, took)
	}
	must.EqOp(t, 4*time.Millisecond, m.estimate(now))
	for range delaySamples {
		m.record(now, 400*time.Millisecond)
	}
	must.EqOp(t, 400*time.Millisecond, m.estimate(now))
	must.Zero(t, m.estimate(now.Add(2*delayMaxAge)))
}
