package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/lavendershunt/lavendershunt/api/ls/config/v1"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const (
	testWait     = 3 * time.Second
	testInterval = time.Second
	// messageOverheadBytes is the size of the framing and the packet headers of one message; see pkg/member.
	messageOverheadBytes = 150
)

var errLost = errors.New("message lost")

// router is a router of a fleet in virtual time. It implements member.View with a fixed view.
type router struct {
	fleet      *fleet
	self       member.Member
	store      *Store
	replicator *Replicator
	cancel     context.CancelFunc
	bytes      atomic.Int64
}

func (r *router) Self() member.Member      { return r.self }
func (r *router) Members() []member.Member { return r.fleet.members }

// fleet is a set of routers with a network that loses messages, and a stand-in platform.
type fleet struct {
	platform *memstore.Store
	routers  []*router
	members  []member.Member

	mu     sync.Mutex
	byAddr map[string]*router
	random *rand.Rand
	loss   float64
	// isCut reports whether messages between two routers are lost; nil if none are.
	isCut func(a, b *router) bool
}

func newFleet(n int, loss float64) *fleet {
	f := &fleet{platform: memstore.New(memstore.Options{Seed: 1}), byAddr: map[string]*router{}, random: rand.New(rand.NewPCG(20261204, uint64(n))), loss: loss}
	zones := min(6, max(1, n/3))
	for i := range n {
		self := member.Member{
			Instance: fmt.Sprintf("entry-%03d@1-0", i), VM: fmt.Sprintf("entry-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250), State: member.Alive,
		}
		f.members = append(f.members, self)
		r := &router{fleet: f, self: self}
		f.routers = append(f.routers, r)
		f.byAddr[self.PeerAddress] = r
		r.reset(i)
	}
	return f
}

// reset gives the router an empty store, as after a restart.
func (r *router) reset(seed int) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.store = NewStore()
	r.replicator = NewReplicator(Options{
		Store: r.store, Platform: r.fleet.platform.Client(r.self.VM), Members: r, Transport: sender{r},
		MaxWatchWait: testWait, Interval: testInterval, Seed: uint64(seed),
		Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
}

func (r *router) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	replicator, done := r.replicator, make(chan struct{})
	go func() { defer close(done); replicator.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// sender is the Transport of one router over the fleet's network.
type sender struct{ from *router }

// currentReplicator returns the replicator since the last reset.
func (r *router) currentReplicator() *Replicator {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.replicator
}

// setCut makes the network lose the messages between routers for which isCut returns true.
func (f *fleet) setCut(isCut func(a, b *router) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
}

// transmit counts the bytes of one message and reports whether it arrives.
func (f *fleet) transmit(from, to *router, m proto.Message) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	from.bytes.Add(int64(proto.Size(m) + messageOverheadBytes))
	if f.isCut != nil && f.isCut(from, to) || f.random.Float64() < f.loss {
		return false
	}
	to.bytes.Add(int64(proto.Size(m) + messageOverheadBytes))
	return true
}

func (s sender) Push(_ context.Context, address string, entries []Entry) error {
	to := s.from.fleet.byAddr[address]
	if !s.from.fleet.transmit(s.from, to, &configv1.PushRequest{Entries: toWire(entries)}) {
		return errLost
	}
	time.Sleep(time.Millisecond)
	to.currentReplicator().Receive(entries)
	return nil
}

func (s sender) Exchange(_ context.Context, address string, r Request) (Page, time.Duration, error) {
	to := s.from.fleet.byAddr[address]
	if !s.from.fleet.transmit(s.from, to, requestToWire(r)) {
		return Page{}, 0, errLost
	}
	time.Sleep(time.Millisecond)
	peer := to.currentReplicator()
	page, sinceConfirmed := peer.options.Store.Answer(r), peer.SinceConfirmed()
	if !s.from.fleet.transmit(to, s.from, pageToWire(page, sinceConfirmed)) {
		return Page{}, 0, errLost
	}
	return page, sinceConfirmed, nil
}

// put writes an object to the platform directly.
func (f *fleet) put(t *testing.T, key, value string, ifRevision uint64) uint64 {
	t.Helper()
	o, err := f.platform.Client("operator").Put(t.Context(), key, []byte(value), ifRevision)
	must.NoError(t, err)
	return o.Revision
}

// waitInForce waits until every router has the revision of the key, at most limit, and returns the virtual time taken.
func (f *fleet) waitInForce(key string, revision uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		behind := 0
		for _, r := range f.routers {
			if e, _ := r.store.Lookup(key); e.Revision < revision {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) startAll(t *testing.T) {
	for _, r := range f.routers {
		r.start(t)
	}
}

// converged reports whether all stores hold the same objects.
func (f *fleet) converged() bool {
	for _, r := range f.routers {
		if !r.store.Loaded() || r.store.Summary().Hash != f.routers[0].store.Summary().Hash {
			return false
		}
	}
	return true
}

// platformCalls returns the number of calls to the platform so far.
func (f *fleet) platformCalls() uint64 {
	c := f.platform.Counters()
	return c.Reads + c.Writes + c.Lists + c.Polls + c.VMLists
}

// Guards against changes that take too long to reach all routers, against routers that miss them when messages are
// lost, and against platform calls and traffic that grow with the fleet.
func TestChangeReachesAllRouters(t *testing.T) {
	for _, size := range []int{8, 64, 370} {
		for _, loss := range []float64{0, 0.1} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, loss)
				f.startAll(t)
				time.Sleep(20 * time.Second)
				calls, bytes := f.platformCalls(), f.routers[0].bytes.Load()
				var worst time.Duration
				revision := uint64(0)
				const changes = 10
				start := time.Now()
				for i := range changes {
					revision = f.put(t, "config/class/a", fmt.Sprintf(`{"name":"a","deadline_ms":%d}`, i), revision)
					worst = max(worst, f.waitInForce("config/class/a", revision, 20*time.Second))
					time.Sleep(3 * time.Second)
				}
				seconds := time.Since(start).Seconds()
				t.Logf("%3d routers, %2.0f%% loss: change in force everywhere after at most %v; platform calls/s %.1f (with a change every 3 s); bytes/s of one node %.0f",
					size, loss*100, worst.Round(10*time.Millisecond), float64(f.platformCalls()-calls)/seconds, float64(f.routers[0].bytes.Load()-bytes)/seconds)
				must.Less(t, 8*time.Second, worst)
				must.Less(t, 15.0, float64(f.platformCalls()-calls)/seconds)
			})
		}
	}
}

// lossyTransport loses every exchange but the third one of an interval, and all pushes.
type lossyTransport struct {
	Transport
	exchanges *int
}

func (l lossyTransport) Push(context.Context, string, []Entry) error { return errLost }

func (l lossyTransport) Exchange(ctx context.Context, address string, r Request) (Page, time.Duration, error) {
	if *l.exchanges++; *l.exchanges%3 != 0 {
		return Page{}, 0, errLost
	}
	return l.Transport.Exchange(ctx, address, r)
}

// Guards against a router that gets a change several intervals late because its exchanges were lost: on a network that
// lost a tenth of the messages, one of 370 routers needed more than 8 s.
func TestFailedExchangeIsRetriedInInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 0)
		f.startAll(t)
		time.Sleep(5 * time.Second)
		var exchanges int
		behind := NewReplicator(Options{
			Store: NewStore(), Platform: f.platform.Client("cut"), Members: f.routers[0], Transport: lossyTransport{sender{f.routers[0]}, &exchanges},
			MaxWatchWait: testWait, Interval: testInterval, Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
		})
		_, err := f.platform.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"cut"}})
		must.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go behind.Run(ctx)
		revision := f.put(t, "config/class/a", `{"name":"a"}`, 0)
		time.Sleep(2 * testInterval)
		e, _ := behind.options.Store.Lookup("config/class/a")
		must.EqOp(t, revision, e.Revision)
	})
}

// Guards against a fleet that gets no changes because the chosen watchers, or all routers but three, are cut off from
// the platform.
func TestCutOffFromPlatform(t *testing.T) {
	for _, size := range []int{8, 64, 370} {
		for _, onlyThree := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, 0.1)
				f.startAll(t)
				time.Sleep(20 * time.Second)
				var cutOff []string
				connected := 0
				for _, r := range f.routers {
					if r.replicator.mustWatch() || onlyThree && connected == 3 {
						cutOff = append(cutOff, r.self.VM)
					} else {
						connected++
					}
				}
				_, err := f.platform.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: cutOff})
				must.NoError(t, err)
				time.Sleep(time.Second)
				var worst time.Duration
				calls, start := f.platformCalls(), time.Now()
				for i := range 5 {
					key := fmt.Sprintf("config/class/%d", i)
					worst = max(worst, f.waitInForce(key, f.put(t, key, "{}", 0), time.Minute))
				}
				t.Logf("%3d routers, %d reach the platform, none of them chosen to watch, 10%% loss: change in force after at most %v; platform calls/s %.1f",
					size, connected, worst.Round(10*time.Millisecond), float64(f.platformCalls()-calls)/time.Since(start).Seconds())
				must.Less(t, time.Minute, worst)
			})
		}
	}
}

// Guards against a router that can't start without the platform, or that reports a loaded configuration although it has
// received none.
func TestStartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 0)
		f.put(t, "config/class/a", "{}", 0)
		f.startAll(t)
		time.Sleep(5 * time.Second)
		_, err := f.platform.Inject(memstore.Fault{Kind: memstore.FaultDown})
		must.NoError(t, err)
		f.routers[3].cancel()
		f.routers[3].reset(99)
		must.False(t, f.routers[3].store.Loaded())
		f.routers[3].start(t)
		time.Sleep(3 * time.Second)
		must.True(t, f.routers[3].store.Loaded())
		_, found := f.routers[3].store.Class("a")
		must.True(t, found)
		must.True(t, f.routers[3].replicator.SinceConfirmed() >= 3*time.Second)
		// Cold start with neither the platform nor a loaded peer.
		for i, r := range f.routers {
			r.cancel()
			r.reset(100 + i)
			r.start(t)
		}
		time.Sleep(30 * time.Second)
		for _, r := range f.routers {
			must.False(t, r.store.Loaded())
		}
		f.platform.Clear(0)
		time.Sleep(10 * time.Second)
		must.True(t, f.converged())
	})
}

// Guards against deletions that are lost in a gap of the watch, and against a deleted object that is restored by an old
// entry from a peer.
func TestDeletionInGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 0)
		revision := f.put(t, "config/class/a", "{}", 0)
		f.startAll(t)
		time.Sleep(5 * time.Second)
		old, _ := f.routers[0].store.Lookup("config/class/a")
		_, err := f.platform.Inject(memstore.Fault{Kind: memstore.FaultDown})
		must.NoError(t, err)
		// One router is cut off from its peers as well, and keeps the old state.
		isolated := f.routers[7]
		f.setCut(func(a, b *router) bool { return a == isolated || b == isolated })
		f.platform.Clear(0)
		must.NoError(t, f.platform.Client("operator").Delete(t.Context(), "config/class/a", revision))
		for i := range 5000 {
			f.put(t, fmt.Sprintf("ledger/%d", i), "x", 0)
			time.Sleep(3 * time.Millisecond)
		}
		_, err = f.platform.Inject(memstore.Fault{Kind: memstore.FaultGap, Count: 40})
		must.NoError(t, err)
		time.Sleep(20 * time.Second)
		f.setCut(nil)
		for range 10 {
			time.Sleep(time.Second)
			for _, r := range f.routers {
				r.replicator.Receive([]Entry{old})
			}
		}
		for _, r := range f.routers {
			_, found := r.store.Class("a")
			must.False(t, found)
		}
		must.True(t, f.converged())
	})
}
