package route

import "time"

// score estimates the time in ms until the request is answered, without the parts that are the same at all
// endpoints of the pool.
func (t *Table) score(now time.Time, e *endpoint, p *pool, r *Request, cached int) Candidate {
	o := &t.options
	c := Candidate{VM: e.vm.Name, Distance: e.distance, CachedTokens: cached}
	total := e.total(now, o.StaleAfter)
	queued := e.queued(now, o.StaleAfter)
	others := max(0, total-float64(e.inflight))

	prefill := float64(e.prefill) + min(queued, others)*t.meanPrefill.value
	c.Load = prefill/o.PrefillTokensPerMS + total*o.RequestMS + queued*o.QueuedMS
	c.Load += max(0, e.report.KVUse-kvFree) / (1 - kvFree) * o.KVFullMS * e.report.weight(now, o.StaleAfter)
	c.Load += t.slowStart(now, e)
	c.Own = float64(r.PromptTokens-cached) / o.PrefillTokensPerMS * (o.PromptWeight + max(0, o.Crowding)*total)
	if slow := t.slowness(now, e, p); slow > 1 {
		c.Load *= slow
		c.Own = c.Own*slow + float64(r.OutputTokens)*p.tokenMS.value*(slow-1)
	}
	c.Score = c.Load + c.Own + c.Distance
	return c
}

// kvFree is the share of the KV cache above which an engine may preempt requests.
const kvFree = 0.9

// cachedTokens converts a number of leading blocks to tokens of the request.
func cachedTokens(r *Request, depth int) int {
	if depth == 0 {
		return 0
	}
	return min(r.PromptTokens, r.BlockEnds[depth-1])
}
