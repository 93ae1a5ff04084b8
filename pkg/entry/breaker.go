package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// errBreakerOpen is returned for calls that are not made while the store doesn't respond.
var errBreakerOpen = fmt.Errorf("%w: the store is lost", platform.ErrUnavailable)

// circuitBreaker rejects calls to the store from when the configuration's feed can't reach it until that feed reaches it again, or until
// a silence of the store has ended. Only that feed, which calls the store directly, and the probes of the monitor check whether the
// store is back. So the router makes few calls during a partition or while the store rejects them, and its callers don't wait for
// timeouts.
type circuitBreaker struct {
	Store
	// lostAt is the time at which the configuration's feed lost the store, nil while it reaches it.
	lostAt  atomic.Pointer[time.Time]
	contact *contact.Monitor
}

// setLost is called by the configuration's feed when it loses the store and when it reaches it again.
func (b *circuitBreaker) setLost(lost bool) {
	if !lost {
		b.lostAt.Store(nil)
		return
	}
	now := time.Now()
	b.lostAt.Store(&now)
}

func (b *circuitBreaker) isOpen() bool {
	lostAt := b.lostAt.Load()
	return lostAt != nil && (b.contact.IsSilent() || !b.contact.LastSilence().Ended.After(*lostAt))
}

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
