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
	m := &stateMachine{
		settings: settings.withDefaults(), instance: instance,
		accounts: map[budget.ID]*account{}, reservations: map[uint64]*reservation{},
		bills: map[billKey]*bill{}, ledgerQueues: map[string]*ledgerQueue{}, transfers: map[string]*transfer{}, settleEntries: map[string]journal.Entry{},
		awaitingAck: map[uint64]ackHandler{}, pendingCalls: map[uint64]pendingCall{},
	}
	m.log = journal.NewLog(instance, witnesses, settings.Journal, m.openEntries)
	return m
}

// takeEffects returns the effects since the last call and clears them.
func (m *stateMachine) takeEffects(now time.Time) effects {
	m.collectAppends(now)
	out := m.out
	m.out = effects{}
	return out
}

func (m *stateMachine) complete(call uint64, r budget.Reservation, failure *outcome.Failure) {
	if call == 0 {
		return
	}
	delete(m.pendingCalls, call)
	m.out.completions = append(m.out.completions, completion{call: call, reservation: r, failure: failure})
}

func (m *stateMachine) accountFor(id budget.ID) *account {
	a, ok := m.accounts[id]
	if !ok {
		a = &account{id: id}
		m.accounts[id] = a
		m.active = append(m.active, a)
	}
	return a
}

func (m *stateMachine) addToTickList(a *account) {
	if !a.inTickList {
		a.inTickList = true
		m.tickList = append(m.tickList, a)
	}
}

// reserve starts a reservation. The call is completed once the tokens are available and a witness has recorded the
// reservation, or with a failure.
func (m *stateMachine) reserve(now time.Time, call uint64, req budget.Request) {
	switch {
	case m.closed && m.registering:
		m.earlyRequests = append(m.earlyRequests, earlyRequest{call: call, request: req})
		return
	case m.closed:
		m.complete(call, budget.Reservation{}, closedFailure())
		return
	case m.draining:
		m.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonLeaving, retryAfter, "the router takes no new work"))
		return
	case req.UpperBound <= 0:
		m.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonBadRequest, 0, "the request has no upper bound"))
		return
	}
	a := m.accountFor(req.Budget)
	a.demand.add(now, req.UpperBound, m.settings.DemandWindow)
	a.lastUse = now
	w := &waiter{call: call, request: req, account: a, startedAt: now, deadline: now.Add(m.settings.ReserveWait)}
	a.waiting = append(a.waiting, w)
	m.pendingCalls[call] = pendingCall{waiter: w}
	m.serveWaiting(now, a)
}

// serveWaiting reserves free tokens for the waiting requests in order and then refills the account.
func (m *stateMachine) serveWaiting(now time.Time, a *account) {
	for !m.closed && len(a.waiting) > 0 && a.waiting[0].request.UpperBound <= a.free {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		m.openReservation(now, w)
	}
	if len(a.waiting) > 0 {
		m.addToTickList(a)
	} else {
		a.waiting = nil
	}
	m.refill(now, a)
	if m.draining {
		m.returnTokens(now, a, a.free)
	}
}

func (m *stateMachine) openReservation(now time.Time, w *waiter) {
	m.lastReservationID++
	a := w.account
	r := &reservation{
		id: m.lastReservationID, account: a, request: w.request, tokens: w.request.UpperBound, call: w.call,
		span: m.ledgerQueueFor(a.id.Organisation).openSpan(w.startedAt), deadline: now.Add(m.settings.ReserveWait),
	}
	a.free -= r.tokens
	a.reserved += r.tokens
	m.reservations[r.id] = r
	m.pendingCalls[r.call] = pendingCall{reservation: r}
	r.seq = m.log.Add(now, r.journalEntry(), true).Seq
	if !m.log.RequiresWitnessAck() {
		m.confirmReservation(r)
		return
	}
	m.awaitingAck[r.seq] = ackHandler{run: func(time.Time) { m.confirmReservation(r) }, runWithoutWitnesses: true}
	m.unrecorded = append(m.unrecorded, r)
}

// confirmReservation completes the Reserve call of a reservation that has been recorded or needs no witness.
func (m *stateMachine) confirmReservation(r *reservation) {
	call := r.call
	r.call = 0
	m.complete(call, budget.Reservation{Request: r.request, ID: r.id}, nil)
}

// cancelCall completes a call whose context has ended. The failure says what it was waiting for.
func (m *stateMachine) cancelCall(now time.Time, call uint64) {
	pending := m.pendingCalls[call]
	earlyIndex := slices.IndexFunc(m.earlyRequests, func(e earlyRequest) bool { return e.call == call })
	switch {
	case earlyIndex >= 0:
		m.earlyRequests = slices.Delete(m.earlyRequests, earlyIndex, earlyIndex+1)
		m.complete(call, budget.Reservation{}, closedFailure())
	case pending.waiter != nil:
		m.refuseWaiter(pending.waiter, m.deadlineRefusal(pending.waiter.account))
		m.serveWaiting(now, pending.waiter.account)
	case pending.reservation != nil:
		m.refuseUnrecorded(now, pending.reservation)
	case pending.bill != nil:
		m.removeBillCall(pending.bill, call)
		m.complete(call, budget.Reservation{}, notBilledFailure("the bill was not recorded in time"))
	default:
		// A recall or transfer. The ledger records the tokens that it has already returned or transferred.
		m.out.completions = append(m.out.completions, completion{call: call, failure: unansweredFailure()})
	}
}

// refuseWaiter removes a waiting request and completes its call with the failure.
func (m *stateMachine) refuseWaiter(w *waiter, failure *outcome.Failure) {
	a := w.account
	for i := range a.waiting {
		if a.waiting[i] == w {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			break
		}
	}
	m.complete(w.call, budget.Reservation{}, failure)
}

// refuseUnrecorded refuses a Reserve call whose reservation no witness has recorded in time, and frees the tokens.
func (m *stateMachine) refuseUnrecorded(now time.Time, r *reservation) {
	call := r.call
	r.call = 0
	m.complete(call, budget.Reservation{}, outcome.NotRunf(outcome.ReasonNoWitness, retryAfter, "no witness has recorded the reservation in time"))
	m.cancel(now, r.id)
}

// cancel ends a reservation without a bill and frees its tokens.
func (m *stateMachine) cancel(now time.Time, id uint64) {
	r, ok := m.reservations[id]
	if !ok || m.closed {
		return
	}
	m.removeReservation(r)
	r.span.end(now)
	r.account.free += r.tokens
	m.log.Add(now, journal.Entry{Kind: journal.Cancel, Reservation: r.id, Budget: r.account.id}, false)
	m.serveWaiting(now, r.account)
}

// removeReservation removes an open reservation. The caller must add its tokens to the free or billed ones.
func (m *stateMachine) removeReservation(r *reservation) {
	delete(m.reservations, r.id)
	delete(m.awaitingAck, r.seq)
	r.account.reserved -= r.tokens
}

// close ends the instance and fails all waiting calls. Once the ledger or a witness has refused the instance, its
// tokens belong to others.
func (m *stateMachine) close() {
	if m.closed {
		return
	}
	m.closed = true
	m.out.closed = true
	for _, a := range m.active {
		for _, w := range a.waiting {
			m.complete(w.call, budget.Reservation{}, closedFailure())
		}
		a.waiting = nil
	}
	for _, r := range m.sortedReservations() {
		m.complete(r.call, budget.Reservation{}, closedFailure())
		r.call = 0
	}
	for _, b := range m.sortedBills() {
		for _, call := range b.calls {
			m.complete(call, budget.Reservation{}, notBilledFailure("the instance was closed"))
		}
		b.calls = nil
	}
	m.endPeerCalls()
}

// refuseEarlyRequests refuses the requests that wait for a new instance after its registration has failed.
func (m *stateMachine) refuseEarlyRequests() {
	m.registering = false
	for _, e := range m.earlyRequests {
		m.complete(e.call, budget.Reservation{}, closedFailure())
	}
	m.earlyRequests = nil
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
func (m *stateMachine) nextOpID(organisation, kind string) string {
	m.lastOpNumber++
	return fmt.Sprintf("%s/%s/%s/%d", m.instance, organisation, kind, m.lastOpNumber)
}
