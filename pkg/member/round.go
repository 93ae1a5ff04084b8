package member

import (
	"slices"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionProbe probes Target at Address.
	ActionProbe ActionKind = iota
	// ActionProbeFor asks the router at Address to probe Target at TargetAddress.
	ActionProbeFor
	// ActionSync starts a full exchange of the membership with the router at Address.
	ActionSync
)

// Action is a message to send. Its result must be passed to HandleProbeResult, HandleProbeForResult or
// HandleSyncAnswer, according to its kind.
type Action struct {
	Kind    ActionKind
	Address string
	// Target is the instance to probe; empty for ActionSync.
	Target        string
	TargetAddress string
	// Repeated marks the second direct probe, which runs in parallel with the indirect ones.
	Repeated bool
	Updates  []Update
	// FollowUp marks the second exchange of a sync. There is no third one.
	FollowUp bool
	// Wanted lists the digest ids of the members that a second exchange requests.
	Wanted []uint64
	// Hash is the result of StateMachine.Hash at the sender, for ActionSync.
	Hash uint64
	// Started is the time of the tick that led to the action.
	Started time.Time
}

// Tick starts a round and returns the messages to send.
func (s *StateMachine) Tick(now time.Time) []Action {
	s.adjustForPause(now)
	s.lastTick = now
	s.round++
	s.expireMembers(now)
	actions := s.roundProbes(now)
	if now.Compare(s.nextSync) >= 0 {
		s.nextSync = now.Add(s.timing.FullSync)
		if peers := s.pickRandom(1, "", Alive, Leaving); len(peers) > 0 {
			actions = append(actions, s.newSync(now, peers[0].PeerAddress))
		}
	}
	return append(actions, s.reconnect(now)...)
}

// adjustForPause extends the time until unreachable members become failed by the length of a pause of this process, and
// discards its outstanding probes. During the pause this process could not receive refutations or answers.
func (s *StateMachine) adjustForPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if gap <= pauseThresholdRounds*s.timing.Probe {
		return
	}
	for _, m := range s.unhealthy {
		if m.State == Unreachable {
			m.since = m.since.Add(gap)
		}
	}
	clear(s.outstandingProbes)
}

// wasPausedSince reports whether this process seems to have been paused since the action started. A failed probe then
// says nothing about its target.
func (s *StateMachine) wasPausedSince(now time.Time, a Action) bool {
	return now.Sub(a.Started) > pauseThresholdRounds*s.timing.Probe
}

// expireMembers sets unreachable members to failed when their time is over or their VM was removed, and removes failed
// members after failedRetention.
func (s *StateMachine) expireMembers(now time.Time) {
	for instance, m := range s.unhealthy {
		age := now.Sub(m.since)
		switch {
		case m.State == Unreachable && (age >= s.timing.FailedAfter || s.removedVMs[m.VM]):
			s.setState(now, m, Failed)
		case m.State == Failed && age >= failedRetention:
			s.removeMember(instance, m)
		}
	}
}

func (s *StateMachine) removeMember(instance string, m *memberRecord) {
	s.unindex(m)
	delete(s.members, instance)
	delete(s.remainingSends, instance)
	if s.newestByVM[m.VM] == instance {
		delete(s.newestByVM, m.VM)
	}
	s.probeOrder = slices.DeleteFunc(s.probeOrder, func(o string) bool { return o == instance })
	s.changed = true
}

// roundProbes returns the regular probe of this round, and probes of unreachable members that this router itself found
// unreachable or that are in their final probe rounds. The answer to such a probe carries a refutation that may not
// have arrived through other routers.
func (s *StateMachine) roundProbes(now time.Time) []Action {
	var actions []Action
	if m := s.nextTarget(); m != nil {
		actions = append(actions, s.newProbe(now, m))
	}
	for _, m := range s.sortedMembers(Unreachable) {
		alreadyProbed := len(actions) > 0 && actions[0].Target == m.Instance
		final := now.Sub(m.since) >= s.timing.FailedAfter-finalProbeRounds*s.timing.Probe
		if (m.foundUnreachable || final) && !alreadyProbed && len(actions) <= maxReprobes {
			actions = append(actions, s.newProbe(now, m))
		}
	}
	return actions
}

func (s *StateMachine) newProbe(now time.Time, m *memberRecord) Action {
	return Action{Kind: ActionProbe, Address: m.PeerAddress, Target: m.Instance, Updates: s.takeUpdates(m.Instance), Started: now}
}

// nextTarget returns the next member to probe, or nil if all are failed. It goes through the members that are not
// failed in random order, and shuffles the order after each pass.
func (s *StateMachine) nextTarget() *memberRecord {
	for range len(s.probeOrder) {
		if s.nextProbe >= len(s.probeOrder) {
			s.random.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
			s.nextProbe = 0
		}
		m := s.members[s.probeOrder[s.nextProbe]]
		s.nextProbe++
		if m.State != Failed {
			return m
		}
	}
	return nil
}

// reconnect returns a full exchange with a random address, either of a failed member or a seed that belongs to no known
// member. It does so in each round while this router has no live member, and otherwise every reconnectRounds rounds.
func (s *StateMachine) reconnect(now time.Time) []Action {
	if !s.hasNoLiveMember() && s.round%reconnectRounds != 0 {
		return nil
	}
	var addresses []string
	live := map[string]bool{s.self.PeerAddress: true}
	for _, m := range s.members {
		if m.State != Failed {
			live[m.PeerAddress] = true
		}
	}
	for _, m := range s.sortedMembers(Failed) {
		isSuperseded := s.newestByVM[m.VM] != m.Instance
		if !live[m.PeerAddress] && !isSuperseded && !s.removedVMs[m.VM] {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	for _, address := range s.seeds {
		if !live[address] && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []Action{s.newSync(now, addresses[s.random.IntN(len(addresses))])}
}

// hasNoLiveMember reports whether all other members are unreachable or failed.
func (s *StateMachine) hasNoLiveMember() bool { return len(s.members) == len(s.unhealthy) }

func (s *StateMachine) newSync(now time.Time, address string) Action {
	return Action{Kind: ActionSync, Address: address, Updates: []Update{s.self}, Hash: s.Hash(), Started: now}
}

// sortedMembers returns the members in one of the states, sorted by instance so that random choices depend only on the
// seed.
func (s *StateMachine) sortedMembers(states ...State) []*memberRecord {
	var found []*memberRecord
	candidates := s.members
	if !slices.Contains(states, Alive) && !slices.Contains(states, Leaving) {
		candidates = s.unhealthy
	}
	for _, m := range candidates {
		if slices.Contains(states, m.State) {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b *memberRecord) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return found
}

// pickRandom returns up to n random members in one of the states, except the instance exclude.
func (s *StateMachine) pickRandom(n int, exclude string, states ...State) []*memberRecord {
	found := slices.DeleteFunc(s.sortedMembers(states...), func(m *memberRecord) bool { return m.Instance == exclude })
	s.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}
