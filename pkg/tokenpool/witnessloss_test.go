package tokenpool

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// reserveAndSettle reserves 100 tokens, settles 70 and reports whether the bill was acknowledged as durable.
func (s *scenario) reserveAndSettle(n *node, key string) bool {
	return s.settleAndDeliver(n, s.reserve(n, key, 100), s.deliverAll)
}

// settleAndDeliver settles 70 tokens of a reservation, runs deliver and reports whether the bill was acknowledged as
// durable.
func (s *scenario) settleAndDeliver(n *node, r budget.Reservation, deliver func()) bool {
	done := s.settle(n, r, 70)
	deliver()
	if done.call == 0 || done.failure != nil {
		return false
	}
	key := billKey{testBudgets[0].Organisation, r.Request.IdempotencyKey}
	s.reference.acknowledged[key] = acknowledgedBill{holder: n.machine.instance, budget: testBudgets[0], tokens: 70, at: s.now}
	return true
}

// deliverBetween delivers the messages between a node and one VM, and no others.
func (f *fleet) deliverBetween(n *node, vm string) {
	for {
		i := slices.IndexFunc(f.messages, func(msg *message) bool {
			return linkKey(msg.from, msg.to) == linkKey(n.vm, vm) && f.isDeliverable(msg)
		})
		if i < 0 {
			return
		}
		msg := f.messages[i]
		f.messages = slices.Delete(f.messages, i, i+1)
		msg.deliver()
	}
}

// Failure case "router and one witness die": guards against losing a bill that the other witness has received, here the
// first one, and against returning tokens although the crashed witness may have had more entries. Only the second bill,
// which the other witness has not received because all messages with it are in transit, is lost.
func TestRouterAndWitnessCrashTogether(t *testing.T) {
	for witnessIndex := range 2 {
		t.Run(fmt.Sprint("witness ", witnessIndex), func(t *testing.T) {
			s := newScenario(t, 3, 1000)
			n := s.node(0)
			id, vm := n.machine.instance, n.machine.log.Witnesses()[witnessIndex].Address
			r1, r2 := s.reserve(n, "k1", 100), s.reserve(n, "k2", 100)
			s.cutLinks[linkKey(n.vm, platformVM)] = true
			must.True(t, s.settleAndDeliver(n, r1, func() { s.deliverBetween(n, vm) }))
			s.deliverAll()
			must.True(t, s.settleAndDeliver(n, r2, func() { s.deliverBetween(n, vm) }))
			granted := s.budgetStatus().Grants[0].Tokens
			must.EqOp(t, 0, s.budgetStatus().Settled)
			s.crash(n.vm)
			s.crash(vm)
			for range 2 {
				err := s.closeInstance(2-witnessIndex, id)
				must.ErrorContains(t, err, "an operator may release the rest")
				must.EqOp(t, 70, s.budgetStatus().Settled)
				must.EqOp(t, granted-70, s.budgetStatus().Grants[0].Tokens)
			}
			must.MapContainsKey(t, s.reference.bills, billKey{testBudgets[0].Organisation, "k1"})
		})
	}
}

// Guards against settling a bill twice that the only remaining witness lists as open. The witness was cut off before
// the ledger settled the bill, for so long that the ledger could have deleted its record of the bill.
func TestLaggingWitnessDoesNotBillTwice(t *testing.T) {
	s := newScenario(t, 3, 100_000)
	n := s.node(0)
	id, witnesses := n.machine.instance, n.machine.log.Witnesses()
	must.True(t, s.reserveAndSettle(n, "k"))
	s.cutLinks[linkKey(n.vm, witnesses[1].Address)] = true
	bills := 1
	for i := range 400 {
		must.True(t, s.reserveAndSettle(n, fmt.Sprint("k", i)))
		s.runFor(2 * time.Second)
		bills++
	}
	must.EqOp(t, budget.Tokens(70*bills), s.budgetStatus().Settled)
	s.reserve(n, "open", 100)
	s.crash(n.vm)
	s.crash(witnesses[0].Address)
	must.Error(t, s.closeInstance(2, id))
	must.EqOp(t, budget.Tokens(70*bills), s.budgetStatus().Settled)
}

// deliverRoundTrips delivers all messages that can arrive, and then records which witnesses must have the bills that
// were acknowledged so far.
func (m *randomRun) deliverRoundTrips() {
	m.deliverAll()
	for _, vm := range m.vms {
		n := m.nodes[vm]
		if n.frozen || n.machine.closed {
			continue
		}
		failing := n.machine.log.FailingWitnesses(m.now, 0)
		for _, w := range n.machine.log.Witnesses() {
			peer := m.nodes[w.Address]
			if slices.Contains(failing, w) || peer.router != w.Router || peer.frozen || m.cutLinks[linkKey(vm, w.Address)] {
				continue
			}
			for key, t := range m.reference.acknowledged {
				if t.holder == n.machine.instance {
					m.reference.deliveredToWitness[witnessedBill{key, w.Router}] = true
				}
			}
		}
	}
}

// checkHeldInstance checks which bills were lost with a held instance. An acknowledged bill may be missing in the
// ledger only if no remaining witness has it, and only if one of them has not answered any message sent after the bill
// was acknowledged. If the witness answers, this period lasts at most two round trips: that of the message in transit
// when the bill is added, and that of the next message.
func (m *randomRun) checkHeldInstance(record instance.Record) {
	bills := map[string]bool{}
	var routers []string
	for _, w := range record.Witnesses {
		content, ok := m.nodes[w.Address].copies.Close(record.Instance, w.Router)
		if !ok {
			continue
		}
		routers = append(routers, w.Router)
		for _, e := range content.Entries {
			if e.Kind == journal.Bill {
				bills[billKey{e.Budget.Organisation, e.Key}.String()] = true
			}
		}
	}
	if len(routers) == 0 {
		return
	}
	if !record.BillsSettled {
		m.fail("%s is held with %d witnesses and its bills are not settled: %s", record.Instance, len(routers), record.HeldReason)
	}
	holder := slices.IndexFunc(m.reference.machines(), func(machine *stateMachine) bool { return machine.instance == record.Instance })
	for key, t := range m.reference.acknowledged {
		if _, ok := m.reference.bills[key]; ok || t.holder != record.Instance {
			continue
		}
		since, lagging := m.reference.machines()[holder].log.LaggingSince()
		if bills[key.String()] || !lagging || since.After(t.at) {
			m.fail("bill %v was acknowledged by %s and lost, although the remaining witness has answered since", key, t.holder)
		}
		for _, router := range routers {
			if m.reference.deliveredToWitness[witnessedBill{key, router}] {
				m.fail("bill %v was acknowledged by %s and lost, although witness %s had answered", key, t.holder, router)
			}
		}
		m.reference.lostBills++
	}
}

func (k billKey) String() string { return k.organisation + "/" + k.key }

// crashRouterAndWitness crashes a router and one of its witnesses just after that witness, or both witnesses, have
// acknowledged a bill.
func (m *randomRun) crashRouterAndWitness() {
	n := m.nodes[m.pickVM()]
	witnesses := n.machine.log.Witnesses()
	if len(witnesses) < 2 || n.machine.closed {
		return
	}
	w := witnesses[m.pick("witness", len(witnesses))]
	if !n.frozen {
		// Instances that crashed earlier may hold all tokens.
		for _, id := range testBudgets {
			m.topUp(id, 400)
		}
		m.reserveAtNode(n)
		m.deliverRoundTrips()
		// The bill must not reach the ledger before the crash.
		platformLink, wasCut := linkKey(n.vm, platformVM), m.cutLinks[linkKey(n.vm, platformVM)]
		m.cutLinks[platformLink] = true
		m.endReservation(n, 100)
		if m.pick("last bill", 2) == 0 {
			m.deliverBetween(n, w.Address)
			m.messages = slices.DeleteFunc(m.messages, func(msg *message) bool { return msg.from == n.vm })
		} else {
			m.deliverRoundTrips()
		}
		m.cutLinks[platformLink] = wasCut
	}
	m.crash(n.vm)
	if m.nodes[w.Address].router == w.Router {
		m.crash(w.Address)
	}
}

// Guards against losing settled bills when an operator releases an instance.
func TestReleaseAfterRouterAndWitnessCrash(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	id, vm := n.machine.instance, n.machine.log.Witnesses()[0].Address
	must.True(t, s.reserveAndSettle(n, "k1"))
	s.crash(n.vm)
	s.crash(vm)
	must.Error(t, s.closeInstance(2, id))
	c := &closerRun{fleet: s.fleet, node: s.node(2), instance: id, results: make(chan callResult), paused: make(chan bool)}
	s.closers = append(s.closers, c)
	go func() {
		c.err = instance.NewCloser(closerStore{c}, closerWitnesses{c}, closerWriter{c}, 1, closerView{c}).Release(context.Background(), id)
		c.ended = true
		c.paused <- true
	}()
	<-c.paused
	must.NoError(t, c.finish(succeed))
	must.EqOp(t, 70, s.budgetStatus().Settled)
	must.SliceEmpty(t, s.budgetStatus().Grants)
	must.EqOp(t, budget.Tokens(70), s.reference.bills[billKey{testBudgets[0].Organisation, "k1"}])
}
