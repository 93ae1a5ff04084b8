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

// fleet is a simulated fleet of token pools, witnesses and closers with one ledger shard. Messages stay queued until
// the test delivers, loses or duplicates them.
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
	f := &fleet{
		log: log, now: time.Unix(1_800_000_000, 0), shard: ledger.New(), store: &testStore{objects: map[string]platform.Object{}},
		nodes: map[string]*node{}, cutLinks: map[string]bool{}, settings: settings,
		twoZones: len(twoZones) > 0,
	}
	f.reference = newReferenceLedger(f)
	for i := range vms {
		f.vms = append(f.vms, fmt.Sprintf("vm%d", i))
	}
	for _, vm := range f.vms {
		f.startProcess(vm)
	}
	for _, vm := range f.vms {
		f.register(f.nodes[vm])
	}
	return f
}

// fail records the first failure. It does not stop the test, because it may run in the goroutine of a closer; the test
// checks failure in its own goroutine.
func (f *fleet) fail(format string, args ...any) {
	if f.failure == "" {
		f.failure = fmt.Sprintf(format, args...)
	}
}

// startProcess starts a process on a VM and replaces the previous one.
func (f *fleet) startProcess(vm string) *node {
	f.processCount++
	n := &node{vm: vm, router: fmt.Sprintf("%s@%d-0", vm, f.processCount), calls: map[uint64]func(completion){}}
	n.copies = journal.NewCopies(n.router)
	n.machine = newStateMachine("", nil, f.settings)
	n.machine.closed = true
	f.nodes[vm] = n
	return n
}

func (f *fleet) witnessRef(vm string) journal.Ref {
	return journal.Ref{Router: f.nodes[vm].router, Address: vm}
}

// register creates the instance record with up to two witnesses, without messages.
func (f *fleet) register(n *node) {
	n.instanceCount++
	id := fmt.Sprintf("%s.%d", n.router, n.instanceCount)
	var witnesses []journal.Ref
	for _, i := range f.witnessIndexes(slices.Index(f.vms, n.vm)) {
		witnesses = append(witnesses, f.witnessRef(f.vms[i]))
	}
	f.store.put(instance.Key(id), encodeRecord(instance.Record{
		Instance: id, Router: n.router, VM: n.vm, State: instance.Open, Witnesses: witnesses,
	}))
	old := n.machine
	n.machine = newStateMachine(id, witnesses, f.settings)
	n.machine.lastReservationID, n.machine.lastTransferNumber = old.lastReservationID, old.lastTransferNumber
	n.machines = append(n.machines, n.machine)
	n.machine.peers = f.peersOf(n)
}

func (f *fleet) witnessIndexes(i int) []int {
	n := len(f.vms)
	switch {
	case n == 1:
		return nil
	case n == 2:
		return []int{1 - i}
	case f.twoZones:
		return []int{i ^ 1, (i + n/2) % n}
	default:
		return []int{(i + 1) % n, (i + 2) % n}
	}
}

func (f *fleet) peersOf(n *node) []string {
	var peers []string
	for _, vm := range f.vms {
		if vm != n.vm {
			peers = append(peers, vm)
		}
	}
	return peers
}

func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

// call sends a request from a node. exec runs at the destination; its answer is a function that runs at the sender.
// lost runs at the sender instead if no answer arrives.
func (f *fleet) call(n *node, to string, exec func(answer func(func())), lost func()) {
	machine, done := n.machine, false
	finish := func(handle func()) {
		if !done && !n.crashed {
			done = true
			if n.machine == machine {
				handle()
				f.runEffects(n)
			}
		}
	}
	timeout := func() { finish(lost) }
	f.send(&message{from: n.vm, to: to, sentAt: f.now, timeout: timeout, deliver: func() {
		if to != platformVM && f.nodes[to].crashed {
			timeout()
			return
		}
		exec(func(result func()) {
			f.send(&message{from: to, to: n.vm, sentAt: f.now, timeout: timeout, deliver: func() { finish(result) }})
		})
	}})
}

func (f *fleet) send(msg *message) {
	if f.sendHook != nil {
		f.sendHook(msg)
		return
	}
	f.messages = append(f.messages, msg)
}

// isDeliverable reports whether a message can arrive now.
func (f *fleet) isDeliverable(msg *message) bool {
	if msg.to != platformVM && f.nodes[msg.to].frozen {
		return false
	}
	return !f.cutLinks[linkKey(msg.from, msg.to)]
}

// runEffects carries out the effects of the node's state machine.
func (f *fleet) runEffects(n *node) {
	machine := n.machine
	out := machine.takeEffects(f.now)
	for _, done := range out.completions {
		if handle, ok := n.calls[done.call]; ok {
			delete(n.calls, done.call)
			handle(done)
		}
	}
	for _, call := range out.applies {
		f.call(n, platformVM, func(answer func(func())) {
			run := func() {
				results := f.apply(call.ops)
				answer(func() { machine.handleLedgerResults(f.now, call.organisation, results, nil) })
			}
			if f.writeHook != nil {
				f.writeHook(run)
				return
			}
			run()
		}, func() { machine.handleLedgerResults(f.now, call.organisation, nil, platform.ErrUnavailable) })
	}
	for _, a := range out.appends {
		f.call(n, a.Address, func(answer func(func())) {
			code := f.nodes[a.Address].copies.Append(a)
			f.log("append %+v: %d", a, code)
			answer(func() { machine.handleAppendAnswer(f.now, a, code, nil) })
		}, func() { machine.handleAppendAnswer(f.now, a, 0, journal.ErrUnreachable) })
	}
	f.runPeerCalls(n, out)
	if out.hasWitnessChange {
		f.changeWitnesses(n, out.witnessChange)
	}
	if out.closed && !n.crashed {
		n.openReservations = nil
		f.register(n)
	}
}

func (f *fleet) runPeerCalls(n *node, out effects) {
	machine := n.machine
	for _, call := range out.recalls {
		vm := f.vmOf(call.holder)
		f.call(n, vm, func(answer func(func())) {
			f.startCall(f.nodes[vm], func(p *stateMachine, id uint64) { p.handleRecall(f.now, id, call.holder, call.budget, call.need) },
				func(done completion) {
					f.reference.returnedRecalls += min(1, int(done.recallAnswer.Returned))
					answer(func() { machine.handleRecallAnswer(f.now, call, done.recallAnswer, errorOf(done)) })
				})
		}, func() { machine.handleRecallAnswer(f.now, call, RecallAnswer{}, journal.ErrUnreachable) })
	}
	for _, call := range out.transfers {
		f.call(n, call.peer, func(answer func(func())) {
			f.startCall(f.nodes[call.peer], func(p *stateMachine, id uint64) {
				p.transferOut(f.now, id, machine.instance, call.budget, call.need, call.want)
			}, func(done completion) {
				answer(func() { machine.handleTransferAnswer(f.now, call, done.transferAnswer, errorOf(done)) })
			})
		}, func() { machine.handleTransferAnswer(f.now, call, TransferAnswer{}, journal.ErrUnreachable) })
	}
}

func errorOf(done completion) error {
	if done.failure != nil {
		return done.failure
	}
	return nil
}

func (f *fleet) vmOf(holder string) string {
	vm, _, _ := strings.Cut(holder, "@")
	return vm
}

// startCall starts a call at a node. done runs when it is completed.
func (f *fleet) startCall(n *node, begin func(m *stateMachine, call uint64), done func(completion)) {
	n.lastCall++
	call := n.lastCall
	n.calls[call] = done
	begin(n.machine, call)
	f.runEffects(n)
}

// changeWitnesses changes the instance record by a read and a conditional write, and retries until the outcome is
// known.
func (f *fleet) changeWitnesses(n *node, set []journal.Ref) {
	machine := n.machine
	retry := func() { f.changeWitnesses(n, set) }
	f.call(n, platformVM, func(answer func(func())) {
		o, ok := f.store.objects[instance.Key(machine.instance)]
		answer(func() {
			if !ok || decodeRecord(o).State != instance.Open {
				machine.handleWitnessChange(f.now, false, true)
				return
			}
			r := decodeRecord(o)
			if fmt.Sprint(r.Witnesses) == fmt.Sprint(set) {
				machine.handleWitnessChange(f.now, true, false)
				return
			}
			r.Witnesses = set
			f.call(n, platformVM, func(answer func(func())) {
				_, err := f.store.Put(context.Background(), o.Key, encodeRecord(r), o.Revision)
				answer(func() {
					if err == nil {
						f.reference.witnessChanges++
						machine.handleWitnessChange(f.now, true, false)
						return
					}
					retry()
				})
			}, retry)
		})
	}, retry)
}

// apply applies operations to the shard and checks the results against the reference ledger.
func (f *fleet) apply(ops []budget.Op) []budget.Result {
	f.applyCount++
	f.shard.Prune(f.now)
	results := make([]budget.Result, len(ops))
	for i, op := range ops {
		before := f.reference.totalSettled()
		results[i] = f.shard.Apply(f.now, op)
		f.log("apply %+v: %+v", op, results[i])
		f.reference.checkApplied(op, results[i], f.reference.totalSettled()-before)
	}
	return results
}

// advance advances the clock and runs a tick of all running nodes.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, vm := range f.vms {
		if n := f.nodes[vm]; !n.crashed && !n.frozen {
			n.machine.tick(f.now)
			f.runEffects(n)
		}
	}
}

func (f *fleet) crash(vm string) {
	n := f.nodes[vm]
	f.log("crash %s", n.router)
	n.crashed = true
	f.crashedNodes = append(f.crashedNodes, n)
	f.register(f.startProcess(vm))
}
