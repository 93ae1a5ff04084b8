package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Request describes a request that is to be admitted.
type Request struct {
	Organisation string
	Class        string
	// Pool names the endpoints that can run the request; see route.Pool.
	Pool   string
	Target config.TargetKind
	// Deadline is the time by which the whole reply must be delivered. It is used for deadline targets only; zero means
	// none.
	Deadline time.Time
	// Tokens is the expected cost: uncached prompt tokens plus output tokens. At least 1 is charged.
	Tokens int64
	// MaxOutputTokens is the request's output limit; 0 means no limit.
	MaxOutputTokens int
	// OrganisationLimit bounds the organisation's requests in progress, queued or running; 0 means no limit.
	OrganisationLimit int
}

// ID identifies an admitted or queued request in a StateMachine.
type ID uint64

// Verdict is the decision on a request.
type Verdict struct {
	ID ID
	// Failure is nil if the request may be dispatched.
	Failure *outcome.Failure
}

// Usage holds the times and the output length of a finished request.
type Usage struct {
	// FirstToken is the time from dispatch to the first output token, or to the answer of a plain service.
	FirstToken time.Duration
	// Total is the time from dispatch to the last byte.
	Total        time.Duration
	OutputTokens int
}

// entry is a request that is queued or dispatched.
type entry struct {
	id      ID
	request Request
	pool    *pool
	running bool // dispatched
	// isProbe exempts the request from early refusal; see estimates.allowProbe.
	isProbe bool
}

// StateMachine holds the queues and limits of one router. TakeVerdicts returns the verdicts that all calls have
// produced. It is not safe for concurrent use.
type StateMachine struct {
	options Options
	pools   map[string]*pool
	entries map[ID]*entry
	// inProgress counts the queued and dispatched requests by organisation.
	inProgress map[string]int
	verdicts   []Verdict
	lastID     ID
	retries    retryBudget
}

// NewStateMachine returns a StateMachine without pools. SetCapacity adds a pool; requests for other pools are refused.
func NewStateMachine(options Options) *StateMachine {
	options = options.withDefaults()
	return &StateMachine{
		options: options, pools: map[string]*pool{}, entries: map[ID]*entry{}, inProgress: map[string]int{},
		retries: retryBudget{share: options.RetryShare, burst: options.RetryBurst, remaining: options.RetryBurst},
	}
}

// Offer queues the request or refuses it, and returns its ID. This call or a later one produces the verdict.
func (m *StateMachine) Offer(now time.Time, r Request) ID {
	r.Tokens = max(1, r.Tokens)
	m.lastID++
	e := &entry{id: m.lastID, request: r, pool: m.pools[r.Pool]}
	m.retries.creditRequest()
	if failure := m.checkAdmission(now, e); failure != nil {
		m.verdicts = append(m.verdicts, Verdict{ID: e.id, Failure: failure})
		return e.id
	}
	m.entries[e.id] = e
	m.inProgress[r.Organisation]++
	e.pool.tier(r.Target).push(e)
	e.pool.queued++
	m.dispatch(now, e.pool)
	return e.id
}

// checkAdmission returns why the request can't be queued, or nil. If the queue is full, it evicts the newest request of
// the organisation that has the most queued, provided that these are more than the new request's organisation would
// then have.
func (m *StateMachine) checkAdmission(now time.Time, e *entry) *outcome.Failure {
	r := &e.request
	if e.pool == nil {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, time.Second, "no endpoint of %s is known", r.Pool)
	}
	wait := e.pool.estimateWait(m.options, r)
	if r.OrganisationLimit > 0 && m.inProgress[r.Organisation] >= r.OrganisationLimit {
		return outcome.NotRunf(outcome.ReasonOrgLimit, retryAfter(wait), "organisation %s has %d requests in progress, its limit",
			r.Organisation, r.OrganisationLimit)
	}
	if failure := e.pool.checkDeadline(now, wait, e); failure != nil {
		return failure
	}
	tier := e.pool.tier(r.Target)
	ownQueued := tier.queuedBy(r.Organisation)
	queueFull := outcome.NotRunf(outcome.ReasonOverload, retryAfter(wait), "the queue of %s is full", r.Pool)
	if ownQueued >= m.options.MaxQueuedPerOrganisation {
		return queueFull
	}
	if tier.queued < m.options.MaxQueued {
		return nil
	}
	organisation, longest := tier.longestQueue()
	if longest <= ownQueued+1 {
		return queueFull
	}
	evicted := tier.dropNewest(organisation)
	e.pool.queued--
	m.refuse(evicted, outcome.NotRunf(outcome.ReasonOverload, retryAfter(wait),
		"the queue of %s is full and organisation %s has most requests in it", r.Pool, organisation))
	return nil
}

// Done ends a dispatched request and dispatches the next ones. Usage may be zero if the request failed; it then does
// not change the estimates. A request that is not dispatched is ignored.
func (m *StateMachine) Done(now time.Time, id ID, u Usage) {
	e := m.entries[id]
	if e == nil || !e.running {
		return
	}
	e.pool.inflight--
	e.pool.paused = false
	if u.Total > 0 {
		e.pool.estimates.observe(now, &e.request, u)
	}
	m.removeEntry(e)
	m.dispatch(now, e.pool)
}

// Requeue puts a dispatched request back at the head of its queue because every endpoint turned out to be full.
// The pool dispatches nothing until a dispatched request ends or SetCapacity is called.
func (m *StateMachine) Requeue(id ID) {
	e := m.entries[id]
	if e == nil || !e.running {
		return
	}
	e.running = false
	e.pool.inflight--
	e.pool.queued++
	e.pool.paused = true
	e.pool.tier(e.request.Target).pushFront(e)
}

// Cancel ends a queued or dispatched request for which the caller no longer waits. It produces no verdict.
func (m *StateMachine) Cancel(now time.Time, id ID) {
	e := m.entries[id]
	if e == nil {
		return
	}
	if e.running {
		m.Done(now, id, Usage{})
		return
	}
	e.pool.tier(e.request.Target).remove(e)
	e.pool.queued--
	m.removeEntry(e)
}

// SetCapacity sets how many requests may be dispatched at a time to the endpoints of a pool, and adds the pool if it
// does not exist; see route.Table.Slots.
func (m *StateMachine) SetCapacity(now time.Time, pool string, requests int) {
	p := m.pools[pool]
	if p == nil {
		p = newPool()
		m.pools[pool] = p
	}
	p.capacity, p.paused = requests, false
	m.dispatch(now, p)
}

// Expire refuses the queued requests that would miss their deadline even if they were dispatched now.
func (m *StateMachine) Expire(now time.Time) {
	for _, p := range m.pools {
		for _, e := range p.deadline.entries() {
			if failure := p.checkDeadline(now, 0, e); failure != nil {
				p.deadline.remove(e)
				p.queued--
				m.refuse(e, failure)
			}
		}
	}
}

// Close refuses all queued requests, each with a new failure.
func (m *StateMachine) Close(failure func() *outcome.Failure) {
	for _, p := range m.pools {
		for _, t := range []*tier{&p.deadline, &p.whole} {
			for _, e := range t.entries() {
				t.remove(e)
				p.queued--
				m.refuse(e, failure())
			}
		}
	}
}

// TakeVerdicts returns the verdicts since its last call, in the order in which they were produced.
func (m *StateMachine) TakeVerdicts() []Verdict {
	verdicts := m.verdicts
	m.verdicts = nil
	return verdicts
}

// AllowRetry takes one retry from the retry budget and reports whether one was available.
func (m *StateMachine) AllowRetry() bool { return m.retries.tryConsume() }

// dispatch admits queued requests while the pool has free slots, and refuses those that would miss their deadline.
func (m *StateMachine) dispatch(now time.Time, p *pool) {
	for !p.paused && p.inflight < p.capacity && p.queued > 0 {
		e := p.popNext(m.options)
		p.queued--
		if failure := p.checkDeadline(now, 0, e); failure != nil {
			m.refuse(e, failure)
			continue
		}
		e.running = true
		p.inflight++
		m.verdicts = append(m.verdicts, Verdict{ID: e.id})
	}
}

func (m *StateMachine) refuse(e *entry, failure *outcome.Failure) {
	m.verdicts = append(m.verdicts, Verdict{ID: e.id, Failure: failure})
	m.removeEntry(e)
}

func (m *StateMachine) removeEntry(e *entry) {
	delete(m.entries, e.id)
	if m.inProgress[e.request.Organisation]--; m.inProgress[e.request.Organisation] <= 0 {
		delete(m.inProgress, e.request.Organisation)
	}
}

// retryAfter returns the time after which a refused caller is asked to retry.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
