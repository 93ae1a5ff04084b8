package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the summary to w as text.
func (s *Summary) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s, seed %d: %.1f s of load, %.1f s in all\n\n", s.Name, s.Seed, s.LoadSeconds, s.TotalSeconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CLASS\tREQUESTS\tDONE\tTARGET MET\tP50 MS\tP95 MS\tP99 MS\tMAX MS\tFIRST TOKEN P95 MS\t")
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		first := "-"
		if c.FirstToken != nil {
			first = fmt.Sprintf("%.0f", c.FirstToken.P95)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f %%\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t\n", name, c.Requests, c.Done, 100*c.TargetMetRatio,
			c.Latency.P50, c.Latency.P95, c.Latency.P99, c.Latency.Max, first)
	}
	if s.Direct != nil {
		fmt.Fprintf(t, "direct, no router\t%d\t\t\t%.0f\t%.0f\t%.0f\t%.0f\t\t\n", s.Direct.Count, s.Direct.P50, s.Direct.P95, s.Direct.P99, s.Direct.Max)
	}
	_ = t.Flush()
	s.writeOutcomes(w)
	s.writeInvariants(w)
	s.writeDetails(w)
}

func (s *Summary) writeOutcomes(w io.Writer) {
	fmt.Fprintf(w, "\n%d requests: %d done, %d not run, %d unknown, %d hung up by the caller; %d refused by budget, %d of them falsely\n",
		s.Requests, s.Done, s.NotRun, s.Unknown, s.HungUp, s.RefusedBudget, s.FalseRefusals)
	fmt.Fprintf(w, "attempts: %s\n", formatCounts(s.Attempts))
	if len(s.Reasons) > 0 {
		fmt.Fprintf(w, "reasons of requests that were not done: %s\n", formatCounts(s.Reasons))
	}
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

func (s *Summary) writeInvariants(w io.Writer) {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		invariant, name string
		value           int64
	}{
		{"I1 never overspent", "overspend_tokens", s.OverspendTokens},
		{"I2 billed once", "billed_twice", int64(s.BilledTwice)},
		{"I2 billed once", "done_unbilled", int64(s.DoneUnbilled)},
		{"I3 the whole own answer", "crossed_answers", int64(s.CrossedAnswers)},
		{"I3 the whole own answer", "truncated_answers", int64(s.TruncatedAnswers)},
		{"I4 not run is true", "not_run_but_ran", int64(s.NotRunButRan)},
		{"I5 at most once", "ran_twice", int64(s.RanTwice)},
		{"I6 no new work after leaving", "work_after_leaving", int64(s.WorkAfterLeaving)},
		{"I7 planned stops cut nothing", "cut_by_planned_stop", int64(s.CutByPlannedStop)},
		{"I8 configuration never reverts", "config_reverts", int64(s.ConfigReverts)},
		{"I8 configuration in force in time", "config_late", int64(s.ConfigLate)},
	} {
		verdict := "held"
		if row.value > 0 {
			verdict = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", row.invariant, row.name, row.value, verdict)
	}
	_ = t.Flush()
}

func (s *Summary) writeDetails(w io.Writer) {
	for _, e := range s.Examples {
		fmt.Fprintf(w, "\n%s: %s\n", e.Count, e.Text)
	}
	for _, e := range s.Faults {
		if e.Failed {
			fmt.Fprintf(w, "\nfault not carried out: %s\n", e.Text)
		}
	}
	for _, text := range s.Unobserved {
		fmt.Fprintf(w, "\nnot seen: %s\n", text)
	}
	if len(s.Broken) == 0 {
		fmt.Fprintf(w, "\nall invariants held\n")
		return
	}
	fmt.Fprintf(w, "\nBROKEN: %s\n", strings.Join(s.Broken, ", "))
}
