package tokenpool

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

const (
	// tickInterval is the time between checks of deadlines and retries. Each tick costs CPU time, also on an idle router.
	tickInterval = 50 * time.Millisecond
	// applyTimeout bounds one call to the ledger, which is then repeated.
	applyTimeout = 5 * time.Second
	// peerTimeout bounds one call to another router.
	peerTimeout = time.Second
	// registerTimeout bounds one attempt to register an instance. Requests wait for the first attempt.
	registerTimeout = 2 * time.Second
	// eventQueueLength is the capacity of the queue of events for Run.
	eventQueueLength = 1024
)

// Peers calls other routers. Implementations are safe for concurrent use.
type Peers interface {
	// Append sends a journal message to the witness at a.Address.
	Append(ctx context.Context, a journal.Append) (journal.Code, error)
	// Recall asks the instance named by holder to return idle tokens to the ledger. from names the calling instance.
	Recall(ctx context.Context, from, holder string, id budget.ID, need budget.Tokens) (RecallAnswer, error)
	// Transfer asks a router to transfer idle tokens to the instance named by to.
	Transfer(ctx context.Context, to, router string, id budget.ID, need, want budget.Tokens) (TransferAnswer, error)
	// Routers returns the other routers that may be asked for tokens.
	Routers() []string
}

// Config holds the dependencies and settings of a token pool. If Registrar is nil, a closed instance is not replaced.
type Config struct {
	Registration journal.Registration
	Ledger       budget.Ledger
	Peers        Peers
	Registrar    journal.Registrar
	Settings     Settings
}

// Pool implements budget.TokenPool. Its methods are safe for concurrent use; all events are handled in the goroutine
// that calls Run.
type Pool struct {
	config   Config
	events   chan func(now time.Time, m *stateMachine)
	stopped  chan struct{}
	machine  *stateMachine
	calls    map[uint64]chan completion
	lastCall uint64
	tasks    conc.WaitGroup
	// refusals counts refused reservations by reason.
	refusals counter.ByLabel
}

var _ budget.TokenPool = (*Pool)(nil)

// New returns a token pool that spends the grants of the registered instance. If config names no instance, requests are
// refused until one is registered. Calls are handled only while Run is running.
func New(config Config) *Pool {
	p := &Pool{
		config: config, events: make(chan func(time.Time, *stateMachine), eventQueueLength), stopped: make(chan struct{}),
		machine: newStateMachine(config.Registration.Instance, config.Registration.Witnesses, config.Settings),
		calls:   map[uint64]chan completion{},
	}
	if config.Registration.Instance == "" {
		p.machine.close()
	}
	return p
}

// Run handles events until ctx ends, and then waits for the calls in progress. It must be called once.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.tasks.Wait()
	defer close(p.stopped)
	p.execute(ctx, p.machine.takeEffects(time.Now()))
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
			if p.config.Peers != nil {
				p.machine.peers = p.config.Peers.Routers()
			}
			p.machine.tick(now)
		case event := <-p.events:
			now = time.Now()
			event(now, p.machine)
		}
		p.execute(ctx, p.machine.takeEffects(now))
	}
}

// execute carries out the effects of an event. Results are passed to the state machine that caused them, and discarded
// if a new instance has replaced it meanwhile.
func (p *Pool) execute(ctx context.Context, out effects) {
	for _, done := range out.completions {
		if reply, ok := p.calls[done.call]; ok {
			delete(p.calls, done.call)
			reply <- done
		}
	}
	for _, call := range out.applies {
		p.startCall(ctx, applyTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			results, err := p.config.Ledger.Apply(ctx, call.organisation, call.ops)
			return func(now time.Time, m *stateMachine) { m.handleLedgerResults(now, call.organisation, results, err) }
		})
	}
	for _, a := range out.appends {
		p.startCall(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			code, err := p.config.Peers.Append(ctx, a)
			return func(now time.Time, m *stateMachine) { m.handleAppendAnswer(now, a, code, err) }
		})
	}
	p.executePeerCalls(ctx, out)
	if out.hasWitnessChange {
		p.changeWitnesses(ctx, out.witnessChange)
	}
	if out.closed && !p.machine.draining && p.config.Registrar != nil {
		p.register(ctx)
	}
}

func (p *Pool) executePeerCalls(ctx context.Context, out effects) {
	self := p.machine.instance
	for _, call := range out.recalls {
		p.startCall(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			answer, err := p.config.Peers.Recall(ctx, self, call.holder, call.budget, call.need)
			return func(now time.Time, m *stateMachine) { m.handleRecallAnswer(now, call, answer, err) }
		})
	}
	for _, call := range out.transfers {
		p.startCall(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			answer, err := p.config.Peers.Transfer(ctx, self, call.peer, call.budget, call.need, call.want)
			return func(now time.Time, m *stateMachine) { m.handleTransferAnswer(now, call, answer, err) }
		})
	}
}

// startCall runs a call in its own goroutine and passes its result to the state machine that caused it.
func (p *Pool) startCall(ctx context.Context, timeout time.Duration, call func(context.Context) func(time.Time, *stateMachine)) {
	machine := p.machine
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		result := call(ctx)
		p.sendEvent(func(now time.Time, m *stateMachine) {
			if m == machine {
				result(now, m)
			}
		})
	})
}

// changeWitnesses writes the new witnesses to the instance record and passes on the outcome, unless it stays unknown.
func (p *Pool) changeWitnesses(ctx context.Context, set []journal.Ref) {
	machine := p.machine
	p.tasks.Go(func() {
		changed, closed, err := p.config.Registrar.ChangeWitnesses(ctx, machine.instance, set)
		if err != nil {
			return
		}
		p.sendEvent(func(now time.Time, m *stateMachine) {
			if m == machine {
				m.handleWitnessChange(now, changed, closed)
			}
		})
	})
}

// register replaces a closed instance by a new one, retrying until it succeeds or ctx ends. Reservations of the closed
// instance can't be billed. Requests that arrive meanwhile wait for the first attempt, which takes a few milliseconds
// unless the platform is unreachable.
func (p *Pool) register(ctx context.Context) {
	p.machine.registering = true
	p.tasks.Go(func() {
		for ctx.Err() == nil {
			r, err := p.tryRegister(ctx)
			if err == nil {
				p.sendEvent(func(now time.Time, m *stateMachine) { p.replaceMachine(now, m, r) })
				return
			}
			log.WithError(err).Warn("failed to register instance")
			p.sendEvent(func(_ time.Time, m *stateMachine) { m.refuseEarlyRequests() })
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
}

func (p *Pool) tryRegister(ctx context.Context) (journal.Registration, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return p.config.Registrar.Register(ctx)
}

func (p *Pool) replaceMachine(now time.Time, closed *stateMachine, r journal.Registration) {
	next := newStateMachine(r.Instance, r.Witnesses, p.config.Settings)
	next.lastReservationID, next.lastTransferNumber, next.draining = closed.lastReservationID, closed.lastTransferNumber, closed.draining
	next.excess, next.peers = closed.excess, closed.peers
	p.machine = next
	for _, e := range closed.earlyRequests {
		next.reserve(now, e.call, e.request)
	}
}

// sendEvent passes an event to Run. It reports false if Run has returned.
func (p *Pool) sendEvent(event func(now time.Time, m *stateMachine)) bool {
	select {
	case p.events <- event:
		return true
	case <-p.stopped:
		return false
	}
}

// runInLoop runs f in the goroutine of Run and waits for it. It reports false if Run has returned.
func (p *Pool) runInLoop(f func(now time.Time, m *stateMachine)) bool {
	done := make(chan struct{})
	if !p.sendEvent(func(now time.Time, m *stateMachine) { f(now, m); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-p.stopped:
		return false
	}
}

// call passes an event to Run and waits for the completion of the call that it starts. If ctx ends first, the call is
// cancelled, and the completion gives its outcome. It reports false if Run has returned.
func (p *Pool) call(ctx context.Context, start func(now time.Time, m *stateMachine, call uint64)) (completion, bool) {
	reply := make(chan completion, 1)
	callNumber := make(chan uint64, 1)
	if !p.sendEvent(func(now time.Time, m *stateMachine) {
		p.lastCall++
		p.calls[p.lastCall] = reply
		callNumber <- p.lastCall
		start(now, m, p.lastCall)
	}) {
		return completion{}, false
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.stopped:
		return completion{}, false
	case <-ctx.Done():
		p.sendEvent(func(now time.Time, m *stateMachine) { m.cancelCall(now, <-callNumber) })
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.stopped:
		return completion{}, false
	}
}

// Reserve implements budget.TokenPool.
func (p *Pool) Reserve(ctx context.Context, req budget.Request) (budget.Reservation, error) {
	done, ok := p.call(ctx, func(now time.Time, m *stateMachine, call uint64) { m.reserve(now, call, req) })
	switch {
	case !ok:
		return budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAfter, "the router has stopped")
	case done.failure != nil:
		p.refusals.Add(string(done.failure.Reason))
		return budget.Reservation{}, done.failure
	case ctx.Err() != nil:
		p.Cancel(done.reservation)
		return budget.Reservation{}, outcome.NotRunf(outcome.ReasonDeadline, 0, "the caller has gone")
	}
	return done.reservation, nil
}

// Settle implements budget.TokenPool.
func (p *Pool) Settle(ctx context.Context, r budget.Reservation, used budget.Tokens) error {
	done, ok := p.call(ctx, func(now time.Time, m *stateMachine, call uint64) { m.settle(now, call, r.ID, used) })
	if !ok {
		return notBilledFailure("the router has stopped")
	}
	if done.failure != nil {
		return done.failure
	}
	return nil
}

// Cancel implements budget.TokenPool.
func (p *Pool) Cancel(r budget.Reservation) {
	p.sendEvent(func(now time.Time, m *stateMachine) { m.cancel(now, r.ID) })
}
