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

// machine draws actions on a world.
type machine struct {
	*world
	t   *rapid.T
	ops int
}

// pick draws a number below n, which is at most 256. Single bits are drawn because rapid's integers are mostly small.
func (m *machine) pick(label string, n int) int {
	v := 0
	for range 8 {
		v <<= 1
		if rapid.Bool().Draw(m.t, label) {
			v |= 1
		}
	}
	return v * n / 256
}

func (m *machine) vm() string { return m.vms[m.pick("vm", len(m.vms))] }

// running returns a node that is neither dead nor frozen, or nil.
func (m *machine) running() *node {
	if n := m.nodes[m.vm()]; !n.frozen && !n.dead {
		return n
	}
	return nil
}

func (m *machine) topUp(id budget.ID, tokens budget.Tokens) {
	m.ops++
	m.ref.toppedUp[id] += tokens
	m.apply([]budget.Op{{ID: fmt.Sprintf("op/%d", m.ops), Kind: budget.OpTopUp, Budget: id, Tokens: tokens}})
}

func (m *machine) reserve() {
	if n := m.running(); n != nil {
		m.reserveAt(n)
	}
}

func (m *machine) reserveAt(n *node) {
	req := budget.Request{
		Budget: testBudgets[m.pick("budget", len(testBudgets))],
		// A key is reused within the time for which the ledger must recognise a retry.
		IdempotencyKey: fmt.Sprint(m.pick("key", 30), "@", m.now.Unix()/240),
		UpperBound:     budget.Tokens(1 + m.pick("tokens", 200)),
	}
	m.start(n, func(c *stateMachine, call uint64) { c.reserve(m.now, call, req) }, func(done completion) {
		if done.failure != nil {
			m.ref.refusals[done.failure.Reason]++
			return
		}
		n.open = append(n.open, done.reservation)
	})
}

// end settles or cancels an open reservation.
func (m *machine) end(n *node, used budget.Tokens) {
	if n == nil || len(n.open) == 0 {
		return
	}
	i := m.pick("reservation", len(n.open))
	r := n.open[i]
	n.open = slices.Delete(n.open, i, i+1)
	if used < 0 {
		n.machine.cancel(m.now, r.ID)
		m.pump(n)
		return
	}
	m.settle(n, r, used)
}

func (m *machine) settle(n *node, r budget.Reservation, used budget.Tokens) {
	used = min(used, r.Request.UpperBound)
	key := billKey{r.Request.Budget.Organisation, r.Request.IdempotencyKey}
	holder := n.machine.instance
	if b, ok := n.machine.bills[key]; ok {
		used = b.tokens
	}
	m.start(n, func(c *stateMachine, call uint64) { c.settle(m.now, call, r.ID, used) }, func(done completion) {
		if done.failure != nil {
			return
		}
		m.ref.served++
		if _, ok := m.ref.told[key]; !ok {
			m.ref.told[key] = told{holder: holder, budget: r.Request.Budget, tokens: used, at: m.now}
		}
	})
}

// message delivers, loses, times out or duplicates a message.
func (m *machine) message(action string) {
	var ready []int
	for i, f := range m.flights {
		if m.deliverable(f) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	i := ready[m.pick("message", min(len(ready), 6))]
	f := m.flights[i]
	if action != "duplicate" && action != "time out" {
		m.flights = slices.Delete(m.flights, i, i+1)
	}
	if action == "lose" || action == "time out" {
		f.timeout()
		return
	}
	f.deliver()
}

// deliverAll delivers all messages that can arrive, and what they cause.
func (w *world) deliverAll() {
	for range 10_000 {
		i := slices.IndexFunc(w.flights, w.deliverable)
		if i < 0 {
			return
		}
		f := w.flights[i]
		w.flights = slices.Delete(w.flights, i, i+1)
		f.deliver()
	}
	w.fail("messages do not end")
}

func (m *machine) newWitnesses() {
	n := m.running()
	if n == nil || n.machine.closed {
		return
	}
	var set []journal.Ref
	for _, vm := range m.vms {
		if vm != n.vm && m.pick("named", 3) > 0 && len(set) < 2 {
			set = append(set, m.ref2(vm))
		}
	}
	if len(set) == 0 && m.pick("none", 8) > 0 {
		return
	}
	if n.machine.log.Propose(set) {
		m.pump(n)
	}
}

func (m *machine) beginClosing() {
	records := m.store.records()
	if len(records) > 0 && len(m.closers) < 12 {
		m.startClosing(m.vm(), records[m.pick("record", len(records))].Instance)
	}
}

func (m *machine) stepClosing() {
	if len(m.closers) > 0 {
		c := m.closers[m.pick("closer", len(m.closers))]
		c.step(verdict(max(0, m.pick("verdict", 8)-5)))
	}
}

// actions lists the steps; repeated ones are drawn more often. Each run has its own mix of faults.
func (m *machine) actions() []func() {
	deliver := func() { m.message("deliver") }
	settle := func() { m.end(m.running(), budget.Tokens(m.pick("used", 250))) }
	tick := func() { m.step(20 * time.Millisecond) }
	all := []func(){
		deliver, deliver, deliver, deliver, deliver, m.roundTrips, m.roundTrips, m.roundTrips,
		m.reserve, m.reserve, m.reserve, m.reserve, settle, settle, settle, settle, tick, tick,
		func() { m.step(200 * time.Millisecond) }, func() { m.step(time.Second) },
		func() { m.topUp(testBudgets[m.pick("budget", len(testBudgets))], 150) },
	}
	for _, faults := range [][]func(){
		{func() { m.message("lose") }, func() { m.message("time out") }, func() { m.message("duplicate") }},
		{func() { vm := m.vm(); m.nodes[vm].frozen = !m.nodes[vm].frozen }},
		{func() { m.toggle(m.vm(), m.vm()) }, func() { clear(m.cut) }},
		{func() { m.toggle(m.vm(), platformVM) }, func() { m.step(3 * time.Second) }},
		{func() { m.cutPlatform(true) }, func() { m.cutPlatform(false) }},
		{m.newWitnesses, m.newWitnesses, m.abandon},
		{m.beginClosing, m.stepClosing, m.stepClosing, m.stepClosing, m.stepClosing},
		{m.beginClosing, m.beginClosing, m.stepClosing, m.stepClosing, m.stepClosing, m.stepClosing, m.stepClosing},
		{func() { m.crash(m.vm()) }},
		{m.crashPair},
		{func() { m.step(time.Duration(1+m.pick("minutes", 20)) * time.Minute) }},
		{func() { m.end(m.running(), -1) }},
	} {
		if m.pick("faults", 2) == 0 {
			all = append(all, faults...)
		}
	}
	return all
}

func (m *machine) abandon() {
	if n := m.running(); n != nil {
		n.machine.log.AbortChange()
	}
}

func (m *machine) cutPlatform(cut bool) {
	for _, vm := range m.vms {
		m.cut[link(vm, platformVM)] = cut
	}
}

func (m *machine) toggle(a, b string) {
	if a != b {
		m.cut[link(a, b)] = !m.cut[link(a, b)]
	}
}

// settleDown heals everything, ends all requests, closes all instances and checks the final books.
func (m *machine) settleDown() {
	clear(m.cut)
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
			for _, r := range slices.Clone(n.open) {
				m.settle(n, r, r.Request.UpperBound/2)
			}
			n.open = nil
		}
		m.step(500 * time.Millisecond)
		m.verify()
	}
	m.closeAll()
}

// closeAll closes all instances, until only those stay whose witness has lost its copy.
func (m *machine) closeAll() {
	held := map[string]bool{}
	for range 3 {
		clear(held)
		for _, record := range m.store.records() {
			if err := m.startClosing(m.vms[0], record.Instance).finish(succeed); err != nil {
				held[record.Instance] = true
				if !m.lostWitness(record) {
					m.fail("instance %s is not closed: %v", record.Instance, err)
				}
			}
		}
		m.ref.check()
	}
	for _, s := range m.ref.statuses() {
		for _, g := range s.Grants {
			if !held[g.Instance] {
				m.fail("%s still holds %d tokens of %s", g.Instance, g.Tokens, s.ID)
			}
		}
	}
	for _, record := range m.store.records() {
		if held[record.Instance] {
			m.checkHeld(record)
		}
	}
	for key, t := range m.ref.told {
		if _, ok := m.ref.bills[key]; !ok && !held[t.holder] {
			m.fail("bill %v was told durable by %s and is not in the ledger", key, t.holder)
		}
	}
}

func (m *machine) lostWitness(record instance.Record) bool {
	return slices.ContainsFunc(record.Witnesses, func(r journal.Ref) bool { return m.nodes[r.Address].router != r.Router })
}

// Guards against overspend, double bills, lost bills and unexplained tokens under any order of messages, with lost,
// late and duplicated ones, crashes, frozen processes, partitions, changes of witnesses and racing closers.
func TestStateMachine(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, world: newWorld(t.Logf, rapid.SampledFrom([]int{2, 3, 4}).Draw(t, "vms"), Settings{})}
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
		m.settleDown()
		m.verify()
		m.count(seen)
	})
	t.Logf("seen: %v", seen)
	for _, what := range []string{"bills", "refusals", "closed", "held", "moved", "given", "changed", "reentered", "fenced", "lost"} {
		if seen[what] == 0 {
			t.Errorf("no run has %s, so the test shows nothing about it", what)
		}
	}
}

// verify checks the invariants and stops the test at the first failure.
func (m *machine) verify() {
	m.ref.check()
	if m.failure != "" {
		m.t.Fatal(m.failure)
	}
}

// count adds what has happened in a run.
func (m *machine) count(seen map[string]int) {
	seen["bills"] += len(m.ref.bills)
	seen["told"] += len(m.ref.told)
	for reason, n := range m.ref.refusals {
		seen["refusals"] += n
		seen[string(reason)] += n
	}
	seen["closed"] += len(m.ref.closed)
	seen["moved"] += len(m.ref.transfers)
	seen["held"] += len(m.store.records())
	for _, record := range m.store.records() {
		if record.BillsSettled {
			seen["fenced"]++
		}
	}
	seen["lost"] += m.ref.lost
	seen["changed"] += m.ref.changed
	seen["given"] += m.ref.given
	for _, n := range m.nodes {
		seen["reentered"] += n.last - 1
	}
}
