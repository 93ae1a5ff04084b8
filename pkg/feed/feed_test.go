package feed

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	feedv1 "github.com/lavendershunt/lavendershunt/api/ls/feed/v1"
	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// memoryConsumer is a Consumer that keeps the objects in memory.
type memoryConsumer struct {
	mu      sync.Mutex
	objects map[string]string
	lists   int
}

func (m *memoryConsumer) ReplaceAll(objects []platform.Object, _ time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = map[string]string{}
	m.lists++
	for _, o := range objects {
		m.objects[o.Key] = string(o.Value)
	}
}

func (m *memoryConsumer) ApplyChanges(objects []platform.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range objects {
		if o.Deleted {
			delete(m.objects, o.Key)
		} else {
			m.objects[o.Key] = string(o.Value)
		}
	}
}

func (m *memoryConsumer) hasObjects(want map[string]string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Equal(m.objects, want)
}

// testStore adds stale lists to a store in memory.
type testStore struct{ platform.Store }

func (s testStore) ListStale(ctx context.Context, prefix string) ([]platform.Object, error) {
	objects, _, err := s.List(ctx, prefix)
	return objects, err
}

func testFeed(store platform.Store, consumer Consumer, leaders func() []string) *Feed {
	return New(Options{
		Kind: "servers", Store: testStore{store}, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Consumer: consumer,
		WatchWait: func() time.Duration { return 50 * time.Millisecond }, WatchPause: func() time.Duration { return 250 * time.Millisecond }, Leaders: leaders, Client: http.DefaultClient,
		MaxDirectDelay: func() time.Duration { return 20 * time.Millisecond },
	})
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// Guards against losing changes when the store no longer has their history, and against treating objects as deleted in
// a short outage.
func TestSurvivesGapsAndOutages(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1, History: 4})
	store := memory.Client("a")
	m := &memoryConsumer{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go testFeed(store, m, nil).Run(ctx)
	want := map[string]string{}
	for i := range 30 {
		switch i {
		case 10:
			_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"a"}})
			must.NoError(t, err)
		case 20:
			memory.Clear(0)
		}
		key := fmt.Sprintf("servers/%d", i%7)
		o, err := memory.Client("operator").Get(ctx, key)
		if err != nil {
			must.ErrorIs(t, err, platform.ErrNotFound)
		}
		want[key] = fmt.Sprint(i)
		_, err = memory.Client("operator").Put(ctx, key, []byte(want[key]), o.Revision)
		must.NoError(t, err)
	}
	eventually(t, "the consumer has all changes", func() bool { return m.hasObjects(want) })
}

// interruptedStore gives up the second and the third watch, and records the waits of all.
type interruptedStore struct {
	testStore
	mu    sync.Mutex
	waits []time.Duration
	lists int
}

func (s *interruptedStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.testStore.List(ctx, prefix)
}

func (s *interruptedStore) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	n := len(s.waits)
	s.mu.Unlock()
	if n == 2 || n == 3 {
		return nil, after, contact.ErrInterrupted
	}
	return s.testStore.Poll(ctx, prefix, after, wait)
}

// Guards against a new list of all objects, or another long wait before the feed is up to date, after watches that were given up.
func TestInterruptedWatchGoesOn(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	store := &interruptedStore{testStore: testStore{memory.Client("a")}}
	m := &memoryConsumer{}
	f := testFeed(memory.Client("a"), m, nil)
	f.Store = store
	var causes []string // Appended to by the feed only, and read after it has ended.
	f.Contacted = func(_, cause string, _ time.Time) { causes = append(causes, cause) }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	polls := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.waits)
	}
	eventually(t, "the watch is made again", func() bool { return polls() >= 5 })
	_, err := memory.Client("operator").Put(ctx, "servers/1", []byte(`"a"`), 0)
	must.NoError(t, err)
	eventually(t, "the consumer has the change", func() bool { return m.hasObjects(map[string]string{"servers/1": `"a"`}) })
	stop()
	<-ended
	store.mu.Lock()
	defer store.mu.Unlock()
	wait := f.WatchWait()
	must.Eq(t, []time.Duration{wait, wait, catchUpWait, catchUpWait, wait}, store.waits[:5])
	must.EqOp(t, 1, store.lists)
	must.False(t, f.storeLost)
	must.Eq(t, []string{"answered", "answered", "given_up", "answered"}, causes[:4], must.Sprint("the list, the first watch, the repeated one, the next"))
}

// Guards against a follower that can't reach the store and gets no changes through its leader either, and against one
// that stays with a leader that can't reach the store.
func TestFollowsLeaderAndFallsBack(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	operator := memory.Client("operator")
	object, err := operator.Put(t.Context(), "servers/1", []byte(`"a"`), 0)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	leader := testFeed(memory.Client("leader"), &memoryConsumer{}, nil)
	go leader.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(NewService(leader).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()

	m := &memoryConsumer{}
	address := server.Listener.Addr().String()
	go testFeed(memory.Client("follower"), m, func() []string { return []string{address} }).Run(ctx)
	eventually(t, "the follower has the objects", func() bool { return m.hasObjects(map[string]string{"servers/1": `"a"`}) })
	_, err = memory.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"follower"}})
	must.NoError(t, err)
	object, err = operator.Put(ctx, "servers/1", []byte(`"b"`), object.Revision)
	must.NoError(t, err)
	eventually(t, "a follower that can't reach the store gets a change", func() bool { return m.hasObjects(map[string]string{"servers/1": `"b"`}) })

	memory.Clear(0)
	_, err = memory.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"leader"}})
	must.NoError(t, err)
	_, err = operator.Put(ctx, "servers/1", []byte(`"c"`), object.Revision)
	must.NoError(t, err)
	eventually(t, "the follower watches the store itself", func() bool { return m.hasObjects(map[string]string{"servers/1": `"c"`}) })
}

// Guards against routers that follow each other in a ring and treat each other's old objects as current: the age must
// include the time since the store last answered the leader.
func TestAgeIncludesLeaderAge(t *testing.T) {
	f := testFeed(nil, &memoryConsumer{}, nil)
	f.replaceAll(nil, 5, 0, 3*time.Second)
	_, age := f.hub.revisionAndAge()
	must.GreaterEq(t, 3*time.Second, age)
}

// Guards against going back to an older object when a router follows a leader that is some changes behind the one before,
// and against losing what that leader passes on later.
func TestLeaderThatIsBehind(t *testing.T) {
	m := &memoryConsumer{}
	f := testFeed(nil, m, nil)
	object := func(key string, revision uint64, value string) *feedv1.Object {
		return &feedv1.Object{Key: key, Revision: revision, Value: []byte(value)}
	}
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Full: true, Revision: 9, Objects: []*feedv1.Object{object("a", 9, "new"), object("b", 3, "b")}}, 0))
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Full: true, Revision: 7, Objects: []*feedv1.Object{object("a", 5, "old"), object("b", 3, "b")}}, 0))
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Revision: 8, Objects: []*feedv1.Object{object("a", 8, "older")}}, 0))
	must.True(t, m.hasObjects(map[string]string{"a": "new", "b": "b"}))
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Revision: 11, Objects: []*feedv1.Object{object("a", 10, "newest"), {Key: "b", Revision: 11, Deleted: true}}}, 0))
	must.True(t, m.hasObjects(map[string]string{"a": "newest"}))
	must.EqOp(t, 11, f.revision)
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Revision: 10, Objects: []*feedv1.Object{object("b", 10, "deleted since")}}, 0))
	must.True(t, m.hasObjects(map[string]string{"a": "newest"}), must.Sprint("a deleted object comes back"))
	must.EqOp(t, 1, m.lists)
}

// Guards against followers that get other values than the store has because large ones are compressed, and against a
// compressed value that takes all memory.
func TestLargeValuesAreCompressed(t *testing.T) {
	large := platform.Object{Key: "config/main", Revision: 4, Value: []byte(strings.Repeat("route ", 50_000))}
	encoded := encodeObject(large)
	must.Less(t, len(large.Value)/10, len(encoded.GetValue()))
	decoded, err := decodeObject(encoded)
	must.NoError(t, err)
	must.Eq(t, large, decoded)
	_, err = decodeObject(encodeObject(platform.Object{Key: "bomb", Value: make([]byte, 8<<20)}))
	must.ErrorIs(t, err, platform.ErrTooLarge)
	small := platform.Object{Key: "servers/1", Revision: 2, Value: []byte("x")}
	must.False(t, encodeObject(small).GetCompressed())
}

// Guards against a large fleet in which all routers read the store at the same moment when they lose those that they
// follow, and against one router that waits for ever.
func TestFallbackSpreadsDirectReads(t *testing.T) {
	const fleet, maxDelay, step = 280, 2 * time.Second, 100 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	perStep := map[time.Duration]int{}
	for i := range fleet {
		var b fallback
		for since := time.Duration(0); ; since += step {
			must.LessEq(t, maxDelay, since)
			if b.isDue(start.Add(since), maxDelay, float64(i)/fleet) {
				perStep[since]++
				break
			}
		}
	}
	for since, reads := range perStep {
		must.LessEq(t, 2*fleet/20, reads, must.Sprint(since))
	}
	failed := fallback{failures: 5}
	must.False(t, failed.isDue(start, maxDelay, 1))
	must.True(t, failed.isDue(start.Add(4*maxDelay), maxDelay, 1))
}

// Guards against treating objects as changed or gone because a stale list is older than the one before.
func TestStaleLists(t *testing.T) {
	h := newHub()
	h.replaceAll([]platform.Object{{Key: "a", Revision: 5}, {Key: "b", Revision: 6}}, 6, 0, time.Now())
	changes := h.changesTo([]platform.Object{{Key: "a", Revision: 4}, {Key: "c", Revision: 7}})
	must.Eq(t, []platform.Object{{Key: "c", Revision: 7}, {Key: "b", Revision: 6, Deleted: true}}, changes)
}

// Guards against followers that leave a leader of stale lists between two of its lists.
func TestLeaderOfStaleListsIsFollowed(t *testing.T) {
	f := testFeed(nil, &memoryConsumer{}, nil)
	must.EqOp(t, MaxAge, f.maxAge())
	f.StaleListInterval = 2 * time.Second
	must.Greater(t, 2*f.StaleListInterval, f.maxAge())
}

// Guards against a change that a follower takes for known and never applies: a heartbeat that is due while the change is queued must not
// come before it with a revision that includes it. A leader of an older build may send it so; a follower of an older build takes it so.
func TestHeartbeatDoesNotOvertakeChanges(t *testing.T) {
	change := platform.Object{Key: "servers/1", Revision: 6, Value: []byte(`"draining"`)}
	newFollower := func() (*Feed, *memoryConsumer) {
		m := &memoryConsumer{}
		f := testFeed(memstore.New(memstore.Options{}).Client("a"), m, nil)
		must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Full: true, Revision: 5, Objects: []*feedv1.Object{{Key: "servers/1", Revision: 4, Value: []byte(`"ready"`)}}}, 0))
		return f, m
	}
	want := map[string]string{"servers/1": `"draining"`}

	for range 100 { // Both cases of the select are ready; either may be taken.
		leader := newHub()
		leader.replaceAll([]platform.Object{{Key: "servers/1", Revision: 4, Value: []byte(`"ready"`)}}, 5, 0, time.Now())
		_, queue, ok := leader.subscribe()
		must.True(t, ok)
		leader.applyChanges([]platform.Object{change}, 7, time.Now())
		ticks := make(chan time.Time, 1)
		ticks <- time.Now()
		var sent []message
		for len(sent) == 0 || len(queue) > 0 {
			if m, ok, open := leader.next(t.Context(), queue, ticks); ok && open {
				sent = append(sent, m)
			}
		}
		must.Len(t, 1, sent[0].objects, must.Sprint("the change comes first"))
		f, m := newFollower()
		for _, m := range sent {
			must.NoError(t, f.applyMessage(encode(m, leader), 0))
		}
		must.True(t, m.hasObjects(want))
	}

	f, m := newFollower()
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Revision: 7}, 0))
	must.NoError(t, f.applyMessage(&feedv1.FollowResponse{Revision: 7, Objects: []*feedv1.Object{encodeObject(change)}}, 0))
	must.True(t, m.hasObjects(want), must.Sprint("a heartbeat of an older build came first"))
}

// silentReads is a store that answers no list, until the router learns of an answer to another router.
type silentReads struct {
	testStore
	lists    atomic.Int64
	answered chan struct{}
}

func (s *silentReads) List(ctx context.Context, _ string) ([]platform.Object, uint64, error) {
	s.lists.Add(1)
	select {
	case <-s.answered:
		return nil, 0, contact.ErrLeaderAnswered
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against a router that reads a silent store itself for directWatchTime, or waits for a delay, although a router that it can
// follow is answered again.
func TestFollowsAgainAfterLeaderAnswered(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	_, err := memory.Client("operator").Put(t.Context(), "servers/1", []byte(`"a"`), 0)
	must.NoError(t, err)
	leader := testFeed(memory.Client("leader"), &memoryConsumer{}, nil)
	mux := http.NewServeMux()
	mux.Handle(NewService(leader).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()

	store := &silentReads{answered: make(chan struct{})}
	m := &memoryConsumer{}
	follower := testFeed(nil, m, func() []string { return []string{server.Listener.Addr().String()} })
	follower.Store = store
	var answers atomic.Int64
	follower.LeaderAnswered = func(time.Time) { answers.Add(1) }
	go follower.Run(ctx)
	eventually(t, "the router reads the store itself, as the other one has read nothing yet", func() bool { return store.lists.Load() == 1 })
	go leader.Run(ctx)
	eventually(t, "the other router has the objects", func() bool { _, ok := leader.Age(); return ok })
	close(store.answered)
	eventually(t, "the router follows the other one", func() bool { return m.hasObjects(map[string]string{"servers/1": `"a"`}) })
	must.EqOp(t, 1, store.lists.Load(), must.Sprint("the store is not read again"))
	must.Positive(t, answers.Load())
}

// Guards against taking objects for current because the store answered a short time ago: it has others by now, or doesn't answer.
func TestOnlyTheStoreConfirmsObjects(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	store := memory.Client("vm1")
	consumer := &memoryConsumer{}
	f := testFeed(testStore{store}, consumer, nil)
	must.False(t, f.Confirm(t.Context()), must.Sprint("before the first list"))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	_, err := store.Put(t.Context(), "servers/a", []byte("1"), 0)
	must.NoError(t, err)
	eventually(t, "the object arrives", func() bool { return consumer.hasObjects(map[string]string{"servers/a": "1"}) })
	must.True(t, f.Confirm(t.Context()))
	stop()
	<-ended
	_, err = store.Put(t.Context(), "others/a", []byte("1"), 0)
	must.NoError(t, err)
	must.True(t, f.Confirm(t.Context()), must.Sprint("only another kind has changed"))
	_, err = store.Put(t.Context(), "servers/b", []byte("1"), 0)
	must.NoError(t, err)
	must.False(t, f.Confirm(t.Context()), must.Sprint("there is an object that the consumer lacks"))
	_, err = memory.Inject(memstore.Fault{Kind: memstore.FaultDown})
	must.NoError(t, err)
	must.False(t, f.Confirm(t.Context()), must.Sprint("the store is down"))
}

// Guards against a router that watches the store and knows no changes while the store rejects it alone, although others that watch the
// store know them: it would send to endpoints that left seconds ago, and so would those that follow it.
func TestWatcherFollowsOthersWhileTheStoreRejectsIt(t *testing.T) {
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	other := testFeed(memory.Client("other"), &memoryConsumer{}, nil)
	go other.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(NewService(other).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	m := &memoryConsumer{}
	returned := make(chan struct{})
	f := testFeed(memory.Client("rejected"), m, nil)
	f.Substitutes = func() []string { return []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")} }
	f.StoreReturned = func() <-chan struct{} { return returned }
	var lost atomic.Bool
	f.SetStoreLost = lost.Store
	want := map[string]string{}
	write := func(value string) {
		o, err := memory.Client("operator").Put(ctx, "servers/"+value, []byte(value), 0)
		must.NoError(t, err)
		want[o.Key] = value
	}
	write("a")
	go f.Run(ctx)
	eventually(t, "the store is read", func() bool { return m.hasObjects(want) })
	_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"rejected"}})
	must.NoError(t, err)
	write("b")
	eventually(t, "a change comes through the other router", func() bool { return m.hasObjects(want) })
	must.True(t, lost.Load(), must.Sprint("calls to the store are still known to fail"))
	memory.Clear(0)
	close(returned)
	eventually(t, "the store is read again", func() bool { return !lost.Load() })
	server.CloseClientConnections()
	write("c")
	eventually(t, "changes come from the store", func() bool { return m.hasObjects(want) })
}
