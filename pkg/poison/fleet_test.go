package poison

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/member"
)

// fleet is a number of guards that call each other in memory, in front of endpoints e0, e1, ...
type fleet struct {
	mu      sync.Mutex
	guards  []*Guard
	members []member.Member
	// cut reports whether two routers can't reach each other.
	cut     func(a, b int) bool
	vms     int
	running map[string][]*run
	crashes int
	// shared counts the times at which two suspects ran at one VM.
	shared int
}

type run struct {
	router  int
	request Fingerprint
	suspect bool
	began   time.Time
	ended   chan struct{}
	crashed bool
}

// node is a fleet as one router sees it.
type node struct {
	*fleet
	index int
}

func (n node) Self() member.Member      { return n.members[n.index] }
func (n node) Members() []member.Member { return n.members }

// call runs the call at the other guard if it can be reached.
func (n node) call(m member.Member, call func(g *Guard)) error {
	var to int
	_, _ = fmt.Sscanf(m.Instance, "r%d", &to)
	n.mu.Lock()
	cut := n.cut != nil && n.cut(n.index, to)
	n.mu.Unlock()
	if cut {
		return errors.New("unreachable")
	}
	call(n.guards[to])
	return nil
}

func (n node) SendRecords(_ context.Context, m member.Member, records []Record) error {
	return n.call(m, func(g *Guard) { g.Receive(records) })
}

func (n node) Reserve(_ context.Context, m member.Member, key string, a Attempt) (granted bool, err error) {
	err = n.call(m, func(g *Guard) { granted = g.Grant(key, a) })
	return granted, err
}

func (n node) Release(_ context.Context, m member.Member, key string, a Attempt) error {
	return n.call(m, func(g *Guard) { g.Revoke(key, a) })
}

func newFleet(t *testing.T, routers, vms int) *fleet {
	f := &fleet{vms: vms, running: map[string][]*run{}}
	for i := range routers {
		f.members = append(f.members, member.Member{Instance: fmt.Sprintf("r%d", i), State: member.Alive})
	}
	for i := range routers {
		f.guards = append(f.guards, NewGuard(node{f, i}, node{f, i}))
	}
	for _, g := range f.guards {
		go g.Run(t.Context())
	}
	return f
}

// begin starts the request at the first VM from the given one that its status allows, and returns nil if it is
// stopped or no VM is allowed.
func (f *fleet) begin(router, vm int, request Fingerprint) (r *run, name string, release func()) {
	g := f.guards[router]
	status := g.Status(request)
	if status == Stopped {
		return nil, "", nil
	}
	release = func() {}
	for i := range f.vms {
		name = fmt.Sprintf("e%d", (vm+i)%f.vms)
		if status == Clear {
			break
		}
		undo, ok := g.Isolate(context.Background(), request, name)
		if ok {
			release = undo
			break
		}
		if i == f.vms-1 {
			return nil, "", nil
		}
	}
	r = &run{router: router, request: request, suspect: status == Suspect, began: time.Now(), ended: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.running[name] {
		if other.suspect && r.suspect {
			f.shared++
		}
	}
	f.running[name] = append(f.running[name], r)
	return r, name, release
}

// crash ends all runs at the VM. Each router reports its own ones.
func (f *fleet) crash(vm string) {
	f.mu.Lock()
	runs := f.running[vm]
	delete(f.running, vm)
	f.crashes++
	byRouter := map[int][]Fingerprint{}
	began := map[int]time.Time{}
	for _, r := range runs {
		r.crashed = true
		byRouter[r.router] = append(byRouter[r.router], r.request)
		if first, ok := began[r.router]; !ok || r.began.Before(first) {
			began[r.router] = r.began
		}
	}
	f.mu.Unlock()
	for router, requests := range byRouter {
		f.guards[router].ReportCrash(context.Background(), vm, began[router], requests)
	}
	for _, r := range runs {
		close(r.ended)
	}
}

// send runs the culprit, which crashes its endpoint after two seconds, until it is stopped.
func (f *fleet) send(router, vm int, culprit Fingerprint) {
	for f.guards[router].Status(culprit) != Stopped {
		r, name, release := f.begin(router, vm, culprit)
		time.Sleep(2 * time.Second)
		if r == nil {
			continue
		}
		f.mu.Lock()
		crashed := r.crashed
		f.mu.Unlock()
		if !crashed {
			f.crash(name)
		}
		release()
	}
}

var (
	culprit = Fingerprint{Organisation: "o", BodyHash: 1}
	other   = Fingerprint{Organisation: "o", BodyHash: 2}
)

// Guards against a request that crashes a third endpoint when it is sent again through other routers.
func TestRetriesCrashAtMostTwoEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		for router := range f.guards {
			if r, vm, release := f.begin(router, router, culprit); r != nil {
				f.crash(vm)
				release()
			}
		}
		must.Eq(t, 2, f.crashes)
		for _, g := range f.guards {
			must.Eq(t, Stopped, g.Status(culprit))
		}
	})
}

// Guards against a request that is stopped because it shared endpoints with the culprit, through any routers.
func TestBystandersAreNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		bystander := func(i int) Fingerprint { return Fingerprint{Organisation: "o", BodyHash: uint64(100 + i)} }
		for i := range 8 {
			_, _, _ = f.begin(i, 0, bystander(i))
		}
		_, vm, _ := f.begin(0, 0, culprit)
		f.crash(vm)
		var releases []func()
		for i := range 8 {
			r, _, release := f.begin(i, 0, bystander(i))
			must.NotNil(t, r)
			releases = append(releases, release)
		}
		_, vm, release := f.begin(5, 0, culprit)
		_, _, _ = f.begin(6, 8, other)
		f.crash(vm)
		release()
		must.Zero(t, f.shared)
		must.Eq(t, Stopped, f.guards[3].Status(culprit))
		for i, g := range f.guards {
			must.Eq(t, Suspect, g.Status(bystander(i)))
			g.ReportCompleted(bystander(i))
			releases[i]()
		}
		time.Sleep(3 * maintainEvery)
		for i := range f.guards {
			must.Eq(t, Clear, f.guards[0].Status(bystander(i)))
		}
	})
}

// Guards against more crashes than documented when copies are sent at once: k copies crash at most k+1 endpoints.
func TestConcurrentCopies(t *testing.T) {
	for _, copies := range []int{2, 5} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8, 12)
			var all sync.WaitGroup
			for i := range copies {
				all.Go(func() {
					time.Sleep(time.Duration(i) * 300 * time.Millisecond)
					f.send(i, i, culprit)
				})
			}
			all.Wait()
			t.Logf("%d copies crashed %d endpoints", copies, f.crashes)
			must.Between(t, 2, f.crashes, copies+1)
		})
	}
}

// Guards against copies of a known suspect that run at the same time through several routers.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		_, vm, release := f.begin(0, 0, culprit)
		f.crash(vm)
		release()
		var all sync.WaitGroup
		for i := range 5 {
			all.Go(func() { f.send(i, i, culprit) })
		}
		all.Wait()
		must.Eq(t, 2, f.crashes)
	})
}

// Guards against records that stay on one side of a partition after it has ended, and against more than two
// crashes per side.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 12)
		f.cut = func(a, b int) bool { return a/3 != b/3 }
		f.send(0, 0, culprit)
		must.Eq(t, 2, f.crashes)
		must.Eq(t, Clear, f.guards[4].Status(culprit))
		f.send(4, 6, culprit)
		must.Eq(t, 4, f.crashes)
		f.send(1, 2, other)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(3 * maintainEvery)
		for _, g := range f.guards {
			must.Eq(t, Stopped, g.Status(culprit))
			must.Eq(t, Stopped, g.Status(other))
		}
	})
}

// Guards against values that are lost on the way between routers.
func TestCallsOverHTTP(t *testing.T) {
	f := newFleet(t, 1, 1)
	_, handler := f.guards[0].Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	to := member.Member{PeerAddress: server.Listener.Addr().String()}
	client := NewPeers(server.Client())
	now := time.Now().Truncate(time.Millisecond)
	record := Record{Fingerprint: culprit, Cleared: now.Add(-time.Second), Crashes: []Crash{{VM: "e0", Observer: "r1", At: now}}}
	must.NoError(t, client.SendRecords(t.Context(), to, []Record{record}))
	must.Eq(t, Suspect, f.guards[0].Status(culprit))
	must.Eq(t, []Record{record}, f.guards[0].records.Records())
	for _, step := range []struct {
		attempt uint64
		granted bool
	}{{1, true}, {1, true}, {2, false}} {
		granted, err := client.Reserve(t.Context(), to, "vm/e0", Attempt{Holder: "r1", Number: step.attempt})
		must.NoError(t, err)
		must.Eq(t, step.granted, granted)
	}
	must.NoError(t, client.Release(t.Context(), to, "vm/e0", Attempt{Holder: "r1", Number: 1}))
	granted, err := client.Reserve(t.Context(), to, "vm/e0", Attempt{Holder: "r1", Number: 2})
	must.NoError(t, err)
	must.True(t, granted)
}

// Guards against blaming requests for a VM that another request had crashed before they were sent there: it accepts
// connections and closes them. A VM that has served again counts.
func TestDeadVMBlamesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		ctx := t.Context()
		sent := time.Now()
		time.Sleep(time.Second)
		f.guards[0].ReportCrash(ctx, "e1", sent, []Fingerprint{culprit})
		for _, g := range f.guards {
			time.Sleep(5 * time.Second)
			g.ReportCrash(ctx, "e1", time.Now(), []Fingerprint{other})
			must.Eq(t, Clear, g.Status(other))
			_, ok := g.Isolate(ctx, culprit, "e1")
			must.False(t, ok)
		}
		f.guards[1].ReportServed("e1")
		sent = time.Now()
		time.Sleep(time.Second)
		f.guards[1].ReportCrash(ctx, "e1", sent, []Fingerprint{culprit})
		must.Eq(t, Stopped, f.guards[0].Status(culprit))
	})
}
