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
	// tickInterval is the time between checks of deadlines and retries. Each wake-up costs an idle router processor time.
	tickInterval = 50 * time.Millisecond
	// applyTimeout bounds one call to the ledger; it is repeated after that.
	applyTimeout = 5 * time.Second
	// peerTimeout bounds one call to another router.
	peerTimeout = time.Second
	// registerTimeout bounds one attempt to register an instance; requests wait for the first one.
	registerTimeout = 2 * time.Second
	// eventQueue is the number of events that wait for the task.
	eventQueue = 1024
)

// Peers calls other routers. Implementations are safe for concurrent use.
type Peers interface {
	// Append sends a journal message to the witness at a.Address.
	Append(ctx context.Context, a journal.Append) (journal.Code, error)
	// Recall asks a holder to return idle tokens to the ledger.
	Recall(ctx context.Context, from, holder string, id budget.ID, need budget.Tokens) (RecallAnswer, error)
	// Transfer asks a router for idle tokens.
	Transfer(ctx context.Context, to, router string, id budget.ID, need, want budget.Tokens) (TransferAnswer, error)
	// Routers returns the other routers that may be asked for tokens.
	Routers() []string
}

// Config is what a token pool needs.
type Config struct {
	Registration journal.Registration
	Ledger       budget.Ledger
	Peers        Peers
	Registrar    journal.Registrar
	Settings     Settings
}

// Pool implements budget.Pool.
type Pool struct {
	config  Config
	events  chan func(now time.Time, c *stateMachine)
	ended   chan struct{}
	machine *stateMachine
	calls   map[uint64]chan completion
	last    uint64
	tasks   conc.WaitGroup
	// refusals counts refused reservations by reason.
	refusals counter.ByLabel
}

var _ budget.TokenPool = (*Pool)(nil)

// New returns a token pool that spends grants made to the registered instance, or registers one if none is given. Run
// must be called.
func New(config Config) *Pool {
	p := &Pool{
		config: config, events: make(chan func(time.Time, *stateMachine), eventQueue), ended: make(chan struct{}),
		machine: newStateMachine(config.Registration.Instance, config.Registration.Witnesses, config.Settings),
		calls:   map[uint64]chan completion{},
	}
	if config.Registration.Instance == "" {
		p.machine.close()
	}
	return p
}

// Run handles events until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.tasks.Wait()
	defer close(p.ended)
	p.carryOut(ctx, p.machine.take(time.Now()))
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
		p.carryOut(ctx, p.machine.take(now))
	}
}

// carryOut starts what an event has caused. Results go back to the state machine that caused it; they are dropped if the
// instance was closed meanwhile.
func (p *Pool) carryOut(ctx context.Context, out effects) {
	for _, done := range out.completions {
		if reply, ok := p.calls[done.call]; ok {
			delete(p.calls, done.call)
			reply <- done
		}
	}
	for _, call := range out.applies {
		p.start(ctx, applyTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			results, err := p.config.Ledger.Apply(ctx, call.organisation, call.ops)
			return func(now time.Time, c *stateMachine) { c.applied(now, call.organisation, results, err) }
		})
	}
	for _, a := range out.appends {
		p.start(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			code, err := p.config.Peers.Append(ctx, a)
			return func(now time.Time, c *stateMachine) { c.appended(now, a, code, err) }
		})
	}
	p.carryOutPeers(ctx, out)
	if out.recordSet {
		p.rewitness(ctx, out.record)
	}
	if out.closed && !p.machine.draining && p.config.Registrar != nil {
		p.register(ctx)
	}
}

func (p *Pool) carryOutPeers(ctx context.Context, out effects) {
	self := p.machine.instance
	for _, call := range out.recalls {
		p.start(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			answer, err := p.config.Peers.Recall(ctx, self, call.holder, call.budget, call.need)
			return func(now time.Time, c *stateMachine) { c.recalledBy(now, call, answer, err) }
		})
	}
	for _, call := range out.transfers {
		p.start(ctx, peerTimeout, func(ctx context.Context) func(time.Time, *stateMachine) {
			answer, err := p.config.Peers.Transfer(ctx, self, call.peer, call.budget, call.need, call.want)
			return func(now time.Time, c *stateMachine) { c.givenBy(now, call, answer, err) }
		})
	}
}

// start runs a call and passes its result to the state machine that caused it.
func (p *Pool) start(ctx context.Context, timeout time.Duration, call func(context.Context) func(time.Time, *stateMachine)) {
	cause := p.machine
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		result := call(ctx)
		p.send(func(now time.Time, c *stateMachine) {
			if c == cause {
				result(now, c)
			}
		})
	})
}

// rewitness changes the instance record until the outcome is known.
func (p *Pool) rewitness(ctx context.Context, set []journal.Ref) {
	cause := p.machine
	p.tasks.Go(func() {
		changed, closed, err := p.config.Registrar.ChangeWitnesses(ctx, cause.instance, set)
		if err != nil {
			return
		}
		p.send(func(now time.Time, c *stateMachine) {
			if c == cause {
				c.rewitnessed(now, changed, closed)
			}
		})
	})
}

// register replaces a closed instance by a new one. Reservations of the closed one can't be billed. Requests that arrive
// meanwhile wait for the first attempt, which takes a few ms unless the platform is lost.
func (p *Pool) register(ctx context.Context) {
	p.machine.registering = true
	p.tasks.Go(func() {
		for ctx.Err() == nil {
			r, err := p.tryRegister(ctx)
			if err == nil {
				p.send(func(now time.Time, c *stateMachine) { p.replace(now, c, r) })
				return
			}
			log.WithError(err).Warn("instance not registered")
			p.send(func(_ time.Time, c *stateMachine) { c.notRegistered() })
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

func (p *Pool) replace(now time.Time, closed *stateMachine, r journal.Registration) {
	next := newStateMachine(r.Instance, r.Witnesses, p.config.Settings)
	next.lastID, next.lastMove, next.draining = closed.lastID, closed.lastMove, closed.draining
	next.excess, next.peers = closed.excess, closed.peers
	p.machine = next
	for _, e := range closed.early {
		next.reserve(now, e.call, e.request)
	}
}

// send passes an event to the task; it reports false if the task has ended.
func (p *Pool) send(event func(now time.Time, c *stateMachine)) bool {
	select {
	case p.events <- event:
		return true
	case <-p.ended:
		return false
	}
}

// ask runs a function in the task and waits for it.
func (p *Pool) ask(f func(now time.Time, c *stateMachine)) bool {
	done := make(chan struct{})
	if !p.send(func(now time.Time, c *stateMachine) { f(now, c); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-p.ended:
		return false
	}
}

// call passes an event that is completed later and waits for its completion. If ctx ends first, the wait is
// withdrawn, and the completion tells what became of the call.
func (p *Pool) call(ctx context.Context, start func(now time.Time, c *stateMachine, call uint64)) (completion, bool) {
	reply := make(chan completion, 1)
	number := make(chan uint64, 1)
	if !p.send(func(now time.Time, c *stateMachine) {
		p.last++
		p.calls[p.last] = reply
		number <- p.last
		start(now, c, p.last)
	}) {
		return completion{}, false
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.ended:
		return completion{}, false
	case <-ctx.Done():
		p.send(func(now time.Time, c *stateMachine) { c.withdraw(now, <-number) })
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.ended:
		return completion{}, false
	}
}

// Reserve implements budget.TokenPool.
func (p *Pool) Reserve(ctx context.Context, req budget.Request) (budget.Reservation, error) {
	done, ok := p.call(ctx, func(now time.Time, c *stateMachine, call uint64) { c.reserve(now, call, req) })
	switch {
	case !ok:
		return budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAdvice, "the router has stopped")
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
	done, ok := p.call(ctx, func(now time.Time, c *stateMachine, call uint64) { c.settle(now, call, r.ID, used) })
	if !ok {
		return notBilled("the router has stopped")
	}
	if done.failure != nil {
		return done.failure
	}
	return nil
}

// Cancel implements budget.TokenPool.
func (p *Pool) Cancel(r budget.Reservation) {
	p.send(func(now time.Time, c *stateMachine) { c.cancel(now, r.ID) })
}
