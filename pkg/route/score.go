package route

import "time"

// score estimates the time in ms until the request is answered, without the parts that are the same at all
// endpoints of the pool.
func (t *Table) score(now time.Time, e *endpoint, p *pool, r *Request, cached int) Candidate {
	o := &t.options
	c := Candidate{VM: e.vm.Name, Distance: e.distanceMS, CachedTokens: cached}
	total := e.totalRequests(now, o.StaleAfter)
	queued := e.queuedRequests(now, o.StaleAfter)
	others := max(0, total-float64(e.inFlight))

	if t.knowsFleetWork(now) {
		return t.fleetScore(now, c, e, r)
	}
	prefillTokens := float64(e.prefillTokens) + min(queued, others)*t.meanPrefillTokens.value
	c.Load = prefillTokens/o.PrefillTokensPerMS + total*o.RequestMS + queued*o.QueuedMS
	c.Load += max(0, e.report.KVUse-kvPreemptShare) / (1 - kvPreemptShare) * o.KVFullMS * e.report.weight(now, o.StaleAfter)
	c.Load += t.slowStartMS(now, e) + t.coldMS(now, e, r)
	c.RequestTime = float64(r.PromptTokens-cached) / o.PrefillTokensPerMS * (o.PromptWeight + max(0, o.CongestionWeight)*total)
	if slowdown := t.slowdown(now, e, p); slowdown > 1 {
		c.Load *= slowdown
		c.RequestTime = c.RequestTime*slowdown + float64(r.OutputTokens)*p.tokenMS.value*(slowdown-1)
	}
	c.Score = c.Load + c.RequestTime + c.Distance
	return c
}

// kvPreemptShare is the used share of the KV cache above which an engine may preempt requests.
const kvPreemptShare = 0.9

// cachedTokens converts a number of leading indexed blocks to tokens of the request.
func cachedTokens(r *Request, depth int) int {
	if depth == 0 {
		return 0
	}
	return min(r.PromptTokens, r.BlockEnds[depth-1])
}
