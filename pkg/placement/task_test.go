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

func bubble(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		test(t, w)
		for _, e := range w.engines {
			e.Close()
		}
	})
}

// Guards against a model without an endpoint after a leaving mark, requests for a model that is not loaded yet, a
// second load after a lost answer, a model that is lost when its new engine restarts, and a decision without a log line.
func TestLastEndpointLeaves(t *testing.T) {
	for _, lost := range []bool{false, true} {
		bubble(t, func(t *testing.T, w *world) {
			w.engine("e1", platform.FencingEnforced, 1, "m")
			w.engine("e2", platform.FencingEnforced, 2, "x")
			r := w.router("a")
			r.loseAnswer = lost
			w.rounds(3, r)
			must.MapLen(t, 0, r.options.Config.Placements())
			w.mark("e1", true, r)
			for range 8 {
				w.rounds(1, r)
				status, err := r.Status("e2")
				must.NoError(t, err)
				must.False(t, len(r.served("m")) > 0 && !status.serves("m", "1"))
			}
			must.Eq(t, []string{"e2"}, r.served("m"))
			must.Eq(t, 1, w.weights().total)
			must.Eq(t, []string{"m [e2=0] -> e2: engine has room"}, r.decisions())

			w.mark("e2", true, r)
			w.mark("e1", false, r)
			w.engines["e2"].Restart()
			w.rounds(3, r)
			must.Eq(t, []string{"e1"}, r.served("m"))
			must.Eq(t, 1, w.weights().total)
			w.vms = w.vms[1:]
			w.mark("e2", false, r)
			w.rounds(8, r)
			must.Len(t, 0, r.served("m"), must.Sprint("the choice was dropped while e1 served the model"))
		})
	}
}

// Guards against a model that is forgotten when the only engine that has it restarts without it.
func TestEngineRestarts(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		w.engine("e1", platform.FencingEnforced, 1, "m")
		w.engine("e2", platform.FencingEnforced, 2, "x")
		r := w.router("a")
		w.mark("e1", true, r)
		w.rounds(10, r)
		must.Eq(t, []string{"e2"}, r.served("m"))
		w.vms = w.vms[1:]
		w.engines["e2"].Restart()
		w.rounds(1, r)
		must.Len(t, 0, r.served("m"))
		w.rounds(8, r)
		must.Eq(t, []string{"e2"}, r.served("m"))
		must.Eq(t, 2, w.weights().total)
	})
}

// Guards against harm by an order that a paused holder gives after another one took over: it must not displace
// a model in use. An engine that enforces fencing refuses it; at one that ignores it, room is kept for it. A holder
// that was paused before its last check of the lease gives no order.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	for _, fencing := range []platform.Fencing{platform.FencingEnforced, platform.FencingIgnored} {
		for _, pauseAt := range []string{"", "e2"} {
			bubble(t, func(t *testing.T, w *world) { pausedHolder(t, w, fencing, pauseAt) })
		}
	}
}

func pausedHolder(t *testing.T, w *world, fencing platform.Fencing, pauseAt string) {
	w.engine("e1", fencing, 1, "m")
	w.engine("e2", fencing, 2, "x")
	w.engine("e3", fencing, 1, "n")
	a, b := w.router("a"), w.router("b")
	w.rounds(1, a)
	w.mark("e1", true, a, b)
	w.rounds(1, a)
	pause := make(chan struct{})
	a.paused, a.arrived, a.pauseAt = pause, make(chan struct{}), pauseAt
	if fencing == platform.FencingEnforced {
		must.NoError(t, a.Introduce("e2", engine.InitialRole, a.fencing))
	}
	awake := make(chan struct{})
	go func() { a.round(t.Context()); close(awake) }()
	<-a.arrived
	w.rounds(1, b)
	w.mark("e1", false, b)
	w.mark("e3", true, b)
	w.rounds(40, b)
	_, held := b.lease.Valid(time.Now())
	must.True(t, held)
	must.Eq(t, []string{"a@1-0"}, b.lease.PreviousHolders())

	close(pause)
	<-awake
	w.rounds(20, a, b)
	must.Len(t, 0, b.lease.PreviousHolders())
	want, refused := []string{"x", "n"}, 0
	if pauseAt == "" && fencing == platform.FencingEnforced {
		refused = 1
	} else if pauseAt == "" {
		want = []string{"x", "m"}
	}
	must.Eq(t, want, w.models("e2"), must.Sprintf("%s, paused at %q", fencing, pauseAt))
	must.Eq(t, refused, a.refused)
	if fencing == platform.FencingIgnored {
		must.SliceContains(t, b.decisions(), "n [] -> : "+ReasonPreviousHolder)
	}
}

// Guards against a wait that never ends: a previous holder whose VM is gone and whose member state is failed gives no
// orders. One of the two is not enough.
func TestFormerHolderIsGone(t *testing.T) {
	for _, failedFirst := range []bool{true, false} {
		bubble(t, func(t *testing.T, w *world) {
			w.engine("e1", platform.FencingIgnored, 1, "m")
			w.engine("e2", platform.FencingIgnored, 2, "x")
			a, b := w.router("a"), w.router("b")
			w.rounds(2, a, b)
			w.mark("e1", true, b)
			w.rounds(30, b)
			must.Eq(t, []string{"x"}, w.models("e2"))
			evidence := []func(){func() { w.members[0].State = member.Failed }, func() { w.vms[2].State = platform.VMGone }}
			if !failedFirst {
				slices.Reverse(evidence)
			}
			evidence[0]()
			w.rounds(30, b)
			must.Eq(t, []string{"x"}, w.models("e2"))
			evidence[1]()
			w.rounds(15, b)
			must.Eq(t, []string{"e2"}, b.served("m"))
		})
	}
}

// Guards against an order by a holder whose lease has run out since it made its plan.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		r := w.router("a")
		w.rounds(2, r)
		given := 0
		count := func(uint64) error { given++; return nil }
		r.Task.give("e1", "order", count)
		must.Eq(t, 1, given)
		time.Sleep(lease.TTL)
		r.Task.give("e1", "order", count)
		must.Eq(t, 1, given)
	})
}

// Guards against more loads at once than the weight store's rate allows, also across a change of the holder.
func TestWeightStoreLimit(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		w.engine("e1", platform.FencingEnforced, 6, "m0", "m1", "m2", "m3", "m4", "m5")
		for i := range 4 {
			w.engine(fmt.Sprintf("f%d", i), platform.FencingEnforced, 3, "x")
		}
		a, b := w.router("a"), w.router("b")
		w.mark("e1", true, a, b)
		w.rounds(4, a, b)
		must.Eq(t, counts{loads: 2, most: 2, total: 2}, w.weights())
		must.NoError(t, a.lease.Release(t.Context()))
		w.rounds(60, b)
		must.Eq(t, counts{most: 2, total: 6}, w.weights())
		for i := range 6 {
			must.Len(t, 1, b.served(fmt.Sprintf("m%d", i)))
		}
	})
}

// Guards against platform calls that grow with the number of routers.
func TestPlatformCallsPerSecond(t *testing.T) {
	calls := map[int]uint64{}
	for _, routers := range []int{8, 370} {
		bubble(t, func(t *testing.T, w *world) {
			all := make([]*router, routers)
			for i := range all {
				all[i] = w.router(fmt.Sprintf("r%d", i))
			}
			w.rounds(10, all...)
			before := w.store.Counters()
			w.rounds(50, all...)
			after := w.store.Counters()
			calls[routers] = after.Reads + after.Writes + after.Lists + after.Polls - before.Reads - before.Writes - before.Lists - before.Polls
		})
	}
	t.Logf("platform calls in 50 s: %v", calls)
	must.LessEq(t, 50, calls[8])
	must.LessEq(t, calls[8]+calls[8]/4, calls[370])
}
