package entry

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// monitoredStore tells the monitor the result of each call to the store.
type monitoredStore struct {
	Store
	monitor *contact.Monitor
}

// Get implements Store.
func (s monitoredStore) Get(ctx context.Context, key string) (platform.Object, error) {
	startedAt := time.Now()
	object, err := s.Store.Get(ctx, key)
	s.monitor.Record(ctx, startedAt, err)
	return object, err
}

// Put implements Store.
func (s monitoredStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	startedAt := time.Now()
	object, err := s.Store.Put(ctx, key, value, ifRevision)
	s.monitor.Record(ctx, startedAt, err)
	return object, err
}

// Delete implements Store.
func (s monitoredStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	startedAt := time.Now()
	err := s.Store.Delete(ctx, key, ifRevision)
	s.monitor.Record(ctx, startedAt, err)
	return err
}

// List implements Store.
func (s monitoredStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	startedAt := time.Now()
	objects, revision, err := s.Store.List(ctx, prefix)
	s.monitor.Record(ctx, startedAt, err)
	return objects, revision, err
}

// ListStale implements Store.
func (s monitoredStore) ListStale(ctx context.Context, prefix string) ([]platform.Object, error) {
	startedAt := time.Now()
	objects, err := s.Store.ListStale(ctx, prefix)
	s.monitor.Record(ctx, startedAt, err)
	return objects, err
}

// Poll implements Store.
func (s monitoredStore) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	startedAt := time.Now()
	changes, revision, err := s.Store.Poll(ctx, prefix, after, wait)
	s.monitor.Record(ctx, startedAt, err)
	return changes, revision, err
}
