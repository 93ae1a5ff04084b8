package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// zonedVMs returns endpoints of a service, those with even numbers in zone a and the others in b.
func zonedVMs(n int) []platform.VM {
	vms := serviceVMs(n, 6)
	for i := range vms {
		vms[i].Zone = []string{"a", "b"}[i%2]
	}
	return vms
}

// Guards against requests to an evacuated zone by choice, as a last resort, for a prefix that is cached there, or after an entry lapsed
// and came back, and against a request in progress that is forgotten.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	table := New(Location{Zone: "a"}, Options{LastResort: true, PrefixCandidates: 2, PrefixAge: time.Minute})
	vms := zonedVMs(2)
	table.Update(start, vms, nil)
	r := Request{Pool: Service("desk"), Blocks: []uint64{1, 2}, BlockEnds: []int{100, 200}, PromptTokens: 200}
	d := table.Choose(start, newRand(), Request{Pool: Service("desk"), Blocks: r.Blocks, BlockEnds: r.BlockEnds, PromptTokens: 200, Exclude: []string{"s1"}})
	must.EqOp(t, "s0", d.Chosen)
	inFlight := table.Begin(start, d)
	must.EqOp(t, EvacuatedState{Endpoints: 1, InFlight: 1}, table.SetEvacuated(start, []string{"a", "c"}))
	must.True(t, table.Serves(inFlight))
	chosen := func(now time.Time, r Request) Decision { return table.Choose(now, newRand(), r) }
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		d := chosen(now, r)
		must.EqOp(t, "s1", d.Chosen)
	}
	table.Done(now, inFlight, Succeeded, 10)
	d = chosen(now, Request{Pool: Service("desk"), Exclude: []string{"s1"}})
	must.EqOp(t, "", d.Chosen, must.Sprint("the other endpoint is excluded"))
	table.Update(now, vms[1:], nil)
	table.Update(now, vms, nil)
	d = chosen(now, Request{Pool: Service("desk"), Exclude: []string{"s1"}})
	must.EqOp(t, "", d.Chosen, must.Sprint("its entry lapsed and came back"))
	must.EqOp(t, PoolState{Total: 2, Open: 1, NotLeaving: 2, Evacuated: 1}, table.PoolState(Service("desk")))

	table.SetEvacuated(now, []string{"b"})
	d = chosen(now, Request{Pool: Service("desk"), Exclude: []string{"s1"}})
	must.EqOp(t, "s0", d.Chosen, must.Sprint("the order has ended"))
	d = chosen(now, Request{Pool: Service("desk"), Exclude: []string{"s0"}})
	must.EqOp(t, "", d.Chosen)
}

// Guards against requests that wait, or that get a wrong reason, when nothing is left beside the evacuated zones.
func TestRefusalBesideEvacuatedZones(t *testing.T) {
	table := New(Location{Zone: "a"}, Options{LastResort: true, AwaitEvacuations: true})
	vms := zonedVMs(2)
	table.Update(start, vms, nil)
	refused := func(want Reason) {
		t.Helper()
		d := table.Choose(start, newRand(), Request{Pool: Service("desk")})
		must.False(t, d.OK())
		must.EqOp(t, want, d.Reason)
		must.EqOp(t, retryAfter, d.RetryAfter)
	}
	refused(ReasonEvacuated) // The orders haven't been read yet.
	must.EqOp(t, 2, table.CountByState(start)["evacuated"])
	table.SetEvacuated(start, []string{"a", "b"})
	refused(ReasonEvacuated)
	table.SetEvacuated(start, []string{"a"})
	must.EqOp(t, 1, table.CountByState(start)["evacuated"])
	d := table.Choose(start, newRand(), Request{Pool: Service("desk")})
	must.EqOp(t, "s1", d.Chosen)
	vms[1].State = platform.VMLeaving
	table.Update(start, vms, nil)
	refused(ReasonEvacuated)
	vms[1].State = platform.VMLive
	table.Update(start, vms, nil)
	for range 40 { // More than the overload ratio of the last resort.
		d := table.Choose(start, newRand(), Request{Pool: Service("desk")})
		if !d.OK() {
			break
		}
		table.Begin(start, d)
	}
	refused(ReasonFull)
}

// Guards against any state of the endpoints in which one of an evacuated zone gets a request.
func TestNoChoiceInEvacuatedZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Location{Zone: "a"}, Options{LastResort: rapid.Bool().Draw(t, "last resort")})
		vms := zonedVMs(6)
		table.Update(start, vms, nil)
		evacuated := map[string]bool{}
		now := start
		var inFlight []*InFlightRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				evacuated = map[string]bool{"a": rapid.Bool().Draw(t, "a"), "b": rapid.Bool().Draw(t, "b")}
				var zones []string
				for zone, ordered := range evacuated {
					if ordered {
						zones = append(zones, zone)
					}
				}
				table.SetEvacuated(now, zones)
			case 1:
				vms[vm].State = rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving}).Draw(t, "state")
				vms[vm].Started = rapid.Int64Range(0, 2).Draw(t, "started")
				table.Update(now, vms, nil)
			case 2:
				table.Update(now, append(append([]platform.VM{}, vms[:vm]...), vms[vm+1:]...), nil)
			case 3:
				if len(inFlight) > 0 {
					table.Done(now, inFlight[0], rapid.SampledFrom([]Result{Succeeded, Failed}).Draw(t, "result"), 1)
					inFlight = inFlight[1:]
				}
			default:
				d := table.Choose(now, newRand(), Request{Pool: Service("desk"), Exclude: []string{vms[vm].Name}})
				if !d.OK() {
					continue
				}
				for _, vm := range vms {
					must.False(t, vm.Name == d.Chosen && evacuated[vm.Zone], must.Sprint(d.Reason))
				}
				inFlight = append(inFlight, table.Begin(now, d))
			}
		}
	})
}
