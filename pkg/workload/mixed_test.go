package workload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// mix is a load of long and short prompts at engines that prefill one prompt after the other, in virtual time.
type mix struct {
	routers, engines int
	// exchangeEvery is the time between two exchanges of a router, 0 for none.
	exchangeEvery time.Duration
	// burst multiplies the long prompts from 4 s to 6 s, hot is the share of long prompts with the same shared part, and slow the factor
	// by which the first engine is slower than the others.
	burst, hot, slow float64
}

const (
	mixSeconds              = 12
	longTokens, shortTokens = 3700, 1200
	longShared              = 13300
	longParts               = 150
	tokensPerMS             = 30
	longAim, shortAim       = 2 * time.Second, 500 * time.Millisecond
	pauseAim                = 500 * time.Millisecond
	streamTime              = 1500 * time.Millisecond
)

type mixResult struct {
	long, short, lateLong, lateShort, paused int
	// inTime counts the streams with neither a late first event nor a long pause.
	inTime  int
	slowest time.Duration
	// prefilled are the tokens that engines prefilled.
	prefilled int
}

func (r mixResult) String() string {
	return fmt.Sprintf("late %d of %d long, %d of %d short; %d paused; %d in time; slowest %v; %d tokens", r.lateLong, r.long, r.lateShort, r.short, r.paused, r.inTime, r.slowest, r.prefilled)
}

type mixEvent struct {
	at  time.Duration
	n   int
	run func(now time.Time)
}

type mixEvents []mixEvent

func (s mixEvents) Len() int { return len(s) }
func (s mixEvents) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].n < s[j].n
}
func (s mixEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *mixEvents) Push(x any)   { *s = append(*s, x.(mixEvent)) }
func (s *mixEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// mixEngine prefills prompts in the order of their arrival. freeAt is the end of the last one.
type mixEngine struct {
	freeAt time.Duration
	held   map[uint64]bool
	// busyFrom is the start of the prefill that goes on until freeAt without a gap.
	busyFrom time.Duration
	streams  map[*mixStream]bool
}

type mixStream struct{ paused bool }

func (m mix) play(seed uint64) (result mixResult) {
	// Plays of the same seed get the same requests at the same routers, whatever is chosen.
	arrivals, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	origin := time.Unix(1_800_000_000, 0)
	var events mixEvents
	var now time.Duration
	scheduled := 0
	at := func(t time.Duration, run func(time.Time)) {
		scheduled++
		heap.Push(&events, mixEvent{at: t, n: scheduled, run: run})
	}
	engines := make([]*mixEngine, m.engines)
	var vms []platform.VM
	for i := range engines {
		engines[i] = &mixEngine{held: map[uint64]bool{}, streams: map[*mixStream]bool{}}
		vms = append(vms, platform.VM{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Role: platform.RoleService, Service: "s", State: platform.VMLive, MaxInFlight: 64, Started: 1})
	}
	board := NewBoard()
	tables := make([]*route.Table, m.routers)
	for i := range tables {
		t := route.New(route.Location{}, route.Options{AssumeRingCacheHit: true, LastResort: true, PromptWeight: 3, CongestionWeight: -1, SpeedHalfLife: -1, PrefillTokensPerMS: 50, PrefixAge: 20 * time.Second})
		t.Update(origin, vms, nil)
		tables[i] = t
		if m.exchangeEvery == 0 {
			continue
		}
		next := uint64(0)
		var exchange func(time.Time)
		exchange = func(time.Time) {
			others, newNext := board.Put(origin.Add(now), fmt.Sprint(i), t.OwnWork(), next)
			next = newNext
			t.ApplyWork(origin.Add(now), others)
			at(now+m.exchangeEvery, exchange)
		}
		at(time.Duration(choices.Int64N(int64(m.exchangeEvery))), exchange)
	}
	send := func(long bool) {
		tokens, aim := shortTokens, shortAim
		r := route.Request{Pool: route.Service("s"), PauseObjective: pauseAim}
		if long {
			part := arrivals.IntN(longParts)
			if arrivals.Float64() < m.hot {
				part = 0
			}
			tokens, aim = longTokens+longShared, longAim
			r.Blocks, r.BlockEnds = []uint64{uint64(part+1) * 0x9E3779B97F4A7C15}, []int{longShared} // Hashes are spread over the ring.
		}
		r.PromptTokens = tokens
		table := tables[arrivals.IntN(m.routers)]
		d := table.Choose(origin.Add(now), choices, r)
		inFlight := table.Begin(origin.Add(now), d)
		i := 0
		_, _ = fmt.Sscan(d.Chosen, &i)
		e := engines[i]
		if long {
			if e.held[r.Blocks[0]] {
				tokens = longTokens
			}
			e.held[r.Blocks[0]] = true
		}
		result.prefilled += tokens
		speed := float64(tokensPerMS)
		if i == 0 && m.slow > 0 {
			speed /= m.slow
		}
		if e.freeAt <= now {
			e.freeAt, e.busyFrom = now, now
		}
		e.freeAt += time.Duration(float64(tokens) / speed * float64(time.Millisecond))
		if e.freeAt-max(e.busyFrom, now-pauseAim) > pauseAim {
			for s := range e.streams {
				s.paused = true
			}
		}
		sent := now
		at(e.freeAt, func(t time.Time) {
			table.FirstToken(t, inFlight)
			first := now - sent
			result.slowest = max(result.slowest, first)
			late := 0
			if first > aim {
				late = 1
			}
			if long {
				result.long++
				result.lateLong += late
			} else {
				result.short++
				result.lateShort += late
			}
			s := &mixStream{}
			e.streams[s] = true
			at(now+streamTime, func(t time.Time) {
				delete(e.streams, s)
				switch {
				case s.paused:
					result.paused++
				case late == 0:
					result.inTime++
				}
				table.Done(t, inFlight, route.Succeeded, 0)
			})
		})
	}
	const tick = 5 * time.Millisecond
	perEngine := map[bool]float64{true: 1.1, false: 3.0} // Requests a second of one engine.
	for t := time.Duration(0); t < mixSeconds*time.Second; t += tick {
		at(t, func(time.Time) {
			for _, long := range []bool{true, false} {
				rate := perEngine[long] * float64(m.engines)
				if long && m.burst > 0 && now >= 4*time.Second && now < 6*time.Second {
					rate *= m.burst
				}
				expected := rate * tick.Seconds()
				for range int(math.Floor(expected + arrivals.Float64())) {
					send(long)
				}
			}
		})
	}
	for events.Len() > 0 {
		e := heap.Pop(&events).(mixEvent)
		if now = e.at; now > (mixSeconds+8)*time.Second {
			break
		}
		e.run(origin.Add(now))
	}
	return result
}

// Guards against a choice that lets long prompts delay short ones beside them, or that buys the time of the short ones with the aim of
// the long ones: routers that share their work serve more of both in time than routers that know their own work only.
func TestSharedWorkServesMixesInTime(t *testing.T) {
	mixes := map[string]mix{
		"steady":      {routers: 20, engines: 24},
		"burst":       {routers: 20, engines: 24, burst: 2},
		"hot part":    {routers: 20, engines: 24, hot: 0.3},
		"slow engine": {routers: 20, engines: 24, slow: 2.5},
		"90 routers":  {routers: 90, engines: 33},
	}
	for name, m := range mixes {
		t.Run(name, func(t *testing.T) {
			var alone, shared mixResult
			for seed := range uint64(3) {
				alone = alone.plus(m.play(seed))
				with := m
				with.exchangeEvery = interval
				shared = shared.plus(with.play(seed))
			}
			t.Logf("alone:  %v", alone)
			t.Logf("shared: %v", shared)
			must.Less(t, alone.lateShort, shared.lateShort)
			must.LessEq(t, alone.lateLong, shared.lateLong)
			must.Greater(t, alone.inTime, shared.inTime)
			must.LessEq(t, alone.slowest, shared.slowest)
		})
	}
}

// Guards against a choice that trusts old figures: with an exchange every 3 s, routers serve as many in time as without any, give or
// take 1 in 20.
func TestStaleWorkIsIgnored(t *testing.T) {
	m := mix{routers: 20, engines: 24}
	stale := m
	stale.exchangeEvery = 3 * time.Second
	var alone, with mixResult
	for seed := range uint64(3) {
		alone, with = alone.plus(m.play(seed)), with.plus(stale.play(seed))
	}
	t.Logf("alone: %v", alone)
	t.Logf("stale: %v", with)
	must.GreaterEq(t, 0.95*float64(alone.inTime), float64(with.inTime))
	must.LessEq(t, 1.05*float64(alone.lateShort), float64(with.lateShort))
}

// Guards against a loss for a fleet of one router, which knows all its work without an exchange: it has no more late first events, and
// as many streams in time.
func TestOneRouterServesAsMuchWithAnExchange(t *testing.T) {
	m := mix{routers: 1, engines: 24}
	exchanging := m
	exchanging.exchangeEvery = interval
	var alone, with mixResult
	for seed := range uint64(3) {
		alone, with = alone.plus(m.play(seed)), with.plus(exchanging.play(seed))
	}
	t.Logf("alone: %v", alone)
	t.Logf("with:  %v", with)
	must.GreaterEq(t, alone.inTime, with.inTime)
	must.LessEq(t, alone.lateLong, with.lateLong)
	must.LessEq(t, alone.lateShort, with.lateShort)
}

func (r mixResult) plus(o mixResult) mixResult {
	return mixResult{
		long: r.long + o.long, short: r.short + o.short, lateLong: r.lateLong + o.lateLong, lateShort: r.lateShort + o.lateShort,
		paused: r.paused + o.paused, inTime: r.inTime + o.inTime, slowest: max(r.slowest, o.slowest), prefilled: r.prefilled + o.prefilled,
	}
}
