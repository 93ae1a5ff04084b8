package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Request asks for admission.
type Request struct {
	Organisation string
	Class        string
	// Pool names the endpoints that can run the request; see route.Pool.
	Pool   string
	Target config.TargetKind
	// Deadline is the time by which the whole reply must be delivered; it is used for deadline targets only.
	Deadline time.Time
	// Tokens is the expected cost: uncached prompt tokens plus output tokens. At least 1 is charged.
	Tokens int64
	// MaxOutputTokens is the request's output limit.
	MaxOutputTokens int
	// OrganisationLimit bounds the organisation's requests in progress, queued or running; 0 means no limit.
	OrganisationLimit int
}

// ID identifies an admitted or queued request in a StateMachine.
type ID uint64

// Verdict tells that a request may be dispatched, or why not.
type Verdict struct {
	ID ID
	// Failure is nil if the request may be dispatched.
	Failure *outcome.Failure
}

// Usage is what a finished request took.
type Usage struct {
	// FirstToken is the time from dispatch to the first output token, or to the answer of a plain service.
	FirstToken time.Duration
	// Total is the time from dispatch to the last byte.
	Total time.Duration
	// OutputTokens is the number of output tokens.
	OutputTokens int
}

// entry is a request that is queued or dispatched.
type entry struct {
	id      ID
	request Request
	pool    *pool
	running bool
	// probe exempts the request from early refusal; see estimates.probe.
	probe bool
}

// StateMachine holds the queues and limits of one router. Verdicts of all calls are collected and fetched by Take. It
// is not safe for concurrent use.
type StateMachine struct {
	options  Options
	pools    map[string]*pool
	entries  map[ID]*entry
	inOrg    map[string]int
	verdicts []Verdict
	lastID   ID
	retries  retryBudget
}

// NewStateMachine returns a StateMachine without pools. Requests of a pool that SetCapacity has not named are refused.
func NewStateMachine(options Options) *StateMachine {
	options = options.withDefaults()
	return &StateMachine{
		options: options, pools: map[string]*pool{}, entries: map[ID]*entry{}, inOrg: map[string]int{},
		retries: retryBudget{share: options.RetryShare, burst: options.RetryBurst, left: options.RetryBurst},
	}
}

// Offer queues the request or refuses it. The verdict may come at once or from a later call.
func (c *StateMachine) Offer(now time.Time, r Request) ID {
	r.Tokens = max(1, r.Tokens)
	c.lastID++
	e := &entry{id: c.lastID, request: r, pool: c.pools[r.Pool]}
	c.retries.request()
	if failure := c.refuse(now, e); failure != nil {
		c.verdicts = append(c.verdicts, Verdict{ID: e.id, Failure: failure})
		return e.id
	}
	c.entries[e.id] = e
	c.inOrg[r.Organisation]++
	e.pool.tier(r.Target).push(e)
	e.pool.queued++
	c.dispatch(now, e.pool)
	return e.id
}

// refuse returns why the request can't be queued. If the queue is full, the newest request of the organisation
// that has most queued gives way, unless that is the organisation of the new request.
func (c *StateMachine) refuse(now time.Time, e *entry) *outcome.Failure {
	r := &e.request
	if e.pool == nil {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, time.Second, "no endpoint of %s is known", r.Pool)
	}
	wait := e.pool.wait(c.options, r)
	if r.OrganisationLimit > 0 && c.inOrg[r.Organisation] >= r.OrganisationLimit {
		return outcome.NotRunf(outcome.ReasonOrgLimit, advice(wait), "organisation %s has %d requests in progress, its limit",
			r.Organisation, r.OrganisationLimit)
	}
	if late := e.pool.late(now, wait, e); late != nil {
		return late
	}
	tier := e.pool.tier(r.Target)
	own := tier.queuedBy(r.Organisation)
	full := outcome.NotRunf(outcome.ReasonOverload, advice(wait), "the queue of %s is full", r.Pool)
	if own >= c.options.MaxQueuedPerOrganisation {
		return full
	}
	if tier.queued < c.options.MaxQueued {
		return nil
	}
	organisation, most := tier.longest()
	if most <= own+1 {
		return full
	}
	victim := tier.dropNewest(organisation)
	e.pool.queued--
	c.finish(victim, outcome.NotRunf(outcome.ReasonOverload, advice(wait),
		"the queue of %s is full and organisation %s has most requests in it", r.Pool, organisation))
	return nil
}

// Done ends a dispatched request and dispatches the next ones. Usage may be zero if the request failed.
func (c *StateMachine) Done(now time.Time, id ID, u Usage) {
	e := c.entries[id]
	if e == nil || !e.running {
		return
	}
	e.pool.inflight--
	e.pool.paused = false
	if u.Total > 0 {
		e.pool.estimates.observe(now, &e.request, u)
	}
	c.forget(e)
	c.dispatch(now, e.pool)
}

// Requeue puts a dispatched request back to the head of its queue because every endpoint turned out to be full.
// The pool dispatches nothing until a request ends or its capacity is set.
func (c *StateMachine) Requeue(id ID) {
	e := c.entries[id]
	if e == nil || !e.running {
		return
	}
	e.running = false
	e.pool.inflight--
	e.pool.queued++
	e.pool.paused = true
	e.pool.tier(e.request.Target).pushFront(e)
}

// Cancel ends a queued or dispatched request whose caller has gone.
func (c *StateMachine) Cancel(now time.Time, id ID) {
	e := c.entries[id]
	if e == nil {
		return
	}
	if e.running {
		c.Done(now, id, Usage{})
		return
	}
	e.pool.tier(e.request.Target).remove(e)
	e.pool.queued--
	c.forget(e)
}

// SetCapacity sets how many requests may be in progress in a pool; see route.Table.Slots.
func (c *StateMachine) SetCapacity(now time.Time, pool string, requests int) {
	p := c.pools[pool]
	if p == nil {
		p = newPool()
		c.pools[pool] = p
	}
	p.capacity, p.paused = requests, false
	c.dispatch(now, p)
}

// Expire refuses the queued requests whose deadline can no longer be met.
func (c *StateMachine) Expire(now time.Time) {
	for _, p := range c.pools {
		for _, e := range p.deadline.entries() {
			if late := p.late(now, 0, e); late != nil {
				p.deadline.remove(e)
				p.queued--
				c.finish(e, late)
			}
		}
	}
}

// Close refuses all queued requests.
func (c *StateMachine) Close(failure func() *outcome.Failure) {
	for _, p := range c.pools {
		for _, t := range []*tier{&p.deadline, &p.whole} {
			for _, e := range t.entries() {
				t.remove(e)
				p.queued--
				c.finish(e, failure())
			}
		}
	}
}

// Take returns the verdicts since the last call, in the order in which they were reached.
func (c *StateMachine) Take() []Verdict {
	verdicts := c.verdicts
	c.verdicts = nil
	return verdicts
}

// AllowRetry takes one retry from the retry budget and reports whether there was one.
func (c *StateMachine) AllowRetry() bool { return c.retries.take() }

func (c *StateMachine) dispatch(now time.Time, p *pool) {
	for !p.paused && p.inflight < p.capacity && p.queued > 0 {
		e := p.next(c.options)
		p.queued--
		if late := p.late(now, 0, e); late != nil {
			c.finish(e, late)
			continue
		}
		e.running = true
		p.inflight++
		c.verdicts = append(c.verdicts, Verdict{ID: e.id})
	}
}

func (c *StateMachine) finish(e *entry, failure *outcome.Failure) {
	c.verdicts = append(c.verdicts, Verdict{ID: e.id, Failure: failure})
	c.forget(e)
}

func (c *StateMachine) forget(e *entry) {
	delete(c.entries, e.id)
	if c.inOrg[e.request.Organisation]--; c.inOrg[e.request.Organisation] <= 0 {
		delete(c.inOrg, e.request.Organisation)
	}
}

func advice(wait time.Duration) time.Duration { return min(max(wait, minRetryAfter), maxRetryAfter) }
