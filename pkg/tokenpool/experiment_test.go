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
	setup  setup
	fixed  bool
	shares []budget.Tokens
	events timeline
	now    time.Time
	start  time.Time
	seq    int
	down   bool
	counts counts
}

func newBaseline(s setup, fixed bool) *baseline {
	b := &baseline{setup: s, fixed: fixed, now: time.Unix(0, 0), start: time.Unix(0, 0)}
	n := 1
	if fixed {
		n = s.routers
	}
	for range n {
		b.shares = append(b.shares, budget.Tokens(float64(simTokens)*s.left)/budget.Tokens(n))
	}
	b.counts.held = b.unspent()
	if !fixed {
		b.counts.held = 0
	}
	return b
}

func (b *baseline) unspent() budget.Tokens {
	var sum budget.Tokens
	for _, share := range b.shares {
		sum += share
	}
	return sum
}

func (b *baseline) after(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, timed{at: b.now.Add(d), seq: b.seq, run: run})
}

func (b *baseline) request(j job) {
	b.counts.requests++
	router := j.router
	if b.down && router == 0 {
		router = 1
	}
	share := &b.shares[0]
	if b.fixed {
		share = &b.shares[router]
	}
	faulty := b.now.Sub(b.start) >= simFaultFrom && b.now.Sub(b.start) < simFaultTo
	reachable := !faulty || !b.setup.cutOff(router)
	if !b.fixed {
		b.counts.writes++
	}
	if *share < j.bound || !b.fixed && !reachable {
		b.counts.refused++
		if unspent := b.unspent(); unspent >= j.bound {
			b.counts.falseRefused++
			if reachable && unspent >= simTokens/20 {
				b.counts.near++
			}
		}
		return
	}
	*share -= j.bound
	b.after(j.duration, func() {
		if b.fixed && b.down && router == 0 && b.now.Sub(b.start) < simFaultFrom+4*time.Second {
			// The request was lost with its router; what it had reserved is lost with the share.
			j.router = 1
			b.request(j)
			return
		}
		*share += j.bound - j.used
	})
}

func (b *baseline) run() counts {
	load := newWorkload(b.setup)
	end := budget.Tokens(float64(simTokens) * b.setup.left / 2)
	if b.setup.left <= 0.01 {
		end = 2000
	}
	if b.setup.fault == "death" && b.setup.routers > 1 {
		b.after(simFaultFrom, func() { b.down = true })
	}
	var arrive func()
	i, stop := 0, false
	arrive = func() {
		// Fixed shares of a router that died are not spendable, so the end may never come.
		if stop = i >= simRequests || b.unspent() < end; stop {
			return
		}
		b.request(load.next(i))
		i++
		b.after(time.Second/simRate, arrive)
	}
	b.after(0, arrive)
	for !stop {
		e := heap.Pop(&b.events).(timed)
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

func setups(full bool) []setup {
	if !full {
		return []setup{
			{routers: 4, left: 0.06, fault: "none"}, {routers: 4, left: 0.06, fault: "partition"}, {routers: 4, left: 0.06, fault: "death"},
		}
	}
	var out []setup
	for _, fault := range []string{"none", "partition", "death"} {
		for _, routers := range []int{1, 4, 8} {
			for _, left := range []float64{1, 0.2, 0.05, 0.01} {
				out = append(out, setup{routers: routers, left: left, fault: fault})
			}
		}
	}
	for _, left := range []float64{1, 0.2, 0.05, 0.01} {
		out = append(out, setup{routers: 8, left: left, fault: "none", even: true})
	}
	for _, routers := range []int{1, 8} {
		for _, left := range []float64{1, 0.05} {
			out = append(out, setup{routers: routers, left: left, fault: "partition", prefer: budget.AvoidRefusal})
		}
	}
	return out
}

// Compares this design with equal fixed shares and with one platform write per request. Guards against overspend, and
// against false refusals and platform writes that grow beyond the goals. Counts only; the same seed gives the same
// counts.
func TestExperiment(t *testing.T) {
	rows := setups(*tablePath != "")
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
			must.EqOp(t, 0, c.overrun)
			fmt.Fprintln(&table, row(s, strategies[k].name, c))
		}
		pool, fixed := results[i][0], results[i][1]
		if s.fault == "none" {
			must.LessEq(t, 0.001, float64(pool.near)/float64(pool.requests))
		}
		if *tablePath == "" {
			must.LessEq(t, max(0.1*float64(fixed.falseRefused), 0.001*float64(pool.requests)), float64(pool.near))
			must.LessEq(t, 20, pool.writes*1000/pool.requests)
		}
		t.Logf("%+v: %v", s, pool.reasons)
	}
	t.Log("\n" + table.String())
	if *tablePath != "" {
		must.NoError(t, os.WriteFile(*tablePath, []byte(table.String()), 0o644))
	}
}

func row(s setup, name string, c counts) string {
	load := "uneven"
	if s.even {
		load = "even"
	}
	if s.prefer != "" {
		load += ", " + string(s.prefer)
	}
	return fmt.Sprintf("| %s | %s | %d | %g%% | %s | %d | %d | %d (%.3f%%) | %d (%.3f%%) | %.1f%% | %.1f | %d |",
		s.fault, load, s.routers, 100*s.left, name, c.requests, c.refused,
		c.falseRefused, percent(c.falseRefused, c.requests), c.near, percent(c.near, c.requests),
		100*float64(c.held)/(simTokens*s.left), float64(c.writes)*1000/float64(c.requests), c.overrun)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
