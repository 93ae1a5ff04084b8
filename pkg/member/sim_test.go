package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	memberv1 "github.com/lavendershunt/lavendershunt/api/ls/member/v1"
)

const (
	// packetBytes is the size of the IP and TCP headers of one packet and its acknowledgement.
	packetBytes = 104
	// callOverheadBytes is added per call and direction for packetBytes and the framing of HTTP/2 and Connect.
	// TestCallOverhead checks that the framing takes no more.
	callOverheadBytes = packetBytes + 46
)

var simTiming = Timing{Probe: time.Second, FailedAfter: 10 * time.Second, FullSync: 30 * time.Second}

// node is a router of a simulated fleet. Each node ticks once per second, at its own offset.
type node struct {
	machine  *StateMachine
	addr     string
	nextTick time.Time
	paused   bool
	crashed  bool
	bytes    int
}

// sim runs state machines in virtual time. Messages are delivered immediately or lost.
type sim struct {
	t             *testing.T
	now           time.Time
	nodes         []*node
	byAddr        map[string]*node
	random        *rand.Rand
	lossRate      float64
	isPartitioned func(a, b *node) bool
}

func newSim(t *testing.T, n int, lossRate float64) *sim {
	s := &sim{t: t, now: time.Unix(1_800_000_000, 0), byAddr: map[string]*node{}, random: rand.New(rand.NewPCG(20261204, uint64(n))), lossRate: lossRate}
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("10.%d.%d.1:8081", i/250, i%250))
	}
	for i := range n {
		s.add(i, seeds, fmt.Sprintf("entry-%03d@%d-00000000", i, s.now.UnixMilli()))
	}
	return s
}

func (s *sim) add(i int, seeds []string, instance string) *node {
	zone := fmt.Sprintf("region-%d-zone-%d", i%3, i%6)
	self := Member{Instance: instance, VM: fmt.Sprintf("entry-%03d", i), Region: zone[:8], Zone: zone, PeerAddress: seeds[i], CallerAddress: seeds[i][:len(seeds[i])-1] + "0"}
	n := &node{addr: seeds[i], machine: NewStateMachine(self, simTiming, rand.New(rand.NewPCG(uint64(len(s.nodes)), 1)), s.now)}
	n.machine.SetSeeds(seeds)
	n.nextTick = s.now.Add(time.Duration(s.random.Int64N(int64(time.Second))))
	s.nodes = append(s.nodes, n)
	s.byAddr[n.addr] = n
	return n
}

// run advances time by one second at a time until done returns true, for at most the given seconds. It returns the
// number of seconds that passed.
func (s *sim) run(seconds int, done func() bool) int {
	for second := range seconds {
		if done != nil && done() {
			return second
		}
		end := s.now.Add(time.Second)
		for _, n := range s.dueNodes(end) {
			s.now = n.nextTick
			n.nextTick = n.nextTick.Add(time.Second)
			if !n.crashed && !n.paused {
				s.send(n, n.machine.Tick(s.now))
			}
		}
		s.now = end
	}
	return seconds
}

// dueNodes returns the nodes whose next tick is before end, in the order of these ticks.
func (s *sim) dueNodes(end time.Time) []*node {
	var due []*node
	for _, n := range s.nodes {
		if n.nextTick.Before(end) {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *node) int { return a.nextTick.Compare(b.nextTick) })
	return due
}

// delivers reports whether one message is delivered.
func (s *sim) delivers(from, to *node) bool {
	if to == nil || to.crashed || to.paused || s.isPartitioned != nil && s.isPartitioned(from, to) {
		return false
	}
	return s.random.Float64() >= s.lossRate
}

func (s *sim) send(from *node, actions []Action) {
	for _, a := range actions {
		switch to := s.byAddr[a.Address]; a.Kind {
		case ActionProbe:
			answered, updates := s.probe(from, to, a.Target, a.Updates)
			s.send(from, from.machine.HandleProbeResult(s.now, a, answered, updates))
		case ActionProbeFor:
			s.probeFor(from, to, a)
		case ActionSync:
			s.sync(from, to, a)
		}
	}
}

// countBytes adds the size of a message to both nodes; to may be nil.
func (s *sim) countBytes(from, to *node, m proto.Message) {
	size := proto.Size(m) + callOverheadBytes
	from.bytes += size
	if to != nil && !to.crashed {
		to.bytes += size
	}
}

func (s *sim) probe(from, to *node, target string, updates []Update) (string, []Update) {
	s.countBytes(from, to, &memberv1.ProbeRequest{From: from.machine.Self().Instance, Target: target, Updates: toWire(updates)})
	if !s.delivers(from, to) {
		return "", nil
	}
	answer := to.machine.HandleProbe(s.now, from.machine.Self().Instance, fromWire(toWire(updates)))
	instance := to.machine.Self().Instance
	s.countBytes(to, from, &memberv1.ProbeResponse{Instance: instance, Updates: toWire(answer)})
	if !s.delivers(to, from) {
		return "", nil
	}
	return instance, answer
}

func (s *sim) probeFor(from, to *node, a Action) {
	s.countBytes(from, to, &memberv1.ProbeForRequest{From: from.machine.Self().Instance, Target: a.Target, TargetAddress: a.TargetAddress})
	var reached bool
	var updates []Update
	if s.delivers(from, to) {
		answered, answer := s.probe(to, s.byAddr[a.TargetAddress], a.Target, nil)
		response := &memberv1.ProbeForResponse{Reached: answered == a.Target, Updates: toWire(answer)}
		s.countBytes(to, from, response)
		if s.delivers(to, from) {
			reached, updates = answered == a.Target, answer
		}
	}
	from.machine.HandleProbeForResult(s.now, a, reached, updates)
}

func (s *sim) sync(from, to *node, a Action) {
	s.countBytes(from, to, &memberv1.SyncRequest{From: from.machine.Self().Instance, Hash: a.Hash, Updates: toWire(a.Updates), Wanted: a.Wanted})
	if !s.delivers(from, to) {
		return
	}
	answer := to.machine.HandleSync(s.now, a.Hash, a.Updates, a.Wanted)
	s.countBytes(to, from, &memberv1.SyncResponse{Instance: to.machine.Self().Instance, Hash: answer.Hash, Updates: toWire(answer.Updates), Digests: digestsToWire(answer.Digests)})
	if s.delivers(to, from) {
		s.send(from, from.machine.HandleSyncAnswer(s.now, a, answer))
	}
}

// state returns the state of an instance in the view of a node, or "" if the instance is not in the view.
func (n *node) state(instance string) State {
	if u, ok := n.machine.updateOf(instance); ok {
		return u.State
	}
	return ""
}

// allHaveState reports whether the instance is in one of the states in the views of all running nodes but itself.
func (s *sim) allHaveState(instance string, states ...State) bool {
	for _, n := range s.nodes {
		if n.crashed || n.paused || n.machine.Self().Instance == instance {
			continue
		}
		if !slices.Contains(states, n.state(instance)) {
			return false
		}
	}
	return true
}

// hasConverged reports whether every running node is alive in the views of all the others.
func (s *sim) hasConverged() bool {
	for _, n := range s.nodes {
		if !n.crashed && !n.paused && !s.allHaveState(n.machine.Self().Instance, Alive) {
			return false
		}
	}
	return true
}

func (s *sim) resetBytes() {
	for _, n := range s.nodes {
		n.bytes = 0
	}
}

// meanAndMaxBytes returns the mean and the largest number of bytes sent and received per node.
func (s *sim) meanAndMaxBytes() (mean, largest int) {
	for _, n := range s.nodes {
		mean += n.bytes
		largest = max(largest, n.bytes)
	}
	return mean / len(s.nodes), largest
}
