package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newRequest(outcome string, latency, deadline time.Duration) *observation.Request {
	return &observation.Request{
		Class: "driver-reply", Kind: observation.Call, Outcome: outcome, IntendedStart: start, End: start.Add(latency), Deadline: deadline,
		Attempts: []observation.Attempt{{Start: start.Add(latency), End: start.Add(latency), Outcome: outcome}},
	}
}

// Guards against a wrong target_met_ratio: late answers and requests that were not done miss the target; requests whose
// caller hung up or whose budget was exhausted don't count.
func TestTargetMetRatio(t *testing.T) {
	late := newRequest("done", 3*time.Second, 2*time.Second)
	refused := newRequest("not_run", time.Second, 2*time.Second)
	refused.Reason = "budget_exhausted"
	var s report.Summary
	s.Fill(&observation.Observations{Requests: []*observation.Request{
		newRequest("done", time.Second, 2*time.Second), late, newRequest("unknown", time.Second, 2*time.Second), newRequest("done", time.Hour, 0),
		newRequest(observation.HungUp, time.Second, 2*time.Second), refused,
	}})
	class := s.Classes["driver-reply"]
	must.Eq(t, 6, class.Requests)
	must.Eq(t, 0.5, class.TargetMetRatio)
	must.Eq(t, 3, class.Latency.Count)
}

// Guards against latencies that count from the first attempt instead of the intended arrival. They would hide the time
// that a request waited for a stalled system before it was sent.
func TestLatencyCountsFromTheIntendedArrival(t *testing.T) {
	var s report.Summary
	s.Fill(&observation.Observations{Requests: []*observation.Request{newRequest("done", 4*time.Second, 0)}})
	must.InDelta(t, 4000, s.Classes["driver-reply"].Latency.P50, 10)
}

// Guards against a regression between two runs that is not marked, and against small differences that are.
func TestCompareMarksWorseNumbers(t *testing.T) {
	summary := func(done int, ranTwice int, ratio, p99 float64) *report.Summary {
		s := &report.Summary{Classes: map[string]report.Class{"ride": {TargetMetRatio: ratio, Latency: report.Latency{P50: 10, P99: p99}}}}
		s.Requests, s.Done, s.RanTwice = 100, done, ranTwice
		return s
	}
	worseNames := func(before, after *report.Summary) []string {
		var names []string
		for _, r := range report.Compare(before, after, 0.2) {
			if r.Worse {
				names = append(names, r.Name)
			}
		}
		return names
	}
	must.SliceEmpty(t, worseNames(summary(100, 0, 1, 100), summary(100, 0, 0.995, 115)))
	must.SliceEmpty(t, worseNames(summary(90, 1, 0.9, 200), summary(100, 0, 1, 100)))
	must.Eq(t, []string{"done", "ran_twice", "ride target_met_ratio", "ride p99_ms"}, worseNames(summary(100, 0, 1, 100), summary(90, 1, 0.9, 130)))
}

// Guards against a summary that can't be read back, a missing plot and a table without the outcomes.
func TestSummaryIsWrittenAndReadBack(t *testing.T) {
	s := &report.Summary{Name: "test", Started: start, LoadSeconds: 5}
	s.Fill(&observation.Observations{Requests: []*observation.Request{newRequest("done", time.Second, 0), newRequest("unknown", 2*time.Second, 0)}})
	dir := t.TempDir()
	must.NoError(t, s.Write(filepath.Join(dir, "out", "summary.json")))
	var decoded report.Summary
	must.NoError(t, report.ReadSummary(filepath.Join(dir, "out", "summary.json"), &decoded))
	must.Eq(t, s.Counts, decoded.Counts)
	requests := []*observation.Request{newRequest("done", time.Second, 0), newRequest("unknown", 2*time.Second, 0)}
	must.NoError(t, report.WritePlot(s, requests, filepath.Join(dir, "plot.png")))
	info, err := os.Stat(filepath.Join(dir, "plot.png"))
	must.NoError(t, err)
	must.Positive(t, info.Size())
	var table bytes.Buffer
	s.WriteTable(&table)
	must.StrContains(t, table.String(), "2 requests: 1 done, 0 not run, 1 unknown")
}
