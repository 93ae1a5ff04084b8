package admit

import "time"

// average is an exponentially weighted moving average. Its initial value is the first sample.
type average struct {
	value     float64
	hasSample bool
}

func (a *average) add(sample float64) {
	const weight = 0.1
	if !a.hasSample {
		a.value, a.hasSample = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}

// classTimes holds the average service times and output length of a class in a pool.
type classTimes struct {
	firstToken   average // s
	perToken     average // s
	outputTokens average // tokens
	// lastUpdate is the time of the latest sample or probe.
	lastUpdate time.Time
}

// estimates are averages over the finished requests of a pool. Before the first one has finished, no request is refused
// because of an estimate.
type estimates struct {
	classes       map[string]*classTimes
	totalTime     average // s
	requestTokens average
}

func newEstimates() estimates { return estimates{classes: map[string]*classTimes{}} }

func (e *estimates) observe(now time.Time, r *Request, u Usage) {
	times := e.classes[r.Class]
	if times == nil {
		times = &classTimes{}
		e.classes[r.Class] = times
	}
	times.lastUpdate = now
	e.totalTime.add(u.Total.Seconds())
	e.requestTokens.add(float64(r.Tokens))
	times.firstToken.add(u.FirstToken.Seconds())
	times.outputTokens.add(float64(u.OutputTokens))
	if u.OutputTokens > 1 {
		times.perToken.add((u.Total - u.FirstToken).Seconds() / float64(u.OutputTokens-1))
	}
}

// tokensPerSecond returns the rate at which the pool finishes tokens when all its slots are in use, or 0 if there is no
// sample yet.
func (e *estimates) tokensPerSecond(capacity int) float64 {
	if !e.totalTime.hasSample || e.totalTime.value <= 0 {
		return 0
	}
	return float64(capacity) * e.requestTokens.value / e.totalTime.value
}

// serviceTime estimates the time from dispatch to the last byte; it is 0 if the class has no sample yet. It uses the
// average output length of the class, capped at the request's output limit, rather than the limit alone, because a
// wrong refusal costs more than a late reply.
func (e *estimates) serviceTime(r *Request) time.Duration {
	times := e.classes[r.Class]
	if times == nil {
		return 0
	}
	outputTokens := times.outputTokens.value
	if r.MaxOutputTokens > 0 {
		outputTokens = min(outputTokens, float64(r.MaxOutputTokens))
	}
	seconds := times.firstToken.value + max(0, outputTokens-1)*times.perToken.value
	return time.Duration(seconds * float64(time.Second))
}

// probeInterval is the time without a sample after which one request is admitted despite the estimate.
const probeInterval = time.Second

// allowProbe reports whether the request should be admitted despite the estimate, to get a new sample, and if so starts
// the next interval. Without such probes, an estimate that is too high would refuse all further requests of the class
// and so would never be corrected.
func (e *estimates) allowProbe(now time.Time, r *Request) bool {
	times := e.classes[r.Class]
	if times == nil || now.Sub(times.lastUpdate) < probeInterval {
		return false
	}
	times.lastUpdate = now
	return true
}
