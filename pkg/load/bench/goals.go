package bench

import (
	"fmt"
	"io"
)

// Goals of one router. They are the stated targets, not measured figures.
const (
	minRequestsPerSecond = 5000
	maxAddedP50MS        = 1
	maxAddedP99MS        = 5
	maxStreamKB          = 64
)

// Goal is a figure beside its bound.
type Goal struct {
	Name  string
	Value float64
	Bound float64
	// AtLeast is set if the value must not be below the bound; otherwise it must not be above.
	AtLeast bool
}

// Met reports whether the value is within the bound.
func (g Goal) Met() bool {
	if g.AtLeast {
		return g.Value >= g.Bound
	}
	return g.Value <= g.Bound
}

// Goals returns the measured figures beside their bounds.
func (r Result) Goals() []Goal {
	return []Goal{
		{Name: "requests per second", Value: r.Throughput.PerSecond, Bound: minRequestsPerSecond, AtLeast: true},
		{Name: "added delay at p50, ms", Value: r.AddedP50, Bound: maxAddedP50MS},
		{Name: "added delay at p99, ms", Value: r.AddedP99, Bound: maxAddedP99MS},
		{Name: "memory per open stream, KB", Value: r.Streams.BytesEach / 1024, Bound: maxStreamKB},
	}
}

// GoalsTable writes the goals and reports whether all are met.
func (r Result) GoalsTable(w io.Writer) bool {
	all := true
	for _, g := range r.Goals() {
		relation, verdict := "at most", "met"
		if g.AtLeast {
			relation = "at least"
		}
		if !g.Met() {
			verdict, all = "MISSED", false
		}
		fmt.Fprintf(w, "goal          %-28s %10.2f  %s %.0f  %s\n", g.Name, g.Value, relation, g.Bound, verdict)
	}
	return all
}
