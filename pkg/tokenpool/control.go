package tokenpool

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// drainPollInterval is the time between checks of whether a drain has finished.
const drainPollInterval = 50 * time.Millisecond

// WitnessStatus returns the state of the journal. A witness counts as failing if it has not answered for the given
// duration. WitnessStatus reports false if the token pool has stopped.
func (p *Pool) WitnessStatus(failing time.Duration) (journal.WitnessStatus, bool) {
	var w journal.WitnessStatus
	ok := p.runInLoop(func(now time.Time, m *stateMachine) {
		w = journal.WitnessStatus{
			Instance: m.instance, Witnesses: m.log.Witnesses(), Failing: m.log.FailingWitnesses(now, failing),
			Changing: m.log.Changing(), Closed: m.closed,
		}
	})
	return w, ok
}

// ChangeWitnesses starts a change of the witnesses of the instance. It has no effect if the instance was replaced or a
// change is in progress.
func (p *Pool) ChangeWitnesses(instance string, set []journal.Ref) {
	p.sendEvent(func(_ time.Time, m *stateMachine) {
		if m.instance == instance && !m.closed {
			m.log.Propose(set)
		}
	})
}

// AbortWitnessChange aborts a change of the witnesses. It is meant for a change whose new witnesses do not answer.
func (p *Pool) AbortWitnessChange() {
	p.sendEvent(func(_ time.Time, m *stateMachine) { m.log.AbortChange() })
}

// Close ends the instance if it is still the current one. A token pool that is not being drained then registers a new
// instance.
func (p *Pool) Close(instance string) {
	p.runInLoop(func(_ time.Time, m *stateMachine) {
		if m.instance == instance {
			m.close()
		}
	})
}

// Recall returns idle tokens of a budget to the ledger, because another router needs them. The error is an
// *outcome.Failure if the call was not answered in time.
func (p *Pool) Recall(ctx context.Context, holder string, id budget.ID, need budget.Tokens) (RecallAnswer, error) {
	done, ok := p.call(ctx, func(now time.Time, m *stateMachine, call uint64) { m.handleRecall(now, call, holder, id, need) })
	if !ok {
		return RecallAnswer{NotHolder: true}, nil
	}
	if done.failure != nil {
		return RecallAnswer{}, done.failure
	}
	return done.recallAnswer, nil
}

// TransferOut transfers idle tokens to the instance named by to. It returns once a witness has recorded the transfer;
// the answer has no tokens if none can be transferred. Errors are of type *outcome.Failure.
func (p *Pool) TransferOut(ctx context.Context, to string, id budget.ID, need, want budget.Tokens) (TransferAnswer, error) {
	done, ok := p.call(ctx, func(now time.Time, m *stateMachine, call uint64) { m.transferOut(now, call, to, id, need, want) })
	if !ok {
		return TransferAnswer{}, outcome.NotRunf(outcome.ReasonLeaving, retryAfter, "the router has stopped")
	}
	if done.failure != nil {
		return TransferAnswer{}, done.failure
	}
	return done.transferAnswer, nil
}

// Drain refuses new reservations, returns all tokens to the ledger, and waits until DrainStatus reports that nothing is
// left. It returns the error of ctx if ctx ends first.
func (p *Pool) Drain(ctx context.Context) error {
	p.sendEvent(func(now time.Time, m *stateMachine) { m.drain(now) })
	for {
		s, ok := p.DrainStatus()
		if !ok || s.Done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// DrainStatus returns what Drain would wait for. It reports false if the token pool has stopped.
func (p *Pool) DrainStatus() (DrainStatus, bool) {
	var s DrainStatus
	ok := p.runInLoop(func(_ time.Time, m *stateMachine) { s = m.drainStatus() })
	return s, ok
}

// Refusals returns the number of refused reservations, by reason.
func (p *Pool) Refusals() map[string]int64 { return p.refusals.Counts() }

// Holding is this router's part of a budget.
type Holding struct {
	Budget                            budget.ID
	Free, Reserved, Billed, InTransit budget.Tokens
	Waiting                           int
}

// Holdings returns this router's part of each budget that it uses, and the number of tokens that were used beyond
// reservations and not billed. It reports false if the token pool has stopped.
func (p *Pool) Holdings() (holdings []Holding, excess budget.Tokens, ok bool) {
	ok = p.runInLoop(func(_ time.Time, m *stateMachine) {
		excess = m.excess
		for _, a := range m.active {
			holdings = append(holdings, Holding{
				Budget: a.id, Free: a.free, Reserved: a.reserved, Billed: a.billed, InTransit: a.inTransit, Waiting: len(a.waiting),
			})
		}
	})
	return holdings, excess, ok
}
