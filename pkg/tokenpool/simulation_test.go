package tokenpool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Sizes of the experiment.
const (
	simTokens    = 250_000_000
	simRate      = 500 // requests/s of the fleet
	simRequests  = 30_000
	simFaultFrom = 5 * time.Second
	simFaultTo   = 25 * time.Second
	peerLatency  = time.Millisecond
	writeLatency = 10 * time.Millisecond
	simDetection = 10 * time.Second
	simTimeout   = time.Second
)

// timed is an event of a simulation.
type timed struct {
	at  time.Time
	seq int
	run func()
}

type timeline []timed

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].seq < l[j].seq
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timed)) }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// setup is one row of the experiment.
type setup struct {
	routers int
	left    float64 // share of the budget that is left at the start
	fault   string  // none, partition or death
	even    bool    // whether all routers get the same load
	prefer  budget.Preference
}

// counts is what a strategy has done in a setup.
type counts struct {
	requests, refused, falseRefused int
	// near counts false refusals while at least 5% of the budget is left and the platform is reachable.
	near     int
	writes   int
	held     budget.Tokens
	overrun  budget.Tokens
	reasons  map[outcome.Reason]int
	appended int
}

// workload draws the same requests for every strategy.
type workload struct {
	setup  setup
	random *rand.Rand
	sum    float64
}

func newWorkload(s setup) *workload {
	w := &workload{setup: s, random: rand.New(rand.NewPCG(20261204, 1))}
	for i := range s.routers {
		w.sum += w.weight(i)
	}
	return w
}

// weight is the load of a router; callers keep addresses for a while, so it is uneven.
func (w *workload) weight(i int) float64 {
	if w.setup.even {
		return 1
	}
	return 1 / float64(i+1)
}

type job struct {
	key         string
	router      int
	bound, used budget.Tokens
	duration    time.Duration
}

func (w *workload) next(i int) job {
	j := job{key: fmt.Sprint(i), bound: 200 + w.random.Int64N(1801)}
	j.used = j.bound * (30 + w.random.Int64N(71)) / 100
	j.duration = 500*time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Second)))
	at := w.random.Float64() * w.sum
	for j.router < w.setup.routers-1 && at >= w.weight(j.router) {
		at -= w.weight(j.router)
		j.router++
	}
	return j
}

// cutOff reports whether a router is on the smaller side of the partition.
func (s setup) cutOff(router int) bool {
	return s.fault == "partition" && router >= (s.routers+1)/2 || s.fault == "partition" && s.routers == 1
}

// reachable reports whether the platform was reachable during the whole wait of a request that ends now.
func (s setup) reachable(router int, now time.Duration) bool {
	return !s.cutOff(router) || now < simFaultFrom || now >= simFaultTo+2*time.Second
}

// simulation runs token pools over simulated time.
type simulation struct {
	*world
	setup  setup
	start  time.Time
	events timeline
	seq    int
	batch  []func()
	busy   bool
	counts counts
	down   int // router that died, -1 if none
}

func newSimulation(s setup) *simulation {
	sim := &simulation{world: newWorld(func(string, ...any) {}, s.routers, Settings{}, true), setup: s, down: -1}
	sim.world.post, sim.world.write = sim.schedule, sim.collect
	sim.start = sim.now
	sim.counts.reasons = map[outcome.Reason]int{}
	id := testBudgets[0]
	sim.ref.toppedUp[id] = simTokens
	sim.apply([]budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: id}, {ID: "t", Kind: budget.OpTopUp, Budget: id, Tokens: simTokens},
	})
	if spent := simTokens - budget.Tokens(float64(simTokens)*s.left); spent > 0 {
		key := budget.Bill{Budget: id, Key: "spent before", Tokens: spent}
		sim.apply([]budget.Op{
			{ID: "before/1", Kind: budget.OpGrant, Budget: id, Holder: "before", Need: spent, Want: spent},
			{ID: "before/2", Kind: budget.OpSettle, Budget: id, Holder: "before", Bills: []budget.Bill{key}},
		})
	}
	if s.prefer != "" {
		sim.apply([]budget.Op{{ID: "p", Kind: budget.OpPrefer, Budget: id, Preference: s.prefer}})
	}
	return sim
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, timed{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *simulation) schedule(f *flight) {
	if f.to != platformVM && f.from != platformVM {
		s.counts.appended++
	}
	s.after(peerLatency, func() {
		if s.deliverable(f) {
			f.deliver()
			return
		}
		s.after(simTimeout, f.timeout)
	})
}

// collect applies all calls that wait in one write; one write is in flight at a time.
func (s *simulation) collect(run func()) {
	s.batch = append(s.batch, run)
	if !s.busy {
		s.busy = true
		s.after(writeLatency, s.commit)
	}
}

func (s *simulation) commit() {
	batch := s.batch
	s.batch = nil
	s.counts.writes++
	for _, run := range batch {
		run()
	}
	s.busy = len(s.batch) > 0
	if s.busy {
		s.after(writeLatency, s.commit)
	}
}

// unspent is what could pay for a request: the rest in the books and the free tokens at all holders.
func (s *simulation) unspent() budget.Tokens {
	id := testBudgets[0]
	st := s.shard.Read(id.Organisation)[0]
	sum := st.ToppedUp - st.Settled
	for _, g := range st.Grants {
		sum -= g.Tokens
	}
	for _, c := range s.ref.machines() {
		if a := c.accounts[id]; a != nil && !c.closed && !s.ref.closed[c.instance] {
			sum += a.free + a.inTransit
		}
	}
	return sum
}

// request starts a job at its router, or at another one if that has died.
func (s *simulation) request(j job) {
	s.counts.requests++
	router := j.router
	if router == s.down {
		router = (router + 1) % s.setup.routers
	}
	n := s.nodes[s.vms[router]]
	req := budget.Request{Budget: testBudgets[0], IdempotencyKey: j.key, UpperBound: j.bound}
	s.world.start(n, func(c *stateMachine, call uint64) { c.reserve(s.now, call, req) }, func(done completion) {
		if done.failure != nil {
			s.refused(j, done.failure.Reason, router)
			return
		}
		cause := n.machine
		s.after(j.duration, func() {
			switch {
			case n.dead:
				j.router = (j.router + 1) % s.setup.routers
				s.request(j)
			case n.machine == cause:
				s.bill(n, done.reservation, j)
			}
		})
	})
}

func (s *simulation) refused(j job, reason outcome.Reason, router int) {
	s.counts.refused++
	unspent := s.unspent()
	if unspent < j.bound {
		return
	}
	s.counts.falseRefused++
	s.counts.reasons[reason]++
	if s.setup.reachable(router, s.now.Sub(s.start)) && unspent >= simTokens/20 {
		s.counts.near++
	}
}

func (s *simulation) bill(n *node, r budget.Reservation, j job) {
	key := billKey{testBudgets[0].Organisation, j.key}
	holder := n.machine.instance
	s.world.start(n, func(c *stateMachine, call uint64) { c.settle(s.now, call, r.ID, j.used) }, func(done completion) {
		if _, ok := s.ref.told[key]; !ok && done.failure == nil {
			s.ref.told[key] = told{holder: holder, budget: testBudgets[0], tokens: j.used}
		}
	})
}

// run feeds requests until half of what was left is used (all of it at 1%), or simRequests are done.
func (s *simulation) run() counts {
	load := newWorkload(s.setup)
	end := budget.Tokens(float64(simTokens) * s.setup.left / 2)
	if s.setup.left <= 0.01 {
		end = 2000
	}
	s.after(0, s.ticks)
	s.after(simFaultFrom, s.faultBegins)
	s.after(simFaultTo, func() { clear(s.cut) })
	stop := false
	var arrive func()
	i := 0
	arrive = func() {
		if stop = i >= simRequests || s.unspent() < end; stop {
			return
		}
		s.request(load.next(i))
		i++
		s.after(time.Second/simRate, arrive)
	}
	s.after(0, arrive)
	for !stop {
		e := heap.Pop(&s.events).(timed)
		s.now = e.at
		e.run()
	}
	s.counts.overrun = max(0, s.spent()-simTokens)
	return s.counts
}

// spent is the sum of all bills that callers were told, and of those that only the ledger has.
func (s *simulation) spent() budget.Tokens {
	var sum budget.Tokens
	for _, tokens := range s.ref.bills {
		sum += tokens
	}
	for key, t := range s.ref.told {
		if _, ok := s.ref.bills[key]; !ok {
			sum += t.tokens
		}
	}
	return sum
}

func (s *simulation) ticks() {
	for _, vm := range s.vms {
		n := s.nodes[vm]
		n.machine.tick(s.now)
		s.pump(n)
	}
	if s.now.Sub(s.start)%time.Second == 0 {
		s.watch()
	}
	s.after(tickInterval, s.ticks)
}

// watch checks the invariants, measures what is held and replaces witnesses that fail.
func (s *simulation) watch() {
	s.ref.check()
	if s.failure != "" {
		panic(s.failure)
	}
	var held budget.Tokens
	for _, g := range s.shard.Read(testBudgets[0].Organisation)[0].Grants {
		held += g.Tokens
	}
	s.counts.held = max(s.counts.held, held)
	for i, vm := range s.vms {
		n := s.nodes[vm]
		failing := n.machine.log.FailingWitnesses(s.now, 3*time.Second)
		if len(failing) == 0 || n.machine.log.Changing() {
			continue
		}
		var set []journal.Ref
		for k := 1; k < len(s.vms) && len(set) < 2; k++ {
			other := s.vms[(i+k)%len(s.vms)]
			if !slices.Contains(failing, s.ref2(other)) {
				set = append(set, s.ref2(other))
			}
		}
		n.machine.log.Propose(set)
		s.pump(n)
	}
}

func (s *simulation) faultBegins() {
	switch s.setup.fault {
	case "partition":
		for i, vm := range s.vms {
			s.cut[link(vm, platformVM)] = s.setup.cutOff(i)
			for k, other := range s.vms {
				s.cut[link(vm, other)] = s.setup.cutOff(i) != s.setup.cutOff(k)
			}
		}
	case "death":
		if s.setup.routers == 1 {
			return
		}
		id := s.nodes[s.vms[0]].machine.instance
		s.crash(s.vms[0])
		s.down = 0
		s.after(simDetection, func() {
			s.down = -1
			s.counts.writes += 3
			if err := s.startClosing(s.vms[1], id).finish(succeed); err != nil {
				panic(err)
			}
		})
	}
}
