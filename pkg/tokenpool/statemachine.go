package tokenpool

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// retryAfter is the retry delay reported to callers whose request may succeed later.
const retryAfter = time.Second

// applyCall is a call to the ledger. At most one call per organisation is in progress at a time.
type applyCall struct {
	organisation string
	ops          []budget.Op
}

// completion is the result of a Reserve, Settle, Recall or TransferOut call.
type completion struct {
	call        uint64
	reservation budget.Reservation
	failure     *outcome.Failure
	// recallAnswer is set for Recall, and transferAnswer for TransferOut.
	recallAnswer   RecallAnswer
	transferAnswer TransferAnswer
}

// effects are the actions that the caller of the state machine must carry out after an event.
type effects struct {
	applies     []applyCall
	appends     []journal.Append
	recalls     []recallCall
	transfers   []transferCall
	completions []completion
	// witnessChange is the set of witnesses to write to the instance record, which may be empty; it is valid if
	// hasWitnessChange is set.
	witnessChange    []journal.Ref
	hasWitnessChange bool
	// closed is set if the instance has been closed and a new one must be registered.
	closed bool
}

// stateMachine is the deterministic part of a token pool for one registered instance. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type stateMachine struct {
	settings Settings
	instance string
	out      effects
	log      *journal.Log
	peers    []string

	accounts map[budget.ID]*account
	// active lists the accounts in the order of their creation. tickList lists those that the next tick checks.
	active, tickList []*account
	reservations     map[uint64]*reservation
	bills            map[billKey]*bill
	ledgerQueues     map[string]*ledgerQueue
	// pendingQueues lists the ledger queues with operations or bills that the ledger has not confirmed.
	pendingQueues []*ledgerQueue
	transfers     map[string]*transfer
	// settleEntries maps the ids of settle operations that the ledger has not confirmed to their journal entries.
	settleEntries map[string]journal.Entry
	// awaitingAck maps journal sequence numbers to the handlers that run when a witness acknowledges the entry.
	awaitingAck map[uint64]ackHandler
	// unrecorded lists reservations that no witness has acknowledged yet, oldest first.
	unrecorded   []*reservation
	pendingCalls map[uint64]pendingCall
	nextScan     time.Time

	lastReservationID, lastOpNumber, lastTransferNumber uint64
	closed, draining                                    bool
	// registering is set while the first attempt to register a new instance after the close is in progress. Requests
	// that arrive meanwhile wait in earlyRequests.
	registering   bool
	earlyRequests []earlyRequest
	// excess is the number of tokens used beyond reservations; they are not billed.
	excess budget.Tokens
}

// ackHandler runs once a witness has recorded an entry.
type ackHandler struct {
	run func(now time.Time)
	// runWithoutWitnesses is set if the handler also runs when the instance no longer has witnesses.
	runWithoutWitnesses bool
}

// pendingCall is what a call waits for; exactly one field is set.
type pendingCall struct {
	waiter      *waiter
	reservation *reservation
	bill        *bill
}

// earlyRequest is a Reserve call that waits for the registration of a new instance.
type earlyRequest struct {
	call    uint64
	request budget.Request
}

func newStateMachine(instance string, witnesses []journal.Ref, settings Settings) *stateMachine {
	c := &stateMachine{
		settings: settings.withDefaults(), instance: instance,
		accounts: map[budget.ID]*account{}, reservations: map[uint64]*reservation{},
		bills: map[billKey]*bill{}, ledgerQueues: map[string]*ledgerQueue{}, transfers: map[string]*transfer{}, settleEntries: map[string]journal.Entry{},
		awaitingAck: map[uint64]ackHandler{}, pendingCalls: map[uint64]pendingCall{},
	}
	c.log = journal.NewLog(instance, witnesses, settings.Journal, c.openEntries)
	return c
}

// takeEffects returns the effects since the last call and clears them.
func (c *stateMachine) takeEffects(now time.Time) effects {
	c.collectAppends(now)
	out := c.out
	c.out = effects{}
	return out
}

func (c *stateMachine) complete(call uint64, r budget.Reservation, failure *outcome.Failure) {
	if call == 0 {
		return
	}
	delete(c.pendingCalls, call)
	c.out.completions = append(c.out.completions, completion{call: call, reservation: r, failure: failure})
}

func (c *stateMachine) accountFor(id budget.ID) *account {
	a, ok := c.accounts[id]
	if !ok {
		a = &account{id: id}
		c.accounts[id] = a
		c.active = append(c.active, a)
	}
	return a
}

func (c *stateMachine) addToTickList(a *account) {
	if !a.inTickList {
		a.inTickList = true
		c.tickList = append(c.tickList, a)
	}
}

// reserve starts a reservation. The call is completed once the tokens are available and a witness has recorded the
// reservation, or with a failure.
func (c *stateMachine) reserve(now time.Time, call uint64, req budget.Request) {
	switch {
	case c.closed && c.registering:
		c.earlyRequests = append(c.earlyRequests, earlyRequest{call: call, request: req})
		return
	case c.closed:
		c.complete(call, budget.Reservation{}, closedFailure())
		return
	case c.draining:
		c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAfter, "the router takes no new work"))
		return
	case req.UpperBound <= 0:
		c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonBadRequest, 0, "the request has no upper bound"))
		return
	}
	a := c.accountFor(req.Budget)
	a.demand.add(now, req.UpperBound, c.settings.DemandWindow)
	a.lastUse = now
	w := &waiter{call: call, request: req, account: a, startedAt: now, deadline: now.Add(c.settings.ReserveWait)}
	a.waiting = append(a.waiting, w)
	c.pendingCalls[call] = pendingCall{waiter: w}
	c.serveWaiting(now, a)
}

// serveWaiting reserves free tokens for the waiting requests in order and then refills the account.
func (c *stateMachine) serveWaiting(now time.Time, a *account) {
	for !c.closed && len(a.waiting) > 0 && a.waiting[0].request.UpperBound <= a.free {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		c.openReservation(now, w)
	}
	if len(a.waiting) > 0 {
		c.addToTickList(a)
	} else {
		a.waiting = nil
	}
	c.refill(now, a)
	if c.draining {
		c.returnTokens(now, a, a.free)
	}
}

func (c *stateMachine) openReservation(now time.Time, w *waiter) {
	c.lastReservationID++
	a := w.account
	r := &reservation{
		id: c.lastReservationID, account: a, request: w.request, tokens: w.request.UpperBound, call: w.call,
		span: c.ledgerQueueFor(a.id.Organisation).openSpan(w.startedAt), deadline: now.Add(c.settings.ReserveWait),
	}
	a.free -= r.tokens
	a.reserved += r.tokens
	c.reservations[r.id] = r
	c.pendingCalls[r.call] = pendingCall{reservation: r}
	r.seq = c.log.Add(now, r.journalEntry(), true).Seq
	if !c.log.RequiresWitnessAck() {
		c.confirmReservation(r)
		return
	}
	c.awaitingAck[r.seq] = ackHandler{run: func(time.Time) { c.confirmReservation(r) }, runWithoutWitnesses: true}
	c.unrecorded = append(c.unrecorded, r)
}

// confirmReservation completes the Reserve call of a reservation that has been recorded or needs no witness.
func (c *stateMachine) confirmReservation(r *reservation) {
	call := r.call
	r.call = 0
	c.complete(call, budget.Reservation{Request: r.request, ID: r.id}, nil)
}

// cancelCall completes a call whose context has ended. The failure says what it was waiting for.
func (c *stateMachine) cancelCall(now time.Time, call uint64) {
	pending := c.pendingCalls[call]
	earlyIndex := slices.IndexFunc(c.earlyRequests, func(e earlyRequest) bool { return e.call == call })
	switch {
	case earlyIndex >= 0:
		c.earlyRequests = slices.Delete(c.earlyRequests, earlyIndex, earlyIndex+1)
		c.complete(call, budget.Reservation{}, closedFailure())
	case pending.waiter != nil:
		c.refuseWaiter(pending.waiter, c.deadlineRefusal(pending.waiter.account))
		c.serveWaiting(now, pending.waiter.account)
	case pending.reservation != nil:
		c.refuseUnrecorded(now, pending.reservation)
	case pending.bill != nil:
		c.removeBillCall(pending.bill, call)
		c.complete(call, budget.Reservation{}, notBilledFailure("the bill was not recorded in time"))
	default:
		// A recall or transfer. The ledger records the tokens that it has already returned or transferred.
		c.out.completions = append(c.out.completions, completion{call: call, failure: unansweredFailure()})
	}
}

// refuseWaiter removes a waiting request and completes its call with the failure.
func (c *stateMachine) refuseWaiter(w *waiter, failure *outcome.Failure) {
	a := w.account
	for i := range a.waiting {
		if a.waiting[i] == w {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			break
		}
	}
	c.complete(w.call, budget.Reservation{}, failure)
}

// refuseUnrecorded refuses a Reserve call whose reservation no witness has recorded in time, and frees the tokens.
func (c *stateMachine) refuseUnrecorded(now time.Time, r *reservation) {
	call := r.call
	r.call = 0
	c.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonNoWitness, retryAfter, "no witness has recorded the reservation in time"))
	c.cancel(now, r.id)
}

// cancel ends a reservation without a bill and frees its tokens.
func (c *stateMachine) cancel(now time.Time, id uint64) {
	r, ok := c.reservations[id]
	if !ok || c.closed {
		return
	}
	c.removeReservation(r)
	r.span.end(now)
	r.account.free += r.tokens
	c.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: r.account.id}, false)
	c.serveWaiting(now, r.account)
}

// removeReservation removes an open reservation. The caller must add its tokens to the free or billed ones.
func (c *stateMachine) removeReservation(r *reservation) {
	delete(c.reservations, r.id)
	delete(c.awaitingAck, r.seq)
	r.account.reserved -= r.tokens
}

// close ends the instance and fails all waiting calls. Once the ledger or a witness has refused the instance, its tokens
// belong to others.
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
			c.complete(call, budget.Reservation{}, notBilledFailure("the instance was closed"))
		}
		b.calls = nil
	}
	c.endPeerCalls()
}

// refuseEarlyRequests refuses the requests that wait for a new instance after its registration has failed.
func (c *stateMachine) refuseEarlyRequests() {
	c.registering = false
	for _, e := range c.earlyRequests {
		c.complete(e.call, budget.Reservation{}, closedFailure())
	}
	c.earlyRequests = nil
}

func closedFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.ReasonGrantUnavailable, retryAfter, "no instance is registered now")
}

func notBilledFailure(cause string) *outcome.Failure {
	return outcome.Unknownf(outcome.ReasonNotBilled, retryAfter, "%s", cause)
}

// nextOpID returns an id for a new operation. The part before the number is the issuer. Each organisation and kind has
// its own issuer, because the operations of one issuer must reach the ledger in order: the ledger would reject a
// delayed one as stale.
func (c *stateMachine) nextOpID(organisation, kind string) string {
	c.lastOpNumber++
	return fmt.Sprintf("%s/%s/%s/%d", c.instance, organisation, kind, c.lastOpNumber)
}
