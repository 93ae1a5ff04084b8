// Package workload shares between the routers of a fleet what each of them has sent to the endpoints. One router keeps the board, on
// which each writes its own work and reads the sum of the others'.
package workload

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/route"
)

const (
	// maxRecordAge is the age from which a router's work is no longer on the board.
	maxRecordAge = time.Second
	// timesHalfLife is the time in which the weight of measured times halves. A slow spell of an endpoint lasts seconds.
	timesHalfLife = 10 * time.Second
	// maxPrefixes bounds the prefixes on the board, of which the oldest are dropped, and maxPrefixAge is their age.
	maxPrefixes  = 8192
	maxPrefixAge = 20 * time.Second
	// maxRuns bounds the runs of endpoints with measured times.
	maxRuns = 16384
	// timesInterval is the time between two answers to a router that have the measured times. They change slowly, and are about as
	// many as there are endpoints.
	timesInterval = time.Second
)

// run names one run of an endpoint.
type run struct {
	vm      string
	started int64
}

type record struct {
	at   time.Time
	work []route.SharedWork
	// timesAt is the time of the last answer to the router that had the measured times.
	timesAt time.Time
}

type prefix struct {
	run    run
	block  uint64
	router string
	at     time.Time
}

type times struct {
	predictedMS, measuredMS float64
	at                      time.Time
}

func (t times) decayed(now time.Time) times {
	factor := math.Exp2(-float64(now.Sub(t.at)) / float64(timesHalfLife))
	return times{predictedMS: t.predictedMS * factor, measuredMS: t.measuredMS * factor, at: now}
}

// Board holds the latest work of the routers. It is not safe for concurrent use.
type Board struct {
	records map[string]record
	times   map[run]times
	// prefixes[i] has the position first+i in the sequence of all prefixes.
	prefixes []prefix
	first    uint64
}

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{records: map[string]record{}, times: map[run]times{}} }

// Put replaces the work of a router and returns that of the others, with the prefixes from the position next on, and the position after
// them. A position before the oldest prefix means all. The measured times are in one of its answers in each timesInterval.
func (b *Board) Put(now time.Time, router string, work []route.SharedWork, next uint64) (others []route.SharedWork, newNext uint64) {
	b.drop(now)
	for _, w := range work {
		key := run{w.VM, w.Started}
		if w.MeasuredMS > 0 && w.PredictedMS > 0 {
			sum := b.times[key].decayed(now)
			sum.predictedMS, sum.measuredMS = sum.predictedMS+w.PredictedMS, sum.measuredMS+w.MeasuredMS
			b.times[key] = sum
		}
		for _, block := range w.Prefixes {
			b.prefixes = append(b.prefixes, prefix{run: key, block: block, router: router, at: now})
		}
	}
	if excess := len(b.prefixes) - maxPrefixes; excess > 0 {
		b.dropPrefixes(excess)
	}
	timesAt := b.records[router].timesAt
	withTimes := now.Sub(timesAt) >= timesInterval
	if withTimes {
		timesAt = now
	}
	b.records[router] = record{at: now, work: work, timesAt: timesAt}
	return b.others(now, router, next, withTimes), b.first + uint64(len(b.prefixes))
}

func (b *Board) others(now time.Time, router string, next uint64, withTimes bool) []route.SharedWork {
	sums := map[run]*route.SharedWork{}
	of := func(key run) *route.SharedWork {
		if sums[key] == nil {
			sums[key] = &route.SharedWork{VM: key.vm, Started: key.started}
		}
		return sums[key]
	}
	for name, r := range b.records {
		if name == router {
			continue
		}
		for _, w := range r.work {
			s := of(run{w.VM, w.Started})
			s.PendingTokens += w.PendingTokens
			s.Running += w.Running
		}
	}
	if withTimes {
		b.dropTimes(now)
		for key, t := range b.times {
			t = t.decayed(now)
			s := of(key)
			s.PredictedMS, s.MeasuredMS = t.predictedMS, t.measuredMS
		}
	}
	skip := uint64(0)
	if next > b.first {
		skip = min(next-b.first, uint64(len(b.prefixes)))
	}
	for _, p := range b.prefixes[skip:] {
		if p.router != router {
			s := of(p.run)
			s.Prefixes = append(s.Prefixes, p.block)
		}
	}
	result := make([]route.SharedWork, 0, len(sums))
	for _, s := range sums {
		result = append(result, *s)
	}
	slices.SortFunc(result, func(a, b route.SharedWork) int {
		return cmp.Or(strings.Compare(a.VM, b.VM), cmp.Compare(a.Started, b.Started))
	})
	return result
}

// interval returns the time after which each router is to exchange again, so that they make at most maxExchangesPerSecond.
func (b *Board) interval() time.Duration {
	return max(interval, time.Duration(len(b.records))*time.Second/maxExchangesPerSecond)
}

// drop removes what is too old.
func (b *Board) drop(now time.Time) {
	for name, r := range b.records {
		if now.Sub(r.at) > maxRecordAge {
			delete(b.records, name)
		}
	}
	expired := 0
	for expired < len(b.prefixes) && now.Sub(b.prefixes[expired].at) > maxPrefixAge {
		expired++
	}
	b.dropPrefixes(expired)
}

// dropTimes removes the times of which nothing is left.
func (b *Board) dropTimes(now time.Time) {
	const minTimeMS = 1
	for key, t := range b.times {
		if len(b.times) > maxRuns || t.decayed(now).predictedMS < minTimeMS {
			delete(b.times, key)
		}
	}
}

func (b *Board) dropPrefixes(n int) {
	if n == 0 {
		return
	}
	b.prefixes = append(b.prefixes[:0], b.prefixes[n:]...)
	b.first += uint64(n)
}
