package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func serviceVMs(n, slots int) []platform.VM {
	var vms []platform.VM
	for i := range n {
		vms = append(vms, platform.VM{
			Name: "s" + string(rune('0'+i)), Role: platform.RoleService, Service: "desk", State: platform.VMLive, MaxInFlight: slots,
		})
	}
	return vms
}

// Guards against refusing all requests to a small service whose endpoints each failed twice although three of four
// requests succeed, and against choosing endpoints that are leaving or have twice their limit in progress.
func TestLastResortChoosesClosedEndpoints(t *testing.T) {
	for _, lastResort := range []bool{false, true} {
		table := New(Location{}, Options{LastResort: lastResort})
		table.Update(start, serviceVMs(4, 6), nil)
		rng, r := newRand(), Request{Pool: Service("desk")}
		now, served := start, 0
		const requests = 400
		for i := range requests {
			now = now.Add(5 * time.Millisecond)
			d := table.Choose(now, rng, r)
			if !d.OK() {
				continue
			}
			// Results come in pairs, so that two consecutive failures are frequent.
			result := Succeeded
			if i/2%4 == 0 {
				result = Failed
			} else {
				served++
			}
			table.Done(now, table.Begin(now, d), result, 0)
		}
		if lastResort {
			must.GreaterEq(t, requests*7/10, served)
		} else {
			must.Less(t, requests*7/10, served)
		}
	}

	table := New(Location{}, Options{LastResort: true})
	vms := serviceVMs(2, 1)
	vms[0].State = platform.VMLeaving
	table.Update(start, vms, nil)
	r := Request{Pool: Service("desk")}
	for range 2 {
		d := table.Choose(start, newRand(), r)
		must.EqOp(t, "s1", d.Chosen)
		table.Begin(start, d)
	}
	d := table.Choose(start, newRand(), r)
	must.False(t, d.OK())
}

// Guards against endpoints that stay excluded for seconds after the VM has its links to them back, and against forgiving
// failures from before.
func TestFailuresBehindLostLinksAreForgiven(t *testing.T) {
	table := New(Location{}, Options{})
	table.Update(start, serviceVMs(3, 6), nil)
	fail := func(now time.Time, vm string) {
		for range 4 {
			now = now.Add(time.Millisecond)
			table.ReportPollFailure(now, vm)
		}
	}
	fail(start, "s0")
	lost := start.Add(100 * time.Millisecond)
	fail(lost, "s1")
	fail(lost, "s2")
	back := start.Add(200 * time.Millisecond)
	must.EqOp(t, 3, table.CountByState(back)["unhealthy"])
	table.ForgiveFailures(back, lost)
	must.Eq(t, map[string]int64{"open": 2, "full": 0, "unhealthy": 1, "leaving": 0}, table.CountByState(back))
	must.EqOp(t, 2, table.PoolState(Service("desk")).Open)
}
