package route

import (
	"slices"
	"strings"
	"time"
)

// SharedWork is what routers have at one run of an endpoint. In a Table's own record it is this router's, in one that a Table
// applies that of the other routers.
type SharedWork struct {
	VM string
	// Started names the run.
	Started int64
	// PendingTokens are the uncached prompt tokens of requests whose answers have not begun, Running the requests in progress.
	PendingTokens, Running int
	// Prefixes are blocks of prompts that were sent there since the last record.
	Prefixes []uint64
	// PredictedMS and MeasuredMS are the times to the first event by the score's model and as they were, summed over answers.
	PredictedMS, MeasuredMS float64
}

const (
	// sharedWorkAge is the age from which the others' work counts less; at twice this age it is ignored.
	sharedWorkAge = 500 * time.Millisecond
	// maxUnsharedPrefixes bounds the prefixes of an endpoint that a router keeps for its next record.
	maxUnsharedPrefixes = 256
	// minSpeedTokens is the number of uncached tokens from which an answer says something about the speed of an endpoint: with
	// fewer, connections and steps take most of the time.
	minSpeedTokens = 1000
	// speedPriorMS is the predicted time with which an endpoint counts as average before its own answers do: one slow answer is
	// noise, several seconds of slow ones are a slow endpoint.
	speedPriorMS = 1000
	// minRelativeSpeed is the factor from the average up to which endpoints count as equal: with the few answers of some seconds, equal
	// ones differ by so much.
	minRelativeSpeed = 1.3
	// maxRelativeSpeed bounds the estimate in both directions.
	maxRelativeSpeed = 4
)

// peerWork is what other routers have at an endpoint.
type peerWork struct {
	pendingTokens, running int
	// relativeTime is the time that the endpoint takes for a prompt over that of the average one.
	relativeTime float64
}

// ownWork is what is to be told to other routers about an endpoint.
type ownWork struct {
	prefixes                []uint64
	predictedMS, measuredMS float64
}

// sharedWeight returns the weight of the others' work in the score: 1 up to sharedWorkAge, then falling to 0 at twice that age, and 0
// without any. It is 0 as well while the work comes at long intervals: routers that know it now and then place prompts where those that
// don't know it at the moment miss them.
func (t *Table) sharedWeight(now time.Time) float64 {
	if !t.peerWorkSteady {
		return 0
	}
	return min(1, max(0, 2-float64(now.Sub(t.peerWorkAt))/float64(sharedWorkAge)))
}

// knowsFleetWork reports whether the work of the other routers is known, so that the index has what they have sent.
func (t *Table) knowsFleetWork(now time.Time) bool { return t.sharedWeight(now) > 0 }

// peerPendingTokens returns the uncached tokens that other routers have at the endpoint.
func (t *Table) peerPendingTokens(now time.Time, e *endpoint) float64 {
	return t.sharedWeight(now) * float64(e.peers.pendingTokens)
}

// relativeTime returns by which factor the endpoint takes longer for a prompt than the average one, as all routers measured it.
func (t *Table) relativeTime(now time.Time, e *endpoint) float64 {
	if e.peers.relativeTime <= 0 {
		return 1
	}
	return 1 + t.sharedWeight(now)*(e.peers.relativeTime-1)
}

// notePrefixes keeps the blocks for the next record, unless others know that the endpoint holds them: a block is told at its first use
// there in each quarter of Options.PrefixAge.
func (t *Table) notePrefixes(elapsed time.Duration, e *endpoint, blocks []uint64) {
	if !t.sharesWork {
		return
	}
	window := t.options.PrefixAge / 4
	for _, block := range blocks {
		known := false
		for _, h := range t.prefix.holders(block) {
			known = known || h.endpoint == e && t.prefix.isValid(elapsed, h) && h.insertedAt/window == elapsed/window
		}
		if !known && len(e.unshared.prefixes) < maxUnsharedPrefixes {
			e.unshared.prefixes = append(e.unshared.prefixes, block)
		}
	}
}

// OwnWork returns this router's work at all endpoints where it has some, for the other routers. Prefixes and times are returned once.
func (t *Table) OwnWork() []SharedWork {
	t.sharesWork = true
	var work []SharedWork
	for _, e := range t.endpoints {
		if e.inFlight == 0 && len(e.unshared.prefixes) == 0 && e.unshared.predictedMS == 0 {
			continue
		}
		work = append(work, SharedWork{
			VM: e.vm.Name, Started: e.vm.Started, PendingTokens: e.prefillTokens, Running: e.inFlight,
			Prefixes: e.unshared.prefixes, PredictedMS: e.unshared.predictedMS, MeasuredMS: e.unshared.measuredMS,
		})
		e.unshared = ownWork{}
	}
	slices.SortFunc(work, func(a, b SharedWork) int { return strings.Compare(a.VM, b.VM) })
	return work
}

// ApplyWork replaces what is known of the other routers' work, the measured times only if there are any. Records of other runs of an
// endpoint are ignored.
func (t *Table) ApplyWork(now time.Time, work []SharedWork) {
	t.peerWorkSteady = !t.peerWorkAt.IsZero() && now.Sub(t.peerWorkAt) <= 2*sharedWorkAge
	t.peerWorkAt = now
	var predicted, measured float64
	for _, w := range work {
		predicted += w.PredictedMS
		measured += w.MeasuredMS
	}
	hasTimes := predicted > 0 && measured > 0
	for _, e := range t.endpoints {
		e.peers.pendingTokens, e.peers.running = 0, 0
		if hasTimes {
			e.peers.relativeTime = 0
		}
	}
	elapsed := t.prefix.elapsed(now)
	for _, w := range work {
		e := t.endpoints[w.VM]
		if e == nil || e.vm.Started != w.Started {
			continue
		}
		e.peers.pendingTokens, e.peers.running = w.PendingTokens, w.Running
		if hasTimes {
			mean := measured / predicted
			ratio := (w.MeasuredMS/mean + speedPriorMS) / (w.PredictedMS + speedPriorMS)
			if ratio < 1/minRelativeSpeed || ratio > minRelativeSpeed {
				e.peers.relativeTime = min(maxRelativeSpeed, max(1.0/maxRelativeSpeed, ratio))
			}
		}
		t.prefix.insert(elapsed, e, w.Prefixes...)
	}
}

// fleetScore completes the candidate's score with the work of all routers and the speed of the endpoint.
func (t *Table) fleetScore(now time.Time, c Candidate, e *endpoint, r *Request) Candidate {
	o := &t.options
	msPerToken := t.msPerToken()
	relative := t.relativeTime(now, e)
	running := float64(e.inFlight) + t.sharedWeight(now)*float64(e.peers.running)
	pending := float64(e.prefillTokens) + t.peerPendingTokens(now, e)
	own := float64(r.PromptTokens-c.CachedTokens) * msPerToken
	c.Load = pending*msPerToken*relative + running*o.RequestMS + t.slowStartMS(now, e) + t.coldMS(now, e, r)
	c.Load += max(0, e.report.KVUse-kvPreemptShare) / (1 - kvPreemptShare) * o.KVFullMS * e.report.weight(now, o.StaleAfter)
	c.RequestTime = own * (relative + max(0, o.SharedPromptWeight-1))
	c.Interference = max(0, o.InterferenceWeight) * running * pauseCost(own*relative, pending*msPerToken*relative, float64(r.PauseObjective)/float64(time.Millisecond))
	c.Score = c.Load + c.RequestTime + c.Interference + c.Distance
	return c
}

// pauseCost returns the expected cost in ms for a stream at an endpoint that prefills a prompt of own ms behind others of pending ms. The
// stream waits for all of them at most. It counts as late with a pause over the objective, and a late one costs as much as the objective.
// It is not certain where the pause ends: the probability rises from 0 at three quarters of the objective to 1 at five quarters.
func pauseCost(own, pending, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	late := func(pause float64) float64 { return min(1, max(0, (pause/objective-0.75)*2)) }
	return objective * (late(own+pending) - late(pending))
}

// msPerToken returns the time for one prompt token at an average endpoint.
func (t *Table) msPerToken() float64 {
	// maxDeviation bounds the measured time against the configured one.
	const maxDeviation = 4
	configured := 1 / t.options.PrefillTokensPerMS
	if slope, ok := t.prefillTime.slope(); ok {
		return min(configured*maxDeviation, max(configured/maxDeviation, slope))
	}
	return configured
}

// recordPrefillTime adds a measured time to the first event to what is known of the endpoint and of all.
func (t *Table) recordPrefillTime(now time.Time, f *InFlightRequest) {
	if f.promptTokens == 0 || !t.knowsFleetWork(now) {
		return
	}
	measured := float64(now.Sub(f.started)) / float64(time.Millisecond)
	if predicted, ok := t.prefillTime.at(f.pendingTokens); ok && f.pendingTokens >= minSpeedTokens && !f.endpoint.removed {
		f.endpoint.unshared.predictedMS += predicted
		f.endpoint.unshared.measuredMS += min(measured, maxRelativeSpeed*predicted) // A single answer may have met what nobody knew of.
	}
	t.prefillTime.add(f.pendingTokens, measured)
}

// linearFit is a line through samples, of which older ones count less.
type linearFit struct{ n, x, y, xx, xy float64 }

const (
	// fitRetention is the factor by which each sample reduces the weight of the earlier ones, and minFitSamples the sum of weights from
	// which the line counts.
	fitRetention  = 0.99
	minFitSamples = 16
)

func (f *linearFit) add(x, y float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitRetention+1, f.x*fitRetention+x, f.y*fitRetention+y, f.xx*fitRetention+x*x, f.xy*fitRetention+x*y
}

// slope returns the line's slope, and false while there are too few samples or it doesn't rise.
func (f *linearFit) slope() (float64, bool) {
	variance := f.n*f.xx - f.x*f.x
	if f.n < minFitSamples || variance <= 0 {
		return 0, false
	}
	slope := (f.n*f.xy - f.x*f.y) / variance
	return slope, slope > 0
}

// at returns the line's value at x, never less than that of the slope alone.
func (f *linearFit) at(x float64) (float64, bool) {
	slope, ok := f.slope()
	if !ok {
		return 0, false
	}
	return max(0, (f.y-slope*f.x)/f.n) + slope*x, true
}
