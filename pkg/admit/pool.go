package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// pool holds the queues and the dispatch limit of a set of endpoints.
type pool struct {
	// capacity is the limit of inflight.
	capacity int
	inflight int
	queued   int
	// paused stops dispatching after all endpoints turned out to be full; see StateMachine.Requeue.
	paused   bool
	deadline tier
	whole    tier
	// wholeCredit is the number of tokens that whole classes may use ahead of queued deadline requests.
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

// popNext removes and returns the request to dispatch next. Deadline classes come first, but while both are queued,
// whole classes get WholeShare of the tokens.
func (p *pool) popNext(o Options) *entry {
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

// estimateWait estimates how long a new request would be queued: the tokens that are served before it, at the rate at
// which the pool finishes requests. Under fair sharing, each other flow gets at most as many tokens before the request
// as its own flow has queued, including the request. The estimate is 0 if a slot is free and no request is queued, or
// if there is no sample yet.
func (p *pool) estimateWait(o Options, r *Request) time.Duration {
	if p.inflight < p.capacity && p.queued == 0 {
		return 0
	}
	rate := p.estimates.tokensPerSecond(p.capacity)
	if rate <= 0 {
		return 0
	}
	t := p.tier(r.Target)
	flows, ownTokens := t.competingFlows(r.Class, r.Organisation)
	tokensAhead := min(t.tokens, (ownTokens+r.Tokens)*int64(flows))
	switch {
	case r.Target != config.TargetDeadline:
		tokensAhead += p.deadline.tokens
	case p.whole.queued > 0:
		rate *= 1 - o.WholeShare
	}
	// The request itself needs a slot too, for which the tokens of one more average request must finish.
	return time.Duration((float64(tokensAhead) + p.estimates.requestTokens.value) / rate * float64(time.Second))
}

// checkDeadline returns a failure if a deadline request that is dispatched after the wait would miss its deadline, and
// nil for a probe.
func (p *pool) checkDeadline(now time.Time, wait time.Duration, e *entry) *outcome.Failure {
	r := &e.request
	if r.Target != config.TargetDeadline || r.Deadline.IsZero() || e.isProbe {
		return nil
	}
	serviceTime := p.estimates.serviceTime(r)
	overrun := now.Add(wait + serviceTime).Sub(r.Deadline)
	if overrun <= 0 {
		return nil
	}
	if now.Before(r.Deadline) && p.estimates.allowProbe(now, r) {
		e.isProbe = true
		return nil
	}
	return outcome.NotRunf(outcome.ReasonDeadline, retryAfter(overrun), "the reply would be %s late: the wait is about %s and the reply takes %s",
		overrun.Round(time.Millisecond), wait.Round(time.Millisecond), serviceTime.Round(time.Millisecond))
}
