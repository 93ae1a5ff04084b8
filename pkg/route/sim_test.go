package route

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"
)

// The simulation runs engines in virtual time: steps of continuous batching with chunked prefill, a prefix
// cache with LRU eviction, and reports and cache events that arrive late. It is only as large as the comparison
// of choices needs.

const (
	simBatch      = 32
	simChunk      = 512
	simStep       = 8 * time.Millisecond
	simPerPrompt  = 125 * time.Microsecond
	simPerOutput  = 150 * time.Microsecond
	simBlock      = 64 // tokens
	simCache      = 640
	simReportLag  = 500 * time.Millisecond
	simEventLag   = time.Second
	simListLag    = 10 * time.Second
	simDuration   = 40 * time.Second
	simFirstToken = 880 * time.Millisecond
	simTokenGap   = 57 * time.Millisecond
	// simRequestCost is the engine time of an average request if the engine has 60% of its prompt in its cache
	// and a full batch. It defines 100% load.
	simRequestCost = 150 * time.Millisecond
)

type simRequest struct {
	router              int
	blocks              []uint64
	prompt, output      int
	arrived, first, end time.Time
	left, produced      int
	cached              int
	tried               []string
	flight              any
}

type simEngine struct {
	slow             float64
	dead, stepping   bool
	waiting, running []*simRequest
	order            *list.List
	cache            map[uint64]*list.Element
	events           []CacheEvent
	sequence         uint64
	served           int
}

func (e *simEngine) note(evicted bool, block uint64) {
	e.sequence++
	e.events = append(e.events, CacheEvent{Sequence: e.sequence, Evicted: evicted, Block: block})
}

func (e *simEngine) lookup(r *simRequest) {
	depth := 0
	for depth < len(r.blocks) && e.cache[r.blocks[depth]] != nil {
		e.order.MoveToFront(e.cache[r.blocks[depth]])
		depth++
	}
	r.cached = depth * simBlock
	r.left = r.prompt - r.cached
}

func (e *simEngine) store(blocks []uint64) {
	for _, b := range blocks {
		if e.cache[b] != nil {
			continue
		}
		e.cache[b] = e.order.PushFront(b)
		e.note(false, b)
		if e.order.Len() > simCache {
			last := e.order.Remove(e.order.Back()).(uint64)
			delete(e.cache, last)
			e.note(true, last)
		}
	}
}

// step runs one batch step and returns its duration.
func (e *simEngine) step() time.Duration {
	for len(e.waiting) > 0 && len(e.running) < simBatch {
		e.lookup(e.waiting[0])
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	chunk, took := simChunk, simStep
	for _, r := range e.running {
		if r.left == 0 {
			took += simPerOutput
			r.produced++
			continue
		}
		n := min(chunk, r.left)
		chunk -= n
		r.left -= n
		took += time.Duration(n) * simPerPrompt
		if r.left == 0 && n > 0 {
			r.produced = 1
			e.store(r.blocks)
		}
	}
	return time.Duration(float64(took) * e.slow)
}

type simEvent struct {
	at time.Time
	id int
	do func()
}

type simEvents []simEvent

func (s simEvents) Len() int { return len(s) }
func (s simEvents) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].id < s[j].id
}
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	x := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return x
}

// simPolicy is a way to choose, with one instance per router.
type simPolicy interface {
	choose(now time.Time, r *simRequest) (engine int, flight any)
	first(now time.Time, flight any)
	done(now time.Time, flight any, result Result, output int)
	report(now time.Time, engine int, r LoadReport)
	events(now time.Time, engine int, events []CacheEvent)
	remove(now time.Time, engine int)
}

type simCase struct {
	engines, routers int
	load             float64
	slow, dead       bool
	seed             uint64
	policy           func(rng *rand.Rand, engines int) simPolicy
}

type sim struct {
	simCase
	now      time.Time
	rng      *rand.Rand
	queue    simEvents
	ids      int
	nodes    []*simEngine
	policies []simPolicy
	requests []*simRequest
	retries  int
}

func (s *sim) after(d time.Duration, do func()) {
	s.ids++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), id: s.ids, do: do})
}

func runSim(c simCase) *sim {
	s := &sim{simCase: c, now: start, rng: rand.New(rand.NewPCG(c.seed, 7))}
	for i := range c.engines {
		e := &simEngine{slow: 1, order: list.New(), cache: map[uint64]*list.Element{}}
		s.nodes = append(s.nodes, e)
		s.after(time.Duration(i)*time.Second/time.Duration(c.engines), func() { s.poll(i) })
	}
	for i := range c.routers {
		s.policies = append(s.policies, c.policy(rand.New(rand.NewPCG(c.seed, uint64(100+i))), c.engines))
	}
	if c.slow {
		s.nodes[0].slow = 3
	}
	if c.dead {
		s.after(simDuration/4, s.kill)
	}
	s.arrivals(newSimPrompts(s.rng))
	for len(s.queue) > 0 && s.now.Before(start.Add(simDuration)) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) arrivals(prompts *simPrompts) {
	rate := s.load * float64(s.engines) / simRequestCost.Seconds()
	for at := time.Duration(0); at < simDuration; at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		r := prompts.next(s.rng)
		r.router = s.rng.IntN(s.routers)
		s.after(at, func() {
			r.arrived = s.now
			s.requests = append(s.requests, r)
			s.send(r)
		})
	}
}

func (s *sim) send(r *simRequest) {
	i, flight := s.policies[r.router].choose(s.now, r)
	if i < 0 {
		s.after(100*time.Millisecond, func() { s.send(r) })
		return
	}
	r.flight = flight
	e := s.nodes[i]
	r.produced, r.first = 0, time.Time{}
	if e.dead {
		s.after(time.Millisecond, func() { s.fail(i, r) })
		return
	}
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.stepping = true
		s.step(i)
	}
}

func (s *sim) fail(engine int, r *simRequest) {
	s.policies[r.router].done(s.now, r.flight, Failed, 0)
	r.tried = append(r.tried, simName(engine))
	s.retries++
	s.send(r)
}

func (s *sim) step(i int) {
	e := s.nodes[i]
	took := e.step()
	s.after(took, func() {
		if e.dead {
			return
		}
		kept := e.running[:0]
		for _, r := range e.running {
			if r.produced > 0 && r.first.IsZero() {
				r.first = s.now
				s.policies[r.router].first(s.now, r.flight)
			}
			if r.produced < r.output {
				kept = append(kept, r)
				continue
			}
			r.end = s.now
			e.served++
			s.policies[r.router].done(s.now, r.flight, Succeeded, r.output)
		}
		e.running = kept
		e.stepping = len(e.running)+len(e.waiting) > 0
		if e.stepping {
			s.step(i)
		}
	})
}

// poll reads the engine's load and cache events for all routers. One in ten batches of events is lost.
func (s *sim) poll(i int) {
	e := s.nodes[i]
	s.after(time.Second, func() { s.poll(i) })
	if e.dead {
		return
	}
	load := LoadReport{Running: len(e.running), Queued: len(e.waiting), Age: simReportLag}
	events := e.events
	e.events = nil
	lost := s.rng.IntN(10) == 0
	for _, p := range s.policies {
		s.after(simReportLag, func() { p.report(s.now, i, load) })
		if !lost && len(events) > 0 {
			s.after(simEventLag, func() { p.events(s.now, i, events) })
		}
	}
}

func (s *sim) kill() {
	e := s.nodes[1]
	e.dead = true
	broken := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, r := range broken {
		s.fail(1, r)
	}
	s.after(simListLag, func() {
		for _, p := range s.policies {
			p.remove(s.now, 1)
		}
	})
}
