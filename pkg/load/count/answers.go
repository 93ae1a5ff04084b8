package count

import (
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// addExample keeps the example unless the count has maxExamples already.
func (c *counter) addExample(count, format string, args ...any) {
	if c.exampleCounts[count] < maxExamples {
		c.exampleCounts[count]++
		c.examples = append(c.examples, Example{Count: count, Text: fmt.Sprintf(format, args...)})
	}
}

// countWrongAnswers counts crossed and truncated answers, and non-idempotent calls that ran more than once.
func (c *counter) countWrongAnswers() {
	for _, r := range c.observed.Requests {
		if r.Crossed {
			c.counts.CrossedAnswers++
			c.addExample("crossed_answers", "%s", describe(r))
		}
		if r.Truncated {
			c.counts.TruncatedAnswers++
			c.addExample("truncated_answers", "%s", describe(r))
		}
		if r.AtMostOnce && c.observed.ServiceCounts[r.Organisation+"/"+r.Key] > 1 {
			c.counts.RanTwice++
			c.addExample("ran_twice", "%s", describe(r))
		}
	}
}

// countNotRunButRan compares the not_run answers with the records of the endpoints. It counts a request if its outcome
// is not_run and a run with its key exists, or if an attempt ended with not_run and a run with its request id exists.
func (c *counter) countNotRunButRan() {
	for _, r := range c.observed.Requests {
		keyRan := hasStarted(c.runsByKey[r.Organisation+"/"+r.Key])
		contradicted, unknownBefore, notRunAfterUnknown := r.Outcome == "not_run" && keyRan, false, false
		for _, a := range r.Attempts {
			if a.Outcome == "not_run" && a.RequestID != "" && hasStarted(c.runsByID[a.RequestID]) {
				contradicted = true
			}
			unknownBefore = unknownBefore || a.Outcome == "unknown" || a.Outcome == observation.ConnectionBroken
			notRunAfterUnknown = notRunAfterUnknown || (unknownBefore && a.Outcome == "not_run")
		}
		switch {
		case contradicted:
			c.counts.NotRunButRan++
			c.addExample("not_run_but_ran", "%s", describe(r))
		case r.AtMostOnce && keyRan && notRunAfterUnknown:
			c.counts.RetryNotRunButRan++
			c.addExample("retry_not_run_but_ran", "%s", describe(r))
		}
	}
}

// hasStarted reports whether any of the runs began.
func hasStarted(runs []observation.Run) bool {
	for _, run := range runs {
		if !run.StartedAt.IsZero() {
			return true
		}
	}
	return false
}

// describe returns the text of a request and its last four attempts.
func describe(r *observation.Request) string {
	text := fmt.Sprintf("%s key %s of %s (%s, %s):", r.IntendedStart.Format("15:04:05.000"), r.Key, r.Organisation, r.Class, r.Outcome)
	for _, a := range r.Attempts[max(0, len(r.Attempts)-4):] {
		text += fmt.Sprintf(" [%s to %s %s at %s %s %s id=%s]", a.Start.Format("15:04:05.000"), a.End.Format("05.000"), a.Outcome, a.Address, a.Reason, a.Detail, a.RequestID)
	}
	return text
}
