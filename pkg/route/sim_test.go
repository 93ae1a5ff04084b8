package route

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"
)

// The simulation runs engines in virtual time: steps of continuous batching with chunked prefill, a prefix cache with
// LRU eviction, and delayed reports and cache events. It covers only what the comparison of policies needs.

const (
	simBatchSize        = 32
	simChunkTokens      = 512
	simStepTime         = 8 * time.Millisecond
	simPerPromptToken   = 125 * time.Microsecond
	simPerOutputToken   = 150 * time.Microsecond
	simBlockTokens      = 64
	simCacheBlocks      = 640
	simReportLag        = 500 * time.Millisecond
	simEventLag         = time.Second
	simListLag          = 10 * time.Second
	simDuration         = 40 * time.Second
	simFirstTokenTarget = 880 * time.Millisecond
	simTokenGapTarget   = 57 * time.Millisecond
	// simRequestCost is the engine time of an average request if 60% of its prompt is cached and the batch is full. It
	// defines 100% load.
	simRequestCost = 150 * time.Millisecond
)

type simRequest struct {
	router               int
	blocks               []uint64
	prompt, output       int
	arrived, first, end  time.Time
	promptLeft, produced int
	cached               int
	failedEngines        []string
	inFlight             any
}

type simEngine struct {
	slowdown          float64
	crashed, stepping bool
	waiting, running  []*simRequest
	lru               *list.List
	cache             map[uint64]*list.Element
	events            []CacheEvent
	sequence          uint64
	served            int
}

func (e *simEngine) recordEvent(evicted bool, block uint64) {
	e.sequence++
	e.events = append(e.events, CacheEvent{Sequence: e.sequence, Evicted: evicted, Block: block})
}

func (e *simEngine) lookup(r *simRequest) {
	depth := 0
	for depth < len(r.blocks) && e.cache[r.blocks[depth]] != nil {
		e.lru.MoveToFront(e.cache[r.blocks[depth]])
		depth++
	}
	r.cached = depth * simBlockTokens
	r.promptLeft = r.prompt - r.cached
}

func (e *simEngine) store(blocks []uint64) {
	for _, b := range blocks {
		if e.cache[b] != nil {
			continue
		}
		e.cache[b] = e.lru.PushFront(b)
		e.recordEvent(false, b)
		if e.lru.Len() > simCacheBlocks {
			last := e.lru.Remove(e.lru.Back()).(uint64)
			delete(e.cache, last)
			e.recordEvent(true, last)
		}
	}
}

// step runs one batch step and returns its duration.
func (e *simEngine) step() time.Duration {
	for len(e.waiting) > 0 && len(e.running) < simBatchSize {
		e.lookup(e.waiting[0])
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	chunk, duration := simChunkTokens, simStepTime
	for _, r := range e.running {
		if r.promptLeft == 0 {
			duration += simPerOutputToken
			r.produced++
			continue
		}
		n := min(chunk, r.promptLeft)
		chunk -= n
		r.promptLeft -= n
		duration += time.Duration(n) * simPerPromptToken
		if r.promptLeft == 0 && n > 0 {
			r.produced = 1
			e.store(r.blocks)
		}
	}
	return time.Duration(float64(duration) * e.slowdown)
}

type simEvent struct {
	at  time.Time
	id  int
	run func()
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

// simPolicy chooses engines for the requests of one router.
type simPolicy interface {
	choose(now time.Time, r *simRequest) (engine int, inFlight any)
	firstToken(now time.Time, inFlight any)
	done(now time.Time, inFlight any, result Result, output int)
	applyReport(now time.Time, engine int, r LoadReport)
	applyEvents(now time.Time, engine int, events []CacheEvent)
	remove(now time.Time, engine int)
}

type simCase struct {
	engines, routers int
	load             float64
	slow, crash      bool
	seed             uint64
	policy           func(rng *rand.Rand, engines int) simPolicy
}

type sim struct {
	simCase
	now      time.Time
	rng      *rand.Rand
	queue    simEvents
	lastID   int
	nodes    []*simEngine
	policies []simPolicy
	requests []*simRequest
	retries  int
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.lastID++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), id: s.lastID, run: run})
}

func runSim(c simCase) *sim {
	s := &sim{simCase: c, now: start, rng: rand.New(rand.NewPCG(c.seed, 7))}
	for i := range c.engines {
		e := &simEngine{slowdown: 1, lru: list.New(), cache: map[uint64]*list.Element{}}
		s.nodes = append(s.nodes, e)
		s.schedule(time.Duration(i)*time.Second/time.Duration(c.engines), func() { s.poll(i) })
	}
	for i := range c.routers {
		s.policies = append(s.policies, c.policy(rand.New(rand.NewPCG(c.seed, uint64(100+i))), c.engines))
	}
	if c.slow {
		s.nodes[0].slowdown = 3
	}
	if c.crash {
		s.schedule(simDuration/4, s.crashEngine)
	}
	s.scheduleArrivals(newSimPrompts(s.rng))
	for len(s.queue) > 0 && s.now.Before(start.Add(simDuration)) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *sim) scheduleArrivals(prompts *simPrompts) {
	rate := s.load * float64(s.engines) / simRequestCost.Seconds()
	for at := time.Duration(0); at < simDuration; at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		r := prompts.next(s.rng)
		r.router = s.rng.IntN(s.routers)
		s.schedule(at, func() {
			r.arrived = s.now
			s.requests = append(s.requests, r)
			s.send(r)
		})
	}
}

func (s *sim) send(r *simRequest) {
	i, inFlight := s.policies[r.router].choose(s.now, r)
	if i < 0 {
		s.schedule(100*time.Millisecond, func() { s.send(r) })
		return
	}
	r.inFlight = inFlight
	e := s.nodes[i]
	r.produced, r.first = 0, time.Time{}
	if e.crashed {
		s.schedule(time.Millisecond, func() { s.fail(i, r) })
		return
	}
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.stepping = true
		s.step(i)
	}
}

func (s *sim) fail(engine int, r *simRequest) {
	s.policies[r.router].done(s.now, r.inFlight, Failed, 0)
	r.failedEngines = append(r.failedEngines, simName(engine))
	s.retries++
	s.send(r)
}

func (s *sim) step(i int) {
	e := s.nodes[i]
	duration := e.step()
	s.schedule(duration, func() {
		if e.crashed {
			return
		}
		kept := e.running[:0]
		for _, r := range e.running {
			if r.produced > 0 && r.first.IsZero() {
				r.first = s.now
				s.policies[r.router].firstToken(s.now, r.inFlight)
			}
			if r.produced < r.output {
				kept = append(kept, r)
				continue
			}
			r.end = s.now
			e.served++
			s.policies[r.router].done(s.now, r.inFlight, Succeeded, r.output)
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
	s.schedule(time.Second, func() { s.poll(i) })
	if e.crashed {
		return
	}
	load := LoadReport{Running: len(e.running), Queued: len(e.waiting), Age: simReportLag}
	events := e.events
	e.events = nil
	lost := s.rng.IntN(10) == 0
	for _, p := range s.policies {
		s.schedule(simReportLag, func() { p.applyReport(s.now, i, load) })
		if !lost && len(events) > 0 {
			s.schedule(simEventLag, func() { p.applyEvents(s.now, i, events) })
		}
	}
}

func (s *sim) crashEngine() {
	e := s.nodes[1]
	e.crashed = true
	broken := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, r := range broken {
		s.fail(1, r)
	}
	s.schedule(simListLag, func() {
		for _, p := range s.policies {
			p.remove(s.now, 1)
		}
	})
}
