package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// retryAfter is the advice when no endpoint can take a request: the platform's list and the leaving marks
// change within seconds.
const retryAfter = time.Second

// maxConsidered bounds the endpoints that are compared for one request.
const maxConsidered = 16

// considered is an endpoint with the number of leading blocks that it holds.
type considered struct {
	endpoint *endpoint
	depth    int
}

// Choose compares a few endpoints of the request's pool and returns the best one. Begin accounts for the
// request.
func (t *Table) Choose(now time.Time, rng *rand.Rand, r Request) Decision {
	t.advance(now)
	d := Decision{RequestID: r.ID, Organisation: r.Organisation, Class: r.Class, Pool: r.Pool, request: r}
	p := t.pools[r.Pool]
	found := t.scratch[:0]
	if p != nil && len(p.open) > 0 {
		d.Candidates = len(p.open)
		at := t.prefix.clock(now)
		found = t.drawPrefix(found, at, rng, p, &r)
		found = t.drawRing(found, at, p, &r)
		found = t.drawRandom(found, at, rng, p, &r)
		t.scratch = found
	}
	if len(found) == 0 {
		if e := t.lastResort(now, rng, p, &r); e != nil {
			d.choose(e, ReasonLastResort)
			return d
		}
		d.Reason, d.RetryAfter = t.refusal(now, p), retryAfter
		return d
	}
	d.Considered = make([]Candidate, len(found))
	best := 0
	for i, c := range found {
		d.Considered[i] = t.score(now, c.endpoint, p, &r, cachedTokens(&r, c.depth))
		if d.Considered[i].Score < d.Considered[best].Score {
			best = i
		}
	}
	d.cached = d.Considered[best].CachedTokens
	reason := ReasonLowestScore
	switch {
	case len(found) == 1:
		reason = ReasonOnlyCandidate
	case d.cached > 0:
		reason = ReasonPrefix
	}
	d.choose(found[best].endpoint, reason)
	return d
}

func (d *Decision) choose(e *endpoint, reason Reason) {
	d.endpoint, d.Chosen, d.Address, d.Reason = e, e.vm.Name, e.vm.Address, reason
}

// lastResort returns a closed endpoint if the options allow it: rather one at its limit than an unhealthy one, and of
// these the one with the fewest own requests per place. In a small pool a few failures close every endpoint although most
// requests would be served; a refusal serves none.
func (t *Table) lastResort(now time.Time, rng *rand.Rand, p *pool, r *Request) *endpoint {
	// crowded is the number of own requests per place from which an endpoint is taken for truly full.
	const crowded = 2
	if !t.options.LastResort || p == nil {
		return nil
	}
	var best *endpoint
	var bestLoad float64
	for _, i := range rng.Perm(len(p.all)) {
		e := p.all[i]
		load := float64(e.inflight) / float64(max(1, e.vm.MaxInFlight))
		if e.leaving() || load >= crowded || !usable(e, r) {
			continue
		}
		if e.unhealthy(now) {
			load += crowded
		}
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

func (t *Table) refusal(now time.Time, p *pool) Reason {
	if p == nil {
		return ReasonNoEndpoint
	}
	if len(p.open) > 0 {
		return ReasonExcluded
	}
	reason := ReasonNoEndpoint
	for _, e := range p.all {
		switch {
		case e.leaving():
		case !e.unhealthy(now):
			return ReasonFull
		default:
			reason = ReasonUnhealthy
		}
	}
	return reason
}

// drawPrefix adds the usable endpoints that hold most of the prompt. It looks at a bounded number of blocks,
// from the deepest one that any endpoint holds.
func (t *Table) drawPrefix(into []considered, at time.Duration, rng *rand.Rand, p *pool, r *Request) []considered {
	const maxLookups = 32
	if len(r.Blocks) == 0 || t.options.PrefixCandidates <= 0 {
		return into
	}
	deepest := t.prefix.deepest(at, r.Blocks)
	for depth := deepest; depth > max(0, deepest-maxLookups); depth-- {
		holders := t.prefix.holders(r.Blocks[depth-1])
		if len(holders) == 0 {
			continue
		}
		first := rng.IntN(len(holders))
		for i := range holders {
			h := holders[(first+i)%len(holders)]
			if !t.prefix.valid(at, h) || !h.endpoint.openIn(p) || !usable(h.endpoint, r) || contains(into, h.endpoint) {
				continue
			}
			into = append(into, considered{endpoint: h.endpoint, depth: depth})
			if len(into) == t.options.PrefixCandidates {
				return into
			}
		}
	}
	return into
}

// drawRandom adds distinct usable endpoints at random. If the draws meet only unusable ones, it scans the
// open list from a random place, so that a usable endpoint is always found.
func (t *Table) drawRandom(into []considered, at time.Duration, rng *rand.Rand, p *pool, r *Request) []considered {
	const drawsPerCandidate = 3
	want := min(len(into)+t.options.RandomCandidates, maxConsidered, len(p.open))
	for range t.options.RandomCandidates * drawsPerCandidate {
		if len(into) >= want {
			return into
		}
		e := p.open[rng.IntN(len(p.open))]
		if usable(e, r) && !contains(into, e) {
			into = append(into, considered{endpoint: e, depth: t.prefix.depth(at, e, r.Blocks)})
		}
	}
	if len(into) > 0 {
		return into
	}
	first := rng.IntN(len(p.open))
	for i := range p.open {
		if e := p.open[(first+i)%len(p.open)]; usable(e, r) {
			return append(into, considered{endpoint: e, depth: t.prefix.depth(at, e, r.Blocks)})
		}
	}
	return into
}

func contains(list []considered, e *endpoint) bool {
	for i := range list {
		if list[i].endpoint == e {
			return true
		}
	}
	return false
}

func usable(e *endpoint, r *Request) bool {
	return !(r.Suspect && e.suspects > 0) && !slices.Contains(r.Exclude, e.vm.Name)
}
