package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// simPrompts generates requests: 70% have one of 40 shared prefixes of 512 to 6,080 tokens with Zipf popularity, and
// each has 50 to 400 tokens of its own prompt and 20 to 180 tokens of output.
type simPrompts struct {
	prefixes [][]uint64
	weights  []float64
}

func newSimPrompts(rng *rand.Rand) *simPrompts {
	p := &simPrompts{}
	total := 0.0
	for i := range 40 {
		blocks := make([]uint64, 8+rng.IntN(88))
		for j := range blocks {
			blocks[j] = rng.Uint64() &^ sampleMask
		}
		total += 1 / math.Pow(float64(i+1), 0.9)
		p.prefixes, p.weights = append(p.prefixes, blocks), append(p.weights, total)
	}
	return p
}

func (p *simPrompts) next(rng *rand.Rand) *simRequest {
	own := 50 + rng.IntN(350)
	r := &simRequest{prompt: own, output: 20 + rng.IntN(160)}
	if rng.IntN(10) < 7 {
		i, _ := slices.BinarySearch(p.weights, rng.Float64()*p.weights[len(p.weights)-1])
		r.blocks = slices.Clone(p.prefixes[i])
		r.prompt += len(r.blocks) * simBlockTokens
	}
	for range own / simBlockTokens {
		r.blocks = append(r.blocks, rng.Uint64()&^sampleMask)
	}
	return r
}

func simName(i int) string { return fmt.Sprintf("e%d", i) }

// tablePolicy uses the package's Table.
type tablePolicy struct {
	table *Table
	rng   *rand.Rand
	vms   []platform.VM
}

func newTablePolicy(o Options) func(*rand.Rand, int) simPolicy {
	return func(rng *rand.Rand, n int) simPolicy {
		p := &tablePolicy{rng: rng, vms: engineVMs(n, "m"), table: New(Location{Region: "r1", Zone: "z0"}, o)}
		p.table.Update(start, p.vms, nil)
		return p
	}
}

func (p *tablePolicy) choose(now time.Time, r *simRequest) (int, any) {
	ends := make([]int, len(r.blocks))
	for i := range ends {
		ends[i] = (i + 1) * simBlockTokens
	}
	d := p.table.Choose(now, p.rng, Request{
		Pool: Model("m"), PromptTokens: r.prompt, OutputTokens: r.output, Blocks: r.blocks, BlockEnds: ends, Exclude: r.failedEngines,
	})
	if !d.OK() {
		return -1, nil
	}
	var i int
	_, _ = fmt.Sscanf(d.Chosen, "e%d", &i)
	return i, p.table.Begin(now, d)
}
func (p *tablePolicy) firstToken(now time.Time, f any) { p.table.FirstToken(now, f.(*InFlightRequest)) }
func (p *tablePolicy) done(now time.Time, f any, result Result, output int) {
	p.table.Done(now, f.(*InFlightRequest), result, output)
}
func (p *tablePolicy) applyReport(now time.Time, i int, r LoadReport) {
	p.table.Report(now, simName(i), r)
}
func (p *tablePolicy) applyEvents(now time.Time, i int, e []CacheEvent) {
	p.table.ApplyCacheEvents(now, simName(i), e, e[len(e)-1].Sequence)
}
func (p *tablePolicy) remove(now time.Time, i int) {
	p.vms[i].State = platform.VMGone
	p.table.Update(now, p.vms, nil)
}

// reportPolicy is a baseline: a random engine, or the one with the lowest reported number of requests, ties at random.
type reportPolicy struct {
	rng     *rand.Rand
	loads   []int
	removed []bool
	random  bool
}

func newReportPolicy(random bool) func(*rand.Rand, int) simPolicy {
	return func(rng *rand.Rand, n int) simPolicy {
		return &reportPolicy{rng: rng, loads: make([]int, n), removed: make([]bool, n), random: random}
	}
}

func (p *reportPolicy) choose(_ time.Time, r *simRequest) (int, any) {
	best, ties := -1, 0
	for i := range p.loads {
		if p.removed[i] || slices.Contains(r.failedEngines, simName(i)) {
			continue
		}
		if best < 0 || !p.random && p.loads[i] < p.loads[best] {
			best, ties = i, 1
		} else if p.random || p.loads[i] == p.loads[best] {
			ties++
			if p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, nil
}
func (p *reportPolicy) firstToken(time.Time, any)        {}
func (p *reportPolicy) done(time.Time, any, Result, int) {}
func (p *reportPolicy) applyReport(_ time.Time, i int, r LoadReport) {
	p.loads[i] = r.Running + r.Queued
}
func (p *reportPolicy) applyEvents(_ time.Time, _ int, _ []CacheEvent) {}
func (p *reportPolicy) remove(_ time.Time, i int)                      { p.removed[i] = true }
