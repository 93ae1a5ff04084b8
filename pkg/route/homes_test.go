package route

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a request that runs outside of its homes: by choice, as a last resort, or at an endpoint whose region isn't known; and
// against one that is restricted without homes.
func TestRequestStaysInItsRegions(t *testing.T) {
	table := New(Location{Region: "r1", Zone: "a"}, Options{LastResort: true})
	vms := serviceVMs(3, 2)
	vms[0].Region, vms[1].Region = "r1", "r2"
	table.Update(start, vms, nil)
	r := Request{Pool: Service("desk"), InRegions: true, Regions: []string{"r2", "r3"}}
	for range 20 {
		d := table.Choose(start, newRand(), r)
		must.EqOp(t, "s1", d.Chosen)
	}
	for range 2 {
		table.Begin(start, table.Choose(start, newRand(), r))
	}
	for range 20 { // The only home is full, and then beyond what a last resort gets.
		d := table.Choose(start, newRand(), r)
		if !d.OK() {
			must.EqOp(t, ReasonExcluded, d.Reason)
			must.EqOp(t, retryAfter, d.RetryAfter)
			break
		}
		must.EqOp(t, "s1", d.Chosen)
		table.Begin(start, d)
	}
	d := table.Choose(start, newRand(), r)
	must.False(t, d.OK())
	d = table.Choose(start, newRand(), Request{Pool: Service("desk"), InRegions: true})
	must.False(t, d.OK(), must.Sprint("route and organisation have no home in common"))
	d = table.Choose(start, newRand(), Request{Pool: Service("desk")})
	must.True(t, d.OK())
}
