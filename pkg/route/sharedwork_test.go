package route

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sharingTable returns a table that has applied the others' work at start, and so knows it.
func sharingTable(endpoints int, work ...SharedWork) *Table {
	t := New(Location{}, Options{AssumeRingCacheHit: true, SpeedHalfLife: -1, PrefillTokensPerMS: 50})
	vms := serviceVMs(endpoints, 64)
	for i := range vms {
		vms[i].Started = 1
	}
	t.Update(start, vms, nil)
	t.ApplyWork(start.Add(-100*time.Millisecond), nil)
	t.ApplyWork(start, work)
	return t
}

func longRequest() Request {
	return Request{Pool: Service("desk"), PromptTokens: 17000, Blocks: []uint64{1 << 60}, BlockEnds: []int{13300}, PauseObjective: 500 * time.Millisecond}
}

// Guards against a prompt that is sent to an endpoint which other routers have filled, against reading a part again that another router
// has sent to an endpoint, and against trusting either after the exchange has stopped or the endpoint has restarted.
func TestOthersWorkCountsWhileItIsFresh(t *testing.T) {
	busy := SharedWork{VM: "s0", Started: 1, PendingTokens: 60_000, Running: 4}
	table := sharingTable(2, busy)
	d := table.Choose(start, newRand(), longRequest())
	must.EqOp(t, "s1", d.Chosen)
	table = sharingTable(2, SharedWork{VM: "s0", Started: 1, Prefixes: []uint64{1 << 60}})
	d = table.Choose(start, newRand(), longRequest())
	must.EqOp(t, "s0", d.Chosen)
	must.EqOp(t, 13300, d.Cached())

	table = sharingTable(2, busy)
	must.EqOp(t, 60_000, table.peerPendingTokens(start.Add(sharedWorkAge), table.endpoints["s0"]))
	must.EqOp(t, 0, table.peerPendingTokens(start.Add(2*sharedWorkAge), table.endpoints["s0"]))
	must.False(t, table.knowsFleetWork(start.Add(2*sharedWorkAge)))
	busy.Started = 2
	must.EqOp(t, 0, sharingTable(2, busy).endpoints["s0"].peers.pendingTokens, must.Sprint("another run"))
}

// Guards against an estimate that takes one slow answer for a slow endpoint, that doesn't find one after seconds of slow answers, or that
// outlives a restart of the endpoint; and against long prompts at the slow endpoint.
func TestSlowEndpointIsKnownFromAllAnswers(t *testing.T) {
	usual := func(vm string) SharedWork {
		return SharedWork{VM: vm, Started: 1, PredictedMS: 4000, MeasuredMS: 4000}
	}
	noise := sharingTable(3, usual("s1"), usual("s2"), SharedWork{VM: "s0", Started: 1, PredictedMS: 100, MeasuredMS: 250})
	must.Less(t, 1.2, noise.relativeTime(start, noise.endpoints["s0"]))
	slow := sharingTable(3, usual("s1"), usual("s2"), SharedWork{VM: "s0", Started: 1, PredictedMS: 4000, MeasuredMS: 10_000})
	must.Greater(t, 1.3, slow.relativeTime(start, slow.endpoints["s0"]))
	for range 50 {
		d := slow.Choose(start, newRand(), longRequest())
		must.NotEq(t, "s0", d.Chosen)
	}
	vms := serviceVMs(3, 64)
	for i := range vms {
		vms[i].Started = 2
	}
	slow.Update(start, vms, nil)
	must.EqOp(t, 1, slow.relativeTime(start, slow.endpoints["s0"]))
}

// Guards against telling the others nothing, the same twice, or what they know already.
func TestOwnWorkIsToldOnce(t *testing.T) {
	table := sharingTable(1)
	must.SliceEmpty(t, table.OwnWork())
	r := longRequest()
	d := table.Choose(start, newRand(), r)
	f := table.Begin(start, d)
	work := table.OwnWork()
	must.Len(t, 1, work)
	must.Eq(t, SharedWork{VM: "s0", Started: 1, PendingTokens: 17000, Running: 1, Prefixes: r.Blocks}, work[0])
	work = table.OwnWork()
	must.SliceEmpty(t, work[0].Prefixes)
	must.EqOp(t, 17000, work[0].PendingTokens)
	second := table.Choose(start, newRand(), r)
	g := table.Begin(start, second)
	must.SliceEmpty(t, table.OwnWork()[0].Prefixes)
	for _, f := range []*InFlightRequest{f, g} {
		table.FirstToken(start, f)
		table.Done(start, f, Succeeded, 0)
	}
	must.SliceEmpty(t, table.OwnWork())
}

// Guards against an interference that isn't that of the caller's aim: a prefill that ends within it costs the streams beside it nothing,
// one that makes the pause longer costs them more than one behind others that make it too long in any case.
func TestPauseCost(t *testing.T) {
	must.EqOp(t, 0, pauseCost(300, 0, 500))
	must.EqOp(t, 500, pauseCost(700, 0, 500))
	must.EqOp(t, 0, pauseCost(700, 700, 500))
	must.Greater(t, 0, pauseCost(200, 300, 500))
	must.EqOp(t, 0, pauseCost(700, 0, 0), must.Sprint("no aim"))
}

// Guards against a log line or counter with the wrong reason.
func TestPassedOver(t *testing.T) {
	d := Decision{Chosen: "b", Considered: []Candidate{{VM: "a", CachedTokens: 900, Load: 100, Interference: 600}, {VM: "b", Load: 50, RequestTime: 90}}}
	vm, reason, ok := d.PassedOver()
	must.True(t, ok)
	must.EqOp(t, "a", vm)
	must.EqOp(t, PassedForInterference, reason)
	d.Chosen = "a"
	_, _, ok = d.PassedOver()
	must.False(t, ok)
}

// Guards against a line that follows outliers, falls, or is trusted after few answers.
func TestLinearFit(t *testing.T) {
	var f linearFit
	for i := range 10 {
		f.add(float64(i*1000), 20+float64(i)*30)
	}
	_, ok := f.slope()
	must.False(t, ok)
	for i := range 10 {
		f.add(float64(i*1000), 20+float64(i)*30)
	}
	ms, ok := f.at(5000)
	must.True(t, ok)
	must.Less(t, 1e-6, math.Abs(ms-170))
	var falling linearFit
	for i := range 20 {
		falling.add(float64(i), -float64(i))
	}
	_, ok = falling.slope()
	must.False(t, ok)
}
