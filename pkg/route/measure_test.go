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

// simResult sums up a run as callers observe it. A request without a first token by the end counts with its waiting
// time.
type simResult struct {
	// p50 and p95 are percentiles of the time to the first token.
	p50, p95 time.Duration
	// metRatio is the share of requests that met the targets for the first token and the time between tokens.
	metRatio float64
	// cachedRatio is the share of prompt tokens that were in the engine's cache.
	cachedRatio float64
	// imbalance is the largest number of requests that one engine served, divided by the mean.
	imbalance float64
	finished  int
}

func measure(c simCase) simResult {
	s := runSim(c)
	const warmUp = 5 * time.Second
	var firstTokenTimes []time.Duration
	var met, prompt, cached, served, maxServed int
	var result simResult
	for _, r := range s.requests {
		if !r.end.IsZero() {
			result.finished++
		}
		first := r.first.Sub(r.arrived)
		if r.first.IsZero() {
			first = s.now.Sub(r.arrived)
		}
		if r.arrived.Sub(start) < warmUp || r.first.IsZero() && first < simFirstTokenTarget {
			continue
		}
		firstTokenTimes = append(firstTokenTimes, first)
		prompt += r.prompt
		cached += r.cached
		last := r.end
		if last.IsZero() {
			last = s.now
		}
		if first <= simFirstTokenTarget && (r.produced < 2 || last.Sub(r.first)/time.Duration(r.produced-1) <= simTokenGapTarget) {
			met++
		}
	}
	for _, e := range s.nodes {
		served += e.served
		maxServed = max(maxServed, e.served)
	}
	slices.Sort(firstTokenTimes)
	result.p50, result.p95 = firstTokenTimes[len(firstTokenTimes)/2], firstTokenTimes[len(firstTokenTimes)*95/100]
	result.metRatio = float64(met) / float64(len(firstTokenTimes))
	result.cachedRatio = float64(cached) / float64(prompt)
	result.imbalance = float64(maxServed) * float64(len(s.nodes)) / float64(served)
	return result
}

// measureSeeds returns the means over runs with consecutive seeds.
func measureSeeds(c simCase, runs int) simResult {
	var sum simResult
	for range runs {
		r := measure(c)
		sum.p50 += r.p50 / time.Duration(runs)
		sum.p95 += r.p95 / time.Duration(runs)
		sum.metRatio += r.metRatio / float64(runs)
		sum.cachedRatio += r.cachedRatio / float64(runs)
		sum.imbalance += r.imbalance / float64(runs)
		sum.finished += r.finished
		c.seed++
	}
	sum.finished /= runs
	return sum
}

type namedPolicy struct {
	name      string
	newPolicy func(*rand.Rand, int) simPolicy
}

func scenarios(yield func(name string, c simCase)) {
	for _, size := range []struct{ engines, routers int }{{12, 1}, {12, 8}, {48, 8}} {
		for _, load := range []float64{0.3, 0.7, 0.95, 1.3} {
			for _, fault := range []string{"none", "slow", "dead"} {
				yield(fmt.Sprintf("| %d | %d | %.0f%% | %s", size.engines, size.routers, load*100, fault), simCase{
					engines: size.engines, routers: size.routers, load: load, slow: fault == "slow", crash: fault == "dead",
					seed: *seedFlag,
				})
			}
		}
	}
}

// Prints the comparison of policies; it checks nothing and runs only with -measure.
func TestMeasure(t *testing.T) {
	if !*measureFlag {
		t.Skip("runs with -measure")
	}
	policies := []namedPolicy{
		{"random", newReportPolicy(true)},
		{"least by report", newReportPolicy(false)},
		{"2 random", newTablePolicy(Options{PrefixCandidates: -1, RingCandidates: -1})},
		{"2+2 plain", newTablePolicy(Options{RingCandidates: -1, CongestionWeight: -1})},
		{"2+2+2 plain", newTablePolicy(Options{CongestionWeight: -1})},
		{"2+2+2 weight 8", newTablePolicy(Options{PromptWeight: 8, CongestionWeight: -1})},
		{"2+2+2 weight 16", newTablePolicy(Options{PromptWeight: 16, CongestionWeight: -1})},
		{"2+2 crowding 2", newTablePolicy(Options{RingCandidates: -1})},
		{"2+2+2 crowding 2", newTablePolicy(Options{})},
	}
	workers := concpool.NewWithResults[string]().WithMaxGoroutines(4)
	scenarios(func(name string, c simCase) {
		for _, p := range policies {
			workers.Go(func() string {
				c.policy = p.newPolicy
				r := measureSeeds(c, 3)
				return fmt.Sprintf("%s | %s | %d | %d | %.3f | %.2f | %.2f | %d |\n",
					name, p.name, r.p50.Milliseconds(), r.p95.Milliseconds(), r.metRatio, r.cachedRatio, r.imbalance, r.finished)
			})
		}
	})
	fmt.Print(strings.Join(workers.Wait(), ""))
}

// Guards against choices that are no better than the baselines, or than choices without the prefix index and the ring.
// The bounds are ratios between runs of the same case; docs/measured-routing.md has the measured values.
func TestChoiceBeatsBaselines(t *testing.T) {
	for _, c := range []simCase{
		{routers: 1, load: 0.7, slow: true},
		{routers: 8, load: 0.7, crash: true},
		{routers: 8, load: 0.95, slow: true},
	} {
		c.engines, c.seed = 12, seed
		run := func(policy func(*rand.Rand, int) simPolicy) simResult { c.policy = policy; return measure(c) }
		table := run(newTablePolicy(Options{}))
		for _, other := range []simResult{
			run(newReportPolicy(true)), run(newReportPolicy(false)), run(newTablePolicy(Options{PrefixCandidates: -1, RingCandidates: -1})),
		} {
			must.Less(t, other.p95/2, table.p95)
			must.Less(t, (1-other.metRatio)/2, 1-table.metRatio)
			must.Greater(t, 1.3*other.cachedRatio, table.cachedRatio)
			must.Greater(t, other.finished, table.finished)
			must.Less(t, 1.5*other.imbalance, table.imbalance)
		}
	}
}
