package admit

import "time"

// average is an exponentially weighted moving average that starts at its first sample.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample float64) {
	const weight = 0.1
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}

// classTimes are the service times of a class in a pool.
type classTimes struct {
	firstToken average // s
	perToken   average // s
	output     average // tokens
	// updated is the time of the last sample or probe.
	updated time.Time
}

// estimates are learned from finished requests. Before the first one nothing is refused by estimate.
type estimates struct {
	classes map[string]*classTimes
	total   average // s
	tokens  average
}

func newEstimates() estimates { return estimates{classes: map[string]*classTimes{}} }

func (e *estimates) observe(now time.Time, r *Request, u Usage) {
	times := e.classes[r.Class]
	if times == nil {
		times = &classTimes{}
		e.classes[r.Class] = times
	}
	times.updated = now
	e.total.add(u.Total.Seconds())
	e.tokens.add(float64(r.Tokens))
	times.firstToken.add(u.FirstToken.Seconds())
	times.output.add(float64(u.OutputTokens))
	if u.OutputTokens > 1 {
		times.perToken.add((u.Total - u.FirstToken).Seconds() / float64(u.OutputTokens-1))
	}
}

// rate is the number of tokens per second that the pool finishes when all its places are taken.
func (e *estimates) rate(capacity int) float64 {
	if !e.total.known || e.total.value <= 0 {
		return 0
	}
	return float64(capacity) * e.tokens.value / e.total.value
}

// service estimates the time from dispatch to the last byte. It uses the average output length of the class, not
// the output limit, because a wrong refusal costs more than a late reply.
func (e *estimates) service(r *Request) time.Duration {
	times := e.classes[r.Class]
	if times == nil {
		return 0
	}
	output := times.output.value
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	seconds := times.firstToken.value + max(0, output-1)*times.perToken.value
	return time.Duration(seconds * float64(time.Second))
}

// probeEvery is the time without a sample after which one request is let through despite the estimate.
const probeEvery = time.Second

// probe reports whether a request should be let through to renew an estimate. Without it, an estimate that was
// too high once would refuse all further requests and never change.
func (e *estimates) probe(now time.Time, r *Request) bool {
	times := e.classes[r.Class]
	if times == nil || now.Sub(times.updated) < probeEvery {
		return false
	}
	times.updated = now
	return true
}
