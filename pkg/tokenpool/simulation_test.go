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

// Parameters of the experiment.
const (
	simTokens    = 250_000_000 // budget, of which setup.remaining is unspent at the start
	simRate      = 500         // requests/s of the fleet
	simRequests  = 30_000
	simFaultFrom = 5 * time.Second  // start of the fault, from the start of the run
	simFaultTo   = 25 * time.Second // end of a partition
	peerLatency  = time.Millisecond
	writeLatency = 10 * time.Millisecond
	simDetection = 10 * time.Second // from the crash of a router until its instance is closed
	simTimeout   = time.Second      // of a message that can't be delivered
)

// timedEvent is an event of a simulation. seq orders events with the same time.
type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

// timeline is a heap of events, earliest first.
type timeline []timedEvent

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].seq < l[j].seq
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(timedEvent)) }
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

// setup is one row of the experiment.
type setup struct {
	routers    int
	remaining  float64 // share of the budget that is unspent at the start
	fault      string  // none, partition or death
	evenLoad   bool    // whether all routers get the same load
	preference budget.Preference
}

// counts are the results of a strategy in a setup.
type counts struct {
	requests, refused, falseRefused int
	// avoidableRefused counts false refusals while at least 5% of the budget is left and the platform is reachable.
	avoidableRefused int
	writes           int
	peakHeld         budget.Tokens
	overspend        budget.Tokens
	reasons          map[outcome.Reason]int
	appends          int
}

// workload generates the same random requests for every strategy.
type workload struct {
	setup       setup
	random      *rand.Rand
	totalWeight float64
}

func newWorkload(s setup) *workload {
	w := &workload{setup: s, random: rand.New(rand.NewPCG(20261204, 1))}
	for i := range s.routers {
		w.totalWeight += w.weight(i)
	}
	return w
}

// weight returns the relative load of a router. It is uneven by default, because callers cache router addresses.
func (w *workload) weight(i int) float64 {
	if w.setup.evenLoad {
		return 1
	}
	return 1 / float64(i+1)
}

type job struct {
	key              string
	router           int
	upperBound, used budget.Tokens
	duration         time.Duration
}

func (w *workload) nextJob(i int) job {
	j := job{key: fmt.Sprint(i), upperBound: 200 + w.random.Int64N(1801)}
	j.used = j.upperBound * (30 + w.random.Int64N(71)) / 100
	j.duration = 500*time.Millisecond + time.Duration(w.random.Int64N(int64(3*time.Second)))
	at := w.random.Float64() * w.totalWeight
	for j.router < w.setup.routers-1 && at >= w.weight(j.router) {
		at -= w.weight(j.router)
		j.router++
	}
	return j
}

// isCutOff reports whether a router is on the smaller side of the partition, which can't reach the platform.
func (s setup) isCutOff(router int) bool {
	return s.fault == "partition" && router >= (s.routers+1)/2 || s.fault == "partition" && s.routers == 1
}

// isReachable reports whether a router could reach the platform during the whole wait of a request that ends now. The
// wait lasts at most 2 s.
func (s setup) isReachable(router int, now time.Duration) bool {
	return !s.isCutOff(router) || now < simFaultFrom || now >= simFaultTo+2*time.Second
}

// simulation runs a fleet of token pools in simulated time.
type simulation struct {
	*fleet
	setup           setup
	start           time.Time
	events          timeline
	seq             int
	batch           []func()
	writeInProgress bool
	counts          counts
	downRouter      int // index of the crashed router; -1 if none, or once its instance is closed
}

func newSimulation(s setup) *simulation {
	sim := &simulation{fleet: newFleet(func(string, ...any) {}, s.routers, Settings{}, true), setup: s, downRouter: -1}
	sim.fleet.sendHook, sim.fleet.writeHook = sim.schedule, sim.enqueueWrite
	sim.start = sim.now
	sim.counts.reasons = map[outcome.Reason]int{}
	id := testBudgets[0]
	sim.reference.toppedUp[id] = simTokens
	sim.apply([]budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: id}, {ID: "t", Kind: budget.OpTopUp, Budget: id, Tokens: simTokens},
	})
	if spent := simTokens - budget.Tokens(float64(simTokens)*s.remaining); spent > 0 {
		key := budget.Bill{Budget: id, Key: "spent before", Tokens: spent}
		sim.apply([]budget.Op{
			{ID: "before/1", Kind: budget.OpGrant, Budget: id, Holder: "before", Need: spent, Want: spent},
			{ID: "before/2", Kind: budget.OpSettle, Budget: id, Holder: "before", Bills: []budget.Bill{key}},
		})
	}
	if s.preference != "" {
		sim.apply([]budget.Op{{ID: "p", Kind: budget.OpPrefer, Budget: id, Preference: s.preference}})
	}
	return sim
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, timedEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *simulation) schedule(msg *message) {
	if msg.to != platformVM && msg.from != platformVM {
		s.counts.appends++
	}
	s.after(peerLatency, func() {
		if s.isDeliverable(msg) {
			msg.deliver()
			return
		}
		s.after(simTimeout, msg.timeout)
	})
}

// enqueueWrite adds a call to the next platform write. All waiting calls share one write, and one write is in progress
// at a time.
func (s *simulation) enqueueWrite(run func()) {
	s.batch = append(s.batch, run)
	if !s.writeInProgress {
		s.writeInProgress = true
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
	s.writeInProgress = len(s.batch) > 0
	if s.writeInProgress {
		s.after(writeLatency, s.commit)
	}
}

// unspentTokens returns the tokens that could pay for a request: those that are not granted, and those of all holders
// that are free or in transit.
func (s *simulation) unspentTokens() budget.Tokens {
	id := testBudgets[0]
	st := s.shard.Read(id.Organisation)[0]
	sum := st.ToppedUp - st.Settled
	for _, g := range st.Grants {
		sum -= g.Tokens
	}
	for _, machine := range s.reference.machines() {
		if a := machine.accounts[id]; a != nil && !machine.closed && !s.reference.closed[machine.instance] {
			sum += a.free + a.inTransit
		}
	}
	return sum
}

// startJob starts a job at its router, or at the next one if that has crashed.
func (s *simulation) startJob(j job) {
	s.counts.requests++
	router := j.router
	if router == s.downRouter {
		router = (router + 1) % s.setup.routers
	}
	n := s.nodes[s.vms[router]]
	req := budget.Request{Budget: testBudgets[0], IdempotencyKey: j.key, UpperBound: j.upperBound}
	s.fleet.startCall(n, func(m *stateMachine, call uint64) { m.reserve(s.now, call, req) }, func(done completion) {
		if done.failure != nil {
			s.recordRefusal(j, done.failure.Reason, router)
			return
		}
		machine := n.machine
		s.after(j.duration, func() {
			switch {
			case n.crashed:
				j.router = (j.router + 1) % s.setup.routers
				s.startJob(j)
			case n.machine == machine:
				s.settleJob(n, done.reservation, j)
			}
		})
	})
}

// recordRefusal counts a refusal. It is false if the unspent tokens would cover the job.
func (s *simulation) recordRefusal(j job, reason outcome.Reason, router int) {
	s.counts.refused++
	unspent := s.unspentTokens()
	if unspent < j.upperBound {
		return
	}
	s.counts.falseRefused++
	s.counts.reasons[reason]++
	if s.setup.isReachable(router, s.now.Sub(s.start)) && unspent >= simTokens/20 {
		s.counts.avoidableRefused++
	}
}

func (s *simulation) settleJob(n *node, r budget.Reservation, j job) {
	key := billKey{testBudgets[0].Organisation, j.key}
	holder := n.machine.instance
	s.fleet.startCall(n, func(m *stateMachine, call uint64) { m.settle(s.now, call, r.ID, j.used) }, func(done completion) {
		if _, ok := s.reference.acknowledged[key]; !ok && done.failure == nil {
			s.reference.acknowledged[key] = acknowledgedBill{holder: holder, budget: testBudgets[0], tokens: j.used}
		}
	})
}

// run starts requests until half of the remaining tokens are used, or nearly all if 1% remain, or until simRequests
// were started.
func (s *simulation) run() counts {
	requests := newWorkload(s.setup)
	end := budget.Tokens(float64(simTokens) * s.setup.remaining / 2)
	if s.setup.remaining <= 0.01 {
		end = 2000
	}
	s.after(0, s.tickAll)
	s.after(simFaultFrom, s.startFault)
	s.after(simFaultTo, func() { clear(s.cutLinks) })
	stop := false
	var startNextJob func()
	i := 0
	startNextJob = func() {
		if stop = i >= simRequests || s.unspentTokens() < end; stop {
			return
		}
		s.startJob(requests.nextJob(i))
		i++
		s.after(time.Second/simRate, startNextJob)
	}
	s.after(0, startNextJob)
	for !stop {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.run()
	}
	s.counts.overspend = max(0, s.spentTokens()-simTokens)
	return s.counts
}

// spentTokens returns the sum of the bills in the ledger and of the acknowledged bills that are not there yet.
func (s *simulation) spentTokens() budget.Tokens {
	var sum budget.Tokens
	for _, tokens := range s.reference.bills {
		sum += tokens
	}
	for key, t := range s.reference.acknowledged {
		if _, ok := s.reference.bills[key]; !ok {
			sum += t.tokens
		}
	}
	return sum
}

func (s *simulation) tickAll() {
	for _, vm := range s.vms {
		n := s.nodes[vm]
		n.machine.tick(s.now)
		s.runEffects(n)
	}
	if s.now.Sub(s.start)%time.Second == 0 {
		s.checkInvariantsAndWitnesses()
	}
	s.after(tickInterval, s.tickAll)
}

// checkInvariantsAndWitnesses checks the invariants, measures the held tokens and replaces failing witnesses.
func (s *simulation) checkInvariantsAndWitnesses() {
	s.reference.check()
	if s.failure != "" {
		panic(s.failure)
	}
	var held budget.Tokens
	for _, g := range s.shard.Read(testBudgets[0].Organisation)[0].Grants {
		held += g.Tokens
	}
	s.counts.peakHeld = max(s.counts.peakHeld, held)
	for i, vm := range s.vms {
		n := s.nodes[vm]
		failing := n.machine.log.FailingWitnesses(s.now, 3*time.Second)
		if len(failing) == 0 || n.machine.log.Changing() {
			continue
		}
		var set []journal.Ref
		for k := 1; k < len(s.vms) && len(set) < 2; k++ {
			other := s.vms[(i+k)%len(s.vms)]
			if !slices.Contains(failing, s.witnessRef(other)) {
				set = append(set, s.witnessRef(other))
			}
		}
		n.machine.log.Propose(set)
		s.runEffects(n)
	}
}

func (s *simulation) startFault() {
	switch s.setup.fault {
	case "partition":
		for i, vm := range s.vms {
			s.cutLinks[linkKey(vm, platformVM)] = s.setup.isCutOff(i)
			for k, other := range s.vms {
				s.cutLinks[linkKey(vm, other)] = s.setup.isCutOff(i) != s.setup.isCutOff(k)
			}
		}
	case "death":
		if s.setup.routers == 1 {
			return
		}
		id := s.nodes[s.vms[0]].machine.instance
		s.crash(s.vms[0])
		s.downRouter = 0
		s.after(simDetection, func() {
			s.downRouter = -1
			s.counts.writes += 3
			if err := s.startCloser(s.vms[1], id).finish(succeed); err != nil {
				panic(err)
			}
		})
	}
}
