package withdraw

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// fakeRouter has streams that end at a set time and grants that are returned once the streams have ended. Its first
// announcements fail.
type fakeRouter struct {
	mu               sync.Mutex
	streamsEndAt     time.Time
	grants           int
	leaving          bool
	announceFailures int
}

func (r *fakeRouter) Announce(_ context.Context, leaving bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announceFailures--; r.announceFailures >= 0 {
		return errors.New("no peer")
	}
	r.leaving = leaving
	return nil
}

func (r *fakeRouter) ReturnGrants(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.streamsEndAt) {
		r.grants = 0
	}
	return nil
}

func (r *fakeRouter) Pending() []PendingWork {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []PendingWork
	if remaining := time.Until(r.streamsEndAt); remaining > 0 {
		all = append(all, PendingWork{Name: "streams", Count: 2, Remaining: remaining})
	}
	if r.grants > 0 {
		all = append(all, PendingWork{Name: "grants", Count: r.grants})
	}
	return all
}

// announcedState returns whether the router has announced that it is leaving, and the number of grants.
func (r *fakeRouter) announcedState() (leaving bool, grants int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving, r.grants
}

func (r *fakeRouter) isLeaving() bool {
	leaving, _ := r.announcedState()
	return leaving
}

// start returns a withdrawal that runs until the end of the test.
func start(t *testing.T, router *fakeRouter) *Withdrawal {
	w, err := New(Options{VM: "entry-a1", Router: router, AddressTTL: 5 * time.Second, Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-finished })
	return w
}

// Guards against a withdrawal that interrupts streams, stops serving while callers may still use its address, keeps
// grants, or ends early because of a second signal.
func TestWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &fakeRouter{streamsEndAt: time.Now().Add(time.Minute), grants: 3, announceFailures: 2}
		w := start(t, router)
		_, withdrawing := w.Progress()
		must.False(t, withdrawing)
		must.True(t, w.IsListed())
		begunAt := time.Now()
		w.Begin(time.Time{})
		must.False(t, w.IsListed())
		time.Sleep(time.Second)
		must.True(t, router.isLeaving())
		must.Eq(t, StateLameDuck, w.State())
		must.True(t, w.AcceptsNew())
		time.Sleep(6 * time.Second)
		must.True(t, w.AcceptsNew())
		time.Sleep(3 * time.Second)
		must.Eq(t, StateDraining, w.State())
		must.False(t, w.AcceptsNew())
		w.Begin(begunAt.Add(90 * time.Second))
		p, withdrawing := w.Progress()
		must.True(t, withdrawing)
		must.Eq(t, []string{"2 streams", "3 grants"}, p.Awaited)
		must.Eq(t, 50*time.Second, p.Remaining)
		must.Eq(t, begunAt.Add(90*time.Second), p.Deadline)
		must.False(t, w.Cancel())
		<-w.Done()
		must.GreaterEq(t, time.Minute, time.Since(begunAt))
		_, grants := router.announcedState()
		must.Eq(t, 0, grants)
		must.Eq(t, StateStopped, w.State())
	})
}

// Guards against a withdrawal that can't be cancelled, and against a router that can't be withdrawn a second time.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &fakeRouter{}
		w := start(t, router)
		w.Begin(time.Time{})
		time.Sleep(2 * time.Second)
		must.True(t, w.Cancel())
		w.Begin(time.Time{})
		must.True(t, w.Cancel())
		time.Sleep(time.Minute)
		must.False(t, router.isLeaving())
		must.Eq(t, StateServing, w.State())
		w.Begin(time.Time{})
		time.Sleep(time.Minute)
		must.True(t, router.isLeaving())
		must.Eq(t, StateStopped, w.State())
	})
}

// Guards against a model or service that is not reported as losing its last endpoint, and against one that is reported
// although another endpoint remains.
func TestLastEndpointOf(t *testing.T) {
	vms := []platform.VM{
		{Name: "e1", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"a", "b"}},
		{Name: "e2", Role: platform.RoleEngine, State: platform.VMLive, Models: []string{"a"}},
		{Name: "e3", Role: platform.RoleEngine, State: platform.VMLeaving, Models: []string{"b"}},
		{Name: "s1", Role: platform.RoleService, State: platform.VMLive, Service: "rides"},
	}
	noneMarked := func(string) bool { return false }
	must.Eq(t, []string{"model b"}, LastEndpointOf("e1", vms, noneMarked))
	must.SliceEmpty(t, LastEndpointOf("e2", vms, noneMarked))
	must.Eq(t, []string{"service rides"}, LastEndpointOf("s1", vms, noneMarked))
	must.Eq(t, []string{"model a", "model b"}, LastEndpointOf("e1", vms, func(vm string) bool { return vm == "e2" }))
}
