package purse

import (
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxOps bounds the operations of one call to the ledger.
const maxOps = 256

// pendingOp is an operation that the ledger has not confirmed.
type pendingOp struct {
	op      budget.Op
	account *account
	bills   []*bill
}

// flush is the exchange with the ledger for one organisation. The operations of a call stay the same until its
// result is known, because a call that failed may have taken effect.
type flush struct {
	organisation string
	// billed lists the accounts with unflushed bills.
	billed     []*account
	queue      []*pendingOp
	sent       []*pendingOp
	inProgress bool
	retryAt    time.Time
	lastError  error
}

func (c *core) flushOf(organisation string) *flush {
	f, ok := c.flushes[organisation]
	if !ok {
		f = &flush{organisation: organisation}
		c.flushes[organisation] = f
	}
	return f
}

func (c *core) enqueue(a *account, op budget.Op, bills []*bill) {
	op.ID, op.Budget, op.Holder = c.opID(), a.id, c.instance
	f := c.flushOf(a.id.Organisation)
	f.queue = append(f.queue, &pendingOp{op: op, account: a, bills: bills})
}

// flush sends what is due for the organisation if no call is in progress. Bills go before grants.
func (c *core) flush(now time.Time, organisation string) {
	f := c.flushOf(organisation)
	if c.closed || f.inProgress || now.Before(f.retryAt) {
		return
	}
	if len(f.sent) == 0 {
		f.sent = c.collect(now, f)
	}
	if len(f.sent) == 0 {
		return
	}
	f.inProgress = true
	ops := make([]budget.Op, len(f.sent))
	for i, p := range f.sent {
		ops[i] = p.op
	}
	c.out.applies = append(c.out.applies, applyCall{organisation: organisation, ops: ops})
}

func (c *core) collect(now time.Time, f *flush) []*pendingOp {
	grants := f.queue
	f.queue = nil
	for _, a := range f.billed {
		c.enqueue(a, budget.Op{Kind: budget.OpSettle, Bills: records(a.unflushed)}, a.unflushed)
		a.unflushed = nil
	}
	f.billed = nil
	all := append(f.queue, grants...)
	n := min(len(all), maxOps)
	f.queue = append([]*pendingOp(nil), all[n:]...)
	return all[:n]
}

func records(bills []*bill) []budget.Bill {
	out := make([]budget.Bill, len(bills))
	for i, b := range bills {
		out[i] = b.record()
	}
	return out
}

// applied takes the result of a call to the ledger.
func (c *core) applied(now time.Time, organisation string, results []budget.Result, err error) {
	f := c.flushOf(organisation)
	f.inProgress = false
	if c.closed {
		return
	}
	f.lastError = err
	if err != nil || len(results) != len(f.sent) {
		f.retryAt = now.Add(c.settings.RetryInterval)
		return
	}
	sent := f.sent
	f.sent = nil
	for i, p := range sent {
		if results[i].Code == budget.CodeHolderClosed {
			c.close()
			return
		}
		c.confirm(now, p, results[i])
	}
	c.flush(now, organisation)
}

func (c *core) confirm(now time.Time, p *pendingOp, result budget.Result) {
	if result.Preference != "" {
		p.account.preference = result.Preference
	}
	switch p.op.Kind {
	case budget.OpSettle:
		c.settled(p, result)
	case budget.OpGrant:
		c.granted(now, p, result)
	case budget.OpReturn:
		p.account.away -= p.op.Tokens
	}
	c.serve(now, p.account)
}

func (c *core) settled(p *pendingOp, result budget.Result) {
	if result.Code != budget.CodeOK {
		// The grant no longer covers the bills: an operator has released it.
		c.close()
		return
	}
	duplicates := map[string]bool{}
	for _, key := range result.Duplicates {
		duplicates[key] = true
	}
	for _, b := range p.bills {
		p.account.billed -= b.tokens
		if duplicates[b.key.key] {
			p.account.free += b.tokens
		}
		c.durable(b)
		delete(c.bills, b.key)
	}
}

func (c *core) granted(now time.Time, p *pendingOp, result budget.Result) {
	a := p.account
	a.refilling = false
	switch result.Code {
	case budget.CodeOK:
		a.free += result.Granted
		if result.Granted < p.op.Want {
			a.nextRefill = now.Add(c.settings.RecallInterval)
		}
	case budget.CodeBudgetUnknown:
		c.refuseAll(a, outcome.NotRunf(outcome.ReasonBudgetUnknown, 0, "budget %s does not exist", a.id))
	case budget.CodeExhausted:
		c.refuseFirst(a, p.op.Need)
		a.nextRefill = now.Add(c.settings.RecallInterval)
	default:
		a.nextRefill = now.Add(c.settings.RecallInterval)
	}
}

func (c *core) refuseAll(a *account, failure *outcome.Failure) {
	for _, w := range a.waiting {
		c.complete(w.call, budget.Reservation{}, failure)
	}
	a.waiting = nil
}

// refuseFirst refuses the first request if the ledger could not cover it.
func (c *core) refuseFirst(a *account, need budget.Tokens) {
	if len(a.waiting) == 0 || a.waiting[0].request.UpperBound-a.free < need {
		return
	}
	w := a.waiting[0]
	a.waiting = a.waiting[1:]
	c.complete(w.call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "budget %s has too few tokens left", a.id))
}

// refill asks for tokens if requests wait or the free tokens will run out soon.
func (c *core) refill(now time.Time, a *account) {
	if c.closed || a.refilling {
		return
	}
	horizon := a.demand.over(now, c.settings.DemandWindow, c.settings.horizon(a.preference))
	var need, waiting budget.Tokens
	for _, w := range a.waiting {
		waiting += w.request.UpperBound
	}
	if waiting > 0 {
		need = max(1, a.waiting[0].request.UpperBound-a.free)
	} else if a.free < horizon/2 {
		need = 1
	}
	if need == 0 || now.Before(a.nextRefill) {
		return
	}
	a.refilling = true
	want := max(need, waiting+horizon-a.free)
	c.enqueue(a, budget.Op{Kind: budget.OpGrant, Need: need, Want: want}, nil)
	c.flush(now, a.id.Organisation)
}

// refusal returns the failure of a request that waited until its deadline.
func (c *core) refusal(a *account) *outcome.Failure {
	if err := c.flushOf(a.id.Organisation).lastError; err != nil && errors.Is(err, platform.ErrUnavailable) {
		return outcome.NotRunf(outcome.ReasonPlatformAway, retryAdvice, "the platform is not reachable and no tokens of %s are left here", a.id)
	}
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAdvice, "no tokens of %s could be obtained in time", a.id)
}

// tick ends waits whose deadline has passed, repeats failed calls and sends what is due.
func (c *core) tick(now time.Time) {
	for _, a := range c.active {
		for len(a.waiting) > 0 && !now.Before(a.waiting[0].deadline) {
			w := a.waiting[0]
			a.waiting = a.waiting[1:]
			c.complete(w.call, budget.Reservation{}, c.refusal(a))
		}
		c.serve(now, a)
	}
	for _, a := range c.active {
		c.flush(now, a.id.Organisation)
	}
}
