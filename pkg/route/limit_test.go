package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// What an endpoint may get beyond the limit that it named, in any window of limitWindow.
const (
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

func limitTestTable(endpoints int) *Table {
	table := New(Location{Zone: "a"}, Options{LastResort: true})
	var vms []platform.VM
	for i := range endpoints {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("e%d", i), Zone: "a", Role: platform.RoleService, Service: "s", State: platform.VMLive, MaxInFlight: 64})
	}
	table.Update(start, vms, nil)
	return table
}

// Guards against an endpoint that gets more requests than it takes, summed over routers that each know only their own, and
// against one that gets hardly any. Replays a load far above the limit at fleets of several sizes; some routers get most of
// it, and half of them pause in the middle, as routers do that are stopped.
func TestRoutersTogetherKeepTheLimit(t *testing.T) {
	for _, c := range []struct {
		routers int
		limit   float64
	}{{1, 2}, {7, 1.2}, {7, 3.2}, {8, 20}, {30, 1.8}, {295, 0.7}} {
		rng := rand.New(rand.NewPCG(20261204, uint64(c.routers)))
		tables := make([]*Table, c.routers)
		for i := range tables {
			tables[i] = limitTestTable(3)
		}
		sharers := min(c.routers, LimitSharers(c.limit))
		told := make([]bool, c.routers)
		var arrivals []time.Time
		const duration, paused = 60 * time.Second, 20 * time.Second
		for step := range int(duration / (5 * time.Millisecond)) {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			router := rng.IntN(c.routers)
			if rng.IntN(2) == 0 {
				router /= 8
			}
			if elapsed := now.Sub(start); elapsed > paused && elapsed < paused+10*time.Second && router%2 == 0 {
				continue
			}
			table := tables[router]
			d := table.Choose(now, rng, Request{Pool: Service("s")})
			must.True(t, d.OK())
			f := table.Begin(now, d)
			if d.Chosen == "e0" {
				if told[router] {
					arrivals = append(arrivals, now)
				}
				share := 0.0
				if router < sharers {
					share = LimitShare(c.limit, sharers)
				}
				table.NameLimit(now, "e0", c.limit, share)
				told[router] = true
			}
			table.Done(now, f, Succeeded, 0)
		}
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < limitWindow {
					n++
				}
			}
			must.LessEq(t, limitSlack*c.limit*limitWindow.Seconds()+limitExtra, float64(n), must.Sprintf("%d routers, limit %g, from %s", c.routers, c.limit, from.Sub(start)))
		}
		must.Greater(t, 0.5*c.limit*duration.Seconds(), float64(len(arrivals)), must.Sprintf("%d routers, limit %g", c.routers, c.limit))
	}
}

// Guards against choosing an endpoint at its limit when all others are closed, and against a rejection that doesn't tell when
// to come back.
func TestRequestIsRejectedWhenAllEndpointsAreAtTheirLimits(t *testing.T) {
	table := limitTestTable(2)
	rng := rand.New(rand.NewPCG(1, 1))
	table.NameLimit(start, "e0", 2, 2)
	table.NameLimit(start, "e1", 4, 4)
	d := table.Choose(start, rng, Request{Pool: Service("s")})
	must.False(t, d.OK())
	must.EqOp(t, ReasonAtLimit, d.Reason)
	must.Between(t, 250*time.Millisecond, d.RetryAfter, 252*time.Millisecond)
	must.EqOp(t, 429, d.Failure().Status())
	d = table.Choose(start.Add(d.RetryAfter), rng, Request{Pool: Service("s")})
	must.EqOp(t, "e1", d.Chosen)
}

// Guards against a limit that is lifted by an older answer, that stays when the endpoint names none any more, or that stays
// for ever at a router that may not send to the endpoint.
func TestLimitEnds(t *testing.T) {
	table := limitTestTable(1)
	rng := rand.New(rand.NewPCG(1, 1))
	open := func(at time.Duration) bool {
		d := table.Choose(start.Add(at), rng, Request{Pool: Service("s")})
		return d.OK()
	}
	must.True(t, table.NameLimit(start.Add(time.Second), "e0", 1, 0))
	must.False(t, table.NameLimit(start.Add(time.Second), "e0", 1, 0))
	must.False(t, table.NameNoLimit(start.Add(2*time.Second), "e0", start), must.Sprint("sent before the limit was named"))
	must.False(t, open(time.Minute))
	must.Eq(t, []string{"e0"}, table.StaleLimits(start.Add(time.Minute), 10*time.Second))
	must.True(t, table.NameNoLimit(start.Add(time.Minute), "e0", start.Add(30*time.Second)))
	must.True(t, open(time.Minute))

	table.NameLimit(start.Add(time.Minute), "e0", 0, 0)
	table.ForgetLimits(start.Add(2*time.Minute), time.Hour)
	must.False(t, open(2*time.Minute))
	table.ForgetLimits(start.Add(2*time.Minute), time.Minute)
	must.True(t, open(2*time.Minute))
}

// Guards against requests that wait for their deadlines at endpoints which get what others no longer take. Replays a
// pool of which one endpoint has named a limit and the others report a queue.
func TestOverloadBesideALimitIsRejected(t *testing.T) {
	table := limitTestTable(3)
	table.options.MaxQueuedBesideLimit = 8
	rng := rand.New(rand.NewPCG(1, 1))
	choose := func(at time.Duration) *Decision {
		d := table.Choose(start.Add(at), rng, Request{Pool: Service("s")})
		return &d
	}
	for _, vm := range []string{"e1", "e2"} {
		table.Report(start, vm, LoadReport{Running: 30, Queued: 10})
	}
	must.True(t, choose(0).OK())
	table.NameLimit(start, "e0", 1, 0.5)
	for _, vm := range []string{"e1", "e2"} {
		table.Report(start.Add(time.Second), vm, LoadReport{Running: 30, Queued: 10})
	}
	d := choose(time.Second)
	must.False(t, d.OK(), must.Sprint(d.Chosen))
	must.EqOp(t, 429, d.Failure().Status())
	d = choose(2100 * time.Millisecond)
	must.EqOp(t, "e0", d.Chosen, must.Sprint("its limit allows one"))
	table.Begin(start.Add(2100*time.Millisecond), *d)
	table.Report(start.Add(3*time.Second), "e1", LoadReport{Running: 30, Queued: 2})
	must.EqOp(t, "e1", choose(3*time.Second).Chosen)

	table.Update(start.Add(3*time.Second), []platform.VM{table.endpoints["e1"].vm, table.endpoints["e2"].vm}, nil)
	must.Zero(t, table.pools[Service("s")].limited, must.Sprint("the limited endpoint is gone"))
}
