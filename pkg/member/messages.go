package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HandleProbe answers a probe with updates for the sender. A sender that has a wrong state of this router is told
// the present one, also if this router refuted it long ago and no longer passes the refutation on.
func (c *StateMachine) HandleProbe(now time.Time, from string, updates []Update) []Update {
	c.merge(now, updates)
	for _, u := range updates {
		if u.Instance == c.self.Instance {
			c.spread(c.self.Instance)
		}
	}
	return c.updates(from)
}

// ProbeDone reports the end of a probe. An answer of another instance shows that the probed one no longer runs at
// its address. It returns a repeated probe and the indirect ones if there was no answer.
func (c *StateMachine) ProbeDone(now time.Time, a Action, answered string, updates []Update) []Action {
	c.merge(now, updates)
	m, ok := c.members[a.Target]
	if a.Repeated && (answered == a.Target || answered == "") {
		c.attemptDone(now, a, answered == a.Target)
		return nil
	}
	if answered == a.Target || !ok || c.paused(now, a) {
		return nil
	}
	if answered != "" {
		c.accuse(now, m)
		return nil
	}
	if c.waiting[a.Target] > 0 || m.State == Unreachable {
		return nil
	}
	helpers := c.pick(indirectProbes, a.Target, Alive, Leaving)
	if len(helpers) == 0 {
		c.accuse(now, m)
		return nil
	}
	repeat := c.probe(now, m)
	repeat.Repeated, repeat.Started = true, a.Started
	actions := []Action{repeat}
	for _, helper := range helpers {
		actions = append(actions, Action{Kind: ActionProbeFor, Address: helper.PeerAddress, Target: a.Target, TargetAddress: m.PeerAddress, Started: a.Started})
	}
	c.waiting[a.Target] = len(actions)
	return actions
}

// ProbeForDone reports the end of an indirect probe.
func (c *StateMachine) ProbeForDone(now time.Time, a Action, reached bool, updates []Update) {
	c.merge(now, updates)
	c.attemptDone(now, a, reached)
}

// attemptDone counts the end of a repeated or indirect probe. A member is unreachable if all of them failed.
func (c *StateMachine) attemptDone(now time.Time, a Action, reached bool) {
	remaining, ok := c.waiting[a.Target]
	if !ok {
		return
	}
	if reached || c.paused(now, a) {
		delete(c.waiting, a.Target)
		return
	}
	if c.waiting[a.Target] = remaining - 1; remaining > 1 {
		return
	}
	delete(c.waiting, a.Target)
	if m, found := c.members[a.Target]; found {
		c.accuse(now, m)
	}
}

func (c *StateMachine) accuse(now time.Time, m *known) {
	if m.State == Alive || m.State == Leaving {
		m.accused = true
		c.setState(now, m, Unreachable)
	}
}

// Digest describes one member without its addresses.
type Digest struct {
	// ID is the xxhash of the instance.
	ID          uint64
	Incarnation uint64
	State       State
}

// SyncAnswer is the answer to a full exchange.
type SyncAnswer struct {
	Hash    uint64
	Updates []Update
	Digests []Digest
}

// HandleSync answers a full exchange with the wanted members, or with digests of all members if nothing is wanted
// and the views differ. Digests take a tenth of the bytes of full updates.
func (c *StateMachine) HandleSync(now time.Time, hash uint64, updates []Update, wanted []uint64) SyncAnswer {
	c.merge(now, updates)
	answer := SyncAnswer{Hash: c.Hash()}
	if len(wanted) > 0 {
		byID := map[uint64]Update{}
		for _, u := range c.all() {
			byID[xxhash.Sum64String(u.Instance)] = u
		}
		for _, id := range wanted {
			if u, ok := byID[id]; ok {
				answer.Updates = append(answer.Updates, u)
			}
		}
		return answer
	}
	if answer.Hash == hash {
		return answer
	}
	answer.Updates = []Update{c.self}
	for _, u := range c.all() {
		answer.Digests = append(answer.Digests, Digest{ID: xxhash.Sum64String(u.Instance), Incarnation: u.Incarnation, State: u.State})
	}
	return answer
}

// SyncDone reports the answer to a full exchange. It returns a second exchange that asks for what this router lacks
// and carries what the other one lacks, if there is something.
func (c *StateMachine) SyncDone(now time.Time, a Action, answer SyncAnswer) []Action {
	c.learn(now, answer.Updates)
	if len(answer.Digests) == 0 || a.Second {
		return nil
	}
	next := Action{Kind: ActionSync, Second: true, Address: a.Address, Started: a.Started}
	mine := map[uint64]Update{}
	for _, u := range c.all() {
		mine[xxhash.Sum64String(u.Instance)] = u
	}
	for _, d := range answer.Digests {
		their := Update{Member: Member{State: d.State}, Incarnation: d.Incarnation}
		u, ok := mine[d.ID]
		delete(mine, d.ID)
		switch {
		case ok && u.newerThan(their):
			next.Updates = append(next.Updates, u)
		case ok && u.Instance == c.self.Instance && their.newerThan(u):
			c.refute(their)
			next.Updates = append(next.Updates, c.self)
		case ok && their.newerThan(u), !ok && d.State != Failed:
			next.Wanted = append(next.Wanted, d.ID)
		}
	}
	for _, u := range c.all() {
		if _, absent := mine[xxhash.Sum64String(u.Instance)]; absent && u.State != Failed {
			next.Updates = append(next.Updates, u)
		}
	}
	if len(next.Updates) == 0 && len(next.Wanted) == 0 {
		return nil
	}
	next.Hash = c.Hash()
	return []Action{next}
}

func (c *StateMachine) all() []Update {
	all := []Update{c.self}
	for _, m := range c.sorted(Alive, Leaving, Unreachable, Failed) {
		all = append(all, m.Update)
	}
	return all
}
