package admit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// expireInterval is the period at which queued requests are checked against their deadlines.
const expireInterval = 100 * time.Millisecond

// Gate runs a StateMachine in the goroutine of Run. Its other methods are safe for concurrent use. Those that use the
// StateMachine wait until Run is called; after Run has returned, they return at once and change nothing.
type Gate struct {
	machine *StateMachine
	calls   chan func(now time.Time)
	waiters map[ID]chan *outcome.Failure
	stopped chan struct{}
	// refusals counts refused requests by reason.
	refusals counter.ByLabel
	// deniedRetries counts the retries that the retry budget did not allow.
	deniedRetries atomic.Int64
}

// NewGate returns a Gate that makes no decisions until Run is called.
func NewGate(options Options) *Gate {
	return &Gate{
		machine: NewStateMachine(options), calls: make(chan func(time.Time)),
		waiters: map[ID]chan *outcome.Failure{}, stopped: make(chan struct{}),
	}
}

// Run makes the admission decisions until ctx is done. It then refuses the queued requests with
// outcome.ReasonLeaving.
func (g *Gate) Run(ctx context.Context) {
	defer close(g.stopped)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.machine.Close(func() *outcome.Failure { return leavingFailure() })
			g.deliverVerdicts()
			return
		case call := <-g.calls:
			call(time.Now())
		case now := <-ticker.C:
			g.machine.Expire(now)
		}
		g.deliverVerdicts()
	}
}

func leavingFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonLeaving, minRetryAfter, "the router is leaving")
}

// deliverVerdicts passes the new verdicts to the callers that wait for them.
func (g *Gate) deliverVerdicts() {
	for _, v := range g.machine.TakeVerdicts() {
		if result := g.waiters[v.ID]; result != nil {
			delete(g.waiters, v.ID)
			if v.Failure != nil {
				g.refusals.Add(string(v.Failure.Reason))
			}
			result <- v.Failure
		}
	}
}

// do runs the call in the goroutine of Run and waits for it. It returns false, without running the call, once Run has
// returned.
func (g *Gate) do(call func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case g.calls <- func(now time.Time) { call(now); close(done) }:
		<-done
		return true
	case <-g.stopped:
		return false
	}
}

// Ticket is the admission of one request, which holds a slot of the pool. Done must be called exactly once.
type Ticket struct {
	gate *Gate
	id   ID
}

// Enter waits until the request may be dispatched. It returns an *outcome.Failure with outcome.NotRun if the request
// is refused, or ctx.Err() if ctx is done first.
func (g *Gate) Enter(ctx context.Context, r Request) (*Ticket, error) {
	ticket := &Ticket{gate: g}
	return ticket, ticket.await(ctx, func(now time.Time) { ticket.id = g.machine.Offer(now, r) })
}

// Requeue releases the slot because all endpoints were full, and waits for another one. The errors are those of
// Enter; after an error Done must not be called.
func (t *Ticket) Requeue(ctx context.Context) error {
	return t.await(ctx, func(time.Time) { t.gate.machine.Requeue(t.id) })
}

// await runs the call, which queues the ticket's request, and waits for the verdict.
func (t *Ticket) await(ctx context.Context, call func(now time.Time)) error {
	g := t.gate
	result := make(chan *outcome.Failure, 1)
	if !g.do(func(now time.Time) {
		call(now)
		g.waiters[t.id] = result
	}) {
		return leavingFailure()
	}
	select {
	case failure := <-result:
		if failure != nil {
			return failure
		}
		return nil
	case <-ctx.Done():
		g.do(func(now time.Time) {
			delete(g.waiters, t.id)
			g.machine.Cancel(now, t.id)
		})
		return ctx.Err()
	}
}

// Done releases the slot. Usage may be zero if the request failed.
func (t *Ticket) Done(u Usage) {
	t.gate.do(func(now time.Time) { t.gate.machine.Done(now, t.id, u) })
}

// AllowRetry takes one retry from the retry budget and reports whether one was available. It returns false after Run
// has returned.
func (g *Gate) AllowRetry() bool {
	allowed := false
	g.do(func(time.Time) { allowed = g.machine.AllowRetry() })
	if !allowed {
		g.deniedRetries.Add(1)
	}
	return allowed
}

// SetCapacity sets how many requests may be dispatched at a time to the endpoints of a pool.
func (g *Gate) SetCapacity(pool string, requests int) {
	g.do(func(now time.Time) { g.machine.SetCapacity(now, pool, requests) })
}

// Refusals returns the number of refused requests by reason.
func (g *Gate) Refusals() map[string]int64 { return g.refusals.Counts() }

// DeniedRetries returns the number of retries that the retry budget did not allow.
func (g *Gate) DeniedRetries() int64 { return g.deniedRetries.Load() }

// Load returns the numbers of queued requests of deadline and of whole classes, and of dispatched requests, in all
// pools. They are 0 after Run has returned.
func (g *Gate) Load() (deadlineQueued, wholeQueued, running int) {
	g.do(func(time.Time) {
		for _, p := range g.machine.pools {
			deadlineQueued += p.deadline.queued
			wholeQueued += p.whole.queued
			running += p.inflight
		}
	})
	return deadlineQueued, wholeQueued, running
}
