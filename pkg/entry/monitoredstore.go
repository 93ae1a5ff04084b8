package entry

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

// monitoredStore counts each call to the store and tells the monitor its result. The calls of feeds are given up if the monitor finds that
// they were lost.
type monitoredStore struct {
	Store
	monitor *contact.Monitor
	calls   *storeCalls
}

// monitorStore makes all calls of the router to the store go through the monitor.
func (r *Router) monitorStore() {
	r.contact = contact.NewMonitor(contact.Options{
		Log: r.log,
		// The routers that watch the store probe it; the others follow them.
		MayProbe: func() bool { return len(r.roster.Leaders(maxSmallFleet, leadersPerZone)) == 0 },
		Probe: func(ctx context.Context) error {
			_, err := r.adapter.Store.ListStale(ctx, poison.RegistryKind+"/") // A short list.
			return err
		},
	})
	r.storeCalls = newStoreCalls()
	r.adapter.Store = monitoredStore{Store: r.adapter.Store, monitor: r.contact, calls: r.storeCalls}
	r.breaker = &circuitBreaker{Store: r.adapter.Store, contact: r.contact}
}

// Get implements Store.
func (s monitoredStore) Get(ctx context.Context, key string) (object platform.Object, err error) {
	s.calls.count("get", key)
	err = s.monitor.Call(ctx, false, func(ctx context.Context) (err error) {
		object, err = s.Store.Get(ctx, key)
		return err
	})
	return object, err
}

// Put implements Store. The result of a call that is given up is uncertain.
func (s monitoredStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (object platform.Object, err error) {
	s.calls.count("put", key)
	err = s.monitor.Call(ctx, false, func(ctx context.Context) (err error) {
		object, err = s.Store.Put(ctx, key, value, ifRevision)
		return err
	})
	return object, err
}

// Delete implements Store. The result of a call that is given up is uncertain.
func (s monitoredStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	s.calls.count("delete", key)
	return s.monitor.Call(ctx, false, func(ctx context.Context) error { return s.Store.Delete(ctx, key, ifRevision) })
}

// List implements Store.
func (s monitoredStore) List(ctx context.Context, prefix string) (objects []platform.Object, revision uint64, err error) {
	s.calls.count("list", prefix)
	err = s.monitor.Call(ctx, true, func(ctx context.Context) (err error) {
		objects, revision, err = s.Store.List(ctx, prefix)
		return err
	})
	return objects, revision, err
}

// ListStale implements Store.
func (s monitoredStore) ListStale(ctx context.Context, prefix string) (objects []platform.Object, err error) {
	s.calls.count("list_stale", prefix)
	err = s.monitor.Call(ctx, false, func(ctx context.Context) (err error) {
		objects, err = s.Store.ListStale(ctx, prefix)
		return err
	})
	return objects, err
}

// Poll implements Store.
func (s monitoredStore) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []platform.Object, revision uint64, err error) {
	s.calls.count("watch", prefix)
	err = s.monitor.Call(ctx, true, func(ctx context.Context) (err error) {
		changes, revision, err = s.Store.Poll(ctx, prefix, after, wait)
		return err
	})
	return changes, revision, err
}
