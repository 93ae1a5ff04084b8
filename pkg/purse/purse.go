package purse

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// tickInterval is the time between checks of deadlines and retries.
const tickInterval = 20 * time.Millisecond

// Purse implements budget.Purse.
type Purse struct {
	ledger budget.Ledger
	events chan func(now time.Time, c *core)
	ended  chan struct{}
	core   *core
	calls  map[uint64]chan completion
	last   uint64
	tasks  conc.WaitGroup
}

var _ budget.Purse = (*Purse)(nil)

// New returns a purse that spends grants made to the instance. Run must be called.
func New(instance string, ledger budget.Ledger, settings Settings) *Purse {
	return &Purse{
		ledger: ledger, events: make(chan func(time.Time, *core), 1024), ended: make(chan struct{}),
		core: newCore(instance, settings), calls: map[uint64]chan completion{},
	}
}

// Run handles events until ctx ends.
func (p *Purse) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.tasks.Wait()
	defer close(p.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.core.tick(now)
		case event := <-p.events:
			event(time.Now(), p.core)
		}
		p.carryOut(ctx, p.core.take())
	}
}

func (p *Purse) carryOut(ctx context.Context, out effects) {
	for _, done := range out.completions {
		if reply, ok := p.calls[done.call]; ok {
			delete(p.calls, done.call)
			reply <- done
		}
	}
	for _, call := range out.applies {
		p.tasks.Go(func() {
			results, err := p.ledger.Apply(ctx, call.organisation, call.ops)
			p.send(func(now time.Time, c *core) { c.applied(now, call.organisation, results, err) })
		})
	}
}

// send passes an event to the task; it reports false if the task has ended.
func (p *Purse) send(event func(now time.Time, c *core)) bool {
	select {
	case p.events <- event:
		return true
	case <-p.ended:
		return false
	}
}

// call passes an event that is completed later and waits for its completion.
func (p *Purse) call(ctx context.Context, start func(now time.Time, c *core, call uint64)) (completion, bool) {
	reply := make(chan completion, 1)
	var call uint64
	ok := p.send(func(now time.Time, c *core) {
		p.last++
		call = p.last
		p.calls[call] = reply
		start(now, c, call)
	})
	if !ok {
		return completion{}, false
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.ended:
		return completion{}, false
	case <-ctx.Done():
		p.send(func(now time.Time, c *core) { c.withdraw(now, call) })
	}
	select {
	case done := <-reply:
		return done, true
	case <-p.ended:
		return completion{}, false
	}
}

// Reserve implements budget.Purse.
func (p *Purse) Reserve(ctx context.Context, req budget.Request) (budget.Reservation, error) {
	done, ok := p.call(ctx, func(now time.Time, c *core, call uint64) { c.reserve(now, call, req) })
	if !ok {
		return budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAdvice, "the router has stopped")
	}
	if done.failure != nil {
		return budget.Reservation{}, done.failure
	}
	if ctx.Err() != nil {
		p.Cancel(done.reservation)
		return budget.Reservation{}, outcome.NotRunf(outcome.ReasonDeadline, 0, "the caller has gone")
	}
	return done.reservation, nil
}

// Settle implements budget.Purse.
func (p *Purse) Settle(ctx context.Context, r budget.Reservation, used budget.Tokens) error {
	done, ok := p.call(ctx, func(now time.Time, c *core, call uint64) { c.settle(now, call, r.ID, used) })
	if !ok {
		return notBilled("the router has stopped")
	}
	if done.failure != nil {
		return done.failure
	}
	return nil
}

// Cancel implements budget.Purse.
func (p *Purse) Cancel(r budget.Reservation) {
	p.send(func(now time.Time, c *core) { c.cancel(now, r.ID) })
}
