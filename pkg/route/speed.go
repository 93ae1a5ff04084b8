package route

import (
	"math"
	"time"
)

// average is an exponentially weighted moving average that starts at its first sample.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample, weight float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}

const (
	endpointSpeedWeight = 0.2
	poolSpeedWeight     = 0.02
	// maxSlowness bounds the factor, so that one bad sample doesn't close an endpoint.
	maxSlowness = 20
	// slowTolerance is the ratio to the pool's average below which an endpoint is not treated as slow; it
	// covers the variation of load between equal endpoints.
	slowTolerance = 1.5
)

// speed compares the time between an endpoint's output tokens with that of its pool. A slow VM is recognised by
// it even when the reports of its load look like any other.
type speed struct {
	tokenMS average
	updated time.Time
}

// measured takes the time between tokens of a finished request.
func (t *Table) measured(now time.Time, f *InFlightRequest, outputTokens int) {
	const minTokens = 8
	if !f.begun || outputTokens < minTokens || f.pool == nil {
		return
	}
	ms := float64(now.Sub(f.firstToken)) / float64(time.Millisecond) / float64(outputTokens-1)
	f.endpoint.speed.tokenMS.add(ms, endpointSpeedWeight)
	f.endpoint.speed.updated = now
	f.pool.tokenMS.add(ms, poolSpeedWeight)
}

// slowness is the factor by which the endpoint is slower than its pool, at least 1. Without new samples it
// falls back to 1, so that an endpoint that has become faster is tried again.
func (t *Table) slowness(now time.Time, e *endpoint, p *pool) float64 {
	if !e.speed.tokenMS.known || !p.tokenMS.known || p.tokenMS.value <= 0 {
		return 1
	}
	ratio := e.speed.tokenMS.value / p.tokenMS.value
	if ratio < slowTolerance {
		return 1
	}
	age := float64(now.Sub(e.speed.updated)) / float64(t.options.SpeedHalfLife)
	return 1 + (min(ratio, maxSlowness)-1)*math.Exp2(-age)
}
