// Package report writes the result of a run as JSON, as a table and as a plot, and compares two runs.
package report

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendershunt/lavendershunt/pkg/load/count"
	"github.com/lavendershunt/lavendershunt/pkg/load/fault"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// Summary is the result of a run. The counts are at the top level of the JSON.
type Summary struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Run     string    `json:"run"`
	Started time.Time `json:"started"`
	// LoadSeconds is the time during which requests arrived, TotalSeconds the time until the end of the observation.
	LoadSeconds  float64 `json:"load_seconds"`
	TotalSeconds float64 `json:"total_seconds"`
	count.Counts
	Broken  []string                `json:"broken"`
	Classes map[string]Class        `json:"classes"`
	Direct  *Latency                `json:"direct,omitempty"`
	Budgets map[string]BudgetTokens `json:"budgets"`
	// FaultsFailed is the number of fault actions that failed.
	FaultsFailed int             `json:"faults_failed"`
	Examples     []count.Example `json:"examples"`
	Faults       []fault.Event   `json:"faults"`
	// Unobserved lists what could not be observed and is therefore not covered by the counts.
	Unobserved []string `json:"not_seen"`
}

// BudgetTokens is the state of a budget at the end of the run, in tokens. Holders is the number of instances with a grant.
type BudgetTokens struct {
	ToppedUp int64 `json:"topped_up"`
	Settled  int64 `json:"settled"`
	Granted  int64 `json:"granted"`
	Holders  int   `json:"holders"`
}

// Class is the result for one class of work.
type Class struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	// TargetMetRatio is the share, from 0 to 1, of requests that met the class's target: done, with the whole own answer,
	// within the deadline if there is one. Requests whose caller hung up as the scenario demands, or that were refused
	// because the budget was exhausted, don't count.
	TargetMetRatio float64 `json:"target_met_ratio"`
	// Latency is measured from the intended arrival to the last byte, FirstToken to the first token. Both include only
	// requests that were done.
	Latency    Latency  `json:"latency"`
	FirstToken *Latency `json:"first_token,omitempty"`
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

const (
	// maxLatencyMicros is the largest latency that a histogram can hold; Record caps longer ones.
	maxLatencyMicros  = int64(20 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns a histogram of latencies in microseconds. It is not safe for concurrent use.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Record adds a latency to the histogram.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// LatencyOf returns the quantiles of a histogram.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Fill computes the counts, classes and budgets from the observations, and FaultsFailed from s.Faults.
func (s *Summary) Fill(observed *observation.Observations) {
	s.Counts, s.Examples = count.Count(observed)
	s.Broken = s.Counts.BrokenInvariants()
	s.Classes = summarizeClasses(observed.Requests)
	s.Budgets = map[string]BudgetTokens{}
	for _, b := range observed.Budgets {
		s.Budgets[b.Organisation+"/"+b.Name] = BudgetTokens{ToppedUp: b.ToppedUp, Settled: b.Settled, Granted: b.Granted, Holders: b.Holders}
	}
	s.Unobserved = observed.Unobserved
	for _, event := range s.Faults {
		if event.Failed {
			s.FaultsFailed++
		}
	}
}

// classTally accumulates the requests of a class.
type classTally struct {
	class      Class
	eligible   int
	metTarget  int
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func summarizeClasses(requests []*observation.Request) map[string]Class {
	tallies := map[string]*classTally{}
	for _, r := range requests {
		t := tallies[r.Class]
		if t == nil {
			t = &classTally{latency: NewHistogram(), firstToken: NewHistogram()}
			tallies[r.Class] = t
		}
		t.add(r)
	}
	result := map[string]Class{}
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[name]
		t.class.Latency = LatencyOf(t.latency)
		if t.firstToken.TotalCount() > 0 {
			first := LatencyOf(t.firstToken)
			t.class.FirstToken = &first
		}
		if t.eligible > 0 {
			t.class.TargetMetRatio = float64(t.metTarget) / float64(t.eligible)
		}
		result[name] = t.class
	}
	return result
}

func (t *classTally) add(r *observation.Request) {
	t.class.Requests++
	if r.Outcome == observation.HungUp || r.Reason == "budget_exhausted" {
		return
	}
	t.eligible++
	if !r.Done() {
		return
	}
	t.class.Done++
	latency := r.End.Sub(r.IntendedStart)
	Record(t.latency, latency)
	if first := r.Attempts[len(r.Attempts)-1].FirstToken; !first.IsZero() {
		Record(t.firstToken, first.Sub(r.IntendedStart))
	}
	if !r.Truncated && !r.Crossed && (r.Deadline == 0 || latency <= r.Deadline) {
		t.metTarget++
	}
}

// Write writes the summary to a file as JSON. It creates the directory if needed.
func (s *Summary) Write(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
