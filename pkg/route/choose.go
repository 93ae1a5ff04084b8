package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// retryAfter is the retry delay that the caller gets when no endpoint can take a request: the platform's VM list and
// the operators' leaving marks change within seconds.
const retryAfter = time.Second

// maxCandidates limits the endpoints that are compared for one request.
const maxCandidates = 16

// candidate is an endpoint to be scored. depth is the number of the prompt's leading indexed blocks that it holds.
type candidate struct {
	endpoint *endpoint
	depth    int
}

// Choose compares a few endpoints of the request's pool and returns the one with the lowest score. It doesn't account
// for the request; Begin does.
func (t *Table) Choose(now time.Time, rng *rand.Rand, r Request) Decision {
	t.runRechecks(now)
	d := Decision{RequestID: r.ID, Organisation: r.Organisation, Class: r.Class, Pool: r.Pool, request: r}
	p := t.pools[r.Pool]
	candidates := t.scratch[:0]
	if p != nil && len(p.open) > 0 {
		d.Candidates = len(p.open)
		elapsed := t.prefix.elapsed(now)
		candidates = t.appendPrefixCandidates(candidates, elapsed, rng, p, &r)
		candidates = t.appendRingCandidates(now, candidates, elapsed, p, &r)
		candidates = t.appendRandomCandidates(candidates, elapsed, rng, p, &r)
		t.scratch = candidates
	}
	if len(candidates) == 0 {
		if e := t.lastResortEndpoint(now, rng, p, &r); e != nil {
			d.setChosen(e, ReasonLastResort)
			return d
		}
		d.Reason, d.RetryAfter = t.refusalReason(now, p)
		if d.Reason == ReasonCold {
			d.RetryAfter += time.Duration(rng.Float64() * float64(coldSpread))
		}
		return d
	}
	d.Considered = make([]Candidate, len(candidates))
	best := 0
	for i, c := range candidates {
		d.Considered[i] = t.score(now, c.endpoint, p, &r, cachedTokens(&r, c.depth))
		if d.Considered[i].Score < d.Considered[best].Score {
			best = i
		}
	}
	d.cachedTokens = d.Considered[best].CachedTokens
	reason := ReasonLowestScore
	switch {
	case len(candidates) == 1:
		reason = ReasonOnlyCandidate
	case d.cachedTokens > 0:
		reason = ReasonPrefix
	}
	d.setChosen(candidates[best].endpoint, reason)
	return d
}

func (d *Decision) setChosen(e *endpoint, reason Reason) {
	d.endpoint, d.Chosen, d.Address, d.Software, d.Started, d.Reason = e, e.vm.Name, e.vm.Address, e.vm.Software, e.vm.Started, reason
	if e.report.valid {
		d.KVUse = e.report.KVUse
	}
}

// lastResortEndpoint returns a closed endpoint if Options.LastResort is set, but none that takes no request by what it has stated,
// nor one with a full queue beside one that has named a limit. It prefers an endpoint without a free slot to an
// unhealthy one, and then the one with the fewest requests of this router per slot. In a small pool a few failures can
// close every endpoint although most requests would succeed; refusing them would serve none.
func (t *Table) lastResortEndpoint(now time.Time, rng *rand.Rand, p *pool, r *Request) *endpoint {
	// overloadRatio is the number of this router's requests per slot from which an endpoint is not chosen. Added to the
	// load of unhealthy endpoints, it ranks them last.
	const overloadRatio = 2
	if !t.options.LastResort || p == nil {
		return nil
	}
	var best *endpoint
	var bestLoad float64
	for _, i := range rng.Perm(len(p.all)) {
		e := p.all[i]
		load := float64(e.inFlight) / float64(max(1, e.vm.MaxInFlight))
		if _, _, stated := t.statedWait(now, e); stated || e.isWithdrawn() || t.isQueueFull(now, e) || load >= overloadRatio || !isUsable(e, r) {
			continue
		}
		if e.isUnhealthy(now) {
			load += overloadRatio
		}
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

// refusalReason returns why no endpoint was chosen, and the retry delay for the caller: never less than what the endpoint that opens
// first has stated.
func (t *Table) refusalReason(now time.Time, p *pool) (Reason, time.Duration) {
	if p == nil {
		return ReasonNoEndpoint, retryAfter
	}
	if len(p.open) > 0 {
		return ReasonExcluded, retryAfter
	}
	if wait, reason, ok := t.shortestStatedWait(now, p); ok {
		return reason, wait
	}
	reason := ReasonNoEndpoint
	for _, e := range p.all {
		switch {
		case e.isLeaving():
		case e.evacuated:
			if reason == ReasonNoEndpoint {
				reason = ReasonEvacuated
			}
		case !e.isUnhealthy(now):
			return ReasonFull, retryAfter
		default:
			reason = ReasonUnhealthy
		}
	}
	return reason, retryAfter
}

// appendPrefixCandidates appends the open, usable endpoints that hold most of the prompt. It looks up at most
// maxLookups blocks, starting at the deepest one that any endpoint holds.
func (t *Table) appendPrefixCandidates(into []candidate, elapsed time.Duration, rng *rand.Rand, p *pool, r *Request) []candidate {
	const maxLookups = 32
	if len(r.Blocks) == 0 || t.options.PrefixCandidates <= 0 {
		return into
	}
	maxDepth := t.prefix.maxDepth(elapsed, r.Blocks)
	for depth := maxDepth; depth > max(0, maxDepth-maxLookups); depth-- {
		holders := t.prefix.holders(r.Blocks[depth-1])
		if len(holders) == 0 {
			continue
		}
		offset := rng.IntN(len(holders))
		for i := range holders {
			h := holders[(offset+i)%len(holders)]
			if !t.prefix.isValid(elapsed, h) || !h.endpoint.isOpenIn(p) || !isUsable(h.endpoint, r) || containsEndpoint(into, h.endpoint) {
				continue
			}
			into = append(into, candidate{endpoint: h.endpoint, depth: depth})
			if len(into) == t.options.PrefixCandidates {
				return into
			}
		}
	}
	return into
}

// appendRandomCandidates appends distinct usable endpoints at random. If there is no candidate after these attempts, it
// scans the open list from a random index, so that it always finds an endpoint if one is usable.
func (t *Table) appendRandomCandidates(into []candidate, elapsed time.Duration, rng *rand.Rand, p *pool, r *Request) []candidate {
	const drawsPerCandidate = 3
	want := min(len(into)+t.options.RandomCandidates, maxCandidates, len(p.open))
	for range t.options.RandomCandidates * drawsPerCandidate {
		if len(into) >= want {
			return into
		}
		e := p.open[rng.IntN(len(p.open))]
		if isUsable(e, r) && !containsEndpoint(into, e) {
			into = append(into, candidate{endpoint: e, depth: t.prefix.depth(elapsed, e, r.Blocks)})
		}
	}
	if len(into) > 0 {
		return into
	}
	offset := rng.IntN(len(p.open))
	for i := range p.open {
		if e := p.open[(offset+i)%len(p.open)]; isUsable(e, r) {
			return append(into, candidate{endpoint: e, depth: t.prefix.depth(elapsed, e, r.Blocks)})
		}
	}
	return into
}

func containsEndpoint(list []candidate, e *endpoint) bool {
	for i := range list {
		if list[i].endpoint == e {
			return true
		}
	}
	return false
}

func isUsable(e *endpoint, r *Request) bool {
	if r.WithSoftware && e.vm.Software != r.Software || r.InRegions && !slices.Contains(r.Regions, e.vm.Region) {
		return false
	}
	return !(r.Suspect && e.suspects > 0) && !slices.Contains(r.Exclude, e.vm.Name)
}
