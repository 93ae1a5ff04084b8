package router

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

var _ admin.HeldInstances = (*accounting)(nil)

// ListHeld implements admin.HeldInstances. If any instance is held, it reads every ledger shard.
func (a *accounting) ListHeld(ctx context.Context) ([]admin.HeldInstance, error) {
	records, err := instance.ListHeld(ctx, a.store)
	if err != nil || len(records) == 0 {
		return nil, err
	}
	slices.SortFunc(records, func(a, b instance.Record) int { return strings.Compare(a.Instance, b.Instance) })
	if a.shardCount.Load() == 0 {
		return nil, fmt.Errorf("list held instances: %w: %w", errShardCountUnknown, platform.ErrUnavailable)
	}
	held := make([]admin.HeldInstance, len(records))
	ids := make([]string, len(records))
	for i, r := range records {
		held[i].Record, ids[i] = r, r.Instance
	}
	for shard := range int(a.shardCount.Load()) {
		grants, err := a.writer.GrantsOf(ctx, shard, ids)
		if err != nil {
			return nil, err
		}
		for i := range held {
			held[i].Grants = append(held[i].Grants, grants[ids[i]]...)
		}
	}
	return held, nil
}

// Release implements admin.HeldInstances.
func (a *accounting) Release(ctx context.Context, id string) error {
	closer := a.closer.Load()
	if closer == nil {
		return fmt.Errorf("release instance %s: %w: %w", id, errShardCountUnknown, platform.ErrUnavailable)
	}
	return closer.Release(ctx, id)
}
