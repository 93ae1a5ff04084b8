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

// bill serves a request of 70 tokens and reports whether the caller was told so.
func (s *scenario) bill(n *node, key string) bool {
	return s.told(n, s.reserve(n, key, 100), s.deliverAll)
}

// told settles 70 tokens of a reservation and reports whether the caller was told so.
func (s *scenario) told(n *node, r budget.Reservation, deliver func()) bool {
	done := s.settle(n, r, 70)
	deliver()
	if done.call == 0 || done.failure != nil {
		return false
	}
	key := billKey{testBudgets[0].Organisation, r.Request.IdempotencyKey}
	s.ref.told[key] = told{holder: n.machine.instance, budget: testBudgets[0], tokens: 70, at: s.now}
	return true
}

// toOnly delivers the messages between a node and one VM.
func (w *world) toOnly(n *node, vm string) {
	for {
		i := slices.IndexFunc(w.flights, func(f *flight) bool {
			return link(f.from, f.to) == link(n.vm, vm) && w.deliverable(f)
		})
		if i < 0 {
			return
		}
		f := w.flights[i]
		w.flights = slices.Delete(w.flights, i, i+1)
		f.deliver()
	}
}

// Row "router and one witness die": guards against bills that are lost with the witness that acknowledged them first,
// and against tokens that are given back although that witness may have had more. Only what it alone acknowledged
// and the other witness had not received is lost: here the bill of which all messages to the other one were still in
// flight. The bill before it, whose round trip to the other witness was over, is settled.
func TestRouterAndWitnessDieTogether(t *testing.T) {
	for dying := range 2 {
		t.Run(fmt.Sprint("witness ", dying), func(t *testing.T) {
			s := newScenario(t, 3, 1000)
			n := s.node(0)
			id, vm := n.machine.instance, n.machine.log.Witnesses()[dying].Address
			r1, r2 := s.reserve(n, "k1", 100), s.reserve(n, "k2", 100)
			s.cut[link(n.vm, platformVM)] = true
			must.True(t, s.told(n, r1, func() { s.toOnly(n, vm) }))
			s.deliverAll()
			must.True(t, s.told(n, r2, func() { s.toOnly(n, vm) }))
			granted := s.status().Grants[0].Tokens
			must.EqOp(t, 0, s.status().Settled)
			s.crash(n.vm)
			s.crash(vm)
			for range 2 {
				err := s.close(2-dying, id)
				must.ErrorContains(t, err, "an operator may release the rest")
				must.EqOp(t, 70, s.status().Settled)
				must.EqOp(t, granted-70, s.status().Grants[0].Tokens)
			}
			must.MapContainsKey(t, s.ref.bills, billKey{testBudgets[0].Organisation, "k1"})
		})
	}
}

// Guards against a second settlement of a bill that the only remaining witness has as open, because it was cut off
// before the ledger settled the bill and until the ledger would have dropped the record.
func TestLaggingWitnessDoesNotBillTwice(t *testing.T) {
	s := newScenario(t, 3, 100_000)
	n := s.node(0)
	id, witnesses := n.machine.instance, n.machine.log.Witnesses()
	must.True(t, s.bill(n, "k"))
	s.cut[link(n.vm, witnesses[1].Address)] = true
	bills := 1
	for i := range 400 {
		must.True(t, s.bill(n, fmt.Sprint("k", i)))
		s.run(2 * time.Second)
		bills++
	}
	must.EqOp(t, budget.Tokens(70*bills), s.status().Settled)
	s.reserve(n, "open", 100)
	s.crash(n.vm)
	s.crash(witnesses[0].Address)
	must.Error(t, s.close(2, id))
	must.EqOp(t, budget.Tokens(70*bills), s.status().Settled)
}

// roundTrips delivers all messages that can arrive, and records which witnesses must have the bills told until now.
func (m *machine) roundTrips() {
	m.deliverAll()
	for _, vm := range m.vms {
		n := m.nodes[vm]
		if n.frozen || n.machine.closed {
			continue
		}
		failing := n.machine.log.FailingWitnesses(m.now, 0)
		for _, w := range n.machine.log.Witnesses() {
			peer := m.nodes[w.Address]
			if slices.Contains(failing, w) || peer.router != w.Router || peer.frozen || m.cut[link(vm, w.Address)] {
				continue
			}
			for key, t := range m.ref.told {
				if t.holder == n.machine.instance {
					m.ref.answered[witnessedBill{key, w.Router}] = true
				}
			}
		}
	}
}

// checkHeld checks what is lost with a held instance. A bill that was told durable may be missing in the ledger only if
// every witness that remains lacks it, and then only if one of them has not answered to any message that was sent
// after the bill was told. With a witness that answers, this is the time of two round trips: that of the message in
// flight when the bill is added, and that of the next one.
func (m *machine) checkHeld(record instance.Record) {
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
	holder := slices.IndexFunc(m.ref.machines(), func(c *stateMachine) bool { return c.instance == record.Instance })
	for key, t := range m.ref.told {
		if _, ok := m.ref.bills[key]; ok || t.holder != record.Instance {
			continue
		}
		since, behind := m.ref.machines()[holder].log.LaggingSince()
		if bills[key.String()] || !behind || since.After(t.at) {
			m.fail("bill %v was told durable by %s, and the remaining witness had answered since", key, t.holder)
		}
		for _, router := range routers {
			if m.ref.answered[witnessedBill{key, router}] {
				m.fail("bill %v was told durable by %s and lost, although witness %s had answered", key, t.holder, router)
			}
		}
		m.ref.lost++
	}
}

func (k billKey) String() string { return k.organisation + "/" + k.key }

// crashPair ends a router and one of its witnesses, just after that witness or both have acknowledged a bill.
func (m *machine) crashPair() {
	n := m.nodes[m.vm()]
	witnesses := n.machine.log.Witnesses()
	if len(witnesses) < 2 || n.machine.closed {
		return
	}
	w := witnesses[m.pick("witness", len(witnesses))]
	if !n.frozen {
		// Instances that died before may hold all tokens.
		for _, id := range testBudgets {
			m.topUp(id, 400)
		}
		m.reserveAt(n)
		m.roundTrips()
		// The ledger does not get the bill in time.
		platformLink, was := link(n.vm, platformVM), m.cut[link(n.vm, platformVM)]
		m.cut[platformLink] = true
		m.end(n, 100)
		if m.pick("last bill", 2) == 0 {
			m.toOnly(n, w.Address)
			m.flights = slices.DeleteFunc(m.flights, func(f *flight) bool { return f.from == n.vm })
		} else {
			m.roundTrips()
		}
		m.cut[platformLink] = was
	}
	m.crash(n.vm)
	if m.nodes[w.Address].router == w.Router {
		m.crash(w.Address)
	}
}

// Guards against the loss of settled bills at an operator's release.
func TestReleaseAfterRouterAndWitnessDied(t *testing.T) {
	s := newScenario(t, 3, 1000)
	n := s.node(0)
	id, vm := n.machine.instance, n.machine.log.Witnesses()[0].Address
	must.True(t, s.bill(n, "k1"))
	s.crash(n.vm)
	s.crash(vm)
	must.Error(t, s.close(2, id))
	c := &closing{w: s.world, node: s.node(2), instance: id, next: make(chan verdict), parked: make(chan bool)}
	s.closers = append(s.closers, c)
	go func() {
		c.err = instance.NewCloser(closingStore{c}, closingWitnesses{c}, closingWriter{c}, 1, closingView{c}).Release(context.Background(), id)
		c.ended = true
		c.parked <- true
	}()
	<-c.parked
	must.NoError(t, c.finish(succeed))
	must.EqOp(t, 70, s.status().Settled)
	must.SliceEmpty(t, s.status().Grants)
	must.EqOp(t, budget.Tokens(70), s.ref.bills[billKey{testBudgets[0].Organisation, "k1"}])
}
