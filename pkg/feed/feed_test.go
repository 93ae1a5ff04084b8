package feed

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

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

func testFeed(store Store, consumer Consumer, leaders func() []string) *Feed {
	return New(Options{
		Kind: "servers", Store: store, Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Consumer: consumer,
		WatchWait: func() time.Duration { return 50 * time.Millisecond }, WatchPause: func() time.Duration { return 250 * time.Millisecond }, Leaders: leaders, Client: http.DefaultClient,
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
