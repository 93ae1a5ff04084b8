package purse

import (
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// retryAdvice is the time after which a caller may retry when tokens can become free.
const retryAdvice = time.Second

// applyCall is a call to the ledger. One call per organisation is in progress at a time.
type applyCall struct {
	organisation string
	ops          []budget.Op
}

// completion ends a call of Reserve or Settle.
type completion struct {
	call        uint64
	reservation budget.Reservation
	failure     *outcome.Failure
}

// effects are the actions that an event has caused.
type effects struct {
	applies     []applyCall
	completions []completion
}

// core is the state of a purse. It does no I/O and reads no clock.
type core struct {
	settings Settings
	instance string
	out      effects

	accounts map[budget.ID]*account
	// active lists the accounts in the order of their creation.
	active       []*account
	reservations map[uint64]*reservation
	bills        map[billKey]*bill
	flushes      map[string]*flush
	lastID       uint64
	lastOp       uint64
	closed       bool
	// excess counts the tokens used above reservations; they are not billed.
	excess budget.Tokens
}

func newCore(instance string, settings Settings) *core {
	return &core{
		settings: settings.withDefaults(), instance: instance,
		accounts: map[budget.ID]*account{}, reservations: map[uint64]*reservation{},
		bills: map[billKey]*bill{}, flushes: map[string]*flush{},
	}
}

// take returns the effects caused since the last call.
func (c *core) take() effects {
	out := c.out
	c.out = effects{}
	return out
}

func (c *core) complete(call uint64, r budget.Reservation, failure *outcome.Failure) {
	if call != 0 {
		c.out.completions = append(c.out.completions, completion{call: call, reservation: r, failure: failure})
	}
}

func (c *core) account(id budget.ID) *account {
	a, ok := c.accounts[id]
	if !ok {
		a = &account{id: id}
		c.accounts[id] = a
		c.active = append(c.active, a)
	}
	return a
}

// reserve asks for tokens; the call is completed later.
func (c *core) reserve(now time.Time, call uint64, req budget.Request) {
	if c.closed {
		c.complete(call, budget.Reservation{}, closedFailure())
		return
	}
	if req.UpperBound <= 0 {
		c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonBadRequest, 0, "the request has no upper bound"))
		return
	}
	a := c.account(req.Budget)
	a.demand.add(now, req.UpperBound, c.settings.DemandWindow)
	a.lastUse = now
	a.waiting = append(a.waiting, &waiter{call: call, request: req, deadline: now.Add(c.settings.ReserveWait)})
	c.serve(now, a)
}

// serve gives free tokens to the waiting requests in order and refills the account.
func (c *core) serve(now time.Time, a *account) {
	for len(a.waiting) > 0 && a.waiting[0].request.UpperBound <= a.free {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		c.open(a, w)
	}
	c.refill(now, a)
}

func (c *core) open(a *account, w *waiter) {
	c.lastID++
	r := &reservation{id: c.lastID, account: a, request: w.request, tokens: w.request.UpperBound, call: w.call}
	a.free -= r.tokens
	a.reserved += r.tokens
	c.reservations[r.id] = r
	c.reserved(r)
}

// reserved completes the call of Reserve once the reservation is recorded.
func (c *core) reserved(r *reservation) {
	call := r.call
	r.call = 0
	c.complete(call, budget.Reservation{Request: r.request, ID: r.id}, nil)
}

// withdraw ends the wait of a Reserve or Settle call whose caller has gone. It reports the reason for the wait.
func (c *core) withdraw(now time.Time, call uint64) {
	for _, a := range c.active {
		for i, w := range a.waiting {
			if w.call == call {
				a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
				c.complete(call, budget.Reservation{}, c.refusal(a))
				c.serve(now, a)
				return
			}
		}
	}
	for _, r := range c.reservations {
		if r.call == call {
			r.call = 0
			c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonNoWitness, retryAdvice, "the reservation was not recorded in time"))
			c.cancel(now, r.id)
			return
		}
	}
	c.withdrawSettle(call)
}

func (c *core) withdrawSettle(call uint64) {
	for _, b := range c.bills {
		for i, waiting := range b.calls {
			if waiting == call {
				b.calls = append(b.calls[:i:i], b.calls[i+1:]...)
				c.complete(call, budget.Reservation{}, notBilled("the bill was not recorded in time"))
				return
			}
		}
	}
}

// settle bills a reservation; the call is completed once the bill is durable.
func (c *core) settle(now time.Time, call, id uint64, used budget.Tokens) {
	r, ok := c.reservations[id]
	if !ok {
		c.complete(call, budget.Reservation{}, notBilled("the reservation is not open"))
		return
	}
	delete(c.reservations, id)
	if used > r.tokens {
		c.excess += used - r.tokens
		used = r.tokens
	}
	a := r.account
	a.reserved -= r.tokens
	key := billKey{organisation: a.id.Organisation, key: r.request.IdempotencyKey}
	if b, ok := c.bills[key]; ok {
		// Another attempt of the same request was billed here; this one costs nothing.
		a.free += r.tokens
		c.join(b, call)
	} else {
		a.free += r.tokens - used
		c.bill(now, &bill{key: key, account: a, tokens: used, calls: []uint64{call}})
	}
	c.serve(now, a)
}

func (c *core) join(b *bill, call uint64) {
	if b.durable {
		c.complete(call, budget.Reservation{}, nil)
		return
	}
	b.calls = append(b.calls, call)
}

func (c *core) bill(now time.Time, b *bill) {
	a := b.account
	if len(a.unflushed) == 0 {
		a.firstBill = now
		f := c.flushOf(a.id.Organisation)
		f.billed = append(f.billed, a)
	}
	a.billed += b.tokens
	a.unflushed = append(a.unflushed, b)
	c.bills[b.key] = b
	c.flush(now, a.id.Organisation)
}

// durable completes the calls that wait for the bill.
func (c *core) durable(b *bill) {
	b.durable = true
	for _, call := range b.calls {
		c.complete(call, budget.Reservation{}, nil)
	}
	b.calls = nil
}

// cancel frees a reservation without a bill.
func (c *core) cancel(now time.Time, id uint64) {
	r, ok := c.reservations[id]
	if !ok {
		return
	}
	delete(c.reservations, id)
	r.account.reserved -= r.tokens
	r.account.free += r.tokens
	c.serve(now, r.account)
}

// close ends the instance: the ledger or a witness has refused it, so its tokens belong to others.
func (c *core) close() {
	if c.closed {
		return
	}
	c.closed = true
	for _, a := range c.active {
		for _, w := range a.waiting {
			c.complete(w.call, budget.Reservation{}, closedFailure())
		}
		a.waiting = nil
	}
	for _, r := range c.reservations {
		c.complete(r.call, budget.Reservation{}, closedFailure())
		r.call = 0
	}
	for _, b := range c.bills {
		for _, call := range b.calls {
			c.complete(call, budget.Reservation{}, notBilled("the instance was closed"))
		}
		b.calls = nil
	}
}

func closedFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAdvice, "the instance was closed and registers again")
}

func notBilled(cause string) *outcome.Failure {
	return outcome.Unknownf(outcome.ReasonNotBilled, retryAdvice, "%s", cause)
}

func (c *core) opID() string {
	c.lastOp++
	return fmt.Sprintf("%s/%d", c.instance, c.lastOp)
}
