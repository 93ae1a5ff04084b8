package count_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/count"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// chat returns a completion that was done in one attempt and cost 100 tokens.
func chat(key string) *observation.Request {
	return &observation.Request{
		Class: "briefing", Organisation: "velocar", Budget: "main", Key: key, Kind: observation.Chat, IntendedStart: at(1), End: at(2),
		Outcome: "done", UpperBound: 150, WholeCharge: 100, MaxCharge: 110, Usage: 100, Match: observation.MatchWhole,
		Attempts: []observation.Attempt{{RequestID: "r-" + key, Address: "127.0.1.1:8080", Start: at(1), End: at(2), Outcome: "done"}},
	}
}

// call returns a non-idempotent service call that was done in one attempt.
func call(key string) *observation.Request {
	r := chat(key)
	r.Kind, r.AtMostOnce, r.UpperBound, r.WholeCharge, r.MaxCharge = observation.Call, true, 0, 0, 0
	return r
}

// withOutcome sets the outcome and reason of the request and of its first attempt.
func withOutcome(r *observation.Request, outcome, reason string) *observation.Request {
	r.Outcome, r.Reason = outcome, reason
	r.Attempts[0].Outcome, r.Attempts[0].Reason = outcome, reason
	return r
}

// ledgerWith returns the observations of a budget with 1,000 topped-up tokens, of which the ledger has settled the
// given number with bills for the given idempotency keys.
func ledgerWith(settled int64, keys ...string) *observation.Observations {
	b := observation.Budget{Organisation: "velocar", Name: "main", ToppedUp: 1000, Settled: settled, Bills: map[uint64]bool{}}
	s := observation.Settlement{Organisation: "velocar", Budget: "main", Tokens: settled}
	for _, key := range keys {
		hash := observation.BillKey("velocar", key)
		b.Bills[hash] = true
		s.Bills = append(s.Bills, hash)
	}
	return &observation.Observations{
		Budgets: []observation.Budget{b}, Settlements: []observation.Settlement{s}, ServiceCounts: map[string]int{}, End: at(100),
		TopUps: []observation.TopUp{{Organisation: "velocar", Budget: "main", At: at(0), Total: 1000}},
	}
}

// run returns a run that took one second. queued is in seconds after start.
func run(key, vm string, queued float64) observation.Run {
	return observation.Run{
		VM: vm, RequestID: "r-" + key, Organisation: "velocar", Key: key,
		QueuedAt: at(queued), StartedAt: at(queued), EndedAt: at(queued + 1), End: "done",
	}
}

// Guards against a counter that stays zero and so hides a broken invariant, and against one that rises without a fault
// and so makes the demo fail without cause. Each counter has observations for both: faulty ones that it must count and
// correct ones that it must not.
func TestCounters(t *testing.T) {
	for _, c := range []struct {
		name    string
		faulty  func() *observation.Observations
		correct func() *observation.Observations
		value   func(count.Counts) int64
		want    int64
	}{
		{"done_unbilled", func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Requests = []*observation.Request{chat("a"), chat("b")}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(200, "a", "b")
			observed.Requests = []*observation.Request{chat("a"), chat("b"), call("c"), withOutcome(chat("d"), "unknown", "endpoint_failed")}
			return observed
		}, func(c count.Counts) int64 { return int64(c.DoneUnbilled) }, 1},

		{"billed_twice", func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Requests = []*observation.Request{chat("a")}
			observed.Settlements = append(observed.Settlements, observation.Settlement{Organisation: "velocar", Budget: "main", Tokens: 100})
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(210, "a", "b")
			hungUp := withOutcome(chat("b"), observation.HungUp, "")
			observed.Requests = []*observation.Request{chat("a"), hungUp}
			observed.Settlements = append(observed.Settlements, observation.Settlement{Organisation: "velocar", Budget: "main", Tokens: 500, Bills: []uint64{7}})
			return observed
		}, func(c count.Counts) int64 { return int64(c.BilledTwice) }, 1},

		{"billed_twice with a bill beyond the whole answer", func() *observation.Observations {
			observed := ledgerWith(101, "a")
			observed.Requests = []*observation.Request{chat("a")}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(110, "a")
			observed.Requests = []*observation.Request{chat("a")}
			observed.Requests[0].Attempts = append(observed.Requests[0].Attempts, observed.Requests[0].Attempts[0])
			return observed
		}, func(c count.Counts) int64 { return int64(c.BilledTwice) }, 1},

		{"overspend_tokens in the ledger", func() *observation.Observations {
			observed := ledgerWith(900)
			observed.Budgets[0].Granted = 150
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(900)
			observed.Budgets[0].Granted = 100
			return observed
		}, func(c count.Counts) int64 { return c.OverspendTokens }, 50},

		{"overspend_tokens delivered to callers", func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Budgets[0].ToppedUp = 150
			observed.Requests = []*observation.Request{chat("a"), chat("b")}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Budgets[0].ToppedUp = 150
			observed.Requests = []*observation.Request{chat("a"), withOutcome(chat("b"), "unknown", "")}
			return observed
		}, func(c count.Counts) int64 { return c.OverspendTokens }, 50},

		{"ran_twice", func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{call("a"), call("b")}
			observed.ServiceCounts = map[string]int{"velocar/a": 2, "velocar/b": 1}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(0)
			idempotent := call("a")
			idempotent.AtMostOnce = false
			observed.Requests = []*observation.Request{idempotent, call("b")}
			observed.ServiceCounts = map[string]int{"velocar/a": 2, "velocar/b": 1}
			return observed
		}, func(c count.Counts) int64 { return int64(c.RanTwice) }, 1},

		{"not_run_but_ran", func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{withOutcome(chat("a"), "not_run", "no_endpoint")}
			observed.EngineRuns = []observation.Run{run("a", "g1", 1)}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{withOutcome(chat("a"), "not_run", "no_endpoint"), withOutcome(chat("b"), "unknown", "")}
			queuedOnly := run("a", "g1", 1)
			queuedOnly.StartedAt = time.Time{}
			observed.EngineRuns = []observation.Run{queuedOnly, run("b", "g1", 1)}
			return observed
		}, func(c count.Counts) int64 { return int64(c.NotRunButRan) }, 1},

		{"not_run_but_ran under another request id", func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{withOutcome(call("a"), "not_run", "claim_not_obtainable_now")}
			other := run("a", "s1", 1)
			other.RequestID = "r-other"
			observed.ServiceRuns = []observation.Run{other}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{withOutcome(call("a"), "not_run", "claim_not_obtainable_now")}
			observed.ServiceRuns = []observation.Run{run("b", "s1", 1)}
			return observed
		}, func(c count.Counts) int64 { return int64(c.NotRunButRan) }, 1},

		{"retry_not_run_but_ran", func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{retriedCall("unknown", "not_run")}
			observed.ServiceRuns = []observation.Run{run("a", "s1", 1)}
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{retriedCall("unknown", "unknown")}
			observed.ServiceRuns = []observation.Run{run("a", "s1", 1)}
			return observed
		}, func(c count.Counts) int64 { return int64(c.RetryNotRunButRan) }, 1},

		{"crossed_answers", func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Requests = []*observation.Request{chat("a")}
			observed.Requests[0].Crossed = true
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Requests = []*observation.Request{chat("a")}
			return observed
		}, func(c count.Counts) int64 { return int64(c.CrossedAnswers) }, 1},

		{"truncated_answers", func() *observation.Observations {
			observed := ledgerWith(100, "a")
			observed.Requests = []*observation.Request{chat("a")}
			observed.Requests[0].Truncated = true
			return observed
		}, func() *observation.Observations {
			observed := ledgerWith(0)
			observed.Requests = []*observation.Request{withOutcome(chat("a"), "unknown", "endpoint_failed")}
			observed.Requests[0].Match = observation.MatchPart
			return observed
		}, func(c count.Counts) int64 { return int64(c.TruncatedAnswers) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			faulty, examples := count.Count(c.faulty())
			must.Eq(t, c.want, c.value(faulty))
			must.SliceNotEmpty(t, examples)
			correct, _ := count.Count(c.correct())
			must.Eq(t, 0, c.value(correct))
		})
	}
}

// retriedCall returns a non-idempotent call with two attempts of the given outcomes. Its own outcome is unknown.
func retriedCall(first, second string) *observation.Request {
	r := withOutcome(call("a"), first, "")
	r.Attempts = append(r.Attempts, observation.Attempt{RequestID: "r-second", Start: at(2), End: at(3), Outcome: second})
	r.Outcome = "unknown"
	return r
}

// Guards against a demo that exits with status 1 although no invariant is broken. A refusal or an unknown outcome does
// not break an invariant.
func TestBrokenInvariantsNamesOnlyInvariants(t *testing.T) {
	must.SliceEmpty(t, count.Counts{Unknown: 3, NotRun: 2, RefusedBudget: 4, FalseRefusals: 1, RetryNotRunButRan: 1}.BrokenInvariants())
	must.Eq(t, []string{"overspend_tokens", "config_late"}, count.Counts{OverspendTokens: 1, ConfigLate: 1}.BrokenInvariants())
}

// Guards against a request that counts under no outcome or several, and against a wrong count of reasons. A request
// counts under its reason if it has one and was not done.
func TestOutcomesAreCountedOnce(t *testing.T) {
	observed := ledgerWith(100, "a")
	observed.Requests = []*observation.Request{
		chat("a"), withOutcome(chat("b"), "not_run", "overload"), withOutcome(chat("c"), "unknown", "endpoint_failed"),
		withOutcome(chat("d"), observation.HungUp, ""),
	}
	c, _ := count.Count(observed)
	must.Eq(t, []int{4, 1, 1, 1, 1}, []int{c.Requests, c.Done, c.NotRun, c.Unknown, c.HungUp})
	must.Eq(t, map[string]int{"overload": 1, "endpoint_failed": 1}, c.Reasons)
}
