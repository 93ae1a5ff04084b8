package bench

import (
	"fmt"
	"io"
)

// Performance goals of one router. They are the stated targets and must not be adjusted to measured figures.
const (
	minRequestsPerSecond = 5000
	maxAddedP50MS        = 1
	maxAddedP99MS        = 5
	maxStreamKB          = 64
)

// Goal is a measured value with its bound.
type Goal struct {
	Name  string
	Value float64
	Bound float64
	// IsLowerBound is set if Bound is a lower bound; otherwise it is an upper bound.
	IsLowerBound bool
}

// IsMet reports whether the value is within the bound.
func (g Goal) IsMet() bool {
	if g.IsLowerBound {
		return g.Value >= g.Bound
	}
	return g.Value <= g.Bound
}

// Goals returns the measured values with their bounds.
func (r Result) Goals() []Goal {
	return []Goal{
		{Name: "requests per second", Value: r.Throughput.PerSecond, Bound: minRequestsPerSecond, IsLowerBound: true},
		{Name: "added delay at p50, ms", Value: r.AddedP50, Bound: maxAddedP50MS},
		{Name: "added delay at p99, ms", Value: r.AddedP99, Bound: maxAddedP99MS},
		{Name: "memory per open stream, KB", Value: r.Streams.BytesEach / 1024, Bound: maxStreamKB},
	}
}

// WriteGoals writes the goals to w as text and reports whether all are met.
func (r Result) WriteGoals(w io.Writer) bool {
	allMet := true
	for _, g := range r.Goals() {
		relation, verdict := "at most", "met"
		if g.IsLowerBound {
			relation = "at least"
		}
		if !g.IsMet() {
			verdict, allMet = "MISSED", false
		}
		fmt.Fprintf(w, "goal          %-28s %10.2f  %s %.0f  %s\n", g.Name, g.Value, relation, g.Bound, verdict)
	}
	return allMet
}
