package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against sending to an endpoint that said that it leaves: while the platform's list still has it as live, after its entry
// lapsed and came back, and as a last resort; and against shutting its next run out.
func TestAnnouncedLeavingHoldsForTheRun(t *testing.T) {
	table := New(Location{}, Options{LastResort: true})
	vms := serviceVMs(2, 6)
	vms[0].Started, vms[0].Address = 1, "10.0.0.1:80"
	table.Update(start, vms, nil)
	must.True(t, table.AnnounceLeaving(start, "s0"))
	must.False(t, table.AnnounceLeaving(start, "s0"))
	must.False(t, table.AnnounceLeaving(start, "unknown"))
	r := Request{Pool: Service("desk")}
	chosen := func(now time.Time) string { d := table.Choose(now, newRand(), r); return d.Chosen }
	for range 20 {
		must.EqOp(t, "s1", chosen(start))
	}
	now := start.Add(time.Second)
	table.Update(now, vms, nil)
	must.EqOp(t, "s1", chosen(now), must.Sprint("listed again as live"))
	table.Update(now, vms[:1], nil)
	must.EqOp(t, "", chosen(now), must.Sprint("the only endpoint, and no last resort"))
	table.Update(now, nil, nil)
	table.Update(now, vms[:1], nil)
	must.EqOp(t, "", chosen(now), must.Sprint("its entry lapsed and came back"))

	restarted := []platform.VM{vms[0]}
	restarted[0].Started = 2
	table.Update(now, restarted, nil)
	must.EqOp(t, "s0", chosen(now), must.Sprint("another run"))
}
