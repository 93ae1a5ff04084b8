package httpstore_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/httpstore"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const callTimeout = 5 * time.Second

// serve starts an HTTP server for the store on a loopback port and returns its address.
func serve(t *testing.T, store *memstore.Store) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	handler := memstore.NewServer(store, -1)
	server := standin.NewServer("test", handler.Handle, memstore.MaxBodyBytes)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.NoError(t, server.Shutdown()) })
	return listener.Addr().String()
}

func overHTTP(t *testing.T, store *memstore.Store, id string, timeout time.Duration) platform.Store {
	return httpstore.New(httpstore.Options{Address: serve(t, store), ClientID: id, Timeout: timeout})
}

// each runs the test against the in-memory client and against the HTTP client, which must not differ.
func each(t *testing.T, options memstore.Options, test func(t *testing.T, backing *memstore.Store, store platform.Store)) {
	t.Run("memory", func(t *testing.T) {
		backing := memstore.New(options)
		test(t, backing, backing.Client("a"))
	})
	t.Run("http", func(t *testing.T) {
		backing := memstore.New(options)
		test(t, backing, overHTTP(t, backing, "a", callTimeout))
	})
}

// Guards against a write that is accepted on an old revision.
func TestConditionalUpdate(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
		ctx := context.Background()
		_, err := store.Get(ctx, "k/ä?&=%2F")
		must.ErrorIs(t, err, platform.ErrNotFound)
		first, err := store.Put(ctx, "k/ä?&=%2F", []byte{0, 255}, 0)
		must.NoError(t, err)
		_, err = store.Put(ctx, "k/ä?&=%2F", []byte("other"), 0)
		must.ErrorIs(t, err, platform.ErrConflict)
		second, err := store.Put(ctx, "k/ä?&=%2F", []byte("new"), first.Revision)
		must.NoError(t, err)
		must.Greater(t, first.Revision, second.Revision)
		_, err = store.Put(ctx, "k/ä?&=%2F", []byte("late"), first.Revision)
		must.ErrorIs(t, err, platform.ErrConflict)
		must.ErrorIs(t, store.Delete(ctx, "k/ä?&=%2F", first.Revision), platform.ErrConflict)
		must.ErrorIs(t, store.Delete(ctx, "absent", 0), platform.ErrConflict)
		got, err := store.Get(ctx, "k/ä?&=%2F")
		must.NoError(t, err)
		must.Eq(t, second, got)
	})
}

// Guards against a deletion that a watcher does not see, and against a list that shows it as a live object.
func TestTombstones(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
		ctx := context.Background()
		_, err := store.Put(ctx, "b/1", nil, 0)
		must.NoError(t, err)
		a, err := store.Put(ctx, "a/1", []byte("x"), 0)
		must.NoError(t, err)
		must.NoError(t, store.Delete(ctx, "a/1", a.Revision))
		objects, revision, err := store.List(ctx, "a/")
		must.NoError(t, err)
		must.SliceEmpty(t, objects)
		must.Eq(t, 3, revision)
		changes, revision, err := store.Poll(ctx, "a/", 0, 0)
		must.NoError(t, err)
		must.Eq(t, 3, revision)
		must.Len(t, 2, changes)
		must.True(t, changes[1].Deleted)
		must.Eq(t, 3, changes[1].Revision)
		must.SliceEmpty(t, changes[1].Value)
		_, err = store.Put(ctx, "a/1", []byte("again"), 0)
		must.NoError(t, err)
	})
}

// Guards against a watch that skips changes which the history no longer holds, or that outlives a restarted store.
func TestGap(t *testing.T) {
	each(t, memstore.Options{History: 2}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		ctx := context.Background()
		for _, key := range []string{"a", "b", "c"} {
			_, err := store.Put(ctx, key, nil, 0)
			must.NoError(t, err)
		}
		_, _, err := store.Poll(ctx, "", 0, 0)
		must.ErrorIs(t, err, platform.ErrGap)
		changes, _, err := store.Poll(ctx, "", 1, 0)
		must.NoError(t, err)
		must.Len(t, 2, changes)
		_, _, err = store.Poll(ctx, "", 4, 0)
		must.ErrorIs(t, err, platform.ErrGap)
		_, err = backing.Inject(memstore.Fault{Kind: memstore.FaultGap, Count: 1})
		must.NoError(t, err)
		_, _, err = store.Poll(ctx, "", 1, 0)
		must.ErrorIs(t, err, platform.ErrGap)
		_, _, err = store.Poll(ctx, "", 1, 0)
		must.NoError(t, err)
	})
}

// Guards against a lost response that is reported as a failure or a success of the write.
func TestLostResponse(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		ctx := context.Background()
		_, err := backing.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
		must.NoError(t, err)
		_, err = store.Put(ctx, "k", []byte("v"), 0)
		must.ErrorIs(t, err, platform.ErrUncertain)
		got, err := store.Get(ctx, "k")
		must.NoError(t, err)
		must.Eq(t, []byte("v"), got.Value)
		must.Eq(t, 1, backing.Counters().Writes)
		must.NoError(t, store.Delete(ctx, "k", got.Revision))
	})
}

// Guards against a fault on one client that hits another, and against a pending poll that survives an outage.
func TestPartitionOfOneClient(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		ctx := context.Background()
		polled := make(chan error, 1)
		go func() {
			_, _, err := store.Poll(ctx, "", 0, time.Minute)
			polled <- err
		}()
		for backing.Counters().Polls == 0 {
			time.Sleep(time.Millisecond)
		}
		id, err := backing.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"a"}})
		must.NoError(t, err)
		must.ErrorIs(t, <-polled, platform.ErrUnavailable)
		_, err = store.Put(ctx, "k", nil, 0)
		must.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = backing.Client("b").Put(ctx, "k", nil, 0)
		must.NoError(t, err)
		backing.Clear(id)
		_, err = store.Get(ctx, "k")
		must.NoError(t, err)
	})
}

// Guards against values above the limit, and against a limit below 1 MB on the way through HTTP.
func TestValueLimit(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
		ctx := context.Background()
		_, err := store.Put(ctx, "k", make([]byte, platform.MaxValueBytes+1), 0)
		must.ErrorIs(t, err, platform.ErrTooLarge)
		_, err = store.Put(ctx, "k", make([]byte, platform.MaxValueBytes), 0)
		must.NoError(t, err)
		got, err := store.Get(ctx, "k")
		must.NoError(t, err)
		must.Len(t, platform.MaxValueBytes, got.Value)
	})
}

// Guards against a poll that misses a write made while it is pending, and against wrong counters.
func TestPollWakes(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		ctx := context.Background()
		type answer struct {
			changes  []platform.Object
			revision uint64
			err      error
		}
		polled := make(chan answer, 1)
		go func() {
			changes, revision, err := store.Poll(ctx, "a/", 0, time.Minute)
			polled <- answer{changes, revision, err}
		}()
		for backing.Counters().Polls == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := store.Put(ctx, "b/1", nil, 0)
		must.NoError(t, err)
		_, err = store.Put(ctx, "a/1", []byte("x"), 0)
		must.NoError(t, err)
		got := <-polled
		must.NoError(t, got.err)
		must.Len(t, 1, got.changes)
		must.Eq(t, "a/1", got.changes[0].Key)
		must.Eq(t, 2, got.revision)
		must.Eq(t, memstore.Counters{Writes: 2, Polls: 1}, backing.Counters())
	})
}

// Guards against VM fields that are lost over HTTP.
func TestVMs(t *testing.T) {
	each(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		deadline := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
		vm := platform.VM{Name: "e1", Zone: "z1", Role: platform.RoleEngine, State: platform.VMLive, Address: "127.0.0.1:1", Models: []string{"m"}, BytesPerToken: 4}
		backing.SetVMs([]platform.VM{vm})
		must.NoError(t, backing.SetVMState("e1", platform.VMLeaving, &deadline))
		must.Error(t, backing.SetVMState("e2", platform.VMGone, nil))
		vm.State, vm.Deadline = platform.VMLeaving, &deadline
		vms, err := store.VMs(context.Background())
		must.NoError(t, err)
		must.Eq(t, []platform.VM{vm}, vms)
	})
}
