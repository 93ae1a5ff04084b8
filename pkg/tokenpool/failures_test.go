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

// scenario is a world with one funded budget whose messages are delivered on demand.
type scenario struct {
	*world
	t *testing.T
}

func newScenario(t *testing.T, vms int, tokens budget.Tokens) *scenario {
	s := &scenario{world: newWorld(func(string, ...any) {}, vms, Settings{}), t: t}
	id := testBudgets[0]
	s.ref.toppedUp[id] = tokens
	s.apply([]budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: id}, {ID: "t", Kind: budget.OpTopUp, Budget: id, Tokens: tokens},
	})
	t.Cleanup(func() {
		s.ref.check()
		for _, c := range s.closers {
			_ = c.finish(refuse)
		}
		must.EqOp(t, "", s.failure)
	})
	return s
}

func (s *scenario) node(i int) *node { return s.nodes[s.vms[i]] }

// begin starts a reservation and returns where its result appears.
func (s *scenario) begin(n *node, key string, tokens budget.Tokens) *completion {
	result := &completion{}
	s.start(n, func(c *stateMachine, call uint64) {
		c.reserve(s.now, call, budget.Request{Budget: testBudgets[0], IdempotencyKey: key, UpperBound: tokens})
	}, func(done completion) { *result = done })
	return result
}

func (s *scenario) reserve(n *node, key string, tokens budget.Tokens) budget.Reservation {
	result := s.begin(n, key, tokens)
	s.run(time.Second)
	must.Nil(s.t, result.failure)
	must.Positive(s.t, result.reservation.ID)
	return result.reservation
}

// settle starts a settlement and returns where its result appears.
func (s *scenario) settle(n *node, r budget.Reservation, used budget.Tokens) *completion {
	result := &completion{}
	s.start(n, func(c *stateMachine, call uint64) { c.settle(s.now, call, r.ID, used) }, func(done completion) { *result = done })
	return result
}

// run lets time pass, delivers all messages that can arrive and times out those that could not for long.
func (s *scenario) run(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		s.deliverAll()
		for _, f := range slices.Clone(s.flights) {
			if s.now.Sub(f.sent) >= messageTimeout {
				s.flights = slices.DeleteFunc(s.flights, func(other *flight) bool { return other == f })
				f.timeout()
			}
		}
		s.step(20 * time.Millisecond)
	}
	s.deliverAll()
}

func (s *scenario) close(by int, id string) error {
	return s.startClosing(s.vms[by], id).finish(succeed)
}

func (s *scenario) status() budget.Status { return s.shard.Read(testBudgets[0].Organisation)[0] }

// Guards against dispatch without a witness, and against a bill that is told durable without one.
func TestWitnessBeforeDispatchAndBeforeTheLastByte(t *testing.T) {
	s := newScenario(t, 2, 1000)
	n, witness := s.node(0), s.node(1)
	s.reserve(n, "warm", 10)
	witness.frozen = true
	blocked := s.begin(n, "k1", 1)
	s.run(time.Second)
	must.Zero(t, blocked.call)
	s.run(2 * time.Second)
	must.EqOp(t, outcome.ReasonNoWitness, blocked.failure.Reason)
	must.EqOp(t, outcome.NotRun, blocked.failure.Outcome)
	witness.frozen = false
	s.run(2 * time.Second)
	r := s.reserve(n, "k2", 1)
	witness.frozen = true
	s.cut[link(n.vm, platformVM)] = true
	bill := s.settle(n, r, 1)
	s.run(time.Second)
	must.Zero(t, bill.call)
	witness.frozen = false
	s.run(2 * time.Second)
	must.Positive(t, bill.call)
	must.Nil(t, bill.failure)
}

// Row "router dies": guards against tokens that stay held, against a lost bill, and against a second bill for the
// retry of the caller.
func TestRouterDies(t *testing.T) {
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
	again := s.settle(s.node(1), retry, 60)
	s.run(2 * time.Second)
	must.NoError(t, s.close(2, id))
	s.run(10 * time.Second)
	must.Nil(t, again.failure)
	must.EqOp(t, 60, s.status().Settled)
	must.EqOp(t, 1, len(s.ref.bills))
	must.SliceEmpty(t, s.status().Grants)
}

// Row "router frozen": guards against a frozen router that wakes up between its check and its send: it can neither
// finish nor begin a request with the closed instance, and goes on under a new one.
func TestFrozenRouterWakesAfterItsClosing(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	id := n.machine.instance
	r := s.reserve(n, "k1", 400)
	n.frozen = true
	must.NoError(t, s.close(1, id))
	must.SliceEmpty(t, s.status().Grants)
	n.frozen = false
	bill := s.settle(n, r, 100)
	begun := s.begin(n, "k2", 10)
	s.run(time.Second)
	must.EqOp(t, outcome.ReasonNotBilled, bill.failure.Reason)
	must.EqOp(t, outcome.Unknown, bill.failure.Outcome)
	must.EqOp(t, outcome.NotRun, begun.failure.Outcome)
	must.NotEqOp(t, id, n.machine.instance)
	s.reserve(n, "k3", 10)
	must.EqOp(t, 0, s.status().Settled)
}

// Row "witness dies": guards against requests that stop with one witness, and against a closing that asks the
// former one.
func TestWitnessDies(t *testing.T) {
	s := newScenario(t, 4, 1000)
	n := s.node(0)
	id := n.machine.instance
	r := s.reserve(n, "k1", 100)
	preferred := n.machine.log.Witnesses()[0]
	s.crash(preferred.Address)
	bill := s.settle(n, r, 60)
	s.run(200 * time.Millisecond)
	must.Positive(t, bill.call)
	must.Nil(t, bill.failure)
	must.SliceNotEmpty(t, n.machine.log.FailingWitnesses(s.now, 0))
	must.True(t, n.machine.log.Propose([]journal.Ref{n.machine.log.Witnesses()[1], s.ref2(s.vms[3])}))
	s.pump(n)
	s.run(time.Second)
	must.EqOp(t, s.node(3).router, n.machine.log.Witnesses()[1].Router)
	r = s.reserve(n, "k2", 100)
	must.Nil(t, s.settle(n, r, 50).failure)
	s.deliverAll()
	s.crash(n.vm)
	must.NoError(t, s.close(1, id))
	must.EqOp(t, 110, s.status().Settled)
}

// Row "partition between routers": guards against a closing without all witnesses, and against a hold without its
// reason.
func TestClosingWaitsForThePartition(t *testing.T) {
	s := newScenario(t, 4, 1000)
	n := s.node(0)
	id := n.machine.instance
	s.reserve(n, "k1", 100)
	far := n.machine.log.Witnesses()[1]
	s.cut[link(s.vms[3], far.Address)] = true
	s.crash(n.vm)
	must.Error(t, s.close(3, id))
	records := slices.DeleteFunc(s.store.records(), func(r instance.Record) bool { return r.Instance != id })
	must.StrContains(t, records[0].HeldReason, far.Router)
	must.SliceNotEmpty(t, s.status().Grants)
	clear(s.cut)
	must.NoError(t, s.close(2, id))
	must.SliceEmpty(t, s.status().Grants)
}

// Row "platform unavailable": guards against refusals while another router has idle tokens, against a wrong reason
// afterwards, and against transfers that the ledger can't apply later.
func TestPlatformUnavailable(t *testing.T) {
	s := newScenario(t, 3, 1000)
	for i := range 3 {
		s.reserve(s.node(i), fmt.Sprint("warm", i), 20)
	}
	id := testBudgets[0]
	rich := s.node(1).machine.accounts[id]
	s.start(s.node(1), func(c *stateMachine, _ uint64) {
		a := rich
		a.refilling = true
		c.enqueue(&pendingOp{op: budget.Op{Kind: budget.OpGrant, Need: 500, Want: 500}, account: a})
		c.flush(s.now, id.Organisation)
	}, nil)
	s.deliverAll()
	for _, vm := range s.vms {
		s.cut[link(vm, platformVM)] = true
	}
	n := s.node(0)
	r := s.reserve(n, "k1", 150)
	must.Nil(t, s.settle(n, r, 150).failure)
	refused := s.begin(n, "k2", 900)
	s.run(3 * time.Second)
	must.EqOp(t, outcome.ReasonPlatformUnavailable, refused.failure.Reason)
	must.EqOp(t, outcome.NotRun, refused.failure.Outcome)
	must.EqOp(t, 0, s.status().Settled)
	clear(s.cut)
	s.run(2 * time.Second)
	must.EqOp(t, 150, s.status().Settled)
	must.MapNotEmpty(t, s.ref.transfers)
	for _, c := range s.ref.machines() {
		must.MapEmpty(t, c.moves)
	}
}

// Row "response lost": guards against a grant or a settlement that takes effect twice, and against tokens of a
// transfer whose answer was lost.
func TestLostResponses(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	s.begin(n, "k1", 100)
	f := s.flights[0]
	f.deliver()
	s.flights = nil
	f.timeout()
	s.run(time.Second)
	must.EqOp(t, n.machine.accounts[testBudgets[0]].granted, s.status().Grants[0].Tokens)
	for _, vm := range s.vms {
		s.cut[link(vm, platformVM)] = true
	}
	other := s.node(1)
	s.begin(other, "k2", 10)
	s.run(500 * time.Millisecond)
	given := slices.ContainsFunc(s.ref.machines(), func(c *stateMachine) bool { return len(c.moves) > 0 })
	must.True(t, given)
	clear(s.cut)
	s.run(20 * time.Second)
	must.EqOp(t, 0, s.status().ToppedUp-s.status().Settled-1000)
}

// Guards against false refusals near the end of a budget: idle tokens at other holders are recalled first, and the
// refusal waits for them. It also guards against two routers that block each other with too few tokens each.
func TestRecallBeforeRefusal(t *testing.T) {
	s := newScenario(t, 3, 400)
	for i := range 2 {
		r := s.reserve(s.node(i), fmt.Sprint("k", i), 200)
		s.node(i).machine.cancel(s.now, r.ID)
		s.pump(s.node(i))
	}
	a, b := s.begin(s.node(0), "a", 250), s.begin(s.node(1), "b", 250)
	s.run(3 * time.Second)
	served := 0
	for _, c := range []*completion{a, b} {
		if c.failure == nil {
			served++
		}
	}
	must.EqOp(t, 1, served)
	refused := s.begin(s.node(2), "c", 401)
	s.run(time.Second)
	must.EqOp(t, outcome.ReasonBudgetExhausted, refused.failure.Reason)
}

// Guards against a double bill of concurrent attempts of a request in one router, and against the loss of the
// tokens of the attempt that is not billed.
func TestConcurrentAttemptsAreBilledOnce(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	r1, r2 := s.reserve(n, "k", 100), s.reserve(n, "k", 100)
	b1, b2 := s.settle(n, r1, 70), s.settle(n, r2, 80)
	s.run(2 * time.Second)
	must.Nil(t, b1.failure)
	must.Nil(t, b2.failure)
	must.EqOp(t, 70, s.status().Settled)
}

// Guards against tokens that stay with a router that nobody uses, or that has stopped gracefully.
func TestIdleAndDrainedTokensAreReturned(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	r := s.reserve(n, "k1", 100)
	must.Nil(t, s.settle(n, r, 40).failure)
	s.run(8 * time.Second)
	must.SliceEmpty(t, s.status().Grants)
	r = s.reserve(n, "k2", 100)
	n.machine.drain(s.now)
	s.pump(n)
	s.run(time.Second)
	must.EqOp(t, 1, n.machine.status().Reservations)
	must.EqOp(t, outcome.ReasonLeaving, s.begin(n, "k3", 1).failure.Reason)
	must.Nil(t, s.settle(n, r, 60).failure)
	s.run(time.Second)
	must.True(t, n.machine.status().Done())
	must.EqOp(t, 100, s.status().Settled)
	must.SliceEmpty(t, s.status().Grants)
}

// Guards against giving tokens that came by a transfer: the ledger could not apply the second one first.
func TestOnlyConfirmedTokensAreGiven(t *testing.T) {
	c := newStateMachine("i.1", []journal.Ref{{Router: "w"}}, Settings{})
	a := c.account(testBudgets[0])
	a.free, a.granted, a.inbound = 100, 30, 70
	c.give(time.Unix(0, 0), 1, "i.2", a.id, 50, 100)
	must.EqOp(t, 30, a.inTransit)
}
