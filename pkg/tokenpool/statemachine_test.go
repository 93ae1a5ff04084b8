package tokenpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// randomRun performs random actions on a fleet.
type randomRun struct {
	*fleet
	t   *rapid.T
	ops int
}

// pick draws a number from 0 to n-1, with n at most 256. It draws single bits, because rapid's integers are mostly
// small.
func (m *randomRun) pick(label string, n int) int {
	v := 0
	for range 8 {
		v <<= 1
		if rapid.Bool().Draw(m.t, label) {
			v |= 1
		}
	}
	return v * n / 256
}

func (m *randomRun) pickVM() string { return m.vms[m.pick("vm", len(m.vms))] }

// pickRunningNode draws a node. It returns nil if the node has crashed or is frozen.
func (m *randomRun) pickRunningNode() *node {
	if n := m.nodes[m.pickVM()]; !n.frozen && !n.crashed {
		return n
	}
	return nil
}

func (m *randomRun) topUp(id budget.ID, tokens budget.Tokens) {
	m.ops++
	m.reference.toppedUp[id] += tokens
	m.apply([]budget.Op{{ID: fmt.Sprintf("op/%d", m.ops), Kind: budget.OpTopUp, Budget: id, Tokens: tokens}})
}

func (m *randomRun) reserve() {
	if n := m.pickRunningNode(); n != nil {
		m.reserveAtNode(n)
	}
}

func (m *randomRun) reserveAtNode(n *node) {
	req := budget.Request{
		Budget: testBudgets[m.pick("budget", len(testBudgets))],
		// Keys are reused only for the time during which the ledger must recognise a retry.
		IdempotencyKey: fmt.Sprint(m.pick("key", 30), "@", m.now.Unix()/240),
		UpperBound:     budget.Tokens(1 + m.pick("tokens", 200)),
	}
	m.startCall(n, func(machine *stateMachine, call uint64) { machine.reserve(m.now, call, req) }, func(done completion) {
		if done.failure != nil {
			m.reference.refusals[done.failure.Reason]++
			return
		}
		n.openReservations = append(n.openReservations, done.reservation)
	})
}

// endReservation settles an open reservation, or cancels it if used is negative.
func (m *randomRun) endReservation(n *node, used budget.Tokens) {
	if n == nil || len(n.openReservations) == 0 {
		return
	}
	i := m.pick("reservation", len(n.openReservations))
	r := n.openReservations[i]
	n.openReservations = slices.Delete(n.openReservations, i, i+1)
	if used < 0 {
		n.machine.cancel(m.now, r.ID)
		m.runEffects(n)
		return
	}
	m.settle(n, r, used)
}

func (m *randomRun) settle(n *node, r budget.Reservation, used budget.Tokens) {
	used = min(used, r.Request.UpperBound)
	key := billKey{r.Request.Budget.Organisation, r.Request.IdempotencyKey}
	holder := n.machine.instance
	if b, ok := n.machine.bills[key]; ok {
		used = b.tokens
	}
	m.startCall(n, func(machine *stateMachine, call uint64) { machine.settle(m.now, call, r.ID, used) }, func(done completion) {
		if done.failure != nil {
			return
		}
		m.reference.settledCount++
		if _, ok := m.reference.acknowledged[key]; !ok {
			m.reference.acknowledged[key] = acknowledgedBill{holder: holder, budget: r.Request.Budget, tokens: used, at: m.now}
		}
	})
}

// actOnMessage delivers, loses, times out or duplicates a message.
func (m *randomRun) actOnMessage(action string) {
	var ready []int
	for i, msg := range m.messages {
		if m.isDeliverable(msg) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[m.pick("message", min(len(ready), 6))]
	msg := m.messages[i]
	if action != "duplicate" && action != "time out" {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if action == "lose" || action == "time out" {
		msg.timeout()
		return
	}
	msg.deliver()
}

// deliverAll delivers all messages that can arrive, and those sent in response.
func (f *fleet) deliverAll() {
	for range 10_000 {
		i := slices.IndexFunc(f.messages, f.isDeliverable)
		if i < 0 {
			return
		}
		msg := f.messages[i]
		f.messages = slices.Delete(f.messages, i, i+1)
		msg.deliver()
	}
	f.fail("messages are still being sent after 10,000 deliveries")
}

func (m *randomRun) proposeWitnesses() {
	n := m.pickRunningNode()
	if n == nil || n.machine.closed {
		return
	}
	var set []journal.Ref
	for _, vm := range m.vms {
		if vm != n.vm && m.pick("named", 3) > 0 && len(set) < 2 {
			set = append(set, m.witnessRef(vm))
		}
	}
	if len(set) == 0 && m.pick("none", 8) > 0 {
		return
	}
	if n.machine.log.Propose(set) {
		m.runEffects(n)
	}
}

func (m *randomRun) startRandomCloser() {
	records := m.store.records()
	if len(records) > 0 && len(m.closers) < 12 {
		m.startCloser(m.pickVM(), records[m.pick("record", len(records))].Instance)
	}
}

func (m *randomRun) stepRandomCloser() {
	if len(m.closers) > 0 {
		c := m.closers[m.pick("closer", len(m.closers))]
		c.step(callResult(max(0, m.pick("verdict", 8)-5)))
	}
}

// actions returns the actions of a run. Repeated ones are drawn more often. Each run has its own mix of faults.
func (m *randomRun) actions() []func() {
	deliver := func() { m.actOnMessage("deliver") }
	settle := func() { m.endReservation(m.pickRunningNode(), budget.Tokens(m.pick("used", 250))) }
	tick := func() { m.advance(20 * time.Millisecond) }
	all := []func(){
		deliver, deliver, deliver, deliver, deliver, m.deliverRoundTrips, m.deliverRoundTrips, m.deliverRoundTrips,
		m.reserve, m.reserve, m.reserve, m.reserve, settle, settle, settle, settle, tick, tick,
		func() { m.advance(200 * time.Millisecond) }, func() { m.advance(time.Second) },
		func() { m.topUp(testBudgets[m.pick("budget", len(testBudgets))], 150) },
	}
	for _, faults := range [][]func(){
		{func() { m.actOnMessage("lose") }, func() { m.actOnMessage("time out") }, func() { m.actOnMessage("duplicate") }},
		{func() { vm := m.pickVM(); m.nodes[vm].frozen = !m.nodes[vm].frozen }},
		{func() { m.toggleLink(m.pickVM(), m.pickVM()) }, func() { clear(m.cutLinks) }},
		{func() { m.toggleLink(m.pickVM(), platformVM) }, func() { m.advance(3 * time.Second) }},
		{func() { m.cutPlatform(true) }, func() { m.cutPlatform(false) }},
		{m.proposeWitnesses, m.proposeWitnesses, m.abortWitnessChange},
		{m.startRandomCloser, m.stepRandomCloser, m.stepRandomCloser, m.stepRandomCloser, m.stepRandomCloser},
		{m.startRandomCloser, m.startRandomCloser, m.stepRandomCloser, m.stepRandomCloser, m.stepRandomCloser, m.stepRandomCloser, m.stepRandomCloser},
		{func() { m.crash(m.pickVM()) }},
		{m.crashRouterAndWitness},
		{func() { m.advance(time.Duration(1+m.pick("minutes", 20)) * time.Minute) }},
		{func() { m.endReservation(m.pickRunningNode(), -1) }},
	} {
		if m.pick("faults", 2) == 0 {
			all = append(all, faults...)
		}
	}
	return all
}

func (m *randomRun) abortWitnessChange() {
	if n := m.pickRunningNode(); n != nil {
		n.machine.log.AbortChange()
	}
}

func (m *randomRun) cutPlatform(cut bool) {
	for _, vm := range m.vms {
		m.cutLinks[linkKey(vm, platformVM)] = cut
	}
}

func (m *randomRun) toggleLink(a, b string) {
	if a != b {
		m.cutLinks[linkKey(a, b)] = !m.cutLinks[linkKey(a, b)]
	}
}

// finishAndCheck ends all faults, settles all requests, closes all instances and checks the final state of the ledger.
func (m *randomRun) finishAndCheck() {
	clear(m.cutLinks)
	for _, vm := range m.vms {
		m.nodes[vm].frozen = false
	}
	for _, c := range m.closers {
		_ = c.finish(succeed)
	}
	for range 40 {
		m.deliverAll()
		for _, vm := range m.vms {
			n := m.nodes[vm]
			for _, r := range slices.Clone(n.openReservations) {
				m.settle(n, r, r.Request.UpperBound/2)
			}
			n.openReservations = nil
		}
		m.advance(500 * time.Millisecond)
		m.verify()
	}
	m.closeAll()
}

// closeAll closes all instances. Only those with a witness that has lost its copy may stay open.
func (m *randomRun) closeAll() {
	held := map[string]bool{}
	for range 3 {
		clear(held)
		for _, record := range m.store.records() {
			if err := m.startCloser(m.vms[0], record.Instance).finish(succeed); err != nil {
				held[record.Instance] = true
				if !m.hasLostWitness(record) {
					m.fail("instance %s was not closed: %v", record.Instance, err)
				}
			}
		}
		m.reference.check()
	}
	for _, s := range m.reference.statuses() {
		for _, g := range s.Grants {
			if !held[g.Instance] {
				m.fail("%s still holds %d tokens of %s", g.Instance, g.Tokens, s.ID)
			}
		}
	}
	for _, record := range m.store.records() {
		if held[record.Instance] {
			m.checkHeldInstance(record)
		}
	}
	for key, t := range m.reference.acknowledged {
		if _, ok := m.reference.bills[key]; !ok && !held[t.holder] {
			m.fail("bill %v was acknowledged by %s and is not in the ledger", key, t.holder)
		}
	}
}

func (m *randomRun) hasLostWitness(record instance.Record) bool {
	return slices.ContainsFunc(record.Witnesses, func(r journal.Ref) bool { return m.nodes[r.Address].router != r.Router })
}

// Guards against overspend, double bills, lost bills and unaccounted tokens under any order of messages, with lost,
// late and duplicated messages, crashes, frozen processes, partitions, changes of witnesses and concurrent closers.
func TestStateMachine(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &randomRun{t: t, fleet: newFleet(t.Logf, rapid.SampledFrom([]int{2, 3, 4}).Draw(t, "vms"), Settings{})}
		defer func() {
			for _, c := range m.closers {
				_ = c.finish(refuse)
			}
		}()
		for _, id := range testBudgets {
			m.apply([]budget.Op{{ID: "create/" + id.Budget, Kind: budget.OpCreate, Budget: id}})
			m.topUp(id, 500)
		}
		actions := m.actions()
		for range 50 + m.pick("steps", 250) {
			actions[m.pick("action", len(actions))]()
			m.verify()
		}
		m.finishAndCheck()
		m.verify()
		m.countEvents(counts)
	})
	t.Logf("event counts: %v", counts)
	for _, event := range []string{
		"bills", "refusals", "closed instances", "held instances", "transfers", "recalls", "witness changes", "new registrations",
		"settled held instances", "lost bills",
	} {
		if counts[event] == 0 {
			t.Errorf("no run has any %s, so the test does not cover this case", event)
		}
	}
}

// verify checks the invariants and stops the run at the first failure.
func (m *randomRun) verify() {
	m.reference.check()
	if m.failure != "" {
		m.t.Fatal(m.failure)
	}
}

// countEvents adds the events of a run to counts.
func (m *randomRun) countEvents(counts map[string]int) {
	counts["bills"] += len(m.reference.bills)
	counts["acknowledged bills"] += len(m.reference.acknowledged)
	for reason, n := range m.reference.refusals {
		counts["refusals"] += n
		counts[string(reason)] += n
	}
	counts["closed instances"] += len(m.reference.closed)
	counts["transfers"] += len(m.reference.transfers)
	counts["held instances"] += len(m.store.records())
	for _, record := range m.store.records() {
		if record.BillsSettled {
			counts["settled held instances"]++
		}
	}
	counts["lost bills"] += m.reference.lostBills
	counts["witness changes"] += m.reference.witnessChanges
	counts["recalls"] += m.reference.returnedRecalls
	for _, n := range m.nodes {
		counts["new registrations"] += n.instanceCount - 1
	}
}
