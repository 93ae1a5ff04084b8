package tokenpool

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// drainPoll is the time between two looks at a token pool that is being drained.
const drainPoll = 50 * time.Millisecond

// WitnessStatus returns the state of the journal. Witnesses count as failing if they have not answered for the given
// time. It reports false if the token pool has stopped.
func (p *Pool) WitnessStatus(failing time.Duration) (journal.WitnessStatus, bool) {
	var w journal.WitnessStatus
	ok := p.ask(func(now time.Time, c *stateMachine) {
		w = journal.WitnessStatus{
			Instance: c.instance, Witnesses: c.log.Witnesses(), Failing: c.log.FailingWitnesses(now, failing),
			Changing: c.log.Changing(), Closed: c.closed,
		}
	})
	return w, ok
}

// ChangeWitnesses starts a change of the witnesses of the instance. It has no effect if the instance was replaced or a
// change is in progress.
func (p *Pool) ChangeWitnesses(instance string, set []journal.Ref) {
	p.send(func(_ time.Time, c *stateMachine) {
		if c.instance == instance && !c.closed {
			c.log.Propose(set)
		}
	})
}

// AbortWitnessChange ends a change of the witnesses whose new witnesses do not answer.
func (p *Pool) AbortWitnessChange() {
	p.send(func(_ time.Time, c *stateMachine) { c.log.AbortChange() })
}

// Close ends the instance. A token pool that is not being drained registers a new one.
func (p *Pool) Close(instance string) {
	p.ask(func(_ time.Time, c *stateMachine) {
		if c.instance == instance {
			c.close()
		}
	})
}

// Recall returns idle tokens of a budget to the ledger for another router.
func (p *Pool) Recall(ctx context.Context, holder string, id budget.ID, need budget.Tokens) (RecallAnswer, error) {
	done, ok := p.call(ctx, func(now time.Time, c *stateMachine, call uint64) { c.recalled(now, call, holder, id, need) })
	if !ok {
		return RecallAnswer{NotHolder: true}, nil
	}
	if done.failure != nil {
		return RecallAnswer{}, done.failure
	}
	return done.recalled, nil
}

// TransferOut gives idle tokens to another router. The answer is sent once a witness has recorded the transfer.
func (p *Pool) TransferOut(ctx context.Context, to string, id budget.ID, need, want budget.Tokens) (TransferAnswer, error) {
	done, ok := p.call(ctx, func(now time.Time, c *stateMachine, call uint64) { c.give(now, call, to, id, need, want) })
	if !ok {
		return TransferAnswer{}, outcome.NotRunf(outcome.ReasonLeaving, retryAdvice, "the router has stopped")
	}
	if done.failure != nil {
		return TransferAnswer{}, done.failure
	}
	return done.given, nil
}

// Drain stops new reservations, returns all tokens, and waits until nothing is left or ctx ends. DrainStatus tells
// what it waits for.
func (p *Pool) Drain(ctx context.Context) error {
	p.send(func(now time.Time, c *stateMachine) { c.drain(now) })
	for {
		s, ok := p.DrainStatus()
		if !ok || s.Done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// DrainStatus returns what a graceful stop would wait for. It reports false if the token pool has stopped.
func (p *Pool) DrainStatus() (DrainStatus, bool) {
	var s DrainStatus
	ok := p.ask(func(_ time.Time, c *stateMachine) { s = c.status() })
	return s, ok
}

// Refusals returns the number of refused reservations by reason.
func (p *Pool) Refusals() map[string]int64 { return p.refusals.Counts() }

// Holding is this router's part of a budget.
type Holding struct {
	Budget                            budget.ID
	Free, Reserved, Billed, InTransit budget.Tokens
	Waiting                           int
}

// Holdings returns this router's part of all budgets that it uses, and the tokens that were used above
// reservations and not billed. It reports false if the token pool has stopped.
func (p *Pool) Holdings() (holdings []Holding, excess budget.Tokens, ok bool) {
	ok = p.ask(func(_ time.Time, c *stateMachine) {
		excess = c.excess
		for _, a := range c.active {
			holdings = append(holdings, Holding{
				Budget: a.id, Free: a.free, Reserved: a.reserved, Billed: a.billed, InTransit: a.inTransit, Waiting: len(a.waiting),
			})
		}
	})
	return holdings, excess, ok
}
