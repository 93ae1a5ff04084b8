package router

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// defaultShards is the number of ledger shards that a new deployment gets.
const defaultShards = 64

// lateLedger is a ledger whose number of shards is read from the platform in the background, so that a router
// can start while the platform is unavailable.
type lateLedger struct {
	client atomic.Pointer[ledgerwriter.Client]
}

// load reads the layout, with retries until ctx ends, and makes the ledger usable.
func (l *lateLedger) load(ctx context.Context, store platform.Store, build func(shards int) *ledgerwriter.Client) {
	for ctx.Err() == nil {
		shards, err := ledgerwriter.Layout(ctx, store, defaultShards)
		if err == nil {
			l.client.Store(build(shards))
			return
		}
		sleep(ctx, retryInterval)
	}
}

// Apply implements budget.Ledger.
func (l *lateLedger) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	client := l.client.Load()
	if client == nil {
		return nil, fmt.Errorf("ledger layout is not known yet: %w", platform.ErrUnavailable)
	}
	return client.Apply(ctx, organisation, ops)
}

// Read implements budget.Ledger.
func (l *lateLedger) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	client := l.client.Load()
	if client == nil {
		return nil, fmt.Errorf("ledger layout is not known yet: %w", platform.ErrUnavailable)
	}
	return client.Read(ctx, organisation)
}
