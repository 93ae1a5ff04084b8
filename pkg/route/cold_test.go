package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// coldTable returns a table of a router with the given number of endpoints, of which the first ones are cold for the given time.
func coldTable(endpoints, cold int, remaining time.Duration, permit func(now *time.Time) ColdPermit, now *time.Time) *Table {
	table := New(Location{Zone: "a"}, Options{LastResort: true})
	table.SetColdPermit(func(platform.VM) ColdPermit { return permit(now) })
	var vms []platform.VM
	for i := range endpoints {
		vm := platform.VM{Name: fmt.Sprintf("e%d", i), Zone: "a", Role: platform.RoleService, Service: "s", State: platform.VMLive, MaxInFlight: 64, Started: 1}
		if i < cold {
			vm.ColdUntil = now.Add(remaining)
		}
		vms = append(vms, vm)
	}
	table.Update(*now, vms, nil)
	return table
}

func always(p ColdPermit) func(*time.Time) ColdPermit {
	return func(*time.Time) ColdPermit { return p }
}

// mostWithinASecond returns the largest number of the times that lie within any second.
func mostWithinASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold endpoint that gets more than its bound in some second, summed over its sharers, and against one that gets far less
// than it bears. Each router sends all it may, some requests after a question, and some things long after the endpoint was chosen;
// routers are restarted and lose their view for a time.
func TestSharersTogetherKeepTheBoundOfAColdEndpoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := ColdLimits{
			PerSecond: rapid.Float64Range(0.5, 30).Draw(rt, "per second"), Burst: float64(rapid.IntRange(1, 2).Draw(rt, "burst")),
		}
		limits.Most = limits.PerSecond*rapid.Float64Range(1, 2).Draw(rt, "overshoot") + rapid.Float64Range(0, 8).Draw(rt, "tolerance")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "rng"), 1))
		sharers := min(limits.Sharers(), rapid.IntRange(1, 40).Draw(rt, "routers"))
		now := start
		blindUntil := make([]time.Time, sharers)
		const settle = 10 * time.Second // After a start a router has no share for this time (pkg/roster).
		newTable := func(i int) *Table {
			return coldTable(2, 1, time.Hour, func(now *time.Time) ColdPermit {
				p := ColdPermit{ColdLimits: limits, Routers: sharers}
				if now.After(blindUntil[i]) {
					p.PerRouter = limits.Share(sharers)
				}
				return p
			}, &now)
		}
		tables := make([]*Table, sharers)
		for i := range tables {
			tables[i] = newTable(i)
		}
		type send struct {
			at       time.Time
			table    int
			request  *InFlightRequest
			question bool
		}
		var due []send
		var arrivals []time.Time
		permitted := time.Duration(0)
		const duration, step = 20 * time.Second, 10 * time.Millisecond
		for ; now.Sub(start) < duration; now = now.Add(step) {
			for i, table := range tables {
				switch rng.IntN(1000) {
				case 0:
					tables[i], blindUntil[i] = newTable(i), now.Add(settle)
				case 1: // The entry lapses and comes back.
					vm := tables[i].endpoints["e0"].vm
					tables[i].Update(now, nil, nil)
					tables[i].Update(now, []platform.VM{vm}, nil)
				case 2:
					if until := now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond); until.After(blindUntil[i]) {
						blindUntil[i] = until // It doesn't shorten the time after a start.
					}
				}
				if table = tables[i]; now.After(blindUntil[i]) {
					permitted += step
				}
				d := table.Choose(now, rng, Request{Pool: Service("s"), Exclude: []string{"e1"}})
				if d.OK() {
					late := time.Duration(rng.IntN(20)*rng.IntN(20)) * time.Millisecond
					due = append(due, send{at: now.Add(late), table: i, request: table.Begin(now, d), question: limits.Burst > 1 && rng.IntN(2) == 0})
				}
			}
			due = slices.DeleteFunc(due, func(s send) bool {
				if s.at.After(now) {
					return false
				}
				defer tables[s.table].Done(now, s.request, Succeeded, 0)
				if s.question {
					if _, ok := tables[s.table].AdmitCold(now, s.request, false); !ok {
						return true
					}
					arrivals = append(arrivals, now)
				}
				if _, ok := tables[s.table].AdmitCold(now, s.request, true); ok {
					arrivals = append(arrivals, now)
				}
				return true
			})
		}
		must.LessEq(rt, int(limits.Most), mostWithinASecond(arrivals))
		expected := limits.Share(sharers) * permitted.Seconds()
		disturbances := 4 * sharers // Each of them may cost a router its credit.
		must.GreaterEq(rt, int(0.3*expected)-disturbances, len(arrivals))
	})
}

// Guards against requests to a cold endpoint of which this router has no share, as a last resort as well, and against callers who are told
// to come back before one is open or all at once.
func TestColdEndpointWithoutShareGetsNothing(t *testing.T) {
	now := start
	rng := rand.New(rand.NewPCG(1, 2))
	permit := ColdPermit{ColdLimits: ColdLimits{PerSecond: 7, Most: 16, Burst: 2}}
	table := coldTable(2, 2, 600*time.Millisecond, always(permit), &now)
	waits := map[time.Duration]bool{}
	for range 20 {
		d := table.Choose(now, rng, Request{Pool: Service("s")})
		must.False(t, d.OK())
		must.EqOp(t, ReasonCold, d.Reason)
		must.Between(t, 600*time.Millisecond, d.RetryAfter, 600*time.Millisecond+coldSpread)
		waits[d.RetryAfter] = true
	}
	must.Greater(t, 10, len(waits))
	now = now.Add(601 * time.Millisecond)
	d := table.Choose(now, rng, Request{Pool: Service("s")})
	must.True(t, d.OK(), must.Sprint("the time is over"))
}

// Guards against a request that is sent to an endpoint which became cold after it was chosen: by its answer to another one, by its entry, or
// because another process has started under its entry.
func TestEndpointThatBecomesColdAfterTheChoice(t *testing.T) {
	permit := ColdPermit{ColdLimits: ColdLimits{PerSecond: 7, Most: 16, Burst: 2}, PerRouter: 2, AfterStart: 3 * time.Second}
	for name, become := range map[string]func(*Table, time.Time){
		"answer":   func(t *Table, now time.Time) { t.NameCold(now, "e0", time.Second) },
		"restart":  func(t *Table, now time.Time) { t.Report(now, "e0", LoadReport{Started: 2}) },
		"entry":    func(t *Table, now time.Time) { updateCold(t, now, 1, time.Second) },
		"new run":  func(t *Table, now time.Time) { updateCold(t, now, 2, time.Second) },
		"old word": func(t *Table, now time.Time) { t.NameCold(now, "e0", time.Second); t.NameCold(now, "e0", 0) },
	} {
		now := start
		table := coldTable(1, 0, 0, always(permit), &now)
		rng := rand.New(rand.NewPCG(1, 2))
		d := table.Choose(now, rng, Request{Pool: Service("s")})
		must.True(t, d.OK())
		f := table.Begin(now, d)
		become(table, now)
		cold, ok := table.AdmitCold(now, f, true)
		must.True(t, cold, must.Sprint(name))
		must.False(t, ok, must.Sprint(name))
		changes := table.TakeColdChanges()
		must.Len(t, 1, changes)
		must.EqOp(t, "e0", changes[0].VM)
		now = now.Add(900 * time.Millisecond)
		d = table.Choose(now, rng, Request{Pool: Service("s")})
		must.False(t, d.OK(), must.Sprint(name))
	}
}

// Guards against a request to an endpoint that was removed from the list after the choice: another process, which may be cold, may have its
// address.
func TestRemovedEndpointGetsNothing(t *testing.T) {
	now := start
	table := coldTable(1, 0, 0, always(ColdPermit{ColdLimits: ColdLimits{PerSecond: 7, Most: 16, Burst: 2}, PerRouter: 2}), &now)
	d := table.Choose(now, rand.New(rand.NewPCG(1, 2)), Request{Pool: Service("s")})
	f := table.Begin(now, d)
	table.Update(now, nil, nil)
	_, ok := table.AdmitCold(now, f, true)
	must.False(t, ok)
}

func updateCold(t *Table, now time.Time, started int64, remaining time.Duration) {
	t.Update(now, []platform.VM{{
		Name: "e0", Zone: "a", Role: platform.RoleService, Service: "s", State: platform.VMLive, MaxInFlight: 64, Started: started, ColdUntil: now.Add(remaining),
	}}, nil)
}

// Guards against a wave: engines that were cold are idle, and all routers would send them whatever comes. Half of the fleet becomes warm at
// once while the others have a load that they bear.
func TestEndpointsAreWarmedUpWithoutAWave(t *testing.T) {
	const routers, endpoints, cold, perSecond = 6, 20, 10, 7
	now := start
	rng := rand.New(rand.NewPCG(3, 4))
	permit := ColdPermit{ColdLimits: ColdLimits{PerSecond: perSecond, Most: 16, Burst: 1}, Routers: routers}
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = coldTable(endpoints, cold, time.Second, always(permit), &now)
	}
	type run struct {
		table int
		f     *InFlightRequest
		end   time.Time
	}
	var running []run
	perStep := map[int]map[string]int{}
	const step = 5 * time.Millisecond
	for ; now.Sub(start) < 6*time.Second; now = now.Add(step) {
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.end.After(now) {
				return false
			}
			tables[r.table].Done(now, r.f, Succeeded, 0)
			return true
		})
		for range 2 {
			i := rng.IntN(routers)
			d := tables[i].Choose(now, rng, Request{Pool: Service("s"), PromptTokens: 100})
			must.True(t, d.OK())
			running = append(running, run{table: i, f: tables[i].Begin(now, d), end: now.Add(300 * time.Millisecond)})
			second := int(now.Sub(start) / time.Second)
			if perStep[second] == nil {
				perStep[second] = map[string]int{}
			}
			perStep[second][d.Chosen]++
		}
	}
	busiest := func(second int) int {
		most := 0
		for i := range cold {
			most = max(most, perStep[second][fmt.Sprintf("e%d", i)])
		}
		return most
	}
	must.EqOp(t, 0, busiest(0))
	must.LessEq(t, 3*perSecond, busiest(1), must.Sprint("the first second after the coldness"))
	must.Greater(t, perSecond, busiest(4), must.Sprint("they get their part in the end"))
}

// Guards against requests with a short objective that wait at cold endpoints while warm ones are free.
func TestShortObjectivesPreferWarmEndpoints(t *testing.T) {
	now := start
	permit := ColdPermit{ColdLimits: ColdLimits{PerSecond: 100, Most: 200, Burst: 1}, PerRouter: 100}
	table := coldTable(2, 1, time.Minute, always(permit), &now)
	now = now.Add(time.Second)
	e := func(i int) *endpoint { return table.endpoints[fmt.Sprintf("e%d", i)] }
	short, long := &Request{Objective: 120 * time.Millisecond}, &Request{Objective: 5 * time.Second}
	must.Greater(t, 2*table.coldMS(now, e(0), long), table.coldMS(now, e(0), short))
	must.EqOp(t, 0, table.coldMS(now, e(1), short))
}
