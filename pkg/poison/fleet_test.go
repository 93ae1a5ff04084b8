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

// fleet is a set of guards that call each other in memory, in front of endpoint VMs e0, e1, ...
type fleet struct {
	mu      sync.Mutex
	guards  []*Guard
	members []member.Member
	// isPartitioned reports whether two routers can't reach each other; nil means that all can.
	isPartitioned func(a, b int) bool
	vmCount       int
	running       map[string][]*run
	crashes       int
	// suspectOverlaps counts how often a suspect was started at a VM that was running another suspect.
	suspectOverlaps int
}

type run struct {
	router    int
	request   Fingerprint
	suspect   bool
	startedAt time.Time
	ended     chan struct{}
	crashed   bool
}

// node is the member.View and Peers of one router of the fleet.
type node struct {
	*fleet
	index int
}

func (n node) Self() member.Member      { return n.members[n.index] }
func (n node) Members() []member.Member { return n.members }

// call runs the call on the guard of the member, or returns an error if it is partitioned from this router.
func (n node) call(m member.Member, call func(g *Guard)) error {
	var to int
	_, _ = fmt.Sscanf(m.Instance, "r%d", &to)
	n.mu.Lock()
	partitioned := n.isPartitioned != nil && n.isPartitioned(n.index, to)
	n.mu.Unlock()
	if partitioned {
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

func newFleet(t *testing.T, routers, vmCount int) *fleet {
	f := &fleet{vmCount: vmCount, running: map[string][]*run{}}
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

// startRun starts the request at the first VM, in order from the given one, at which its status allows it to run. It
// returns nil if the request is stopped or no VM allows it.
func (f *fleet) startRun(router, vm int, request Fingerprint) (r *run, name string, release func()) {
	g := f.guards[router]
	status := g.Status(request)
	if status == Stopped {
		return nil, "", nil
	}
	release = func() {}
	for i := range f.vmCount {
		name = fmt.Sprintf("e%d", (vm+i)%f.vmCount)
		if status == Clear {
			break
		}
		releaseSuspect, ok := g.Isolate(context.Background(), request, name)
		if ok {
			release = releaseSuspect
			break
		}
		if i == f.vmCount-1 {
			return nil, "", nil
		}
	}
	r = &run{router: router, request: request, suspect: status == Suspect, startedAt: time.Now(), ended: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.running[name] {
		if other.suspect && r.suspect {
			f.suspectOverlaps++
		}
	}
	f.running[name] = append(f.running[name], r)
	return r, name, release
}

// crashVM ends all runs at the VM. Each router reports its own runs.
func (f *fleet) crashVM(vm string) {
	f.mu.Lock()
	runs := f.running[vm]
	delete(f.running, vm)
	f.crashes++
	byRouter := map[int][]Fingerprint{}
	startedAt := map[int]time.Time{}
	for _, r := range runs {
		r.crashed = true
		byRouter[r.router] = append(byRouter[r.router], r.request)
		if first, ok := startedAt[r.router]; !ok || r.startedAt.Before(first) {
			startedAt[r.router] = r.startedAt
		}
	}
	f.mu.Unlock()
	for router, requests := range byRouter {
		f.guards[router].ReportCrash(context.Background(), vm, startedAt[router], requests)
	}
	for _, r := range runs {
		close(r.ended)
	}
}

// sendUntilStopped runs a request that crashes its endpoint after two seconds, again and again until it is stopped.
func (f *fleet) sendUntilStopped(router, vm int, request Fingerprint) {
	for f.guards[router].Status(request) != Stopped {
		r, name, release := f.startRun(router, vm, request)
		time.Sleep(2 * time.Second)
		if r == nil {
			continue
		}
		f.mu.Lock()
		crashed := r.crashed
		f.mu.Unlock()
		if !crashed {
			f.crashVM(name)
		}
		release()
	}
}

var (
	crashingRequest = Fingerprint{Organisation: "o", BodyHash: 1}
	otherRequest    = Fingerprint{Organisation: "o", BodyHash: 2}
)

// Guards against a request that crashes a third endpoint when it is sent again through other routers.
func TestRetriesCrashAtMostTwoEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		for router := range f.guards {
			if r, vm, release := f.startRun(router, router, crashingRequest); r != nil {
				f.crashVM(vm)
				release()
			}
		}
		must.Eq(t, 2, f.crashes)
		for _, g := range f.guards {
			must.Eq(t, Stopped, g.Status(crashingRequest))
		}
	})
}

// Guards against stopping requests that ran at the same endpoints as the crashing request, through whichever routers
// they were sent.
func TestHarmlessRequestsAreNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		harmless := func(i int) Fingerprint { return Fingerprint{Organisation: "o", BodyHash: uint64(100 + i)} }
		for i := range 8 {
			_, _, _ = f.startRun(i, 0, harmless(i))
		}
		_, vm, _ := f.startRun(0, 0, crashingRequest)
		f.crashVM(vm)
		var releases []func()
		for i := range 8 {
			r, _, release := f.startRun(i, 0, harmless(i))
			must.NotNil(t, r)
			releases = append(releases, release)
		}
		_, vm, release := f.startRun(5, 0, crashingRequest)
		_, _, _ = f.startRun(6, 8, otherRequest)
		f.crashVM(vm)
		release()
		must.Zero(t, f.suspectOverlaps)
		must.Eq(t, Stopped, f.guards[3].Status(crashingRequest))
		for i, g := range f.guards {
			must.Eq(t, Suspect, g.Status(harmless(i)))
			g.ReportCompleted(harmless(i))
			releases[i]()
		}
		time.Sleep(3 * maintainInterval)
		for i := range f.guards {
			must.Eq(t, Clear, f.guards[0].Status(harmless(i)))
		}
	})
}

// Guards against more crashes than documented when copies of a request are sent concurrently: k copies may crash at
// most k+1 endpoints.
func TestConcurrentCopies(t *testing.T) {
	for _, copies := range []int{2, 5} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8, 12)
			var senders sync.WaitGroup
			for i := range copies {
				senders.Go(func() {
					time.Sleep(time.Duration(i) * 300 * time.Millisecond)
					f.sendUntilStopped(i, i, crashingRequest)
				})
			}
			senders.Wait()
			t.Logf("%d copies crashed %d endpoints", copies, f.crashes)
			must.Between(t, 2, f.crashes, copies+1)
		})
	}
}

// Guards against copies of a suspect that run at the same time because they are sent through several routers.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 12)
		_, vm, release := f.startRun(0, 0, crashingRequest)
		f.crashVM(vm)
		release()
		var senders sync.WaitGroup
		for i := range 5 {
			senders.Go(func() { f.sendUntilStopped(i, i, crashingRequest) })
		}
		senders.Wait()
		must.Eq(t, 2, f.crashes)
	})
}

// Guards against records that are still missing on one side after a partition has ended, and against more than two
// crashes per side.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 12)
		f.isPartitioned = func(a, b int) bool { return a/3 != b/3 }
		f.sendUntilStopped(0, 0, crashingRequest)
		must.Eq(t, 2, f.crashes)
		must.Eq(t, Clear, f.guards[4].Status(crashingRequest))
		f.sendUntilStopped(4, 6, crashingRequest)
		must.Eq(t, 4, f.crashes)
		f.sendUntilStopped(1, 2, otherRequest)
		f.mu.Lock()
		f.isPartitioned = nil
		f.mu.Unlock()
		time.Sleep(3 * maintainInterval)
		for _, g := range f.guards {
			must.Eq(t, Stopped, g.Status(crashingRequest))
			must.Eq(t, Stopped, g.Status(otherRequest))
		}
	})
}

// Guards against field values that are lost or changed in calls between routers.
func TestCallsOverHTTP(t *testing.T) {
	f := newFleet(t, 1, 1)
	_, handler := f.guards[0].Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	to := member.Member{PeerAddress: server.Listener.Addr().String()}
	client := NewPeers(server.Client())
	now := time.Now().Truncate(time.Millisecond)
	record := Record{Fingerprint: crashingRequest, ClearedAt: now.Add(-time.Second), Crashes: []Crash{{VM: "e0", Observer: "r1", At: now}}}
	must.NoError(t, client.SendRecords(t.Context(), to, []Record{record}))
	must.Eq(t, Suspect, f.guards[0].Status(crashingRequest))
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

// Guards against suspecting requests that were sent to a VM after another request had crashed it: such a VM accepts
// connections and closes them. Once the VM has served a request again, its crashes count.
func TestRequestsToDownVMAreNotSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		ctx := t.Context()
		sent := time.Now()
		time.Sleep(time.Second)
		f.guards[0].ReportCrash(ctx, "e1", sent, []Fingerprint{crashingRequest})
		for _, g := range f.guards {
			time.Sleep(5 * time.Second)
			g.ReportCrash(ctx, "e1", time.Now(), []Fingerprint{otherRequest})
			must.Eq(t, Clear, g.Status(otherRequest))
			_, ok := g.Isolate(ctx, crashingRequest, "e1")
			must.False(t, ok)
		}
		f.guards[1].ReportServed("e1")
		sent = time.Now()
		time.Sleep(time.Second)
		f.guards[1].ReportCrash(ctx, "e1", sent, []Fingerprint{crashingRequest})
		must.Eq(t, Stopped, f.guards[0].Status(crashingRequest))
	})
}
