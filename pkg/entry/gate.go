package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// errLost is returned for calls that are not made because the store doesn't answer at present.
var errLost = fmt.Errorf("%w: the store is lost", platform.ErrUnavailable)

// gate refuses calls to the store while the configuration's feed finds it lost. The feed alone tries whether it is back,
// so a router makes few calls in a partition and its callers don't wait for timeouts.
type gate struct {
	Store
	lost atomic.Bool
}

// Get implements platform.Store.
func (g *gate) Get(ctx context.Context, key string) (platform.Object, error) {
	if g.lost.Load() {
		return platform.Object{}, errLost
	}
	return g.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (g *gate) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if g.lost.Load() {
		return platform.Object{}, errLost
	}
	return g.Store.Put(ctx, key, value, ifRevision)
}

// Delete implements platform.Store.
func (g *gate) Delete(ctx context.Context, key string, ifRevision uint64) error {
	if g.lost.Load() {
		return errLost
	}
	return g.Store.Delete(ctx, key, ifRevision)
}

// ListStale implements Store.
func (g *gate) ListStale(ctx context.Context, prefix string) ([]platform.Object, error) {
	if g.lost.Load() {
		return nil, errLost
	}
	return g.Store.ListStale(ctx, prefix)
}

// List implements platform.Store.
func (g *gate) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	if g.lost.Load() {
		return nil, 0, errLost
	}
	return g.Store.List(ctx, prefix)
}

// Poll implements platform.Store.
func (g *gate) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if g.lost.Load() {
		return nil, after, errLost
	}
	return g.Store.Poll(ctx, prefix, after, wait)
}
