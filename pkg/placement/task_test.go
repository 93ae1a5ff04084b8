package placement

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/lease"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func runInBubble(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		test(t, w)
		for _, e := range w.engines {
			e.Close()
		}
	})
}

// Guards against a model that has no endpoint after a leaving mark or after its new engine restarts, requests to an
// engine that has not finished loading, a second load after a lost response, and a decision that is not logged.
func TestModelMovesFromLeavingEndpoint(t *testing.T) {
	for _, loseResponse := range []bool{false, true} {
		runInBubble(t, func(t *testing.T, w *world) {
			w.addEngine("e1", platform.FencingEnforced, 1, "m")
			w.addEngine("e2", platform.FencingEnforced, 2, "x")
			r := w.addRouter("a")
			r.loseResponse = loseResponse
			w.runRounds(3, r)
			must.MapLen(t, 0, r.options.Config.Placements())
			w.setLeavingMark("e1", true, r)
			for range 8 {
				w.runRounds(1, r)
				status, err := r.Status("e2")
				must.NoError(t, err)
				must.False(t, len(r.servingEngines("m")) > 0 && !status.serves("m", "1"))
			}
			must.Eq(t, []string{"e2"}, r.servingEngines("m"))
			must.Eq(t, 1, w.loadCounts().total)
			must.Eq(t, []string{"m [e2=0] -> e2: engine has room"}, r.decisionLog())

			w.setLeavingMark("e2", true, r)
			w.setLeavingMark("e1", false, r)
			w.engines["e2"].Restart()
			w.runRounds(3, r)
			must.Eq(t, []string{"e1"}, r.servingEngines("m"))
			must.Eq(t, 1, w.loadCounts().total)
			w.vms = w.vms[1:]
			w.setLeavingMark("e2", false, r)
			w.runRounds(8, r)
			must.Len(t, 0, r.servingEngines("m"), must.Sprint("the choice was dropped while e1 served the model"))
		})
	}
}

// Guards against a model that is not loaded again when the only engine that had it restarts without it.
func TestEngineRestarts(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *world) {
		w.addEngine("e1", platform.FencingEnforced, 1, "m")
		w.addEngine("e2", platform.FencingEnforced, 2, "x")
		r := w.addRouter("a")
		w.setLeavingMark("e1", true, r)
		w.runRounds(10, r)
		must.Eq(t, []string{"e2"}, r.servingEngines("m"))
		w.vms = w.vms[1:]
		w.engines["e2"].Restart()
		w.runRounds(1, r)
		must.Len(t, 0, r.servingEngines("m"))
		w.runRounds(8, r)
		must.Eq(t, []string{"e2"}, r.servingEngines("m"))
		must.Eq(t, 2, w.loadCounts().total)
	})
}

// Guards against a paused holder that sends an order after another router took the lease: the order must not displace a
// model in use. An engine that enforces fencing refuses the order; at an engine that ignores fencing, room is kept for
// it. A holder that was paused before its last check of the lease sends no order.
func TestPausedHolderDisplacesNoUsedModel(t *testing.T) {
	for _, fencing := range []platform.Fencing{platform.FencingEnforced, platform.FencingIgnored} {
		for _, pauseAt := range []string{"", "e2"} {
			runInBubble(t, func(t *testing.T, w *world) { testPausedHolder(t, w, fencing, pauseAt) })
		}
	}
}

func testPausedHolder(t *testing.T, w *world, fencing platform.Fencing, pauseAt string) {
	w.addEngine("e1", fencing, 1, "m")
	w.addEngine("e2", fencing, 2, "x")
	w.addEngine("e3", fencing, 1, "n")
	a, b := w.addRouter("a"), w.addRouter("b")
	w.runRounds(1, a)
	w.setLeavingMark("e1", true, a, b)
	w.runRounds(1, a)
	resume := make(chan struct{})
	a.resume, a.atPause, a.pauseAt = resume, make(chan struct{}), pauseAt
	if fencing == platform.FencingEnforced {
		must.NoError(t, a.SendFencing("e2", engine.InitialRole, a.fencing))
	}
	finished := make(chan struct{})
	go func() { a.runRound(t.Context()); close(finished) }()
	<-a.atPause
	w.runRounds(1, b)
	w.setLeavingMark("e1", false, b)
	w.setLeavingMark("e3", true, b)
	w.runRounds(40, b)
	_, held := b.lease.Valid(time.Now())
	must.True(t, held)
	must.Eq(t, []string{"a@1-0"}, b.lease.PreviousHolders())

	close(resume)
	<-finished
	w.runRounds(20, a, b)
	must.Len(t, 0, b.lease.PreviousHolders())
	want, refused := []string{"x", "n"}, 0
	if pauseAt == "" && fencing == platform.FencingEnforced {
		refused = 1
	} else if pauseAt == "" {
		want = []string{"x", "m"}
	}
	must.Eq(t, want, w.loadedModels("e2"), must.Sprintf("%s, paused at %q", fencing, pauseAt))
	must.Eq(t, refused, a.refused)
	if fencing == platform.FencingIgnored {
		must.SliceContains(t, b.decisionLog(), "n [] -> : "+ReasonPreviousHolder)
	}
}

// Guards against waiting for ever for a previous holder that sends no more orders because its VM is gone and its member
// state is failed, and against taking one of the two as sufficient.
func TestPreviousHolderIsTerminated(t *testing.T) {
	for _, failedFirst := range []bool{true, false} {
		runInBubble(t, func(t *testing.T, w *world) {
			w.addEngine("e1", platform.FencingIgnored, 1, "m")
			w.addEngine("e2", platform.FencingIgnored, 2, "x")
			a, b := w.addRouter("a"), w.addRouter("b")
			w.runRounds(2, a, b)
			w.setLeavingMark("e1", true, b)
			w.runRounds(30, b)
			must.Eq(t, []string{"x"}, w.loadedModels("e2"))
			signals := []func(){func() { w.members[0].State = member.Failed }, func() { w.vms[2].State = platform.VMGone }}
			if !failedFirst {
				slices.Reverse(signals)
			}
			signals[0]()
			w.runRounds(30, b)
			must.Eq(t, []string{"x"}, w.loadedModels("e2"))
			signals[1]()
			w.runRounds(15, b)
			must.Eq(t, []string{"e2"}, b.servingEngines("m"))
		})
	}
}

// Guards against an order from a holder whose lease expired after it made its plan.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *world) {
		r := w.addRouter("a")
		w.runRounds(2, r)
		sent := 0
		count := func(uint64) error { sent++; return nil }
		r.Task.sendOrder("e1", "order", count)
		must.Eq(t, 1, sent)
		time.Sleep(lease.TTL)
		r.Task.sendOrder("e1", "order", count)
		must.Eq(t, 1, sent)
	})
}

// Guards against more concurrent loads than Options.MaxLoads, which protects the weight store, also when another router
// takes the lease during loads.
func TestWeightStoreLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T, w *world) {
		w.addEngine("e1", platform.FencingEnforced, 6, "m0", "m1", "m2", "m3", "m4", "m5")
		for i := range 4 {
			w.addEngine(fmt.Sprintf("f%d", i), platform.FencingEnforced, 3, "x")
		}
		a, b := w.addRouter("a"), w.addRouter("b")
		w.setLeavingMark("e1", true, a, b)
		w.runRounds(4, a, b)
		must.Eq(t, counts{loads: 2, maxLoads: 2, total: 2}, w.loadCounts())
		must.NoError(t, a.lease.Release(t.Context()))
		w.runRounds(60, b)
		must.Eq(t, counts{maxLoads: 2, total: 6}, w.loadCounts())
		for i := range 6 {
			must.Len(t, 1, b.servingEngines(fmt.Sprintf("m%d", i)))
		}
	})
}

// Guards against a rate of platform calls that grows with the number of routers.
func TestPlatformCallsPerSecond(t *testing.T) {
	calls := map[int]uint64{}
	for _, routers := range []int{8, 370} {
		runInBubble(t, func(t *testing.T, w *world) {
			all := make([]*router, routers)
			for i := range all {
				all[i] = w.addRouter(fmt.Sprintf("r%d", i))
			}
			w.runRounds(10, all...)
			before := w.store.Counters()
			w.runRounds(50, all...)
			after := w.store.Counters()
			calls[routers] = after.Reads + after.Writes + after.Lists + after.Polls - before.Reads - before.Writes - before.Lists - before.Polls
		})
	}
	t.Logf("platform calls in 50 s: %v", calls)
	must.LessEq(t, 50, calls[8])
	must.LessEq(t, calls[8]+calls[8]/4, calls[370])
}
