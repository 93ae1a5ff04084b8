package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
)

const (
	// maxRatioLoss is the decrease of a ratio above which it counts as worse.
	maxRatioLoss = 0.01
	// minLatencyGrowthMS is the growth up to which a latency never counts as worse.
	minLatencyGrowthMS = 5
)

// Row compares one number between two runs.
type Row struct {
	Name   string
	Before float64
	After  float64
	Worse  bool
}

// ReadSummary reads a summary that Summary.Write has written.
func ReadSummary(path string, s *Summary) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := json.Unmarshal(data, s); err != nil {
		return fmt.Errorf("summary %s: %w", path, err)
	}
	return nil
}

// Compare compares two runs. Counts of broken invariants and of bad outcomes are worse if they grew, ratios if they fell
// by more than 0.01, and latencies if they grew by more than the relative tolerance and by more than 5 ms.
func Compare(before, after *Summary, tolerance float64) []Row {
	var rows []Row
	addCount := func(name string, a, b int64) {
		rows = append(rows, Row{Name: name, Before: float64(a), After: float64(b), Worse: b > a})
	}
	rows = append(rows, Row{Name: "requests", Before: float64(before.Requests), After: float64(after.Requests)})
	rows = append(rows, Row{Name: "done", Before: float64(before.Done), After: float64(after.Done), Worse: doneRatio(after) < doneRatio(before)-maxRatioLoss})
	addCount("unknown", int64(before.Unknown), int64(after.Unknown))
	addCount("refused_budget", int64(before.RefusedBudget), int64(after.RefusedBudget))
	addCount("false_refusals", int64(before.FalseRefusals), int64(after.FalseRefusals))
	addCount("overspend_tokens", before.OverspendTokens, after.OverspendTokens)
	addCount("billed_twice", int64(before.BilledTwice), int64(after.BilledTwice))
	addCount("done_unbilled", int64(before.DoneUnbilled), int64(after.DoneUnbilled))
	addCount("crossed_answers", int64(before.CrossedAnswers), int64(after.CrossedAnswers))
	addCount("truncated_answers", int64(before.TruncatedAnswers), int64(after.TruncatedAnswers))
	addCount("ran_twice", int64(before.RanTwice), int64(after.RanTwice))
	addCount("not_run_but_ran", int64(before.NotRunButRan), int64(after.NotRunButRan))
	addCount("retry_not_run_but_ran", int64(before.RetryNotRunButRan), int64(after.RetryNotRunButRan))
	addCount("work_after_leaving", int64(before.WorkAfterLeaving), int64(after.WorkAfterLeaving))
	addCount("cut_by_planned_stop", int64(before.CutByPlannedStop), int64(after.CutByPlannedStop))
	addCount("config_reverts", int64(before.ConfigReverts), int64(after.ConfigReverts))
	addCount("config_late", int64(before.ConfigLate), int64(after.ConfigLate))
	for _, name := range slices.Sorted(maps.Keys(before.Classes)) {
		rows = append(rows, compareClass(name, before.Classes[name], after.Classes[name], tolerance)...)
	}
	return rows
}

func doneRatio(s *Summary) float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.Done) / float64(s.Requests)
}

func compareClass(name string, a, b Class, tolerance float64) []Row {
	latency := func(suffix string, x, y float64) Row {
		return Row{Name: name + " " + suffix, Before: x, After: y, Worse: y > x*(1+tolerance) && y > x+minLatencyGrowthMS}
	}
	return []Row{
		{Name: name + " target_met_ratio", Before: a.TargetMetRatio, After: b.TargetMetRatio, Worse: b.TargetMetRatio < a.TargetMetRatio-maxRatioLoss},
		latency("p50_ms", a.Latency.P50, b.Latency.P50),
		latency("p99_ms", a.Latency.P99, b.Latency.P99),
	}
}

// WriteComparison writes the rows to w as a table and returns how many are worse.
func WriteComparison(w io.Writer, rows []Row) int {
	worse := 0
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NUMBER\tBEFORE\tAFTER\t")
	for _, r := range rows {
		verdict := ""
		if r.Worse {
			verdict = "WORSE"
			worse++
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%s\n", r.Name, r.Before, r.After, verdict)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "%d numbers got worse\n", worse)
	return worse
}
