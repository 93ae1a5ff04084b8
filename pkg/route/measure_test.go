package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	concpool "github.com/sourcegraph/conc/pool"
)

var (
	measureFlag = flag.Bool("measure", false, "print the comparison of choices for docs/measured-routing.md")
	seedFlag    = flag.Uint64("seed", seed, "seed of the simulation")
)

// simResult is what a caller sees. A request that has no first token by the end counts with its waiting time.
type simResult struct {
	p50, p95 time.Duration
	met      float64
	cached   float64
	// spread is the largest number of served requests of an engine over the mean.
	spread   float64
	finished int
}

func measure(c simCase) simResult {
	s := runSim(c)
	const warmUp = 5 * time.Second
	var firsts []time.Duration
	var met, prompt, cached, served, most int
	var result simResult
	for _, r := range s.requests {
		if !r.end.IsZero() {
			result.finished++
		}
		first := r.first.Sub(r.arrived)
		if r.first.IsZero() {
			first = s.now.Sub(r.arrived)
		}
		if r.arrived.Sub(start) < warmUp || r.first.IsZero() && first < simFirstToken {
			continue
		}
		firsts = append(firsts, first)
		prompt += r.prompt
		cached += r.cached
		last := r.end
		if last.IsZero() {
			last = s.now
		}
		if first <= simFirstToken && (r.produced < 2 || last.Sub(r.first)/time.Duration(r.produced-1) <= simTokenGap) {
			met++
		}
	}
	for _, e := range s.nodes {
		served += e.served
		most = max(most, e.served)
	}
	slices.Sort(firsts)
	result.p50, result.p95 = firsts[len(firsts)/2], firsts[len(firsts)*95/100]
	result.met = float64(met) / float64(len(firsts))
	result.cached = float64(cached) / float64(prompt)
	result.spread = float64(most) * float64(len(s.nodes)) / float64(served)
	return result
}

// measureSeeds returns the means over runs with consecutive seeds.
func measureSeeds(c simCase, runs int) simResult {
	var sum simResult
	for range runs {
		r := measure(c)
		sum.p50 += r.p50 / time.Duration(runs)
		sum.p95 += r.p95 / time.Duration(runs)
		sum.met += r.met / float64(runs)
		sum.cached += r.cached / float64(runs)
		sum.spread += r.spread / float64(runs)
		sum.finished += r.finished
		c.seed++
	}
	sum.finished /= runs
	return sum
}

type namedPolicy struct {
	name string
	new  func(*rand.Rand, int) simPolicy
}

func scenarios(yield func(name string, c simCase)) {
	for _, size := range []struct{ engines, routers int }{{12, 1}, {12, 8}, {48, 8}} {
		for _, load := range []float64{0.3, 0.7, 0.95, 1.3} {
			for _, fault := range []string{"none", "slow", "dead"} {
				yield(fmt.Sprintf("| %d | %d | %.0f%% | %s", size.engines, size.routers, load*100, fault), simCase{
					engines: size.engines, routers: size.routers, load: load, slow: fault == "slow", dead: fault == "dead",
					seed: *seedFlag,
				})
			}
		}
	}
}

// Prints the comparison; it checks nothing and runs only on request.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("runs with -measure")
	}
	policies := []namedPolicy{
		{"random", baseline(true)},
		{"least by report", baseline(false)},
		{"2 random", tableWith(Options{PrefixCandidates: -1, RingCandidates: -1})},
		{"2+2 plain", tableWith(Options{RingCandidates: -1, Crowding: -1})},
		{"2+2+2 plain", tableWith(Options{Crowding: -1})},
		{"2+2+2 weight 8", tableWith(Options{PromptWeight: 8, Crowding: -1})},
		{"2+2+2 weight 16", tableWith(Options{PromptWeight: 16, Crowding: -1})},
		{"2+2 crowding 2", tableWith(Options{RingCandidates: -1})},
		{"2+2+2 crowding 2", tableWith(Options{})},
	}
	workers := concpool.NewWithResults[string]().WithMaxGoroutines(4)
	scenarios(func(name string, c simCase) {
		for _, p := range policies {
			workers.Go(func() string {
				c.policy = p.new
				r := measureSeeds(c, 3)
				return fmt.Sprintf("%s | %s | %d | %d | %.3f | %.2f | %.2f | %d |\n",
					name, p.name, r.p50.Milliseconds(), r.p95.Milliseconds(), r.met, r.cached, r.spread, r.finished)
			})
		}
	})
	fmt.Print(strings.Join(workers.Wait(), ""))
}

// Guards against a choice that is no better than the baselines, or than one without prefixes. The bounds are
// ratios within the same run; docs/measured-routing.md has the measured values.
func TestChoiceBeatsBaselines(t *testing.T) {
	for _, c := range []simCase{
		{routers: 1, load: 0.7, slow: true},
		{routers: 8, load: 0.7, dead: true},
		{routers: 8, load: 0.95, slow: true},
	} {
		c.engines, c.seed = 12, seed
		run := func(policy func(*rand.Rand, int) simPolicy) simResult { c.policy = policy; return measure(c) }
		table := run(tableWith(Options{}))
		for _, other := range []simResult{
			run(baseline(true)), run(baseline(false)), run(tableWith(Options{PrefixCandidates: -1, RingCandidates: -1})),
		} {
			must.Less(t, other.p95/2, table.p95)
			must.Less(t, (1-other.met)/2, 1-table.met)
			must.Greater(t, 1.3*other.cached, table.cached)
			must.Greater(t, other.finished, table.finished)
			must.Less(t, 1.5*other.spread, table.spread)
		}
	}
}
