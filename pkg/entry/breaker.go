package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// errBreakerOpen is returned for calls that are not made while the store doesn't respond.
var errBreakerOpen = fmt.Errorf("%w: the store is lost", platform.ErrUnavailable)

// circuitBreaker rejects calls to the store while the configuration's feed can't reach it and no other call is answered. Only that
// feed, which calls the store directly, and the probes of the monitor check whether the store is back. So the router makes few
// calls during a partition, and its callers don't wait for timeouts.
type circuitBreaker struct {
	Store
	// lost is set by the configuration's feed while it can't reach the store.
	lost atomic.Bool
	// isSilent reports whether no call has been answered since one was lost.
	isSilent func() bool
}

func (b *circuitBreaker) isOpen() bool { return b.lost.Load() && b.isSilent() }

// Get implements platform.Store.
func (b *circuitBreaker) Get(ctx context.Context, key string) (platform.Object, error) {
	if b.isOpen() {
		return platform.Object{}, errBreakerOpen
	}
	return b.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (b *circuitBreaker) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if b.isOpen() {
		return platform.Object{}, errBreakerOpen
	}
	return b.Store.Put(ctx, key, value, ifRevision)
}

// Delete implements platform.Store.
func (b *circuitBreaker) Delete(ctx context.Context, key string, ifRevision uint64) error {
	if b.isOpen() {
		return errBreakerOpen
	}
	return b.Store.Delete(ctx, key, ifRevision)
}

// ListStale implements Store.
func (b *circuitBreaker) ListStale(ctx context.Context, prefix string) ([]platform.Object, error) {
	if b.isOpen() {
		return nil, errBreakerOpen
	}
	return b.Store.ListStale(ctx, prefix)
}

// List implements platform.Store.
func (b *circuitBreaker) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	if b.isOpen() {
		return nil, 0, errBreakerOpen
	}
	return b.Store.List(ctx, prefix)
}

// Poll implements platform.Store.
func (b *circuitBreaker) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if b.isOpen() {
		return nil, after, errBreakerOpen
	}
	return b.Store.Poll(ctx, prefix, after, wait)
}
