// Package count turns the observations of a run into counts of outcomes and of broken invariants. It has no I/O and no
// clock.
package count

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// Bounds of the invariants.
const (
	// LeavingBound is the time after its leaving mark from which on an endpoint must get no new work.
	LeavingBound = 3 * time.Second
	// ConfigBound is the time within which an accepted configuration must be in force at every router.
	ConfigBound = 8 * time.Second
	// readingDelay is how long a router's configuration can be in force before it is read.
	readingDelay = time.Second
)

// Counts are the results of a run. I1 to I8 are the invariants that a count checks. Tokens are model tokens.
type Counts struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// HungUp counts requests whose caller closed the connection on purpose, as the scenario demands.
	HungUp int `json:"hung_up"`
	// RefusedBudget counts requests that ended with a refusal for payment reasons. FalseRefusals counts those among
	// them that the budget could have paid.
	RefusedBudget int `json:"refused_budget"`
	FalseRefusals int `json:"false_refusals"`
	// OverspendTokens is the number of tokens spent or granted beyond the topped-up tokens of budgets (I1).
	OverspendTokens int64 `json:"overspend_tokens"`
	// BilledTwice counts stored versions of budgets whose settled tokens grew by more than their new bills, and
	// requests with bills in two budgets (I2).
	BilledTwice int `json:"billed_twice"`
	// DoneUnbilled counts chat completions that were done and have no bill (I2).
	DoneUnbilled int `json:"done_unbilled"`
	// CrossedAnswers counts requests that received text of another request or otherwise wrong text (I3).
	CrossedAnswers int `json:"crossed_answers"`
	// TruncatedAnswers counts requests that received a part of the answer declared as the whole (I3).
	TruncatedAnswers int `json:"truncated_answers"`
	// RanTwice counts non-idempotent calls with more than one run (I5).
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts requests that ran although their answer was not_run (I4).
	NotRunButRan int `json:"not_run_but_ran"`
	// RetryNotRunButRan counts non-idempotent calls that ran, and of which one attempt ended without a known outcome
	// and a later one with not_run.
	RetryNotRunButRan int `json:"retry_not_run_but_ran"`
	// WorkAfterLeaving counts requests that an endpoint accepted later than LeavingBound after its leaving mark (I6).
	WorkAfterLeaving int `json:"work_after_leaving"`
	// CutByPlannedStop counts attempts that a planned stop interrupted (I7).
	CutByPlannedStop int `json:"cut_by_planned_stop"`
	// ConfigReverts counts readings of an object at a router with a lower revision than an earlier reading (I8).
	ConfigReverts int `json:"config_reverts"`
	// ConfigLate counts accepted changes that a router did not have in force within ConfigBound (I8).
	ConfigLate int `json:"config_late"`
	// Reasons counts the requests that were not done, by their last reason.
	Reasons map[string]int `json:"reasons"`
	// Attempts counts the attempts of all requests, by outcome.
	Attempts map[string]int `json:"attempts"`
}

// BrokenInvariants returns the names of the counts above zero that stand for an invariant.
func (c Counts) BrokenInvariants() []string {
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

// Example describes one case that was counted.
type Example struct {
	Count string `json:"count"`
	Text  string `json:"text"`
}

// maxExamples is the largest number of examples for each count.
const maxExamples = 5

// counter collects counts and examples.
type counter struct {
	observed *observation.Observations
	counts   Counts
	examples []Example
	// exampleCounts holds the number of examples by the name of their count.
	exampleCounts map[string]int

	requestsByHash map[uint64]*observation.Request // by observation.BillKey
	runsByID       map[string][]observation.Run    // by request id
	runsByKey      map[string][]observation.Run    // by <organisation>/<idempotency key>
}

// Count returns the counts of a run, with up to maxExamples examples for each count that stands for a fault.
func Count(observed *observation.Observations) (Counts, []Example) {
	c := newCounter(observed)
	c.countOutcomes()
	c.countWrongAnswers()
	c.countNotRunButRan()
	c.countBilling()
	c.countRefusals()
	c.countDepartures()
	c.countConfiguration()
	return c.counts, c.examples
}

func newCounter(observed *observation.Observations) *counter {
	c := &counter{
		observed: observed, counts: Counts{Reasons: map[string]int{}, Attempts: map[string]int{}}, exampleCounts: map[string]int{},
		requestsByHash: map[uint64]*observation.Request{}, runsByID: map[string][]observation.Run{}, runsByKey: map[string][]observation.Run{},
	}
	for _, r := range observed.Requests {
		c.requestsByHash[observation.BillKey(r.Organisation, r.Key)] = r
	}
	for _, list := range [][]observation.Run{observed.EngineRuns, observed.ServiceRuns} {
		for _, run := range list {
			c.runsByID[run.RequestID] = append(c.runsByID[run.RequestID], run)
			key := run.Organisation + "/" + run.Key
			c.runsByKey[key] = append(c.runsByKey[key], run)
		}
	}
	return c
}

func (c *counter) countOutcomes() {
	for _, r := range c.observed.Requests {
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
