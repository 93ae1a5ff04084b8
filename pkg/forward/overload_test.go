package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an answer at a route's timeout that reaches its caller half a second later through a full link.
func TestTimeAtRouterLeavesTimeForTheLink(t *testing.T) {
	must.EqOp(t, 2*time.Second, timeAtRouter(2*time.Second, 0))
	must.EqOp(t, 2*time.Second, timeAtRouter(2*time.Second, 10*time.Millisecond))
	must.EqOp(t, 1400*time.Millisecond, timeAtRouter(2*time.Second, 600*time.Millisecond))
	must.EqOp(t, 200*time.Millisecond, timeAtRouter(400*time.Millisecond, 600*time.Millisecond))
}
