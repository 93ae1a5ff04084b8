package count

import (
	"fmt"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

func (c *counter) example(count, format string, args ...any) {
	if c.shown[count] < maxExamples {
		c.shown[count]++
		c.examples = append(c.examples, Example{Count: count, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *counter) answers() {
	for _, r := range c.e.Requests {
		if r.Crossed {
			c.counts.CrossedAnswers++
			c.example("crossed_answers", "%s", describe(r))
		}
		if r.Truncated {
			c.counts.TruncatedAnswers++
			c.example("truncated_answers", "%s", describe(r))
		}
		if r.AtMostOnce && c.e.ServiceCounts[r.Organisation+"/"+r.Key] > 1 {
			c.counts.RanTwice++
			c.example("ran_twice", "%s", describe(r))
		}
	}
}

// runsOfNotRun compares what callers were told with the records of the endpoints.
func (c *counter) runsOfNotRun() {
	for _, r := range c.e.Requests {
		keyRan := anyStarted(c.byKey[r.Organisation+"/"+r.Key])
		lied, open, late := r.Outcome == "not_run" && keyRan, false, false
		for _, a := range r.Attempts {
			if a.Outcome == "not_run" && a.RequestID != "" && anyStarted(c.runs[a.RequestID]) {
				lied = true
			}
			open = open || a.Outcome == "unknown" || a.Outcome == observation.ConnectionBroken
			late = late || (open && a.Outcome == "not_run")
		}
		switch {
		case lied:
			c.counts.NotRunButRan++
			c.example("not_run_but_ran", "%s", describe(r))
		case r.AtMostOnce && keyRan && late:
			c.counts.RetryNotRunButRan++
			c.example("retry_not_run_but_ran", "%s", describe(r))
		}
	}
}

func anyStarted(runs []observation.Run) bool {
	for _, run := range runs {
		if !run.Started.IsZero() {
			return true
		}
	}
	return false
}

// describe names a request and its last attempts.
func describe(r *observation.Request) string {
	text := fmt.Sprintf("%s key %s of %s (%s, %s):", r.Intended.Format("15:04:05.000"), r.Key, r.Organisation, r.Class, r.Outcome)
	for _, a := range r.Attempts[max(0, len(r.Attempts)-4):] {
		text += fmt.Sprintf(" [%s to %s %s at %s %s %s id=%s]", a.Start.Format("15:04:05.000"), a.End.Format("05.000"), a.Outcome, a.Address, a.Reason, a.Detail, a.RequestID)
	}
	return text
}
