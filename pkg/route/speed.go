package route

import (
	"math"
	"time"
)

// average is an exponentially weighted moving average that starts at its first sample.
type average struct {
	value     float64
	hasSample bool
}

func (a *average) add(sample, weight float64) {
	if !a.hasSample {
		a.value, a.hasSample = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}

const (
	endpointSampleWeight = 0.2
	poolSampleWeight     = 0.02
	// maxSlowdown limits the factor, so that one bad sample doesn't keep all requests from an endpoint.
	maxSlowdown = 20
	// slowdownThreshold is the ratio to the pool's average below which an endpoint is not treated as slow; it covers
	// the variation of load between equal endpoints.
	slowdownThreshold = 1.5
)

// speed is the average time between an endpoint's output tokens in ms, which is compared with that of its pool. It
// detects a slow VM whose load reports look normal.
type speed struct {
	tokenMS   average
	updatedAt time.Time
}

// recordTokenTime adds the average time between the output tokens of a finished request to the averages.
func (t *Table) recordTokenTime(now time.Time, f *InFlightRequest, outputTokens int) {
	const minTokens = 8
	if !f.prefillDone || outputTokens < minTokens || f.pool == nil {
		return
	}
	ms := float64(now.Sub(f.firstToken)) / float64(time.Millisecond) / float64(outputTokens-1)
	f.endpoint.speed.tokenMS.add(ms, endpointSampleWeight)
	f.endpoint.speed.updatedAt = now
	f.pool.tokenMS.add(ms, poolSampleWeight)
}

// slowdown returns the factor by which the endpoint is slower than its pool, at least 1. Without new samples it decays
// to 1, so that an endpoint that has become faster is tried again.
func (t *Table) slowdown(now time.Time, e *endpoint, p *pool) float64 {
	if t.options.SpeedHalfLife < 0 || !e.speed.tokenMS.hasSample || !p.tokenMS.hasSample || p.tokenMS.value <= 0 {
		return 1
	}
	ratio := e.speed.tokenMS.value / p.tokenMS.value
	if ratio < slowdownThreshold {
		return 1
	}
	age := float64(now.Sub(e.speed.updatedAt)) / float64(t.options.SpeedHalfLife)
	return 1 + (min(ratio, maxSlowdown)-1)*math.Exp2(-age)
}
