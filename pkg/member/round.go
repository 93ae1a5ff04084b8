package member

import (
	"slices"
	"time"
)

// ActionKind selects what an Action does.
type ActionKind int

// Kinds of actions.
const (
	// ActionProbe probes Target at Address.
	ActionProbe ActionKind = iota
	// ActionProbeFor asks the router at Address to probe Target at TargetAddress.
	ActionProbeFor
	// ActionSync exchanges the whole membership with the router at Address.
	ActionSync
)

// Action is a message that the state machine wants sent. Its result is reported with ProbeDone, ProbeForDone or SyncDone.
type Action struct {
	Kind    ActionKind
	Address string
	// Target is the instance that the action is about; empty if it is not known.
	Target        string
	TargetAddress string
	// Repeated marks the second direct probe, which runs beside the indirect ones.
	Repeated bool
	Updates  []Update
	// Second marks the second exchange of a sync, which no third one follows.
	Second bool
	// Wanted lists the ids of members that a second exchange asks for.
	Wanted []uint64
	Hash   uint64
	// Started is the time of the tick that the action belongs to.
	Started time.Time
}

// Tick starts a round and returns the messages to send.
func (c *StateMachine) Tick(now time.Time) []Action {
	c.noticePause(now)
	c.lastTick = now
	c.round++
	c.expire(now)
	actions := c.probes(now)
	if now.Compare(c.nextSync) >= 0 {
		c.nextSync = now.Add(c.timing.FullSync)
		if peers := c.pick(1, "", Alive, Leaving); len(peers) > 0 {
			actions = append(actions, c.syncWith(now, peers[0].PeerAddress))
		}
	}
	return append(actions, c.reconnect(now)...)
}

// noticePause moves the times of all unreachable members after this process was paused. The other routers had no
// chance to refute in the meantime, and it is this router that did not run.
func (c *StateMachine) noticePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if gap <= pausedRounds*c.timing.Probe {
		return
	}
	for _, m := range c.ill {
		if m.State == Unreachable {
			m.since = m.since.Add(gap)
		}
	}
	clear(c.waiting)
}

// paused reports whether this process was paused since the action started, so that its failure proves nothing.
func (c *StateMachine) paused(now time.Time, a Action) bool {
	return now.Sub(a.Started) > pausedRounds*c.timing.Probe
}

func (c *StateMachine) expire(now time.Time) {
	for instance, m := range c.ill {
		age := now.Sub(m.since)
		switch {
		case m.State == Unreachable && (age >= c.timing.FailedAfter || c.removedVMs[m.VM]):
			c.setState(now, m, Failed)
		case m.State == Failed && age >= forgetAfter:
			c.forget(instance, m)
		}
	}
}

func (c *StateMachine) forget(instance string, m *known) {
	c.remove(m)
	delete(c.members, instance)
	delete(c.pending, instance)
	if c.newest[m.VM] == instance {
		delete(c.newest, m.VM)
	}
	c.order = slices.DeleteFunc(c.order, func(o string) bool { return o == instance })
	c.changed = true
}

// probes returns the probe of this round, and those of unreachable members that this router itself accused or is
// about to take for failed. The answer to such a probe carries the refutation, which may not have arrived otherwise.
func (c *StateMachine) probes(now time.Time) []Action {
	var actions []Action
	if m := c.nextTarget(); m != nil {
		actions = append(actions, c.probe(now, m))
	}
	for _, m := range c.sorted(Unreachable) {
		repeated := len(actions) > 0 && actions[0].Target == m.Instance
		last := now.Sub(m.since) >= c.timing.FailedAfter-lastProbes*c.timing.Probe
		if (m.accused || last) && !repeated && len(actions) <= maxReprobes {
			actions = append(actions, c.probe(now, m))
		}
	}
	return actions
}

func (c *StateMachine) probe(now time.Time, m *known) Action {
	return Action{Kind: ActionProbe, Address: m.PeerAddress, Target: m.Instance, Updates: c.updates(m.Instance), Started: now}
}

// nextTarget goes through all members that are not failed in random order, and shuffles after each pass.
func (c *StateMachine) nextTarget() *known {
	for range len(c.order) {
		if c.next >= len(c.order) {
			c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
			c.next = 0
		}
		m := c.members[c.order[c.next]]
		c.next++
		if m.State != Failed {
			return m
		}
	}
	return nil
}

// reconnect tries a failed member or an address that belongs to no known member, in each round while this router
// knows no live member, and otherwise from time to time.
func (c *StateMachine) reconnect(now time.Time) []Action {
	if !c.alone() && c.round%reconnectRounds != 0 {
		return nil
	}
	var addresses []string
	live := map[string]bool{c.self.PeerAddress: true}
	for _, m := range c.members {
		if m.State != Failed {
			live[m.PeerAddress] = true
		}
	}
	for _, m := range c.sorted(Failed) {
		superseded := c.newest[m.VM] != m.Instance
		if !live[m.PeerAddress] && !superseded && !c.removedVMs[m.VM] {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	for _, address := range c.seeds {
		if !live[address] && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []Action{c.syncWith(now, addresses[c.random.IntN(len(addresses))])}
}

func (c *StateMachine) alone() bool { return len(c.members) == len(c.ill) }

func (c *StateMachine) syncWith(now time.Time, address string) Action {
	return Action{Kind: ActionSync, Address: address, Updates: []Update{c.self}, Hash: c.Hash(), Started: now}
}

// sorted returns the members in one of the states, by instance, so that random choices depend only on the seed.
func (c *StateMachine) sorted(states ...State) []*known {
	var found []*known
	candidates := c.members
	if !slices.Contains(states, Alive) && !slices.Contains(states, Leaving) {
		candidates = c.ill
	}
	for _, m := range candidates {
		if slices.Contains(states, m.State) {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b *known) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return found
}

// pick returns up to n random members in one of the states, without the given one.
func (c *StateMachine) pick(n int, without string, states ...State) []*known {
	found := slices.DeleteFunc(c.sorted(states...), func(m *known) bool { return m.Instance == without })
	c.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}
