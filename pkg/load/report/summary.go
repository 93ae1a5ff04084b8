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
	// LoadSeconds is how long requests arrived, TotalSeconds the time to the end of the observation.
	LoadSeconds  float64 `json:"load_seconds"`
	TotalSeconds float64 `json:"total_seconds"`
	count.Counts
	Broken  []string                `json:"broken"`
	Classes map[string]Class        `json:"classes"`
	Direct  *Latency                `json:"direct,omitempty"`
	Budgets map[string]BudgetTokens `json:"budgets"`
	// FaultsFailed counts faults that could not be carried out.
	FaultsFailed int             `json:"faults_failed"`
	Examples     []count.Example `json:"examples"`
	Faults       []fault.Event   `json:"faults"`
	// NotSeen tells what could not be observed; the counts hold for the rest.
	NotSeen []string `json:"not_seen"`
}

// BudgetTokens is a budget at the end of the run, in tokens.
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
	// TargetMetRatio is the share of requests that met the class's target. Requests that their caller abandoned by
	// plan, or that the budget could not pay, don't count.
	TargetMetRatio float64 `json:"target_met_ratio"`
	// Latency is from the intended arrival to the last byte, FirstToken to the first token, of requests that were done.
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
	// highestMicros is the largest latency that a histogram can hold.
	highestMicros = int64(20 * time.Minute / time.Microsecond)
	digits        = 3
)

// NewHistogram returns a histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

// Record adds a latency to the histogram.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

// LatencyOf returns the quantiles of a histogram.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Fill computes counts, classes and budgets from the observations.
func (s *Summary) Fill(e *observation.Observations) {
	s.Counts, s.Examples = count.Count(e)
	s.Broken = s.Counts.BrokenInvariants()
	s.Classes = classes(e.Requests)
	s.Budgets = map[string]BudgetTokens{}
	for _, b := range e.Budgets {
		s.Budgets[b.Organisation+"/"+b.Name] = BudgetTokens{ToppedUp: b.ToppedUp, Settled: b.Settled, Granted: b.Granted, Holders: b.Holders}
	}
	s.NotSeen = e.Lost
	for _, event := range s.Faults {
		if event.Failed {
			s.FaultsFailed++
		}
	}
}

// tally collects the requests of a class.
type tally struct {
	class   Class
	counted int
	met     int
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

func classes(requests []*observation.Request) map[string]Class {
	tallies := map[string]*tally{}
	for _, r := range requests {
		t := tallies[r.Class]
		if t == nil {
			t = &tally{latency: NewHistogram(), first: NewHistogram()}
			tallies[r.Class] = t
		}
		t.add(r)
	}
	result := map[string]Class{}
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[name]
		t.class.Latency = LatencyOf(t.latency)
		if t.first.TotalCount() > 0 {
			first := LatencyOf(t.first)
			t.class.FirstToken = &first
		}
		if t.counted > 0 {
			t.class.TargetMetRatio = float64(t.met) / float64(t.counted)
		}
		result[name] = t.class
	}
	return result
}

func (t *tally) add(r *observation.Request) {
	t.class.Requests++
	if r.Outcome == observation.HungUp || r.Reason == "budget_exhausted" {
		return
	}
	t.counted++
	if !r.Done() {
		return
	}
	t.class.Done++
	took := r.End.Sub(r.Intended)
	Record(t.latency, took)
	if first := r.Attempts[len(r.Attempts)-1].FirstToken; !first.IsZero() {
		Record(t.first, first.Sub(r.Intended))
	}
	if !r.Truncated && !r.Crossed && (r.Deadline == 0 || took <= r.Deadline) {
		t.met++
	}
}

// Write writes the summary as JSON.
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
