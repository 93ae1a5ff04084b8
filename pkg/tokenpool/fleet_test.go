package tokenpool

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// platformVM stands for the platform as the end of a link.
const platformVM = "platform"

var testBudgets = []budget.ID{{Organisation: "velocar", Budget: "dispatch"}, {Organisation: "svaz", Budget: "hire"}}

// fleet is a simulated fleet of token pools, witnesses and closers with one ledger shard. Messages stay queued until the
// test delivers, loses or duplicates them.
type fleet struct {
	log          func(format string, args ...any)
	failure      string
	now          time.Time
	shard        *ledger.Shard
	reference    *referenceLedger
	store        *testStore
	vms          []string
	nodes        map[string]*node // by VM
	crashedNodes []*node
	messages     []*message
	// In the experiment, sendHook replaces the message queue, and writeHook runs the ledger operations of a call.
	sendHook     func(*message)
	writeHook    func(run func())
	cutLinks     map[string]bool
	closers      []*closerRun
	settings     Settings
	processCount int
	// twoZones selects a neighbour and a VM of the other half as witnesses, instead of the next two VMs.
	twoZones   bool
	applyCount int
}

// node is one router process.
type node struct {
	vm, router       string
	copies           *journal.Copies
	machine          *stateMachine
	machines         []*stateMachine
	instanceCount    int
	crashed          bool
	frozen           bool
	calls            map[uint64]func(completion)
	lastCall         uint64
	openReservations []budget.Reservation
}

// message is a message in transit.
type message struct {
	from, to string
	sentAt   time.Time
	deliver  func()
	timeout  func()
}

func newFleet(log func(string, ...any), vms int, settings Settings, twoZones ...bool) *fleet {
	w := &fleet{
		log: log, now: time.Unix(1_800_000_000, 0), shard: ledger.New(), store: &testStore{objects: map[string]platform.Object{}},
		nodes: map[string]*node{}, cutLinks: map[string]bool{}, settings: settings,
		twoZones: len(twoZones) > 0,
	}
	w.reference = newReferenceLedger(w)
	for i := range vms {
		w.vms = append(w.vms, fmt.Sprintf("vm%d", i))
	}
	for _, vm := range w.vms {
		w.startProcess(vm)
	}
	for _, vm := range w.vms {
		w.register(w.nodes[vm])
	}
	return w
}

// fail records the first failure. It does not stop the test, because it may run in the goroutine of a closer; the test
// checks failure in its own goroutine.
func (w *fleet) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// startProcess starts a process on a VM and replaces the previous one.
func (w *fleet) startProcess(vm string) *node {
	w.processCount++
	n := &node{vm: vm, router: fmt.Sprintf("%s@%d-0", vm, w.processCount), calls: map[uint64]func(completion){}}
	n.copies = journal.NewCopies(n.router)
	n.machine = newStateMachine("", nil, w.settings)
	n.machine.closed = true
	w.nodes[vm] = n
	return n
}

func (w *fleet) witnessRef(vm string) journal.Ref {
	return journal.Ref{Router: w.nodes[vm].router, Address: vm}
}

// register creates the instance record with up to two witnesses, without messages.
func (w *fleet) register(n *node) {
	n.instanceCount++
	id := fmt.Sprintf("%s.%d", n.router, n.instanceCount)
	var witnesses []journal.Ref
	for _, i := range w.witnessIndexes(slices.Index(w.vms, n.vm)) {
		witnesses = append(witnesses, w.witnessRef(w.vms[i]))
	}
	w.store.put(instance.Key(id), encodeRecord(instance.Record{
		Instance: id, Router: n.router, VM: n.vm, State: instance.Open, Witnesses: witnesses,
	}))
	old := n.machine
	n.machine = newStateMachine(id, witnesses, w.settings)
	n.machine.lastReservationID, n.machine.lastTransferNumber = old.lastReservationID, old.lastTransferNumber
	n.machines = append(n.machines, n.machine)
	n.machine.peers = w.peersOf(n)
}

func (w *fleet) witnessIndexes(i int) []int {
	n := len(w.vms)
	switch {
	case n == 1:
		return nil
	case n == 2:
		return []int{1 - i}
	case w.twoZones:
		return []int{i ^ 1, (i + n/2) % n}
	default:
		return []int{(i + 1) % n, (i + 2) % n}
	}
}

func (w *fleet) peersOf(n *node) []string {
	var peers []string
	for _, vm := range w.vms {
		if vm != n.vm {
			peers = append(peers, vm)
		}
	}
	return peers
}

func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

// call sends a request from a node. exec runs at the destination; its answer is a function that runs at the sender. lost
// runs at the sender instead if no answer arrives.
func (w *fleet) call(n *node, to string, exec func(answer func(func())), lost func()) {
	machine, done := n.machine, false
	finish := func(f func()) {
		if !done && !n.crashed {
			done = true
			if n.machine == machine {
				f()
				w.runEffects(n)
			}
		}
	}
	timeout := func() { finish(lost) }
	w.send(&message{from: n.vm, to: to, sentAt: w.now, timeout: timeout, deliver: func() {
		if to != platformVM && w.nodes[to].crashed {
			timeout()
			return
		}
		exec(func(result func()) {
			w.send(&message{from: to, to: n.vm, sentAt: w.now, timeout: timeout, deliver: func() { finish(result) }})
		})
	}})
}

func (w *fleet) send(msg *message) {
	if w.sendHook != nil {
		w.sendHook(msg)
		return
	}
	w.messages = append(w.messages, msg)
}

// isDeliverable reports whether a message can arrive now.
func (w *fleet) isDeliverable(msg *message) bool {
	if msg.to != platformVM && w.nodes[msg.to].frozen {
		return false
	}
	return !w.cutLinks[linkKey(msg.from, msg.to)]
}

// runEffects carries out the effects of the node's state machine.
func (w *fleet) runEffects(n *node) {
	c := n.machine
	out := c.takeEffects(w.now)
	for _, done := range out.completions {
		if f, ok := n.calls[done.call]; ok {
			delete(n.calls, done.call)
			f(done)
		}
	}
	for _, call := range out.applies {
		w.call(n, platformVM, func(answer func(func())) {
			run := func() {
				results := w.apply(call.ops)
				answer(func() { c.handleLedgerResults(w.now, call.organisation, results, nil) })
			}
			if w.writeHook != nil {
				w.writeHook(run)
				return
			}
			run()
		}, func() { c.handleLedgerResults(w.now, call.organisation, nil, platform.ErrUnavailable) })
	}
	for _, a := range out.appends {
		w.call(n, a.Address, func(answer func(func())) {
			code := w.nodes[a.Address].copies.Append(a)
			w.log("append %+v: %d", a, code)
			answer(func() { c.handleAppendAnswer(w.now, a, code, nil) })
		}, func() { c.handleAppendAnswer(w.now, a, 0, journal.ErrUnreachable) })
	}
	w.runPeerCalls(n, out)
	if out.hasWitnessChange {
		w.changeWitnesses(n, out.witnessChange)
	}
	if out.closed && !n.crashed {
		n.openReservations = nil
		w.register(n)
	}
}

func (w *fleet) runPeerCalls(n *node, out effects) {
	c := n.machine
	for _, call := range out.recalls {
		vm := w.vmOf(call.holder)
		w.call(n, vm, func(answer func(func())) {
			w.startCall(w.nodes[vm], func(p *stateMachine, id uint64) { p.handleRecall(w.now, id, call.holder, call.budget, call.need) },
				func(done completion) {
					w.reference.returnedRecalls += min(1, int(done.recallAnswer.Returned))
					answer(func() { c.handleRecallAnswer(w.now, call, done.recallAnswer, errorOf(done)) })
				})
		}, func() { c.handleRecallAnswer(w.now, call, RecallAnswer{}, journal.ErrUnreachable) })
	}
	for _, call := range out.transfers {
		w.call(n, call.peer, func(answer func(func())) {
			w.startCall(w.nodes[call.peer], func(p *stateMachine, id uint64) {
				p.transferOut(w.now, id, c.instance, call.budget, call.need, call.want)
			}, func(done completion) {
				answer(func() { c.handleTransferAnswer(w.now, call, done.transferAnswer, errorOf(done)) })
			})
		}, func() { c.handleTransferAnswer(w.now, call, TransferAnswer{}, journal.ErrUnreachable) })
	}
}

func errorOf(done completion) error {
	if done.failure != nil {
		return done.failure
	}
	return nil
}

func (w *fleet) vmOf(holder string) string {
	vm, _, _ := strings.Cut(holder, "@")
	return vm
}

// startCall starts a call at a node. done runs when it is completed.
func (w *fleet) startCall(n *node, begin func(c *stateMachine, call uint64), done func(completion)) {
	n.lastCall++
	call := n.lastCall
	n.calls[call] = done
	begin(n.machine, call)
	w.runEffects(n)
}

// changeWitnesses changes the instance record by a read and a conditional write, and retries until the outcome is known.
func (w *fleet) changeWitnesses(n *node, set []journal.Ref) {
	c := n.machine
	retry := func() { w.changeWitnesses(n, set) }
	w.call(n, platformVM, func(answer func(func())) {
		o, ok := w.store.objects[instance.Key(c.instance)]
		answer(func() {
			if !ok || decodeRecord(o).State != instance.Open {
				c.handleWitnessChange(w.now, false, true)
				return
			}
			r := decodeRecord(o)
			if fmt.Sprint(r.Witnesses) == fmt.Sprint(set) {
				c.handleWitnessChange(w.now, true, false)
				return
			}
			r.Witnesses = set
			w.call(n, platformVM, func(answer func(func())) {
				_, err := w.store.Put(context.Background(), o.Key, encodeRecord(r), o.Revision)
				answer(func() {
					if err == nil {
						w.reference.witnessChanges++
						c.handleWitnessChange(w.now, true, false)
						return
					}
					retry()
				})
			}, retry)
		})
	}, retry)
}

// apply applies operations to the shard and checks the results against the reference ledger.
func (w *fleet) apply(ops []budget.Op) []budget.Result {
	w.applyCount++
	w.shard.Prune(w.now)
	results := make([]budget.Result, len(ops))
	for i, op := range ops {
		before := w.reference.totalSettled()
		results[i] = w.shard.Apply(w.now, op)
		w.log("apply %+v: %+v", op, results[i])
		w.reference.checkApplied(op, results[i], w.reference.totalSettled()-before)
	}
	return results
}

// advance advances the clock and runs a tick of all running nodes.
func (w *fleet) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, vm := range w.vms {
		if n := w.nodes[vm]; !n.crashed && !n.frozen {
			n.machine.tick(w.now)
			w.runEffects(n)
		}
	}
}

func (w *fleet) crash(vm string) {
	n := w.nodes[vm]
	w.log("crash %s", n.router)
	n.crashed = true
	w.crashedNodes = append(w.crashedNodes, n)
	w.register(w.startProcess(vm))
}
