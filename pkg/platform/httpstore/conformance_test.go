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

// startServer starts an HTTP server for the store on a loopback port and returns its address.
func startServer(t *testing.T, store *memstore.Store) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	handler := memstore.NewServer(store, -1)
	server := standin.NewServer("test", handler.Handle, memstore.MaxBodyBytes)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.NoError(t, server.Shutdown()) })
	return listener.Addr().String()
}

// newHTTPStore returns an HTTP client with the given id for a server of the store.
func newHTTPStore(t *testing.T, store *memstore.Store, id string, timeout time.Duration) platform.Store {
	return httpstore.New(httpstore.Options{Address: startServer(t, store), ClientID: id, Timeout: timeout})
}

// forEachStore runs the test with the in-memory client and with the HTTP client, which must behave the same.
func forEachStore(t *testing.T, options memstore.Options, test func(t *testing.T, backing *memstore.Store, store platform.Store)) {
	t.Run("memory", func(t *testing.T) {
		backing := memstore.New(options)
		test(t, backing, backing.Client("a"))
	})
	t.Run("http", func(t *testing.T) {
		backing := memstore.New(options)
		test(t, backing, newHTTPStore(t, backing, "a", callTimeout))
	})
}

// Guards against a write that is accepted on an old revision.
func TestConditionalUpdate(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
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

// Guards against a deletion that a watch does not return, and against a list that returns a deleted object.
func TestTombstones(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
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

// Guards against a watch that skips changes which the history no longer holds, and against one that continues at a
// revision above the store's, as after a restart of the store.
func TestPollGap(t *testing.T) {
	forEachStore(t, memstore.Options{History: 2}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
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

// Guards against a write whose response is lost and that is reported as failed or successful.
func TestLostResponse(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
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

// Guards against a fault of one client that affects another, and against a poll that stays pending during an outage.
func TestPartitionOfOneClient(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
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

// Guards against values above the limit that are accepted, and against a limit below 1 MB over HTTP.
func TestValueLimit(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, _ *memstore.Store, store platform.Store) {
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

// Guards against a pending poll that doesn't return a write made in the meantime, and against wrong counters.
func TestPendingPollReturnsChange(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
		ctx := context.Background()
		type result struct {
			changes  []platform.Object
			revision uint64
			err      error
		}
		polled := make(chan result, 1)
		go func() {
			changes, revision, err := store.Poll(ctx, "a/", 0, time.Minute)
			polled <- result{changes, revision, err}
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
func TestVMFields(t *testing.T) {
	forEachStore(t, memstore.Options{}, func(t *testing.T, backing *memstore.Store, store platform.Store) {
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
