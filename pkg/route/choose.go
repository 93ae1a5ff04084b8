package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// retryAfter is the advice when no endpoint can take a request: the platform's list and the leaving marks
// change within seconds.
const retryAfter = time.Second

// Choose compares a few endpoints of the request's pool and returns the best one. It changes nothing; Begin
// accounts for the request.
func (t *Table) Choose(now time.Time, rng *rand.Rand, r Request) Decision {
	d := Decision{RequestID: r.ID, Organisation: r.Organisation, Class: r.Class, Pool: r.Pool, request: r}
	p := t.pools[r.Pool]
	if p == nil || len(p.open) == 0 {
		d.Reason, d.RetryAfter = t.refusal(p), retryAfter
		return d
	}
	d.Candidates = len(p.open)
	t.scratch = t.candidates(t.scratch[:0], rng, p, &r)
	if len(t.scratch) == 0 {
		d.Reason, d.RetryAfter = ReasonExcluded, retryAfter
		return d
	}
	d.Considered = make([]Candidate, 0, len(t.scratch))
	best := 0
	for i, e := range t.scratch {
		d.Considered = append(d.Considered, t.score(now, e, &r))
		if d.Considered[i].Score < d.Considered[best].Score {
			best = i
		}
	}
	chosen := t.scratch[best]
	d.endpoint, d.cached = chosen, d.Considered[best].CachedTokens
	d.Chosen, d.Address, d.Reason = chosen.vm.Name, chosen.vm.Address, ReasonLowestScore
	if len(t.scratch) == 1 {
		d.Reason = ReasonOnlyCandidate
	}
	return d
}

func (t *Table) refusal(p *pool) Reason {
	if p == nil {
		return ReasonNoEndpoint
	}
	reason := ReasonNoEndpoint
	for _, e := range p.all {
		if !e.leaving() && e.full() {
			reason = ReasonFull
		}
	}
	return reason
}

// candidates draws distinct usable endpoints at random. If the draws meet only unusable ones, it scans the
// open list from a random place, so that a usable endpoint is always found.
func (t *Table) candidates(into []*endpoint, rng *rand.Rand, p *pool, r *Request) []*endpoint {
	const drawsPerCandidate = 3
	want := t.options.RandomCandidates
	for range want * drawsPerCandidate {
		if len(into) == want {
			return into
		}
		e := p.open[rng.IntN(len(p.open))]
		if usable(e, r) && !slices.Contains(into, e) {
			into = append(into, e)
		}
	}
	if len(into) > 0 {
		return into
	}
	start := rng.IntN(len(p.open))
	for i := range p.open {
		if e := p.open[(start+i)%len(p.open)]; usable(e, r) {
			return append(into, e)
		}
	}
	return into
}

func usable(e *endpoint, r *Request) bool {
	return !(r.Suspect && e.suspects > 0) && !slices.Contains(r.Exclude, e.vm.Name)
}

func (t *Table) score(_ time.Time, e *endpoint, r *Request) Candidate {
	c := Candidate{VM: e.vm.Name, Distance: e.distance}
	c.Load = float64(e.prefill)/t.options.PrefillTokensPerMS + float64(e.inflight)*t.options.RequestMS
	c.Own = float64(r.PromptTokens-c.CachedTokens) / t.options.PrefillTokensPerMS
	c.Score = c.Load + c.Own + c.Distance
	return c
}
