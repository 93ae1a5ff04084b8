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

// Guards against requests to an endpoint that asked for a pause: by choice, as a last resort, after its entry lapsed and came back, or
// because a later answer asked for less; and against a pause that doesn't end or is passed on to another run.
func TestPauseIsKept(t *testing.T) {
	table := New(Location{}, Options{LastResort: true})
	vms := serviceVMs(2, 6)
	vms[0].Started = 1
	table.Update(start, vms, nil)
	must.True(t, table.Pause(start, "s0", 3*time.Second))
	must.False(t, table.Pause(start, "s0", time.Second))
	must.False(t, table.Pause(start, "unknown", time.Second))
	r := Request{Pool: Service("desk")}
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(50 * time.Millisecond) {
		d := table.Choose(now, newRand(), r)
		must.EqOp(t, "s1", d.Chosen)
	}
	now := start.Add(time.Second)
	table.Update(now, nil, nil)
	table.Update(now, vms[:1], nil)
	d := table.Choose(now, newRand(), r)
	must.False(t, d.OK())
	must.EqOp(t, ReasonPaused, d.Reason)
	must.EqOp(t, 2*time.Second, d.RetryAfter)
	must.EqOp(t, 429, d.Failure().Status())

	d = table.Choose(start.Add(3*time.Second), newRand(), r)
	must.EqOp(t, "s0", d.Chosen, must.Sprint("the pause is over"))
	table.Pause(start.Add(4*time.Second), "s0", 3*time.Second)
	restarted := []platform.VM{vms[0]}
	restarted[0].Started = 2
	table.Update(start.Add(5*time.Second), restarted, nil)
	d = table.Choose(start.Add(5*time.Second), newRand(), r)
	must.EqOp(t, "s0", d.Chosen, must.Sprint("another run"))
}

// Guards against a Retry-After that is shorter than what the endpoint that opens first has stated.
func TestRetryAfterIsTheShortestStatedWait(t *testing.T) {
	table := New(Location{}, Options{LastResort: true})
	table.Update(start, serviceVMs(3, 6), nil)
	table.Pause(start, "s0", 5*time.Second)
	table.Pause(start, "s1", 2*time.Second)
	table.NameBrittle(start, BrittleNotice{VM: "s1", SentAt: start, Brittle: true, MaxRejections: 1, Share: 1, Routers: 7, Rejected: true})
	table.AnnounceLeaving(start, "s2")
	d := table.Choose(start, newRand(), Request{Pool: Service("desk")})
	must.False(t, d.OK())
	must.EqOp(t, 5*time.Second, d.RetryAfter, must.Sprint("s1 is paused for 2 s and brittle for 14 s"))
}
