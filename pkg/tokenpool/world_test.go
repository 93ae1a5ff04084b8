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

// platformVM names the platform as an end of a connection.
const platformVM = "platform"

var testBudgets = []budget.ID{{Organisation: "velocar", Budget: "dispatch"}, {Organisation: "svaz", Budget: "hire"}}

// world is a fleet of token pools, witnesses and closers over one ledger shard. All messages are held back until the
// test delivers, loses or duplicates them.
type world struct {
	log     func(format string, args ...any)
	failure string
	now     time.Time
	shard   *ledger.Shard
	ref     *reference
	store   *testStore
	vms     []string
	nodes   map[string]*node // by VM
	former  []*node
	flights []*flight
	// post takes the place of flights, and write runs the operations of a call, in the experiment.
	post     func(*flight)
	write    func(run func())
	cut      map[string]bool
	closers  []*closing
	settings Settings
	starts   int
	// zoned names a neighbour and a VM of the other half as witnesses, instead of the next two VMs.
	zoned   bool
	applies int
}

// node is one router process.
type node struct {
	vm, router string
	copies     *journal.Copies
	machine    *stateMachine
	machines   []*stateMachine
	last       int
	dead       bool
	frozen     bool
	calls      map[uint64]func(completion)
	lastCall   uint64
	open       []budget.Reservation
}

// flight is a message on its way.
type flight struct {
	from, to string
	sent     time.Time
	deliver  func()
	timeout  func()
}

func newWorld(log func(string, ...any), vms int, settings Settings, zoned ...bool) *world {
	w := &world{
		log: log, now: time.Unix(1_800_000_000, 0), shard: ledger.New(), store: &testStore{objects: map[string]platform.Object{}},
		nodes: map[string]*node{}, cut: map[string]bool{}, settings: settings,
		zoned: len(zoned) > 0,
	}
	w.ref = newReference(w)
	for i := range vms {
		w.vms = append(w.vms, fmt.Sprintf("vm%d", i))
	}
	for _, vm := range w.vms {
		w.boot(vm)
	}
	for _, vm := range w.vms {
		w.register(w.nodes[vm])
	}
	return w
}

// fail records the first failure; the test stops at it in its own goroutine.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// boot starts a process on a VM in place of the former one.
func (w *world) boot(vm string) *node {
	w.starts++
	n := &node{vm: vm, router: fmt.Sprintf("%s@%d-0", vm, w.starts), calls: map[uint64]func(completion){}}
	n.copies = journal.NewCopies(n.router)
	n.machine = newStateMachine("", nil, w.settings)
	n.machine.closed = true
	w.nodes[vm] = n
	return n
}

func (w *world) ref2(vm string) journal.Ref {
	return journal.Ref{Router: w.nodes[vm].router, Address: vm}
}

// register creates the instance record at once, naming the next one or two VMs as witnesses.
func (w *world) register(n *node) {
	n.last++
	id := fmt.Sprintf("%s.%d", n.router, n.last)
	var witnesses []journal.Ref
	for _, i := range w.witnesses(slices.Index(w.vms, n.vm)) {
		witnesses = append(witnesses, w.ref2(w.vms[i]))
	}
	w.store.put(instance.Key(id), encodeRecord(instance.Record{
		Instance: id, Router: n.router, VM: n.vm, State: instance.Open, Witnesses: witnesses,
	}))
	old := n.machine
	n.machine = newStateMachine(id, witnesses, w.settings)
	n.machine.lastID, n.machine.lastMove = old.lastID, old.lastMove
	n.machines = append(n.machines, n.machine)
	n.machine.peers = w.peersOf(n)
}

func (w *world) witnesses(i int) []int {
	n := len(w.vms)
	switch {
	case n == 1:
		return nil
	case n == 2:
		return []int{1 - i}
	case w.zoned:
		return []int{i ^ 1, (i + n/2) % n}
	default:
		return []int{(i + 1) % n, (i + 2) % n}
	}
}

func (w *world) peersOf(n *node) []string {
	var peers []string
	for _, vm := range w.vms {
		if vm != n.vm {
			peers = append(peers, vm)
		}
	}
	return peers
}

func link(a, b string) string { return min(a, b) + "|" + max(a, b) }

// call sends a request of a node. exec runs at the destination and answers with a function that runs at the sender;
// lost runs at the sender instead if no answer arrives.
func (w *world) call(n *node, to string, exec func(answer func(func())), lost func()) {
	cause, done := n.machine, false
	finish := func(f func()) {
		if !done && !n.dead {
			done = true
			if n.machine == cause {
				f()
				w.pump(n)
			}
		}
	}
	timeout := func() { finish(lost) }
	w.put(&flight{from: n.vm, to: to, sent: w.now, timeout: timeout, deliver: func() {
		if to != platformVM && w.nodes[to].dead {
			timeout()
			return
		}
		exec(func(result func()) {
			w.put(&flight{from: to, to: n.vm, sent: w.now, timeout: timeout, deliver: func() { finish(result) }})
		})
	}})
}

func (w *world) put(f *flight) {
	if w.post != nil {
		w.post(f)
		return
	}
	w.flights = append(w.flights, f)
}

// deliverable reports whether a message can arrive now.
func (w *world) deliverable(f *flight) bool {
	if f.to != platformVM && w.nodes[f.to].frozen {
		return false
	}
	return !w.cut[link(f.from, f.to)]
}

// pump carries out what the node's state machine has caused.
func (w *world) pump(n *node) {
	c := n.machine
	out := c.take(w.now)
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
				answer(func() { c.applied(w.now, call.organisation, results, nil) })
			}
			if w.write != nil {
				w.write(run)
				return
			}
			run()
		}, func() { c.applied(w.now, call.organisation, nil, platform.ErrUnavailable) })
	}
	for _, a := range out.appends {
		w.call(n, a.Address, func(answer func(func())) {
			code := w.nodes[a.Address].copies.Append(a)
			w.log("append %+v: %d", a, code)
			answer(func() { c.appended(w.now, a, code, nil) })
		}, func() { c.appended(w.now, a, 0, journal.ErrUnreachable) })
	}
	w.pumpPeers(n, out)
	if out.recordSet {
		w.rewitness(n, out.record)
	}
	if out.closed && !n.dead {
		n.open = nil
		w.register(n)
	}
}

func (w *world) pumpPeers(n *node, out effects) {
	c := n.machine
	for _, call := range out.recalls {
		vm := w.vmOf(call.holder)
		w.call(n, vm, func(answer func(func())) {
			w.start(w.nodes[vm], func(p *stateMachine, id uint64) { p.recalled(w.now, id, call.holder, call.budget, call.need) },
				func(done completion) {
					w.ref.given += min(1, int(done.recalled.Returned))
					answer(func() { c.recalledBy(w.now, call, done.recalled, errorOf(done)) })
				})
		}, func() { c.recalledBy(w.now, call, RecallAnswer{}, journal.ErrUnreachable) })
	}
	for _, call := range out.transfers {
		w.call(n, call.peer, func(answer func(func())) {
			w.start(w.nodes[call.peer], func(p *stateMachine, id uint64) {
				p.give(w.now, id, c.instance, call.budget, call.need, call.want)
			}, func(done completion) {
				answer(func() { c.givenBy(w.now, call, done.given, errorOf(done)) })
			})
		}, func() { c.givenBy(w.now, call, TransferAnswer{}, journal.ErrUnreachable) })
	}
}

func errorOf(done completion) error {
	if done.failure != nil {
		return done.failure
	}
	return nil
}

func (w *world) vmOf(holder string) string {
	vm, _, _ := strings.Cut(holder, "@")
	return vm
}

// start begins a call at a node; done runs when it is completed.
func (w *world) start(n *node, begin func(c *stateMachine, call uint64), done func(completion)) {
	n.lastCall++
	call := n.lastCall
	n.calls[call] = done
	begin(n.machine, call)
	w.pump(n)
}

// rewitness changes the record by a read and a conditional write, until the outcome is known.
func (w *world) rewitness(n *node, set []journal.Ref) {
	c := n.machine
	again := func() { w.rewitness(n, set) }
	w.call(n, platformVM, func(answer func(func())) {
		o, ok := w.store.objects[instance.Key(c.instance)]
		answer(func() {
			if !ok || decodeRecord(o).State != instance.Open {
				c.rewitnessed(w.now, false, true)
				return
			}
			r := decodeRecord(o)
			if fmt.Sprint(r.Witnesses) == fmt.Sprint(set) {
				c.rewitnessed(w.now, true, false)
				return
			}
			r.Witnesses = set
			w.call(n, platformVM, func(answer func(func())) {
				_, err := w.store.Put(context.Background(), o.Key, encodeRecord(r), o.Revision)
				answer(func() {
					if err == nil {
						w.ref.changed++
						c.rewitnessed(w.now, true, false)
						return
					}
					again()
				})
			}, again)
		})
	}, again)
}

// apply applies operations to the shard and to the reference.
func (w *world) apply(ops []budget.Op) []budget.Result {
	w.applies++
	w.shard.Prune(w.now)
	results := make([]budget.Result, len(ops))
	for i, op := range ops {
		before := w.ref.settledSum()
		results[i] = w.shard.Apply(w.now, op)
		w.log("apply %+v: %+v", op, results[i])
		w.ref.applied(op, results[i], w.ref.settledSum()-before)
	}
	return results
}

// step advances the clock of all running nodes.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, vm := range w.vms {
		if n := w.nodes[vm]; !n.dead && !n.frozen {
			n.machine.tick(w.now)
			w.pump(n)
		}
	}
}

func (w *world) crash(vm string) {
	n := w.nodes[vm]
	w.log("crash %s", n.router)
	n.dead = true
	w.former = append(w.former, n)
	w.register(w.boot(vm))
}
