package tokenpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// messageTimeout is the time after which the sender of a message gives up.
const messageTimeout = 300 * time.Millisecond

// scenario is a fleet with one budget that has been topped up. The test decides when messages are delivered.
type scenario struct {
	*fleet
	t *testing.T
}

func newScenario(t *testing.T, vms int, tokens budget.Tokens) *scenario {
	s := &scenario{fleet: newFleet(func(string, ...any) {}, vms, Settings{}), t: t}
	id := testBudgets[0]
	s.reference.toppedUp[id] = tokens
	s.apply([]budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: id}, {ID: "t", Kind: budget.OpTopUp, Budget: id, Tokens: tokens},
	})
	t.Cleanup(func() {
		s.reference.check()
		for _, c := range s.closers {
			_ = c.finish(refuse)
		}
		must.EqOp(t, "", s.failure)
	})
	return s
}

func (s *scenario) node(i int) *node { return s.nodes[s.vms[i]] }

// startReserve starts a reservation. The returned completion is filled in when the call completes.
func (s *scenario) startReserve(n *node, key string, tokens budget.Tokens) *completion {
	result := &completion{}
	s.startCall(n, func(m *stateMachine, call uint64) {
		m.reserve(s.now, call, budget.Request{Budget: testBudgets[0], IdempotencyKey: key, UpperBound: tokens})
	}, func(done completion) { *result = done })
	return result
}

func (s *scenario) reserve(n *node, key string, tokens budget.Tokens) budget.Reservation {
	result := s.startReserve(n, key, tokens)
	s.runFor(time.Second)
	must.Nil(s.t, result.failure)
	must.Positive(s.t, result.reservation.ID)
	return result.reservation
}

// settle starts a settlement. The returned completion is filled in when the call completes.
func (s *scenario) settle(n *node, r budget.Reservation, used budget.Tokens) *completion {
	result := &completion{}
	s.startCall(n, func(m *stateMachine, call uint64) { m.settle(s.now, call, r.ID, used) }, func(done completion) { *result = done })
	return result
}

// runFor advances the clock, delivers all messages that can arrive and times out the others after messageTimeout.
func (s *scenario) runFor(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		s.deliverAll()
		for _, msg := range slices.Clone(s.messages) {
			if s.now.Sub(msg.sentAt) >= messageTimeout {
				s.messages = slices.DeleteFunc(s.messages, func(other *message) bool { return other == msg })
				msg.timeout()
			}
		}
		s.advance(20 * time.Millisecond)
	}
	s.deliverAll()
}

func (s *scenario) closeInstance(by int, id string) error {
	return s.startCloser(s.vms[by], id).finish(succeed)
}

func (s *scenario) budgetStatus() budget.Status { return s.shard.Read(testBudgets[0].Organisation)[0] }

// Guards against dispatching a request whose reservation no witness has recorded, and against reporting a bill as
// durable that neither a witness nor the ledger has recorded.
func TestReserveAndSettleWaitForWitness(t *testing.T) {
	s := newScenario(t, 2, 1000)
	n, witness := s.node(0), s.node(1)
	s.reserve(n, "warm", 10)
	witness.frozen = true
	blocked := s.startReserve(n, "k1", 1)
	s.runFor(time.Second)
	must.Zero(t, blocked.call)
	s.runFor(2 * time.Second)
	must.EqOp(t, outcome.ReasonNoWitness, blocked.failure.Reason)
	must.EqOp(t, outcome.NotRun, blocked.failure.Outcome)
	witness.frozen = false
	s.runFor(2 * time.Second)
	r := s.reserve(n, "k2", 1)
	witness.frozen = true
	s.cutLinks[linkKey(n.vm, platformVM)] = true
	bill := s.settle(n, r, 1)
	s.runFor(time.Second)
	must.Zero(t, bill.call)
	witness.frozen = false
	s.runFor(2 * time.Second)
	must.Positive(t, bill.call)
	must.Nil(t, bill.failure)
}

// Failure case "router dies": guards against tokens that stay held, against a lost bill, and against a second bill for
// the caller's retry.
func TestRouterCrash(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	id := n.machine.instance
	r := s.reserve(n, "k1", 100)
	s.reserve(n, "k2", 50)
	bill := s.settle(n, r, 70)
	s.deliverAll()
	must.Nil(t, bill.failure)
	s.crash(n.vm)
	retry := s.reserve(s.node(1), "k1", 100)
	retryBill := s.settle(s.node(1), retry, 60)
	s.runFor(2 * time.Second)
	must.NoError(t, s.closeInstance(2, id))
	s.runFor(10 * time.Second)
	must.Nil(t, retryBill.failure)
	must.EqOp(t, 60, s.budgetStatus().Settled)
	must.EqOp(t, 1, len(s.reference.bills))
	must.SliceEmpty(t, s.budgetStatus().Grants)
}

// Failure case "router frozen": guards against a router that was frozen between its check and its send and resumes
// after its instance was closed. It can neither settle nor start a request with the closed instance, and registers a
// new one.
func TestFrozenRouterResumesAfterClose(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	id := n.machine.instance
	r := s.reserve(n, "k1", 400)
	n.frozen = true
	must.NoError(t, s.closeInstance(1, id))
	must.SliceEmpty(t, s.budgetStatus().Grants)
	n.frozen = false
	bill := s.settle(n, r, 100)
	newRequest := s.startReserve(n, "k2", 10)
	s.runFor(time.Second)
	must.EqOp(t, outcome.ReasonNotBilled, bill.failure.Reason)
	must.EqOp(t, outcome.Unknown, bill.failure.Outcome)
	must.EqOp(t, outcome.NotRun, newRequest.failure.Outcome)
	must.NotEqOp(t, id, n.machine.instance)
	s.reserve(n, "k3", 10)
	must.EqOp(t, 0, s.budgetStatus().Settled)
}

// Failure case "witness dies": guards against requests that wait for the crashed witness, and against a closing that
// asks that witness after it was replaced.
func TestWitnessCrash(t *testing.T) {
	s := newScenario(t, 4, 1000)
	n := s.node(0)
	id := n.machine.instance
	r := s.reserve(n, "k1", 100)
	preferred := n.machine.log.Witnesses()[0]
	s.crash(preferred.Address)
	bill := s.settle(n, r, 60)
	s.runFor(200 * time.Millisecond)
	must.Positive(t, bill.call)
	must.Nil(t, bill.failure)
	must.SliceNotEmpty(t, n.machine.log.FailingWitnesses(s.now, 0))
	must.True(t, n.machine.log.Propose([]journal.Ref{n.machine.log.Witnesses()[1], s.witnessRef(s.vms[3])}))
	s.runEffects(n)
	s.runFor(time.Second)
	must.EqOp(t, s.node(3).router, n.machine.log.Witnesses()[1].Router)
	r = s.reserve(n, "k2", 100)
	must.Nil(t, s.settle(n, r, 50).failure)
	s.deliverAll()
	s.crash(n.vm)
	must.NoError(t, s.closeInstance(1, id))
	must.EqOp(t, 110, s.budgetStatus().Settled)
}

// Failure case "partition between routers": guards against closing an instance without all its witnesses, and against a
// held instance whose record doesn't name the unreachable witness.
func TestCloseFailsDuringPartition(t *testing.T) {
	s := newScenario(t, 4, 1000)
	n := s.node(0)
	id := n.machine.instance
	s.reserve(n, "k1", 100)
	unreachable := n.machine.log.Witnesses()[1]
	s.cutLinks[linkKey(s.vms[3], unreachable.Address)] = true
	s.crash(n.vm)
	must.Error(t, s.closeInstance(3, id))
	records := slices.DeleteFunc(s.store.records(), func(r instance.Record) bool { return r.Instance != id })
	must.StrContains(t, records[0].HeldReason, unreachable.Router)
	must.SliceNotEmpty(t, s.budgetStatus().Grants)
	clear(s.cutLinks)
	must.NoError(t, s.closeInstance(2, id))
	must.SliceEmpty(t, s.budgetStatus().Grants)
}

// Failure case "platform unavailable": guards against refusals while another router has idle tokens, against a wrong
// reason once there are none, and against transfers that the ledger can't apply later.
func TestPlatformUnavailable(t *testing.T) {
	s := newScenario(t, 3, 1000)
	for i := range 3 {
		s.reserve(s.node(i), fmt.Sprint("warm", i), 20)
	}
	id := testBudgets[0]
	holderAccount := s.node(1).machine.accounts[id]
	s.startCall(s.node(1), func(m *stateMachine, _ uint64) {
		a := holderAccount
		a.grantPending = true
		m.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpGrant, Need: 500, Want: 500}, account: a})
		m.flush(s.now, id.Organisation)
	}, nil)
	s.deliverAll()
	for _, vm := range s.vms {
		s.cutLinks[linkKey(vm, platformVM)] = true
	}
	n := s.node(0)
	r := s.reserve(n, "k1", 150)
	must.Nil(t, s.settle(n, r, 150).failure)
	refused := s.startReserve(n, "k2", 900)
	s.runFor(3 * time.Second)
	must.EqOp(t, outcome.ReasonPlatformUnavailable, refused.failure.Reason)
	must.EqOp(t, outcome.NotRun, refused.failure.Outcome)
	must.EqOp(t, 0, s.budgetStatus().Settled)
	clear(s.cutLinks)
	s.runFor(2 * time.Second)
	must.EqOp(t, 150, s.budgetStatus().Settled)
	must.MapNotEmpty(t, s.reference.transfers)
	for _, machine := range s.reference.machines() {
		must.MapEmpty(t, machine.transfers)
	}
}

// Failure case "response lost": guards against a grant or a settlement that takes effect twice, and against losing the
// tokens of a transfer whose answer was lost.
func TestLostResponses(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	s.startReserve(n, "k1", 100)
	msg := s.messages[0]
	msg.deliver()
	s.messages = nil
	msg.timeout()
	s.runFor(time.Second)
	must.EqOp(t, n.machine.accounts[testBudgets[0]].granted, s.budgetStatus().Grants[0].Tokens)
	for _, vm := range s.vms {
		s.cutLinks[linkKey(vm, platformVM)] = true
	}
	other := s.node(1)
	s.startReserve(other, "k2", 10)
	s.runFor(500 * time.Millisecond)
	hasTransfers := slices.ContainsFunc(s.reference.machines(), func(m *stateMachine) bool { return len(m.transfers) > 0 })
	must.True(t, hasTransfers)
	clear(s.cutLinks)
	s.runFor(20 * time.Second)
	must.EqOp(t, 0, s.budgetStatus().ToppedUp-s.budgetStatus().Settled-1000)
}

// Guards against false refusals when a budget is nearly exhausted: idle tokens of other holders must be recalled before
// a request is refused. Also guards against two routers that block each other by keeping too few tokens each.
func TestRecallBeforeRefusal(t *testing.T) {
	s := newScenario(t, 3, 400)
	for i := range 2 {
		r := s.reserve(s.node(i), fmt.Sprint("k", i), 200)
		s.node(i).machine.cancel(s.now, r.ID)
		s.runEffects(s.node(i))
	}
	a, b := s.startReserve(s.node(0), "a", 250), s.startReserve(s.node(1), "b", 250)
	s.runFor(3 * time.Second)
	served := 0
	for _, c := range []*completion{a, b} {
		if c.failure == nil {
			served++
		}
	}
	must.EqOp(t, 1, served)
	refused := s.startReserve(s.node(2), "c", 401)
	s.runFor(time.Second)
	must.EqOp(t, outcome.ReasonBudgetExhausted, refused.failure.Reason)
}

// Guards against two bills for concurrent attempts of a request at one router, and against losing the tokens of the
// attempt that is not billed.
func TestConcurrentAttemptsAreBilledOnce(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	r1, r2 := s.reserve(n, "k", 100), s.reserve(n, "k", 100)
	b1, b2 := s.settle(n, r1, 70), s.settle(n, r2, 80)
	s.runFor(2 * time.Second)
	must.Nil(t, b1.failure)
	must.Nil(t, b2.failure)
	must.EqOp(t, 70, s.budgetStatus().Settled)
}

// Guards against tokens that stay at an idle router or at one that has been drained.
func TestIdleAndDrainedTokensAreReturned(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	r := s.reserve(n, "k1", 100)
	must.Nil(t, s.settle(n, r, 40).failure)
	s.runFor(8 * time.Second)
	must.SliceEmpty(t, s.budgetStatus().Grants)
	r = s.reserve(n, "k2", 100)
	n.machine.drain(s.now)
	s.runEffects(n)
	s.runFor(time.Second)
	must.EqOp(t, 1, n.machine.drainStatus().Reservations)
	must.EqOp(t, outcome.ReasonLeaving, s.startReserve(n, "k3", 1).failure.Reason)
	must.Nil(t, s.settle(n, r, 60).failure)
	s.runFor(time.Second)
	must.True(t, n.machine.drainStatus().Done())
	must.EqOp(t, 100, s.budgetStatus().Settled)
	must.SliceEmpty(t, s.budgetStatus().Grants)
}

// Guards against transferring tokens that were themselves received by an unconfirmed transfer: the ledger could not
// apply the second transfer first.
func TestTransferOutSendsOnlyConfirmedTokens(t *testing.T) {
	machine := newStateMachine("i.1", []journal.Ref{{Router: "w"}}, Settings{})
	a := machine.accountFor(testBudgets[0])
	a.free, a.granted, a.inbound = 100, 30, 70
	machine.transferOut(time.Unix(0, 0), 1, "i.2", a.id, 50, 100)
	must.EqOp(t, 30, a.inTransit)
}
