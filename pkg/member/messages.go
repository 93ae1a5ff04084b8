package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HandleProbe processes a probe and returns the updates for the answer. If the sender's updates include this router,
// the answer includes its current state, because the sender may have missed a refutation that is no longer gossiped.
func (s *StateMachine) HandleProbe(now time.Time, from string, updates []Update) []Update {
	s.merge(now, updates)
	for _, u := range updates {
		if u.Instance == s.self.Instance {
			s.queueUpdate(s.self.Instance)
		}
	}
	return s.takeUpdates(from)
}

// HandleProbeResult processes the result of a direct probe. answered is the instance that answered, or "" if there was
// no answer. An answer from another instance shows that the target no longer runs at its address. Without an answer,
// HandleProbeResult returns a repeated direct probe and the indirect probes.
func (s *StateMachine) HandleProbeResult(now time.Time, a Action, answered string, updates []Update) []Action {
	s.merge(now, updates)
	m, ok := s.members[a.Target]
	if a.Repeated && (answered == a.Target || answered == "") {
		s.handleAttemptResult(now, a, answered == a.Target)
		return nil
	}
	if answered == a.Target || !ok || s.wasPausedSince(now, a) {
		return nil
	}
	if answered != "" {
		s.markUnreachable(now, m)
		return nil
	}
	if s.outstandingProbes[a.Target] > 0 || m.State == Unreachable {
		return nil
	}
	helpers := s.pickRandom(indirectProbes, a.Target, Alive, Leaving)
	if len(helpers) == 0 {
		s.markUnreachable(now, m)
		return nil
	}
	repeat := s.newProbe(now, m)
	repeat.Repeated, repeat.Started = true, a.Started
	actions := []Action{repeat}
	for _, helper := range helpers {
		actions = append(actions, Action{Kind: ActionProbeFor, Address: helper.PeerAddress, Target: a.Target, TargetAddress: m.PeerAddress, Started: a.Started})
	}
	s.outstandingProbes[a.Target] = len(actions)
	return actions
}

// HandleProbeForResult processes the result of an indirect probe.
func (s *StateMachine) HandleProbeForResult(now time.Time, a Action, reached bool, updates []Update) {
	s.merge(now, updates)
	s.handleAttemptResult(now, a, reached)
}

// handleAttemptResult processes the result of a repeated or indirect probe. The target becomes unreachable when all of
// them have failed.
func (s *StateMachine) handleAttemptResult(now time.Time, a Action, reached bool) {
	remaining, ok := s.outstandingProbes[a.Target]
	if !ok {
		return
	}
	if reached || s.wasPausedSince(now, a) {
		delete(s.outstandingProbes, a.Target)
		return
	}
	if s.outstandingProbes[a.Target] = remaining - 1; remaining > 1 {
		return
	}
	delete(s.outstandingProbes, a.Target)
	if m, found := s.members[a.Target]; found {
		s.markUnreachable(now, m)
	}
}

// markUnreachable records that the probes of this router did not reach a member that was alive or leaving.
func (s *StateMachine) markUnreachable(now time.Time, m *memberRecord) {
	if m.State == Alive || m.State == Leaving {
		m.foundUnreachable = true
		s.setState(now, m, Unreachable)
	}
}

// Digest is the version of one member without its addresses.
type Digest struct {
	// ID is the 64-bit xxHash of the instance.
	ID          uint64
	Incarnation uint64
	State       State
}

// SyncAnswer is the answer to a full exchange.
type SyncAnswer struct {
	// Hash is the result of StateMachine.Hash at the answering router.
	Hash    uint64
	Updates []Update
	Digests []Digest
}

// HandleSync processes a full exchange. It returns the wanted members if there are any; otherwise, if the hash shows
// that the views differ, it returns digests of all members. Digests take a tenth of the bytes of full updates.
func (s *StateMachine) HandleSync(now time.Time, hash uint64, updates []Update, wanted []uint64) SyncAnswer {
	s.merge(now, updates)
	answer := SyncAnswer{Hash: s.Hash()}
	if len(wanted) > 0 {
		byID := map[uint64]Update{}
		for _, u := range s.allUpdates() {
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
	answer.Updates = []Update{s.self}
	for _, u := range s.allUpdates() {
		answer.Digests = append(answer.Digests, Digest{ID: xxhash.Sum64String(u.Instance), Incarnation: u.Incarnation, State: u.State})
	}
	return answer
}

// HandleSyncAnswer processes the answer to a full exchange. If the views differ, it returns a second exchange that
// requests the members that are missing or older here, and sends those that are missing or older at the other router.
func (s *StateMachine) HandleSyncAnswer(now time.Time, a Action, answer SyncAnswer) []Action {
	s.mergeFromSync(now, answer.Updates)
	if len(answer.Digests) == 0 || a.FollowUp {
		return nil
	}
	followUp := Action{Kind: ActionSync, FollowUp: true, Address: a.Address, Started: a.Started}
	localByID := map[uint64]Update{}
	for _, u := range s.allUpdates() {
		localByID[xxhash.Sum64String(u.Instance)] = u
	}
	for _, d := range answer.Digests {
		remote := Update{Member: Member{State: d.State}, Incarnation: d.Incarnation}
		u, ok := localByID[d.ID]
		delete(localByID, d.ID)
		switch {
		case ok && u.newerThan(remote):
			followUp.Updates = append(followUp.Updates, u)
		case ok && u.Instance == s.self.Instance && remote.newerThan(u):
			s.refute(remote)
			followUp.Updates = append(followUp.Updates, s.self)
		case ok && remote.newerThan(u), !ok && d.State != Failed:
			followUp.Wanted = append(followUp.Wanted, d.ID)
		}
	}
	for _, u := range s.allUpdates() {
		if _, missing := localByID[xxhash.Sum64String(u.Instance)]; missing && u.State != Failed {
			followUp.Updates = append(followUp.Updates, u)
		}
	}
	if len(followUp.Updates) == 0 && len(followUp.Wanted) == 0 {
		return nil
	}
	followUp.Hash = s.Hash()
	return []Action{followUp}
}

// allUpdates returns this router followed by all other members, sorted by instance.
func (s *StateMachine) allUpdates() []Update {
	all := []Update{s.self}
	for _, m := range s.sortedMembers(Alive, Leaving, Unreachable, Failed) {
		all = append(all, m.Update)
	}
	return all
}
