package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var fleetSizes = []int{8, 64, 370}

// lossSeconds is the virtual time during which the test with message loss counts states.
const lossSeconds = 90

// Guards against routers that do not discover all others after a start, against slow detection of a crashed router, and
// against traffic per router that grows with the fleet.
func TestDetectionAndTraffic(t *testing.T) {
	for _, size := range fleetSizes {
		s := newSim(t, size, 0)
		joinSeconds := s.run(30, s.hasConverged)
		must.Less(t, 30, joinSeconds)
		s.run(60, nil)
		s.resetBytes()
		s.run(60, nil)
		mean, largest := s.meanAndMaxBytes()
		crashedNode := s.nodes[size/2]
		crashedNode.crashed = true
		instance := crashedNode.machine.Self().Instance
		s.resetBytes()
		unreachable := s.run(30, func() bool { return s.allHaveState(instance, Unreachable, Failed) })
		failed := unreachable + s.run(30, func() bool { return s.allHaveState(instance, Failed) })
		_, burst := s.meanAndMaxBytes()
		t.Logf("%3d routers: joined after %d s; crashed router unreachable everywhere after %d rounds, failed after %d; bytes per node per second: mean %d, largest %d; during detection %d",
			size, joinSeconds, unreachable, failed, mean/60, largest/60, burst/max(failed, 1))
		must.LessEq(t, 20, unreachable)
		must.LessEq(t, 30, failed)
		must.Less(t, 10_000, largest/60)
		must.Less(t, 20_000, burst/failed)
	}
}

// Guards against running routers that become failed in the view of others because 10% of the messages are lost.
func TestMessageLossCausesNoFailures(t *testing.T) {
	for _, size := range fleetSizes {
		if size > 100 && !testLargeFleets {
			continue
		}
		s := newSim(t, size, 0.1)
		s.run(60, s.hasConverged)
		s.resetBytes()
		failures, unreachable := 0, 0
		for range lossSeconds {
			s.run(1, nil)
			for _, n := range s.nodes {
				for _, m := range n.machine.unhealthy {
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

// Guards against two sides of a partition that do not rejoin after it heals, because each sees the other as failed and
// no longer probes it.
func TestPartitionHeals(t *testing.T) {
	for _, size := range fleetSizes {
		if size > 100 && !testLargeFleets {
			continue
		}
		s := newSim(t, size, 0)
		s.run(60, s.hasConverged)
		inMinority := map[*node]bool{}
		for i, n := range s.nodes {
			inMinority[n] = i%3 == 0
		}
		s.isPartitioned = func(a, b *node) bool { return inMinority[a] != inMinority[b] }
		s.run(60, nil)
		must.Eq(t, Failed, s.nodes[0].state(s.nodes[1].machine.Self().Instance))
		must.Eq(t, Alive, s.nodes[0].state(s.nodes[3].machine.Self().Instance))
		s.isPartitioned = nil
		s.resetBytes()
		healSeconds := s.run(120, s.hasConverged)
		_, largest := s.meanAndMaxBytes()
		t.Logf("%3d routers: views agree %d s after a partition of 60 s heals; largest bytes per node per second %d", size, healSeconds, largest/max(healSeconds, 1))
		must.Less(t, 60, healSeconds)
	}
}

// Guards against a paused router that stays failed in the views of the others after it resumes, and against one that
// sets others to failed because it received no refutation during its pause.
func TestPausedRouterRejoins(t *testing.T) {
	s := newSim(t, 64, 0)
	s.run(60, s.hasConverged)
	pausedNode := s.nodes[5]
	instance := pausedNode.machine.Self().Instance
	// The node has just found another router unreachable when it is paused.
	other := pausedNode.machine.members[s.nodes[6].machine.Self().Instance]
	pausedNode.machine.markUnreachable(s.now, other)
	pausedNode.paused = true
	s.run(60, nil)
	must.True(t, s.allHaveState(instance, Failed))
	pausedNode.paused = false
	seconds := s.run(60, func() bool {
		must.NotEq(t, Failed, pausedNode.state(other.Instance))
		return s.hasConverged()
	})
	t.Logf("views agree %d s after a paused router resumes", seconds)
	must.Less(t, 60, seconds)
}

// Guards against an old instance that stays alive in the views after a new one was started on its VM, and against a
// late update of the old instance that replaces the new one.
func TestNewInstanceSupersedesOld(t *testing.T) {
	s := newSim(t, 8, 0)
	s.run(60, s.hasConverged)
	old := s.nodes[3]
	old.crashed = true
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, n.addr)
	}
	replacement := s.add(3, seeds, NewInstanceAfter(old.machine.Self().Instance, "entry-003", s.now))
	rounds := s.run(30, s.hasConverged)
	must.Less(t, 10, rounds)
	must.True(t, s.allHaveState(old.machine.Self().Instance, Failed, ""))
	// A router with an outdated view sends the old instance as alive; the new instance still supersedes it.
	s.nodes[0].machine.merge(s.now, []Update{{Member: old.machine.Self(), Incarnation: 99}})
	must.NotEq(t, Alive, s.nodes[0].state(old.machine.Self().Instance))
	// If the old process was only paused, an update of the new instance marks it as superseded.
	old.machine.merge(s.now, []Update{{Member: replacement.machine.Self(), Incarnation: 1}})
	must.Eq(t, replacement.machine.Self().Instance, old.machine.SupersededBy())
	old.machine.ReplaceInstance(NewInstanceAfter(old.machine.SupersededBy(), "entry-003", s.now))
	must.Eq(t, "", old.machine.SupersededBy())
}

// Guards against a leaving router that stays alive in the views of others, against a router that becomes failed only
// because its VM is no longer listed, and against a wait of 10 s for an unreachable router on such a VM.
func TestLeavingAndRemovedVM(t *testing.T) {
	s := newSim(t, 8, 0)
	s.run(60, s.hasConverged)
	leavingNode := s.nodes[2]
	instance := leavingNode.machine.Self().Instance
	leavingNode.machine.Leave()
	must.Less(t, 10, s.run(30, func() bool { return s.allHaveState(instance, Leaving) }))
	for _, n := range s.nodes {
		n.machine.SetRemovedVMs(map[string]bool{"entry-002": true})
	}
	s.run(20, nil)
	must.True(t, s.allHaveState(instance, Leaving))
	leavingNode.crashed = true
	must.Less(t, 10, s.run(30, func() bool { return s.allHaveState(instance, Failed) }))
	s.run(int(failedRetention/time.Second)+60, func() bool { return s.allHaveState(instance, "") })
	must.True(t, s.allHaveState(instance, ""))
}
