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

func request(outcome string, took, deadline time.Duration) *observation.Request {
	return &observation.Request{
		Class: "driver-reply", Kind: observation.Call, Outcome: outcome, Intended: start, End: start.Add(took), Deadline: deadline,
		Attempts: []observation.Attempt{{Start: start.Add(took), End: start.Add(took), Outcome: outcome}},
	}
}

// A late reply and one that was not done miss the target; a caller that hangs up or can't pay says nothing about it.
func TestTargetMetRatio(t *testing.T) {
	late := request("done", 3*time.Second, 2*time.Second)
	refused := request("not_run", time.Second, 2*time.Second)
	refused.Reason = "budget_exhausted"
	var s report.Summary
	s.Fill(&observation.Observations{Requests: []*observation.Request{
		request("done", time.Second, 2*time.Second), late, request("unknown", time.Second, 2*time.Second), request("done", time.Hour, 0),
		request(observation.HungUp, time.Second, 2*time.Second), refused,
	}})
	class := s.Classes["driver-reply"]
	must.Eq(t, 6, class.Requests)
	must.Eq(t, 0.5, class.TargetMetRatio)
	must.Eq(t, 3, class.Latency.Count)
}

// Latencies count from the intended arrival: a request that the stalled system made wait is late, however fast its
// attempt was.
func TestLatencyCountsFromTheIntendedArrival(t *testing.T) {
	var s report.Summary
	s.Fill(&observation.Observations{Requests: []*observation.Request{request("done", 4*time.Second, 0)}})
	must.InDelta(t, 4000, s.Classes["driver-reply"].Latency.P50, 10)
}

func TestCompareFlagsWhatGotWorse(t *testing.T) {
	summary := func(done int, ranTwice int, ratio, p99 float64) *report.Summary {
		s := &report.Summary{Classes: map[string]report.Class{"ride": {TargetMetRatio: ratio, Latency: report.Latency{P50: 10, P99: p99}}}}
		s.Requests, s.Done, s.RanTwice = 100, done, ranTwice
		return s
	}
	worse := func(before, after *report.Summary) []string {
		var names []string
		for _, r := range report.Compare(before, after, 0.2) {
			if r.Worse {
				names = append(names, r.Name)
			}
		}
		return names
	}
	must.SliceEmpty(t, worse(summary(100, 0, 1, 100), summary(100, 0, 0.995, 115)))
	must.SliceEmpty(t, worse(summary(90, 1, 0.9, 200), summary(100, 0, 1, 100)))
	must.Eq(t, []string{"done", "ran_twice", "ride target_met_ratio", "ride p99_ms"}, worse(summary(100, 0, 1, 100), summary(90, 1, 0.9, 130)))
}

func TestSummaryIsWrittenAndRead(t *testing.T) {
	s := &report.Summary{Name: "test", Started: start, LoadSeconds: 5}
	s.Fill(&observation.Observations{Requests: []*observation.Request{request("done", time.Second, 0), request("unknown", 2*time.Second, 0)}})
	dir := t.TempDir()
	must.NoError(t, s.Write(filepath.Join(dir, "out", "summary.json")))
	var read report.Summary
	must.NoError(t, report.Read(filepath.Join(dir, "out", "summary.json"), &read))
	must.Eq(t, s.Counts, read.Counts)
	requests := []*observation.Request{request("done", time.Second, 0), request("unknown", 2*time.Second, 0)}
	must.NoError(t, report.Plot(s, requests, filepath.Join(dir, "plot.png")))
	info, err := os.Stat(filepath.Join(dir, "plot.png"))
	must.NoError(t, err)
	must.Positive(t, info.Size())
	var table bytes.Buffer
	s.Table(&table)
	must.StrContains(t, table.String(), "2 requests: 1 done, 0 not run, 1 unknown")
}
