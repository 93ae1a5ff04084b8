package member

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// indirectProbes is the number of routers that are asked to probe a member that did not answer a direct probe.
	indirectProbes = 3
	// maxUpdates is the largest number of updates in one probe or its answer.
	maxUpdates = 8
	// retransmitFactor, multiplied by the number of decimal digits of the fleet size, is the number of times that a
	// router sends an update. Full exchanges cover the routers that the update did not reach.
	retransmitFactor = 4
	// maxReprobes is the largest number of additional probes of unreachable members in one round.
	maxReprobes = 3
	// finalProbeRounds is the number of rounds, just before an unreachable member becomes failed, in which this router
	// probes it directly, even if another router found it unreachable. Without these probes, with 370 routers and
	// 10% message loss, running members were seen as failed for 6 of 16 million member-seconds.
	finalProbeRounds = 3
	// reconnectRounds is the number of rounds between attempts to reach a failed member or an unknown peer. Without
	// these attempts, the two sides of a partition would not rejoin after it heals.
	reconnectRounds = 5
	// failedRetention is how long a failed member is kept before it is removed.
	failedRetention = time.Hour
	// pauseThresholdRounds is the number of probe periods without a tick above which this process is assumed to have
	// been paused.
	pauseThresholdRounds = 3
)

// Timing holds the periods and timeouts of the protocol.
type Timing struct {
	// Probe is the period of rounds. Each round probes one member.
	Probe time.Duration
	// FailedAfter is the time after which an unreachable member becomes failed.
	FailedAfter time.Duration
	// FullSync is the period of full exchanges.
	FullSync time.Duration
}

// Update is the version of a member that routers exchange. Of two updates of a member, the one with the higher
// incarnation wins; with equal incarnations, the state that is later in the order alive, leaving, unreachable, failed.
type Update struct {
	Member
	Incarnation uint64
}

// ranks gives the precedence of the states within one incarnation; the higher rank wins.
var ranks = map[State]int{Alive: 0, Leaving: 1, Unreachable: 2, Failed: 3}

func (u Update) newerThan(v Update) bool {
	return u.Incarnation > v.Incarnation || u.Incarnation == v.Incarnation && ranks[u.State] > ranks[v.State]
}

// memberRecord is the latest version of another member at this router.
type memberRecord struct {
	Update
	// since is when this router recorded the current state or incarnation.
	since time.Time
	// foundUnreachable is set if this router's own probes found the member unreachable.
	foundUnreachable bool
}

// StateMachine is the membership protocol without I/O and without a clock. It is not safe for concurrent use.
type StateMachine struct {
	timing  Timing
	random  *rand.Rand
	self    Update
	members map[string]*memberRecord
	// unhealthy holds the unreachable and failed members.
	unhealthy map[string]*memberRecord
	// hash is the XOR of the update hashes of the members that are not failed, without this router.
	hash uint64
	// newestByVM maps each VM to its newest known instance.
	newestByVM map[string]string
	// remainingSends maps instances to the number of times that their update is still to be sent.
	remainingSends map[string]int
	// probeOrder is the order in which members are probed; nextProbe is the index of the next one.
	probeOrder []string
	nextProbe  int
	// outstandingProbes maps a probed instance to the number of its repeated and indirect probes without a result.
	outstandingProbes map[string]int
	seeds             []string
	removedVMs        map[string]bool

	round    int
	lastTick time.Time
	nextSync time.Time
	// supersededBy is a later instance on this VM that another router reported, or "".
	supersededBy string
	// changed is set if a member changed since the last call of TakeChanged.
	changed bool
}

// NewStateMachine returns a state machine whose only member is self.
func NewStateMachine(self Member, timing Timing, random *rand.Rand, now time.Time) *StateMachine {
	self.State = Alive
	s := &StateMachine{
		timing: timing, random: random, self: Update{Member: self, Incarnation: 1},
		members: map[string]*memberRecord{}, unhealthy: map[string]*memberRecord{}, newestByVM: map[string]string{self.VM: self.Instance}, remainingSends: map[string]int{},
		outstandingProbes: map[string]int{}, removedVMs: map[string]bool{}, lastTick: now, changed: true,
	}
	s.nextSync = now.Add(time.Duration(random.Int64N(int64(timing.FullSync))))
	s.queueUpdate(self.Instance)
	return s
}

// Self returns this router.
func (s *StateMachine) Self() Member { return s.self.Member }

// SupersededBy returns a later instance on this VM that another router reported, or "". In that case the clock of the
// VM was set back, and the process must continue under a new instance id.
func (s *StateMachine) SupersededBy() string { return s.supersededBy }

// Members returns all known members including this one, sorted by instance.
func (s *StateMachine) Members() []Member {
	all := make([]Member, 0, len(s.members)+1)
	all = append(all, s.self.Member)
	for _, m := range s.members {
		all = append(all, m.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// TakeChanged reports whether a member changed since the last call, and resets the mark.
func (s *StateMachine) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Leave announces that this router is leaving.
func (s *StateMachine) Leave() { s.announceState(Leaving) }

// CancelLeave announces that this router is alive again after Leave.
func (s *StateMachine) CancelLeave() { s.announceState(Alive) }

// ReplaceInstance continues under a new instance id, which supersedes the previous one.
func (s *StateMachine) ReplaceInstance(instance string) {
	s.self.Instance = instance
	s.self.Incarnation = 1
	s.supersededBy = ""
	s.newestByVM[s.self.VM] = instance
	s.queueUpdate(instance)
}

// SetSeeds sets the peer addresses that are tried in addition to those of the known members.
func (s *StateMachine) SetSeeds(addresses []string) { s.seeds = addresses }

// SetRemovedVMs sets the VMs that the platform no longer lists. A member on such a VM becomes failed as soon as it is
// unreachable. A member that still answers keeps its state, because the platform's list is delayed.
func (s *StateMachine) SetRemovedVMs(vms map[string]bool) { s.removedVMs = vms }

// Hash returns a hash of the instances, incarnations and states of all members that are not failed, including this
// router. Full exchanges compare the hashes of two routers.
func (s *StateMachine) Hash() uint64 { return s.hash ^ updateHash(s.self) }

// setUpdate replaces the update of a member and maintains the hash and the set of unhealthy members.
func (s *StateMachine) setUpdate(m *memberRecord, u Update) {
	s.unindex(m)
	m.Update = u
	if u.State != Failed {
		s.hash ^= updateHash(u)
	}
	if u.State == Unreachable || u.State == Failed {
		s.unhealthy[u.Instance] = m
	}
}

// unindex removes a member from the hash and from the set of unhealthy members.
func (s *StateMachine) unindex(m *memberRecord) {
	if m.Instance != "" && m.State != Failed {
		s.hash ^= updateHash(m.Update)
	}
	delete(s.unhealthy, m.Instance)
}

func updateHash(u Update) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(u.Instance)
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{byte(ranks[u.State])}, u.Incarnation))
	return d.Sum64()
}

// announceState sets the state of this router under a new incarnation, which overrides all earlier updates about it.
func (s *StateMachine) announceState(state State) {
	s.self.State = state
	s.self.Incarnation++
	s.queueUpdate(s.self.Instance)
}

// queueUpdate queues the update of an instance for the next messages.
func (s *StateMachine) queueUpdate(instance string) {
	digits := 1
	for size := len(s.members) + 1; size >= 10; size /= 10 {
		digits++
	}
	s.remainingSends[instance] = retransmitFactor * digits
	s.changed = true
}

// merge applies updates from another router.
func (s *StateMachine) merge(now time.Time, updates []Update) {
	for _, u := range updates {
		if u.Instance == s.self.Instance {
			s.refute(u)
		} else {
			s.mergeUpdate(now, u)
		}
	}
}

// mergeFromSync applies updates from a full exchange. It does not gossip members that are new to this router: they
// announce themselves, and a joining router would otherwise gossip the whole fleet.
func (s *StateMachine) mergeFromSync(now time.Time, updates []Update) {
	for _, u := range updates {
		_, found := s.members[u.Instance]
		s.merge(now, []Update{u})
		if !found {
			delete(s.remainingSends, u.Instance)
		}
	}
}

// refute raises the incarnation of this router above that of a wrong update about it, so that its own state wins.
func (s *StateMachine) refute(u Update) {
	if u.newerThan(s.self) {
		s.self.Incarnation = u.Incarnation
		s.announceState(s.self.State)
	}
}

// mergeUpdate applies an update of another instance. If that is a later instance on the VM of this router, it sets only
// supersededBy.
func (s *StateMachine) mergeUpdate(now time.Time, u Update) {
	newest, ok := s.newestByVM[u.VM]
	if ok && newest != u.Instance && startedAfter(newest, u.Instance) {
		u.State = Failed
	}
	if u.VM == s.self.VM && startedAfter(u.Instance, s.self.Instance) {
		s.supersededBy = u.Instance
		return
	}
	m, found := s.members[u.Instance]
	switch {
	case !found && u.State == Failed:
		return
	case !found:
		m = &memberRecord{}
		s.members[u.Instance] = m
		s.probeOrder = slices.Insert(s.probeOrder, s.random.IntN(len(s.probeOrder)+1), u.Instance)
	case !u.newerThan(m.Update):
		return
	}
	if m.State != u.State || m.Incarnation != u.Incarnation {
		// A higher incarnation shows that the member has refuted an earlier unreachable or failed state, so the time in
		// the current state starts again.
		m.since = now
	}
	m.foundUnreachable = false
	s.setUpdate(m, u)
	s.queueUpdate(u.Instance)
	s.failSuperseded(now, u)
}

// failSuperseded sets the previous newest instance on a VM to failed if u is of a newer one.
func (s *StateMachine) failSuperseded(now time.Time, u Update) {
	newest, ok := s.newestByVM[u.VM]
	if ok && !startedAfter(u.Instance, newest) {
		return
	}
	s.newestByVM[u.VM] = u.Instance
	if old, found := s.members[newest]; found && newest != u.Instance {
		s.setState(now, old, Failed)
	}
}

// setState records a state of another member that this router has determined itself.
func (s *StateMachine) setState(now time.Time, m *memberRecord, state State) {
	if m.State == state {
		return
	}
	m.since = now
	u := m.Update
	u.State = state
	s.setUpdate(m, u)
	s.queueUpdate(m.Instance)
}

// takeUpdates returns the updates to put into a message to an instance, and counts them as sent. If the receiver is
// unreachable or failed in the view of this router, that update comes first, so that the receiver can refute it.
func (s *StateMachine) takeUpdates(to string) []Update {
	var chosen []Update
	if m, ok := s.members[to]; ok && (m.State == Unreachable || m.State == Failed) {
		chosen = append(chosen, m.Update)
	}
	for _, instance := range s.leastSent(maxUpdates) {
		if len(chosen) >= maxUpdates {
			break
		}
		if u, ok := s.updateOf(instance); ok && instance != to {
			chosen = append(chosen, u)
		}
		if s.remainingSends[instance]--; s.remainingSends[instance] <= 0 {
			delete(s.remainingSends, instance)
		}
	}
	return chosen
}

// leastSent returns up to n instances, those with the most remaining sends first. This router itself comes first of
// all, because other updates must not delay a refutation.
func (s *StateMachine) leastSent(n int) []string {
	type item struct {
		instance  string
		remaining int
	}
	chosen := make([]item, 0, n+1)
	for instance, remaining := range s.remainingSends {
		if instance == s.self.Instance {
			remaining = math.MaxInt
		}
		i := len(chosen)
		for i > 0 && (chosen[i-1].remaining < remaining || chosen[i-1].remaining == remaining && chosen[i-1].instance > instance) {
			i--
		}
		if i < n {
			chosen = slices.Insert(chosen, i, item{instance, remaining})
			chosen = chosen[:min(n, len(chosen))]
		}
	}
	instances := make([]string, len(chosen))
	for i, c := range chosen {
		instances[i] = c.instance
	}
	return instances
}

// updateOf returns the update of an instance, which may be this router, and false if the instance is not known.
func (s *StateMachine) updateOf(instance string) (Update, bool) {
	if instance == s.self.Instance {
		return s.self, true
	}
	m, ok := s.members[instance]
	if !ok {
		return Update{}, false
	}
	return m.Update, true
}
