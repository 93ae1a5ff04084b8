package tokenpool

import (
	"container/heap"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/iter"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

var tablePath = flag.String("purse.table", "", "file to which the table of the experiment is written; the full experiment runs if it is set")

// baseline is a strategy without token pools: equal fixed shares, or one platform write per request.
type baseline struct {
	setup       setup
	fixedShares bool
	shares      []budget.Tokens
	events      timeline
	now         time.Time
	start       time.Time
	seq         int
	routerDown  bool
	counts      counts
}

func newBaseline(s setup, fixed bool) *baseline {
	b := &baseline{setup: s, fixedShares: fixed, now: time.Unix(0, 0), start: time.Unix(0, 0)}
	n := 1
	if fixed {
		n = s.routers
	}
	for range n {
		b.shares = append(b.shares, budget.Tokens(float64(simTokens)*s.remaining)/budget.Tokens(n))
	}
	b.counts.peakHeld = b.unspentTokens()
	if !fixed {
		b.counts.peakHeld = 0
	}
	return b
}

func (b *baseline) unspentTokens() budget.Tokens {
	var sum budget.Tokens
	for _, share := range b.shares {
		sum += share
	}
	return sum
}

func (b *baseline) after(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, timedEvent{at: b.now.Add(d), seq: b.seq, run: run})
}

func (b *baseline) startJob(j job) {
	b.counts.requests++
	router := j.router
	if b.routerDown && router == 0 {
		router = 1
	}
	share := &b.shares[0]
	if b.fixedShares {
		share = &b.shares[router]
	}
	faulty := b.now.Sub(b.start) >= simFaultFrom && b.now.Sub(b.start) < simFaultTo
	reachable := !faulty || !b.setup.isCutOff(router)
	if !b.fixedShares {
		b.counts.writes++
	}
	if *share < j.upperBound || !b.fixedShares && !reachable {
		b.counts.refused++
		if unspent := b.unspentTokens(); unspent >= j.upperBound {
			b.counts.falseRefused++
			if reachable && unspent >= simTokens/20 {
				b.counts.avoidableRefused++
			}
		}
		return
	}
	*share -= j.upperBound
	b.after(j.duration, func() {
		if b.fixedShares && b.routerDown && router == 0 && b.now.Sub(b.start) < simFaultFrom+4*time.Second {
			// The request was lost with its router. Its reserved tokens are lost with the router's share.
			j.router = 1
			b.startJob(j)
			return
		}
		*share += j.upperBound - j.used
	})
}

func (b *baseline) run() counts {
	requests := newWorkload(b.setup)
	end := budget.Tokens(float64(simTokens) * b.setup.remaining / 2)
	if b.setup.remaining <= 0.01 {
		end = 2000
	}
	if b.setup.fault == "death" && b.setup.routers > 1 {
		b.after(simFaultFrom, func() { b.routerDown = true })
	}
	var startNextJob func()
	i, stop := 0, false
	startNextJob = func() {
		// The fixed share of a crashed router can't be spent, so unspentTokens may never fall below end.
		if stop = i >= simRequests || b.unspentTokens() < end; stop {
			return
		}
		b.startJob(requests.nextJob(i))
		i++
		b.after(time.Second/simRate, startNextJob)
	}
	b.after(0, startNextJob)
	for !stop {
		e := heap.Pop(&b.events).(timedEvent)
		b.now = e.at
		e.run()
	}
	return b.counts
}

var strategies = []struct {
	name string
	run  func(setup) counts
}{
	{"purse", func(s setup) counts { return newSimulation(s).run() }},
	{"fixed shares", func(s setup) counts { return newBaseline(s, true).run() }},
	{"write per request", func(s setup) counts { return newBaseline(s, false).run() }},
}

// experimentSetups returns the rows of the short or of the full experiment.
func experimentSetups(full bool) []setup {
	if !full {
		return []setup{
			{routers: 4, remaining: 0.06, fault: "none"}, {routers: 4, remaining: 0.06, fault: "partition"}, {routers: 4, remaining: 0.06, fault: "death"},
		}
	}
	var out []setup
	for _, fault := range []string{"none", "partition", "death"} {
		for _, routers := range []int{1, 4, 8} {
			for _, remaining := range []float64{1, 0.2, 0.05, 0.01} {
				out = append(out, setup{routers: routers, remaining: remaining, fault: fault})
			}
		}
	}
	for _, remaining := range []float64{1, 0.2, 0.05, 0.01} {
		out = append(out, setup{routers: 8, remaining: remaining, fault: "none", evenLoad: true})
	}
	for _, routers := range []int{1, 8} {
		for _, remaining := range []float64{1, 0.05} {
			out = append(out, setup{routers: routers, remaining: remaining, fault: "partition", preference: budget.AvoidRefusal})
		}
	}
	return out
}

// Compares token pools with equal fixed shares and with one platform write per request. Guards against overspend, and
// against more false refusals and platform writes than the limits allow. It measures counts only; the
// same seed gives the same counts.
func TestExperiment(t *testing.T) {
	rows := experimentSetups(*tablePath != "")
	results := iter.Map(rows, func(s *setup) [3]counts {
		var out [3]counts
		for i, strategy := range strategies {
			out[i] = strategy.run(*s)
		}
		return out
	})
	var table strings.Builder
	table.WriteString("| fault | load | routers | left | strategy | requests | refused | false refusals | of these at 5% left or more, platform reachable | peak held tokens / left | ledger writes per 1,000 requests | overspend |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i, s := range rows {
		for k, c := range results[i] {
			must.EqOp(t, 0, c.overspend)
			fmt.Fprintln(&table, tableRow(s, strategies[k].name, c))
		}
		pool, fixed := results[i][0], results[i][1]
		if s.fault == "none" {
			must.LessEq(t, 0.001, float64(pool.avoidableRefused)/float64(pool.requests))
		}
		if *tablePath == "" {
			must.LessEq(t, max(0.1*float64(fixed.falseRefused), 0.001*float64(pool.requests)), float64(pool.avoidableRefused))
			must.LessEq(t, 20, pool.writes*1000/pool.requests)
		}
		t.Logf("%+v: %v", s, pool.reasons)
	}
	t.Log("\n" + table.String())
	if *tablePath != "" {
		must.NoError(t, os.WriteFile(*tablePath, []byte(table.String()), 0o644))
	}
}

func tableRow(s setup, name string, c counts) string {
	load := "uneven"
	if s.evenLoad {
		load = "even"
	}
	if s.preference != "" {
		load += ", " + string(s.preference)
	}
	return fmt.Sprintf("| %s | %s | %d | %g%% | %s | %d | %d | %d (%.3f%%) | %d (%.3f%%) | %.1f%% | %.1f | %d |",
		s.fault, load, s.routers, 100*s.remaining, name, c.requests, c.refused,
		c.falseRefused, percent(c.falseRefused, c.requests), c.avoidableRefused, percent(c.avoidableRefused, c.requests),
		100*float64(c.peakHeld)/(simTokens*s.remaining), float64(c.writes)*1000/float64(c.requests), c.overspend)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
