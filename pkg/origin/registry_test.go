package origin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// fleet runs registries of several routers on one store.
type fleet struct {
	ctx    context.Context
	memory *memstore.Store

	mu      sync.Mutex
	routers map[string]*Registry
	stops   map[string]context.CancelFunc
	// unreachable are the routers that other routers can't ask and that can't ask others.
	unreachable map[string]bool
	// lost holds the number of questions of a router that are not answered.
	lost map[string]int
}

const firstRouter = "vm0"

// runFleet runs f with three routers in a bubble with a fake clock.
func runFleet(t *testing.T, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fl := &fleet{ctx: ctx, memory: memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}), routers: map[string]*Registry{}, stops: map[string]context.CancelFunc{}, unreachable: map[string]bool{}, lost: map[string]int{}}
		for i := range 3 {
			fl.start(fmt.Sprintf("vm%d", i))
		}
		f(fl)
	})
}

// start starts a router, or restarts it, which loses what it knew.
func (f *fleet) start(vm string) *Registry { return f.startAt(vm, false) }

func (f *fleet) startAt(vm string, firstStart bool) *Registry {
	f.stop(vm)
	r := NewRegistry(Options{
		FirstStart: firstStart,
		Store:      f.memory.Client(vm), VM: vm, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Routers: func() int { return 3 },
		Keepers: func(string, int) []string { return []string{"vm0", "vm1", "vm2"} },
		IsFirst: func(string) bool { return vm == firstRouter },
		Peers:   fleetPeers{f, vm},
	})
	r.StoreReached(platform.NewRevision(f.memory.Era(), 1))
	ctx, cancel := context.WithCancel(f.ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[vm], f.stops[vm] = r, cancel
	go r.Run(ctx)
	return r
}

func (f *fleet) stop(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stop := f.stops[vm]; stop != nil {
		stop()
	}
	delete(f.routers, vm)
}

func (f *fleet) router(vm string) *Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[vm]
}

// setSoftware sets the versions of the service's endpoints at all routers.
func (f *fleet) setSoftware(versions ...string) {
	for i := range 3 {
		if r := f.router(fmt.Sprintf("vm%d", i)); r != nil {
			r.Update(endpoints(versions...))
		}
	}
}

func endpoints(versions ...string) []platform.VM {
	var vms []platform.VM
	for i, v := range versions {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("e%d-%s", i, v), Service: "desk", Software: v})
	}
	return vms
}

// fleetPeers implements Peers within a fleet.
type fleetPeers struct {
	*fleet
	vm string
}

func (p fleetPeers) Announce(router string, began map[string]Began) {
	if r := p.router(router); r != nil && router != p.vm {
		go r.Learn(began)
	}
}

func (p fleetPeers) Find(_ context.Context, routers []string, stream, service string) Finding {
	finding := Finding{}
	if p.lost[p.vm] > 0 {
		p.lost[p.vm]--
		return finding
	}
	for _, name := range routers {
		r := p.router(name)
		if r == nil || name == p.vm || p.unreachable[p.vm] || p.unreachable[name] {
			continue
		}
		answer := r.Answer(stream, service)
		finding.Answered = true
		finding.Mixed = finding.Mixed || answer.Mixed
		if answer.Found {
			return answer
		}
	}
	return finding
}

type found struct {
	software string
	source   Source
}

func find(r *Registry, id string) found {
	software, source := r.Find(context.Background(), id, "desk")
	return found{software, source}
}

// Guards against a stream that goes on at another version because the router that gets it doesn't know where it began, also after
// the router that began it was killed.
func TestTakenUpStreamKeepsItsVersion(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1", "v1.1")
		f.router("vm0").Record("a", "desk", "v1.1")
		must.Eq(t, found{"v1.1", SourceStream}, find(f.router("vm0"), "a"))
		time.Sleep(100 * time.Millisecond)
		f.stop("vm0")
		must.Eq(t, found{"v1.1", SourceStream}, find(f.router("vm1"), "a"))
		restarted := f.start("vm1")
		restarted.Update(endpoints("v1", "v1.1"))
		must.Eq(t, found{"v1.1", SourcePeer}, find(restarted, "a"))
		must.Eq(t, found{"", SourceUnknown}, find(restarted, "b"))
		time.Sleep(MaxStreamAge + maxClockSkew + time.Second)
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm2"), "a"))
	})
}

// Guards against streams that can't go on after a power failure of all routers, and against ones that go on at a version that has
// just replaced their own.
func TestStreamsOutlivePowerFailure(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1", "v1.1")
		f.router("vm1").Record("old", "desk", "v1")
		f.router("vm2").Record("new", "desk", "v1.1")
		f.router("vm2").Record("ended", "desk", "v1.1")
		f.router("vm2").Forget("ended")
		time.Sleep(2 * storeInterval)
		for i := range 3 {
			f.stop(fmt.Sprintf("vm%d", i))
		}
		time.Sleep(2 * time.Second)
		for i := range 3 {
			f.start(fmt.Sprintf("vm%d", i))
		}
		f.setSoftware("v1.1") // The endpoints with v1 have left.
		must.EqOp(t, "v1", find(f.router("vm0"), "old").software)
		must.EqOp(t, "v1.1", find(f.router("vm0"), "new").software)
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm0"), "ended"))
		// What the restarted router writes must not replace what the process before it wrote.
		f.router("vm2").Record("newer", "desk", "v1.1")
		time.Sleep(2 * storeInterval)
		f.start("vm0").Update(endpoints("v1.1"))
		f.stop("vm2")
		f.start("vm1").Update(endpoints("v1.1"))
		must.Eq(t, found{"v1.1", SourceStored}, find(f.router("vm0"), "new"))
		must.Eq(t, found{"v1.1", SourceStored}, find(f.router("vm0"), "newer"))
	})
}

// Guards against rejecting streams that are taken up after a power failure although the service has had one version only.
func TestOnlyVersionNeedsNoStreams(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1", "v1")
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm1"), "a"))
		time.Sleep(MaxStreamAge + maxClockSkew)
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"))
		writes := f.memory.Counters().Writes
		f.router("vm1").Record("b", "desk", "v1")
		time.Sleep(5 * time.Second)
		must.EqOp(t, writes, f.memory.Counters().Writes, must.Sprint("streams of a service with one version are written"))
		for i := range 3 {
			f.start(fmt.Sprintf("vm%d", i))
		}
		f.setSoftware("v1")
		must.Eq(t, found{"v1", SourceRecord}, find(f.router("vm2"), "a"))
	})
}

// Guards against trusting a record of the only version that was true before a restart, before an older copy of the store, or before
// this router itself saw another version.
func TestRecordIsNotTrustedTooLong(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		copied := f.memory.Copy()
		for i := range 3 {
			f.stop(fmt.Sprintf("vm%d", i))
		}
		r := f.start("vm1")
		r.Update(endpoints("v1.1"))
		must.Eq(t, found{"", SourceUnknown}, find(r, "a"))
		r = f.start("vm1")
		r.Update(endpoints("v1"))
		r.Update(endpoints("v1", "v1.1"))
		r.Update(endpoints("v1"))
		must.Eq(t, found{"", SourceUnknown}, find(r, "a"))
		f.memory.Restore(copied)
		r = f.start("vm1")
		r.Update(endpoints("v1"))
		must.Eq(t, found{"", SourceUnknown}, find(r, "a"))
	})
}

// Guards against announcing and writing every stream in the first seconds of a system, and against rejecting streams that are taken up
// after a power failure in that time.
func TestFirstStartHasNoEarlierStreams(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for i := range 3 {
			f.startAt(fmt.Sprintf("vm%d", i), true)
		}
		f.setSoftware("v1")
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"))
		time.Sleep(time.Second)
		writes := f.memory.Counters().Writes
		f.router("vm1").Record("b", "desk", "v1")
		time.Sleep(2 * time.Second)
		must.EqOp(t, writes, f.memory.Counters().Writes)
		r := f.start("vm1")
		r.Update(endpoints("v1"))
		must.Eq(t, found{"v1", SourceRecord}, find(r, "c"))
	})
}

// silentStore doesn't answer lists.
type silentStore struct{ Store }

func (silentStore) List(ctx context.Context, _ string) ([]platform.Object, uint64, error) {
	<-ctx.Done()
	return nil, 0, platform.ErrUnavailable
}

// Guards against requests that wait for one timeout of the store after another.
func TestSilentStoreDelaysNoTakeUpTwice(t *testing.T) {
	runFleet(t, func(f *fleet) {
		r := f.router("vm1")
		r.Store = silentStore{r.Store}
		r.Update(endpoints("v1", "v1.1"))
		time.Sleep(time.Second)
		started := time.Now()
		var callers sync.WaitGroup
		for i := range 20 {
			callers.Go(func() {
				must.Eq(t, found{"", SourceUnknown}, find(r, fmt.Sprint("stream", i)))
			})
		}
		callers.Wait()
		must.LessEq(t, 2*storeTimeout+peerTimeout, time.Since(started))
	})
}
