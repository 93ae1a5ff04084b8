package allowance

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against tokens that are drawn ahead of need by many routers at once: when the store came back after a silence, each router
// with a waiting request drew a twentieth of the rest of the budget for itself, and a power failure took all of it.
func TestOnlyThePrimaryAllocatorDrawsForTheFleet(t *testing.T) {
	const prepaid, tokens = 1_000_000, 1000
	cut := &atomic.Bool{}
	cut.Store(true)
	routers := startConnected(t, 8, prepaid, cut)
	must.EqOp(t, Granted, reserveSoon(t, routers[5], prepaid, tokens))
	held := func() (sum int64) {
		for _, acc := range routers {
			f, _ := acc.total()
			sum += f.held()
		}
		return sum
	}
	must.Less(t, int64(minHeldShare*prepaid/2), held(), must.Sprint("a router that draws for another one drew a share of the budget"))

	a := &account{prepaid: prepaid, loaded: true, pendingDraws: map[string]pendingDraw{}}
	now := time.Unix(0, 0)
	a.reserve(now, waiter{tokens: tokens, verdict: make(chan Verdict, 1)})
	must.EqOp(t, tokens, a.drawAmount(now, false))
	must.Greater(t, minHeldShare*prepaid/2, a.drawAmount(now, true))
}
