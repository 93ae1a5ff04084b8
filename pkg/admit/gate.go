package admit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// expireEvery is the period at which queued requests are checked against their deadlines.
const expireEvery = 100 * time.Millisecond

// Gate is the task that owns a StateMachine. Its methods are safe for concurrent use and return after Run has ended.
type Gate struct {
	machine *StateMachine
	calls   chan func(now time.Time)
	waiting map[ID]chan *outcome.Failure
	stopped chan struct{}
	// refusals counts refused requests by reason, and denied retries that the retry budget did not allow.
	refusals counter.ByLabel
	denied   atomic.Int64
}

// NewGate returns a Gate; its methods wait until Run is called.
func NewGate(options Options) *Gate {
	return &Gate{
		machine: NewStateMachine(options), calls: make(chan func(time.Time)),
		waiting: map[ID]chan *outcome.Failure{}, stopped: make(chan struct{}),
	}
}

// Run serves the gate until ctx ends. Queued requests are then refused because the router is leaving.
func (g *Gate) Run(ctx context.Context) {
	defer close(g.stopped)
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.machine.Close(func() *outcome.Failure { return leaving() })
			g.deliver()
			return
		case call := <-g.calls:
			call(time.Now())
		case now := <-ticker.C:
			g.machine.Expire(now)
		}
		g.deliver()
	}
}

func leaving() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonLeaving, minRetryAfter, "the router is leaving")
}

func (g *Gate) deliver() {
	for _, v := range g.machine.Take() {
		if result := g.waiting[v.ID]; result != nil {
			delete(g.waiting, v.ID)
			if v.Failure != nil {
				g.refusals.Add(string(v.Failure.Reason))
			}
			result <- v.Failure
		}
	}
}

// do runs the call in the task and reports whether it ran.
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

// Ticket is the admission of one request. Exactly one Done call must follow.
type Ticket struct {
	gate *Gate
	id   ID
}

// Enter waits until the request may be dispatched. It returns a NotRun failure if the request is refused, or
// ctx.Err() if ctx ends first.
func (g *Gate) Enter(ctx context.Context, r Request) (*Ticket, error) {
	ticket := &Ticket{gate: g}
	return ticket, ticket.await(ctx, func(now time.Time) { ticket.id = g.machine.Offer(now, r) })
}

// Requeue gives the place back because all endpoints were full, and waits for the next one. The errors are those
// of Enter; after an error Done must not be called.
func (t *Ticket) Requeue(ctx context.Context) error {
	return t.await(ctx, func(time.Time) { t.gate.machine.Requeue(t.id) })
}

func (t *Ticket) await(ctx context.Context, call func(now time.Time)) error {
	g := t.gate
	result := make(chan *outcome.Failure, 1)
	if !g.do(func(now time.Time) {
		call(now)
		g.waiting[t.id] = result
	}) {
		return leaving()
	}
	select {
	case failure := <-result:
		if failure != nil {
			return failure
		}
		return nil
	case <-ctx.Done():
		g.do(func(now time.Time) {
			delete(g.waiting, t.id)
			g.machine.Cancel(now, t.id)
		})
		return ctx.Err()
	}
}

// Done gives the place back. Usage may be zero if the request failed.
func (t *Ticket) Done(u Usage) {
	t.gate.do(func(now time.Time) { t.gate.machine.Done(now, t.id, u) })
}

// AllowRetry takes one retry from the retry budget and reports whether there was one.
func (g *Gate) AllowRetry() bool {
	allowed := false
	g.do(func(time.Time) { allowed = g.machine.AllowRetry() })
	if !allowed {
		g.denied.Add(1)
	}
	return allowed
}

// SetCapacity sets how many requests may be in progress in a pool.
func (g *Gate) SetCapacity(pool string, requests int) {
	g.do(func(now time.Time) { g.machine.SetCapacity(now, pool, requests) })
}

// Refusals returns the number of refused requests by reason.
func (g *Gate) Refusals() map[string]int64 { return g.refusals.Counts() }

// DeniedRetries returns the number of retries that the retry budget did not allow.
func (g *Gate) DeniedRetries() int64 { return g.denied.Load() }

// Load returns the numbers of queued requests of deadline and of whole classes, and of dispatched requests.
func (g *Gate) Load() (deadline, whole, running int) {
	g.do(func(time.Time) {
		for _, p := range g.machine.pools {
			deadline += p.deadline.queued
			whole += p.whole.queued
			running += p.inflight
		}
	})
	return deadline, whole, running
}
