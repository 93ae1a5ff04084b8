package count_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/count"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// Guards against false refusals that are not counted, and against correct refusals that are counted as false. A refusal
// is false if the topped-up tokens minus all bills and minus the upper bounds of requests in progress cover the request.
func TestFalseRefusals(t *testing.T) {
	for _, c := range []struct {
		name  string
		other func() []*observation.Request
		total int64
		want  int
	}{
		{"the budget is untouched", func() []*observation.Request { return nil }, 150, 1},
		{"the budget has too few tokens", func() []*observation.Request { return nil }, 149, 0},
		{"a bill used the tokens", func() []*observation.Request { return []*observation.Request{chat("b")} }, 249, 0},
		{"tokens are left after a bill", func() []*observation.Request { return []*observation.Request{chat("b")} }, 250, 1},
		{"a request in progress may need the tokens", func() []*observation.Request {
			r := chat("b")
			r.End = at(20)
			return []*observation.Request{r}
		}, 299, 0},
		{"a request began later", func() []*observation.Request {
			r := chat("b")
			r.Attempts[0].Start, r.End = at(15), at(20)
			return []*observation.Request{r}
		}, 150, 1},
		{"another run used the tokens", func() []*observation.Request {
			r := chat("b")
			r.Organisation = "svaz"
			return []*observation.Request{r}
		}, 249, 0},
		{"a request that was not billed costs nothing", func() []*observation.Request {
			return []*observation.Request{withOutcome(chat("c"), "unknown", "endpoint_failed")}
		}, 150, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			others := c.other()
			observed := ledgerWith(0)
			if len(others) > 0 && others[0].Key == "b" {
				observed = ledgerWith(100, "b")
			}
			observed.TopUps[0].Total, observed.Budgets[0].ToppedUp = c.total, c.total
			refused := withOutcome(chat("a"), "not_run", "budget_exhausted")
			refused.Attempts[0].Start, refused.Attempts[0].End, refused.End = at(10), at(11), at(11)
			observed.Requests = append(others, refused)
			counts, _ := count.Count(observed)
			must.Eq(t, 1, counts.RefusedBudget)
			must.Eq(t, c.want, counts.FalseRefusals)
		})
	}
}

// Guards against a refusal that is counted as false because of a top-up that the platform stored after the refusal.
func TestRefusalBeforeTopUp(t *testing.T) {
	observed := ledgerWith(0)
	observed.TopUps = []observation.TopUp{{Organisation: "velocar", Budget: "main", At: at(30), Total: 1000}}
	observed.Requests = []*observation.Request{withOutcome(chat("a"), "not_run", "grant_not_obtainable_now")}
	counts, _ := count.Count(observed)
	must.Eq(t, 1, counts.RefusedBudget)
	must.Eq(t, 0, counts.FalseRefusals)
}

// Guards against a missing or wrong count of work that an endpoint accepts later than LeavingBound after its leaving
// mark. Such work breaks an invariant, unless the mark was removed.
func TestWorkAfterLeaving(t *testing.T) {
	for _, c := range []struct {
		name      string
		queued    float64
		cancelled float64
		want      int
	}{
		{"within the bound", 12.9, 0, 0},
		{"after the bound", 13.1, 0, 1},
		{"after the mark was removed", 15, 14, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			observed := ledgerWith(0)
			d := observation.Departure{VM: "g1", MarkedAt: at(10)}
			if c.cancelled > 0 {
				d.CancelledAt = at(c.cancelled)
			}
			observed.Departures = []observation.Departure{d}
			observed.EngineRuns = []observation.Run{run("a", "g1", c.queued), run("b", "g2", 20)}
			counts, _ := count.Count(observed)
			must.Eq(t, c.want, counts.WorkAfterLeaving)
		})
	}
}

// Guards against attempts that are wrongly counted as interrupted by a planned stop, or not counted. An attempt does not
// count if the caller timed out, the VM was killed as well, or the router still sent an outcome.
func TestCutByPlannedStop(t *testing.T) {
	entry := observation.Departure{VM: "e1", Address: "127.0.1.1:8080", IsEntryVM: true, MarkedAt: at(0), SignalledAt: at(1.5), ExitedAt: at(9)}
	endpoint := observation.Departure{VM: "g1", MarkedAt: at(0), SignalledAt: at(1.5)}
	broken := func(end float64) *observation.Request {
		r := withOutcome(chat("a"), observation.ConnectionBroken, "")
		r.Outcome, r.Attempts[0].End = "unknown", at(end)
		return r
	}
	cut := run("a", "g1", 1)
	cut.End, cut.EndedAt = "disconnected", at(2)
	for _, c := range []struct {
		name      string
		departure observation.Departure
		request   *observation.Request
		stopped   map[string]time.Time
		want      int
	}{
		{"the entry VM ends a connection", entry, broken(2), nil, 1},
		{"a connection ended before the signal", entry, broken(1), nil, 0},
		{"the caller gave up", entry, func() *observation.Request {
			r := broken(2)
			r.Attempts[0].TimedOut = true
			return r
		}(), nil, 0},
		{"the entry VM was killed before it exited", entry, broken(2), map[string]time.Time{"e1": at(1.8)}, 0},
		{"the router sent an outcome", entry, withOutcome(chat("a"), "not_run", "router_leaving"), nil, 0},
		{"the endpoint ends a stream", endpoint, withOutcome(chat("a"), "unknown", "endpoint_failed"), nil, 1},
		{"another endpoint went on with the stream", endpoint, chat("a"), nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			observed := ledgerWith(100, "a")
			observed.Departures, observed.Stopped = []observation.Departure{c.departure}, c.stopped
			observed.Requests = []*observation.Request{c.request}
			observed.EngineRuns = []observation.Run{cut}
			counts, _ := count.Count(observed)
			must.Eq(t, c.want, counts.CutByPlannedStop)
		})
	}
}

// Guards against late or reverted configuration that is not counted, and against frozen routers that are counted as
// late. Every running router must show an accepted revision in time and must not go back to an older one.
func TestConfiguration(t *testing.T) {
	reading := func(router string, revision uint64, seconds float64) observation.Reading {
		return observation.Reading{Router: router, Object: "config/class/ride", Revision: revision, At: at(seconds)}
	}
	for _, c := range []struct {
		name     string
		readings []observation.Reading
		stopped  map[string]time.Time
		reverts  int
		late     int
	}{
		{"in force everywhere", []observation.Reading{reading("e1", 7, 10), reading("e2", 7, 17)}, nil, 0, 0},
		{"a newer one is in force", []observation.Reading{reading("e1", 9, 10)}, nil, 0, 0},
		{"late at one router", []observation.Reading{reading("e1", 7, 10), reading("e2", 7, 30)}, nil, 0, 1},
		{"late at a frozen router", []observation.Reading{reading("e1", 7, 10), reading("e2", 3, 1)}, map[string]time.Time{"e2": at(9)}, 0, 0},
		{"a router goes back", []observation.Reading{reading("e1", 7, 10), reading("e1", 3, 12), reading("e1", 7, 13)}, nil, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			observed := ledgerWith(0)
			observed.Readings, observed.Stopped = c.readings, c.stopped
			observed.Acceptances = []observation.Acceptance{{Object: "config/class/ride", Revision: 7, At: at(10)}}
			counts, _ := count.Count(observed)
			must.Eq(t, c.reverts, counts.ConfigReverts)
			must.Eq(t, c.late, counts.ConfigLate)
		})
	}
}
