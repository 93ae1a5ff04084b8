package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/reach"
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

// Guards against taking lost links for a full one: the time of requests would be cut, and callers' connections refused, for no
// reason.
func TestLostLinksAreNoDelay(t *testing.T) {
	c := NewClient()
	now := time.Now()
	for range delaySamples {
		c.delay.record(now, dialTimeout)
	}
	must.EqOp(t, dialTimeout, c.LinkDelay())
	c.SetLinksLost(true)
	must.EqOp(t, 0, c.LinkDelay())
	for range delaySamples {
		c.delay.record(now, dialTimeout)
	}
	must.EqOp(t, 0, c.LinkDelay())
	c.SetLinksLost(false)
	must.EqOp(t, 0, c.LinkDelay())
	for range delaySamples {
		c.delay.record(now, dialTimeout)
	}
	must.EqOp(t, dialTimeout, c.LinkDelay())
}

// Guards against taking a connection attempt that timed out for one that was refused: what is refused at once may be tried again and
// again at no cost.
func TestTimeoutIsNoRefusal(t *testing.T) {
	for _, test := range []struct {
		err     error
		refused bool
	}{
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, false},
		{context.DeadlineExceeded, false},
		{&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true},
	} {
		c := NewClient()
		var got reach.Attempt
		c.OnAttempt = func(a reach.Attempt) { got = a }
		c.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, test.err }
		must.ErrorIs(t, c.Connect(t.Context(), "10.0.0.1:80", time.Second), test.err)
		must.EqOp(t, test.refused, got.Refused, must.Sprint(test.err))
	}
}
