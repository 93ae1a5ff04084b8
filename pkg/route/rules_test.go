package route

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// countChoices returns how often each VM is chosen in n choices.
func countChoices(table *Table, now time.Time, r Request, n int) map[string]int {
	rng, counts := newRand(), map[string]int{}
	for range n {
		d := table.Choose(now, rng, r)
		counts[d.Chosen]++
	}
	return counts
}

// Guards against a failed endpoint that is still chosen, an exclusion that never ends or that each broken stream
// prolongs, and a recovered endpoint that attracts all requests at once.
func TestFailedEndpointIsExcludedAndReadmitted(t *testing.T) {
	table := newTable(engineVMs(2, "m"))
	rng := newRand()
	var broken []*InFlightRequest
	for len(broken) < 20 {
		if d := table.Choose(start, rng, request); d.Chosen == "e1" {
			broken = append(broken, table.Begin(start, d))
		} else {
			table.Begin(start, d)
		}
	}
	crashedAt := start.Add(time.Second)
	for _, f := range broken {
		table.Done(crashedAt, f, Failed, 0)
	}
	must.Eq(t, map[string]int{"e0": 100}, countChoices(table, crashedAt, request, 100))
	readmittedAt := crashedAt.Add(time.Second)
	d := table.Choose(readmittedAt, rng, request)
	must.Eq(t, "e1", d.Chosen)
	probe := table.Begin(readmittedAt, d)
	must.Eq(t, map[string]int{"e0": 100}, countChoices(table, readmittedAt, request, 100))
	readmittedAt = readmittedAt.Add(time.Second)
	table.Done(readmittedAt, probe, Succeeded, 1)
	must.Greater(t, 150, table.slowStartMS(readmittedAt, table.endpoints["e1"]))
	must.Zero(t, table.slowStartMS(readmittedAt.Add(time.Minute), table.endpoints["e1"]))

	table.Quarantine(readmittedAt, "e0", time.Minute)
	must.Eq(t, map[string]int{"e1": 100}, countChoices(table, readmittedAt, request, 100))
	table.ReportPollFailure(readmittedAt.Add(time.Second), "e1")
	table.ReportPollFailure(readmittedAt.Add(time.Second), "e1")
	d = table.Choose(readmittedAt.Add(time.Second), rng, request)
	must.Eq(t, ReasonUnhealthy, d.Reason)
	must.NotNil(t, d.Failure())
}

// Guards against two suspects at one endpoint, and against choosing an endpoint that the request excludes.
func TestSuspectsAndExclusions(t *testing.T) {
	table := newTable(engineVMs(3, "m"))
	suspect := request
	suspect.Suspect = true
	chosen := map[string]bool{}
	for range 3 {
		d := table.Choose(start, newRand(), suspect)
		must.MapNotContainsKey(t, chosen, d.Chosen)
		chosen[d.Chosen] = true
		table.Begin(start, d)
	}
	must.Eq(t, ReasonExcluded, table.Choose(start, newRand(), suspect).Reason)
	other := request
	other.Exclude = []string{"e0", "e2"}
	must.Eq(t, map[string]int{"e1": 100}, countChoices(table, start, other, 100))
}

// Guards against counting this router's requests twice or not at all when a report is delayed, and against an endpoint
// that stays closed because it was full in its last report.
func TestReportIsCorrectedByOwnRequests(t *testing.T) {
	vms := engineVMs(1, "m")
	vms[0].MaxInFlight = 10
	table := newTable(vms)
	e := table.endpoints["e0"]
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	total := func(now time.Time) float64 { return e.totalRequests(now, table.options.StaleAfter) }
	first := table.Begin(at(0), table.Choose(at(0), newRand(), request))
	table.Report(at(2), "e0", LoadReport{Running: 5, Age: time.Second}) // includes the first request
	must.Eq(t, 5, total(at(2)))
	table.Begin(at(2), table.Choose(at(2), newRand(), request))
	must.Eq(t, 6, total(at(2)))
	table.Done(at(3), first, Succeeded, 1)
	must.Eq(t, 5, total(at(3)))
	table.Report(at(4), "e0", LoadReport{Running: 4, Age: 1500 * time.Millisecond}) // before the end of the first
	must.Eq(t, 3, total(at(4)))
	must.Eq(t, 8, table.Slots(at(4), request.Pool, 99))
	table.Report(at(5), "e0", LoadReport{Running: 9, Queued: 3})
	must.Eq(t, ReasonFull, table.Choose(at(5), newRand(), request).Reason)
	d := table.Choose(at(30), newRand(), request)
	must.True(t, d.OK())
	must.Eq(t, []string{"e0"}, table.DueReports(nil, 5))
}

// Guards against index entries that stay valid after an eviction, a gap, a restart of the engine or a removal, and
// against an index that grows without bound.
func TestPrefixIndexDropsOutdatedEntries(t *testing.T) {
	table := New(Location{}, Options{MaxPrefixEntries: 1000})
	table.Update(start, engineVMs(1, "m"), nil)
	blocks := []uint64{8, 16, 24, 32}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	depth := func(s int) int {
		return table.prefix.depth(table.prefix.elapsed(at(s)), table.endpoints["e0"], blocks)
	}
	send := func(s int, first uint64, evicted bool, blocks ...uint64) {
		var events []CacheEvent
		for i, block := range blocks {
			events = append(events, CacheEvent{Sequence: first + uint64(i), Evicted: evicted, Block: block})
		}
		last := events[len(events)-1].Sequence
		must.Eq(t, last, table.ApplyCacheEvents(at(s), "e0", events, last))
	}
	send(0, 1, false, blocks...)
	must.Eq(t, []int{4, 0}, []int{depth(1), depth(360)})
	send(0, 5, true, 24, 32)
	must.Eq(t, 2, depth(1))
	send(1, 9, false, 8) // events 7 and 8 are missing
	must.Eq(t, []int{2, 1}, []int{depth(10), depth(30)})
	table.ApplyCacheEvents(at(40), "e0", nil, 3) // the engine has restarted
	must.Eq(t, 0, depth(40))
	for i := range uint64(5000) {
		send(60, 1+i, false, 1000+8*i, 1001)
		must.LessEq(t, 1000, len(table.prefix.young)+len(table.prefix.old))
	}
	send(60, 6000, false, blocks...)
	must.Eq(t, 4, depth(60))
	old := table.endpoints["e0"]
	table.Update(at(60), nil, nil)
	must.Zero(t, table.prefix.depth(table.prefix.elapsed(at(60)), old, blocks))
}

// Guards against block hashes that differ from those of the engines, or that don't cover the model and all text
// before the block.
func TestBlocksCoverThePrefix(t *testing.T) {
	text := PromptText([]Message{{Role: "user", Content: strings.Repeat("route briefing ", 500)}})
	hashes, ends := Blocks("m", text)
	must.Between(t, 5, len(hashes), 40)
	must.Eq(t, len(hashes), len(ends))
	text[ends[2]*4-1]++ // the last byte of the third indexed block
	changed, _ := Blocks("m", text)
	must.Eq(t, hashes[:2], changed[:2])
	must.SliceNotContains(t, changed, hashes[2])
	other, _ := Blocks("other", text)
	must.SliceNotContains(t, other, hashes[0])
	previousBytes := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64String("m"))
	first := xxhash.Sum64(append(previousBytes, text[:blockBytes]...))
	block, _ := Blocks("m", text[:blockBytes])
	must.Eq(t, isSampled(first), len(block) == 1)
}

// BenchmarkDecision measures a choice with its accounting. Each engine has one of 32 models, or all of them.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 400, 4500} {
		for _, all := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/all-models=%t", n, all), func(b *testing.B) { benchmarkDecision(b, n, all) })
		}
	}
}

func benchmarkDecision(b *testing.B, n int, all bool) {
	models := make([]string, 32)
	for i := range models {
		models[i] = fmt.Sprintf("m%d", i)
	}
	vms := engineVMs(n)
	for i := range vms {
		vms[i].Models = models
		if !all {
			vms[i].Models = []string{models[i%min(n, 32)]}
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, rng := newTable(vms), newRand()
	var requests []Request
	for i := range 512 {
		model := models[i%min(n, 32)]
		blocks, ends := Blocks(model, bytes.Repeat([]byte{byte(i), byte(i >> 8)}, 4096))
		requests = append(requests, Request{
			Pool: Model(model), PromptTokens: 2048, OutputTokens: 100, Blocks: blocks, BlockEnds: ends,
		})
	}
	step := func(i int) {
		now := start.Add(time.Duration(i) * 100 * time.Microsecond)
		f := table.Begin(now, table.Choose(now, rng, requests[i%len(requests)]))
		table.FirstToken(now, f)
		table.Done(now, f, Succeeded, 100)
	}
	for i := range 20_000 {
		step(i)
		if i%10 == 0 {
			table.Report(start, simName(i/10%n), LoadReport{Running: i % 7})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		step(20_000 + i)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
}

// Guards against a cost that grows with the number of endpoints: allocations per decision are the same at 12 and
// at 4,500 endpoints.
func TestDecisionCostIsIndependentOfFleetSize(t *testing.T) {
	allocations := func(n int) float64 {
		table, rng := newTable(engineVMs(n, "m")), newRand()
		return testing.AllocsPerRun(1000, func() {
			table.Done(start, table.Begin(start, table.Choose(start, rng, request)), Succeeded, 1)
		})
	}
	must.LessEq(t, allocations(12)+0.5, allocations(4500))
	must.LessEq(t, 6, allocations(12))
	table := newTable(append(engineVMs(4500, "m"), platform.VM{Name: "s", Role: platform.RoleService, Service: "rides"}))
	d := table.Choose(start, newRand(), Request{Pool: Service("rides")})
	must.Eq(t, "s", d.Chosen)
	d = table.Choose(start, newRand(), request)
	must.LessEq(t, maxCandidates, len(d.Considered))
}
