// Package count turns the observations of a run into counts of outcomes and of broken invariants. It has no I/O and no
// clock.
package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// Bounds of the invariants.
const (
	// LeavingBound is the time after which a leaving endpoint gets no new work.
	LeavingBound = 3 * time.Second
	// ConfigBound is the time after which an accepted configuration is in force everywhere.
	ConfigBound = 8 * time.Second
	// readingSlack is the largest age of a reading of a router's configuration.
	readingSlack = time.Second
)

// Counts are the numbers of a run. Tokens are model tokens.
type Counts struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// HungUp counts requests that their caller abandoned by plan.
	HungUp int `json:"hung_up"`
	// RefusedBudget counts requests that ended with a refusal to pay; FalseRefusals is the part that the budget
	// could have paid.
	RefusedBudget int `json:"refused_budget"`
	FalseRefusals int `json:"false_refusals"`
	// OverspendTokens is what was spent or granted beyond the topped-up tokens of budgets (I1).
	OverspendTokens int64 `json:"overspend_tokens"`
	// BilledTwice counts stored versions of budgets that grew by more than their new bills (I2).
	BilledTwice int `json:"billed_twice"`
	// DoneUnbilled counts chat completions that were done and have no bill (I2).
	DoneUnbilled int `json:"done_unbilled"`
	// CrossedAnswers counts requests that got text of another request or otherwise wrong text (I3).
	CrossedAnswers int `json:"crossed_answers"`
	// TruncatedAnswers counts requests that were told that a part is the whole answer (I3).
	TruncatedAnswers int `json:"truncated_answers"`
	// RanTwice counts non-idempotent calls with more than one run (I5).
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts requests that were told not_run and ran (I4).
	NotRunButRan int `json:"not_run_but_ran"`
	// RetryNotRunButRan counts non-idempotent calls that ran in an earlier attempt without an outcome, and whose
	// later attempt was told not_run.
	RetryNotRunButRan int `json:"retry_not_run_but_ran"`
	// WorkAfterLeaving counts runs that began at an endpoint later than LeavingBound after its mark (I6).
	WorkAfterLeaving int `json:"work_after_leaving"`
	// CutByPlannedStop counts attempts that a planned stop interrupted (I7).
	CutByPlannedStop int `json:"cut_by_planned_stop"`
	// ConfigReverts counts readings of a router that were older than its reading before (I8).
	ConfigReverts int `json:"config_reverts"`
	// ConfigLate counts accepted changes that a router did not have in force within ConfigBound (I8).
	ConfigLate int `json:"config_late"`
	// Reasons counts the requests that were not done by their last reason.
	Reasons map[string]int `json:"reasons"`
	// Attempts counts the attempts of all requests by outcome.
	Attempts map[string]int `json:"attempts"`
}

// Broken lists the broken invariants by the names of their counts.
func (c Counts) Broken() []string {
	var broken []string
	for _, n := range []struct {
		name  string
		value int64
	}{
		{"overspend_tokens", c.OverspendTokens}, {"billed_twice", int64(c.BilledTwice)}, {"done_unbilled", int64(c.DoneUnbilled)},
		{"crossed_answers", int64(c.CrossedAnswers)}, {"truncated_answers", int64(c.TruncatedAnswers)},
		{"ran_twice", int64(c.RanTwice)}, {"not_run_but_ran", int64(c.NotRunButRan)},
		{"work_after_leaving", int64(c.WorkAfterLeaving)}, {"cut_by_planned_stop", int64(c.CutByPlannedStop)},
		{"config_reverts", int64(c.ConfigReverts)}, {"config_late", int64(c.ConfigLate)},
	} {
		if n.value > 0 {
			broken = append(broken, n.name)
		}
	}
	return broken
}

// Example names one case behind a count.
type Example struct {
	Count string `json:"count"`
	Text  string `json:"text"`
}

// maxExamples bounds the examples of each count.
const maxExamples = 5

// counter collects counts and examples.
type counter struct {
	e        *observation.Observations
	counts   Counts
	examples []Example
	shown    map[string]int

	byHash map[uint64]*observation.Request
	runs   map[string][]observation.Run // by request id
	byKey  map[string][]observation.Run // by organisation and idempotency key
}

// Count returns the counts and some examples of what lies behind those of broken invariants.
func Count(e *observation.Observations) (Counts, []Example) {
	c := newCounter(e)
	c.outcomes()
	c.answers()
	c.runsOfNotRun()
	c.books()
	c.refusals()
	c.departures()
	c.configuration()
	return c.counts, c.examples
}

func newCounter(e *observation.Observations) *counter {
	c := &counter{
		e: e, counts: Counts{Reasons: map[string]int{}, Attempts: map[string]int{}}, shown: map[string]int{},
		byHash: map[uint64]*observation.Request{}, runs: map[string][]observation.Run{}, byKey: map[string][]observation.Run{},
	}
	for _, r := range e.Requests {
		c.byHash[observation.BillKey(r.Organisation, r.Key)] = r
	}
	for _, list := range [][]observation.Run{e.EngineRuns, e.ServiceRuns} {
		for _, run := range list {
			c.runs[run.RequestID] = append(c.runs[run.RequestID], run)
			key := run.Organisation + "/" + run.Key
			c.byKey[key] = append(c.byKey[key], run)
		}
	}
	return c
}

func (c *counter) outcomes() {
	for _, r := range c.e.Requests {
		c.counts.Requests++
		switch r.Outcome {
		case "done":
			c.counts.Done++
		case "not_run":
			c.counts.NotRun++
		case observation.HungUp:
			c.counts.HungUp++
		default:
			c.counts.Unknown++
		}
		if r.Reason != "" && !r.Done() {
			c.counts.Reasons[r.Reason]++
		}
		for _, a := range r.Attempts {
			c.counts.Attempts[a.Outcome]++
		}
	}
}
