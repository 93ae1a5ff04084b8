package tokenpool

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// retryAdvice is the time after which a caller may retry when tokens can become free.
const retryAdvice = time.Second

// applyCall is a call to the ledger. One call per organisation is in progress at a time.
type applyCall struct {
	organisation string
	ops          []budget.Op
}

// completion ends a call of Reserve, Settle, recalled or given.
type completion struct {
	call        uint64
	reservation budget.Reservation
	failure     *outcome.Failure
	// recalled answers a recall and given a transfer.
	recalled RecallAnswer
	given    TransferAnswer
}

// effects are the actions that an event has caused.
type effects struct {
	applies     []applyCall
	appends     []journal.Append
	recalls     []recallCall
	transfers   []transferCall
	completions []completion
	// record is a set of witnesses that the instance record is to name; recordSet tells that there is one.
	record    []journal.Ref
	recordSet bool
	// closed tells that the instance has been closed and a new one must be registered.
	closed bool
}

// stateMachine is the state of a token pool. It does no I/O and reads no clock.
type stateMachine struct {
	settings Settings
	instance string
	out      effects
	log      *journal.Log
	peers    []string

	accounts map[budget.ID]*account
	// active lists the accounts in the order of their creation, and hot those that every tick looks at.
	active, hot  []*account
	reservations map[uint64]*reservation
	bills        map[billKey]*bill
	flushes      map[string]*flush
	busy         []*flush
	moves        map[string]*move
	// flushing holds the journal entries of settle operations that the ledger has not confirmed.
	flushing map[string]journal.Entry
	// awaiting maps positions in the journal to what waits for their acknowledgement.
	awaiting map[uint64]ack
	// unrecorded lists reservations that wait for a witness, the oldest first.
	unrecorded []*reservation
	callers    map[uint64]caller
	nextScan   time.Time

	lastID, lastOp, lastMove uint64
	closed, draining         bool
	// registering tells that the first attempt to register a new instance after the close has not ended. Requests wait
	// for it in early.
	registering bool
	early       []earlyRequest
	// excess counts the tokens used above reservations; they are not billed.
	excess budget.Tokens
}

// ack is what happens once a witness has recorded an entry.
type ack struct {
	then func(now time.Time)
	// plain tells that it also happens if the instance has no witnesses any more.
	plain bool
}

// caller is what a call waits for; one field is set.
type caller struct {
	waiter      *waiter
	reservation *reservation
	bill        *bill
}

// earlyRequest is a reservation that waits for a new instance.
type earlyRequest struct {
	call    uint64
	request budget.Request
}

func newStateMachine(instance string, witnesses []journal.Ref, settings Settings) *stateMachine {
	c := &stateMachine{
		settings: settings.withDefaults(), instance: instance,
		accounts: map[budget.ID]*account{}, reservations: map[uint64]*reservation{},
		bills: map[billKey]*bill{}, flushes: map[string]*flush{}, moves: map[string]*move{}, flushing: map[string]journal.Entry{},
		awaiting: map[uint64]ack{}, callers: map[uint64]caller{},
	}
	c.log = journal.NewLog(instance, witnesses, settings.Journal, c.openEntries)
	return c
}

// take returns the effects caused since the last call.
func (c *stateMachine) take(now time.Time) effects {
	c.send(now)
	out := c.out
	c.out = effects{}
	return out
}

func (c *stateMachine) complete(call uint64, r budget.Reservation, failure *outcome.Failure) {
	if call == 0 {
		return
	}
	delete(c.callers, call)
	c.out.completions = append(c.out.completions, completion{call: call, reservation: r, failure: failure})
}

func (c *stateMachine) account(id budget.ID) *account {
	a, ok := c.accounts[id]
	if !ok {
		a = &account{id: id}
		c.accounts[id] = a
		c.active = append(c.active, a)
	}
	return a
}

func (c *stateMachine) heat(a *account) {
	if !a.hot {
		a.hot = true
		c.hot = append(c.hot, a)
	}
}

// reserve asks for tokens; the call is completed later.
func (c *stateMachine) reserve(now time.Time, call uint64, req budget.Request) {
	switch {
	case c.closed && c.registering:
		c.early = append(c.early, earlyRequest{call: call, request: req})
		return
	case c.closed:
		c.complete(call, budget.Reservation{}, closedFailure())
		return
	case c.draining:
		c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAdvice, "the router takes no new work"))
		return
	case req.UpperBound <= 0:
		c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonBadRequest, 0, "the request has no upper bound"))
		return
	}
	a := c.account(req.Budget)
	a.demand.add(now, req.UpperBound, c.settings.DemandWindow)
	a.lastUse = now
	w := &waiter{call: call, request: req, account: a, began: now, deadline: now.Add(c.settings.ReserveWait)}
	a.waiting = append(a.waiting, w)
	c.callers[call] = caller{waiter: w}
	c.serve(now, a)
}

// serve gives free tokens to the waiting requests in order and refills the account.
func (c *stateMachine) serve(now time.Time, a *account) {
	for !c.closed && len(a.waiting) > 0 && a.waiting[0].request.UpperBound <= a.free {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		c.openReservation(now, w)
	}
	if len(a.waiting) > 0 {
		c.heat(a)
	} else {
		a.waiting = nil
	}
	c.refill(now, a)
	if c.draining {
		c.giveBack(now, a, a.free)
	}
}

func (c *stateMachine) openReservation(now time.Time, w *waiter) {
	c.lastID++
	a := w.account
	r := &reservation{
		id: c.lastID, account: a, request: w.request, tokens: w.request.UpperBound, call: w.call,
		span: c.flushOf(a.id.Organisation).begin(w.began), deadline: now.Add(c.settings.ReserveWait),
	}
	a.free -= r.tokens
	a.reserved += r.tokens
	c.reservations[r.id] = r
	c.callers[r.call] = caller{reservation: r}
	r.seq = c.log.Add(now, r.entry(), true).Seq
	if !c.log.RequiresWitnessAck() {
		c.recorded(r)
		return
	}
	c.awaiting[r.seq] = ack{then: func(time.Time) { c.recorded(r) }, plain: true}
	c.unrecorded = append(c.unrecorded, r)
}

// recorded completes the call of Reserve once the reservation is recorded.
func (c *stateMachine) recorded(r *reservation) {
	call := r.call
	r.call = 0
	c.complete(call, budget.Reservation{Request: r.request, ID: r.id}, nil)
}

// withdraw ends the wait of a Reserve or Settle call whose caller has gone. It reports the reason for the wait.
func (c *stateMachine) withdraw(now time.Time, call uint64) {
	waits := c.callers[call]
	early := slices.IndexFunc(c.early, func(e earlyRequest) bool { return e.call == call })
	switch {
	case early >= 0:
		c.early = slices.Delete(c.early, early, early+1)
		c.complete(call, budget.Reservation{}, closedFailure())
	case waits.waiter != nil:
		c.drop(waits.waiter, c.refusal(waits.waiter.account))
		c.serve(now, waits.waiter.account)
	case waits.reservation != nil:
		c.unrecordedInTime(now, waits.reservation)
	case waits.bill != nil:
		c.leave(waits.bill, call)
		c.complete(call, budget.Reservation{}, notBilled("the bill was not recorded in time"))
	default:
		// A recall or transfer: what it has moved is found in the ledger.
		c.out.completions = append(c.out.completions, completion{call: call, failure: unanswered()})
	}
}

// drop removes a waiting request and refuses it.
func (c *stateMachine) drop(w *waiter, failure *outcome.Failure) {
	a := w.account
	for i := range a.waiting {
		if a.waiting[i] == w {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			break
		}
	}
	c.complete(w.call, budget.Reservation{}, failure)
}

func (c *stateMachine) unrecordedInTime(now time.Time, r *reservation) {
	call := r.call
	r.call = 0
	c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonNoWitness, retryAdvice, "no witness has recorded the reservation in time"))
	c.cancel(now, r.id)
}

// cancel frees a reservation without a bill.
func (c *stateMachine) cancel(now time.Time, id uint64) {
	r, ok := c.reservations[id]
	if !ok || c.closed {
		return
	}
	c.end(r)
	r.span.end(now)
	r.account.free += r.tokens
	c.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: r.account.id}, false)
	c.serve(now, r.account)
}

// end takes a reservation off the books; its tokens are then free or billed.
func (c *stateMachine) end(r *reservation) {
	delete(c.reservations, r.id)
	delete(c.awaiting, r.seq)
	r.account.reserved -= r.tokens
}

// close ends the instance: the ledger or a witness has refused it, so its tokens belong to others.
func (c *stateMachine) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.out.closed = true
	for _, a := range c.active {
		for _, w := range a.waiting {
			c.complete(w.call, budget.Reservation{}, closedFailure())
		}
		a.waiting = nil
	}
	for _, r := range c.sortedReservations() {
		c.complete(r.call, budget.Reservation{}, closedFailure())
		r.call = 0
	}
	for _, b := range c.sortedBills() {
		for _, call := range b.calls {
			c.complete(call, budget.Reservation{}, notBilled("the instance was closed"))
		}
		b.calls = nil
	}
	c.closeMoves()
}

// notRegistered refuses the requests that wait for a new instance, because it could not be registered.
func (c *stateMachine) notRegistered() {
	c.registering = false
	for _, e := range c.early {
		c.complete(e.call, budget.Reservation{}, closedFailure())
	}
	c.early = nil
}

func closedFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAdvice, "no instance is registered now")
}

func notBilled(cause string) *outcome.Failure {
	return outcome.Unknownf(outcome.ReasonNotBilled, retryAdvice, "%s", cause)
}

// opID returns an id for an operation. Organisations and kinds have issuers of their own: the operations of an
// issuer reach the ledger in order, so the ledger can't take one that was delayed for outdated.
func (c *stateMachine) opID(organisation, kind string) string {
	c.lastOp++
	return fmt.Sprintf("%s/%s/%s/%d", c.instance, organisation, kind, c.lastOp)
}
