package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// pool is the queue of a set of endpoints.
type pool struct {
	capacity int
	inflight int
	queued   int
	// paused is set when the endpoints were found to be full.
	paused   bool
	deadline tier
	whole    tier
	// wholeCredit is the number of tokens that whole classes may take ahead of waiting deadline classes.
	wholeCredit float64
	estimates   estimates
}

func newPool() *pool {
	return &pool{deadline: newTier(), whole: newTier(), estimates: newEstimates()}
}

func (p *pool) tier(target config.TargetKind) *tier {
	if target == config.TargetDeadline {
		return &p.deadline
	}
	return &p.whole
}

// next takes the request to dispatch next. Deadline classes come first, but whole classes that wait get
// WholeShare of the tokens.
func (p *pool) next(o Options) *entry {
	switch {
	case p.deadline.queued == 0:
		p.wholeCredit = 0
		return p.whole.pop()
	case p.whole.queued == 0:
		p.wholeCredit = 0
		return p.deadline.pop()
	case p.wholeCredit > 0:
		e := p.whole.pop()
		p.wholeCredit -= float64(e.request.Tokens)
		return e
	}
	e := p.deadline.pop()
	p.wholeCredit += float64(e.request.Tokens) * o.WholeShare / (1 - o.WholeShare)
	return e
}

// wait estimates how long a new request would be queued: the tokens that are served before it, at the rate at
// which the pool finishes requests. Fair sharing serves a request no later than after as many tokens of each
// other organisation as its own organisation has queued.
func (p *pool) wait(o Options, r *Request) time.Duration {
	if p.inflight < p.capacity && p.queued == 0 {
		return 0
	}
	rate := p.estimates.rate(p.capacity)
	if rate <= 0 {
		return 0
	}
	t := p.tier(r.Target)
	flows, own := t.share(r.Class, r.Organisation)
	ahead := min(t.tokens, (own+r.Tokens)*int64(flows))
	switch {
	case r.Target != config.TargetDeadline:
		ahead += p.deadline.tokens
	case p.whole.queued > 0:
		rate *= 1 - o.WholeShare
	}
	// The request itself needs a place too, which becomes free after one more service time on average.
	return time.Duration((float64(ahead) + p.estimates.tokens.value) / rate * float64(time.Second))
}

// late returns a failure if a deadline request that is dispatched after the wait would miss its deadline.
func (p *pool) late(now time.Time, wait time.Duration, e *entry) *outcome.Failure {
	r := &e.request
	if r.Target != config.TargetDeadline || r.Deadline.IsZero() || e.probe {
		return nil
	}
	service := p.estimates.service(r)
	over := now.Add(wait + service).Sub(r.Deadline)
	if over <= 0 {
		return nil
	}
	if now.Before(r.Deadline) && p.estimates.probe(now, r) {
		e.probe = true
		return nil
	}
	return outcome.NotRunf(outcome.ReasonDeadline, advice(over), "the reply would be %s late: the wait is about %s and the reply takes %s",
		over.Round(time.Millisecond), wait.Round(time.Millisecond), service.Round(time.Millisecond))
}
