package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var sizes = []int{8, 64, 370}

// lossSeconds is the virtual time of the test with lost messages.
const lossSeconds = 90

// Guards against a fleet that does not find itself, against slow detection of a dead router, and against traffic
// that grows with the fleet.
func TestDetectionAndTraffic(t *testing.T) {
	for _, size := range sizes {
		s := newSim(t, size, 0)
		joined := s.run(30, s.converged)
		must.Less(t, 30, joined)
		s.run(60, nil)
		s.resetBytes()
		s.run(60, nil)
		mean, largest := s.meanAndMaxBytes()
		victim := s.nodes[size/2]
		victim.dead = true
		instance := victim.machine.Self().Instance
		s.resetBytes()
		unreachable := s.run(30, func() bool { return s.allSee(instance, Unreachable, Failed) })
		failed := unreachable + s.run(30, func() bool { return s.allSee(instance, Failed) })
		_, burst := s.meanAndMaxBytes()
		t.Logf("%3d routers: joined after %d s; dead router unreachable everywhere after %d rounds, failed after %d; bytes per node per second: mean %d, largest %d; during detection %d",
			size, joined, unreachable, failed, mean/60, largest/60, burst/max(failed, 1))
		must.LessEq(t, 20, unreachable)
		must.LessEq(t, 30, failed)
		must.Less(t, 10_000, largest/60)
		must.Less(t, 20_000, burst/failed)
	}
}

// Guards against routers that are taken for failed because messages are lost.
func TestLossCausesNoFailures(t *testing.T) {
	for _, size := range sizes {
		if size > 100 && !largeFleets {
			continue
		}
		s := newSim(t, size, 0.1)
		s.run(60, s.converged)
		s.resetBytes()
		failures, unreachable := 0, 0
		for range lossSeconds {
			s.run(1, nil)
			for _, n := range s.nodes {
				for _, m := range n.machine.ill {
					switch m.State {
					case Failed:
						failures++
					case Unreachable:
						unreachable++
					}
				}
			}
		}
		mean, largest := s.meanAndMaxBytes()
		t.Logf("%3d routers, 10%% loss, %d s: member-seconds seen as failed %d, as unreachable %d (share %.5f); bytes per node per second: mean %d, largest %d",
			size, lossSeconds, failures, unreachable, float64(unreachable)/float64(lossSeconds*size*size), mean/lossSeconds, largest/lossSeconds)
		must.Eq(t, 0, failures)
		must.Less(t, 15_000, largest/lossSeconds)
	}
}

// Guards against halves of a partition that never find each other again.
func TestPartitionHeals(t *testing.T) {
	for _, size := range sizes {
		if size > 100 && !largeFleets {
			continue
		}
		s := newSim(t, size, 0)
		s.run(60, s.converged)
		half := map[*node]bool{}
		for i, n := range s.nodes {
			half[n] = i%3 == 0
		}
		s.cut = func(a, b *node) bool { return half[a] != half[b] }
		s.run(60, nil)
		must.Eq(t, Failed, s.nodes[0].state(s.nodes[1].machine.Self().Instance))
		must.Eq(t, Alive, s.nodes[0].state(s.nodes[3].machine.Self().Instance))
		s.cut = nil
		s.resetBytes()
		healed := s.run(120, s.converged)
		_, largest := s.meanAndMaxBytes()
		t.Logf("%3d routers: views agree %d s after a partition of 60 s heals; largest bytes per node per second %d", size, healed, largest/max(healed, 1))
		must.Less(t, 60, healed)
	}
}

// Guards against a paused router that stays failed after it wakes, or that declares the others failed.
func TestFreezeAndWake(t *testing.T) {
	s := newSim(t, 64, 0)
	s.run(60, s.converged)
	sleeper := s.nodes[5]
	instance := sleeper.machine.Self().Instance
	// The sleeper has just found a router unreachable when it freezes.
	other := sleeper.machine.members[s.nodes[6].machine.Self().Instance]
	sleeper.machine.accuse(s.now, other)
	sleeper.frozen = true
	s.run(60, nil)
	must.True(t, s.allSee(instance, Failed))
	sleeper.frozen = false
	woke := s.run(60, func() bool {
		must.NotEq(t, Failed, sleeper.state(other.Instance))
		return s.converged()
	})
	t.Logf("views agree %d s after a router wakes", woke)
	must.Less(t, 60, woke)
}

// Guards against an old instance that stays in the view after its VM runs a new one, and against the reverse.
func TestSuperseded(t *testing.T) {
	s := newSim(t, 8, 0)
	s.run(60, s.converged)
	old := s.nodes[3]
	old.dead = true
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, n.addr)
	}
	renewed := s.add(3, seeds, NewInstanceAfter(old.machine.Self().Instance, "entry-003", s.now))
	rounds := s.run(30, s.converged)
	must.Less(t, 10, rounds)
	must.True(t, s.allSee(old.machine.Self().Instance, Failed, ""))
	// A router with an old view passes on the old instance; the new one keeps its place.
	s.nodes[0].machine.merge(s.now, []Update{{Member: old.machine.Self(), Incarnation: 99}})
	must.NotEq(t, Alive, s.nodes[0].state(old.machine.Self().Instance))
	// The old process was only paused: it learns that it is superseded.
	old.machine.merge(s.now, []Update{{Member: renewed.machine.Self(), Incarnation: 1}})
	must.Eq(t, renewed.machine.Self().Instance, old.machine.SupersededBy())
	old.machine.ReplaceInstance(NewInstanceAfter(old.machine.SupersededBy(), "entry-003", s.now))
	must.Eq(t, "", old.machine.SupersededBy())
}

// Guards against a leaving router that is shown as alive, and against a wait of 10 s when the VM is known to be gone.
func TestLeavingAndGone(t *testing.T) {
	s := newSim(t, 8, 0)
	s.run(60, s.converged)
	leaver := s.nodes[2]
	instance := leaver.machine.Self().Instance
	leaver.machine.Leave()
	must.Less(t, 10, s.run(30, func() bool { return s.allSee(instance, Leaving) }))
	for _, n := range s.nodes {
		n.machine.SetRemovedVMs(map[string]bool{"entry-002": true})
	}
	s.run(20, nil)
	must.True(t, s.allSee(instance, Leaving))
	leaver.dead = true
	must.Less(t, 10, s.run(30, func() bool { return s.allSee(instance, Failed) }))
	s.run(int(forgetAfter/time.Second)+60, func() bool { return s.allSee(instance, "") })
	must.True(t, s.allSee(instance, ""))
}
