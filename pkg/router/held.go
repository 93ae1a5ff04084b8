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

// ListHeld implements admin.HeldInstances. It reads every ledger shard if an instance is held.
func (b *accounting) ListHeld(ctx context.Context) ([]admin.HeldInstance, error) {
	records, err := instance.ListHeld(ctx, b.store)
	if err != nil || len(records) == 0 {
		return nil, err
	}
	slices.SortFunc(records, func(a, b instance.Record) int { return strings.Compare(a.Instance, b.Instance) })
	if b.shards.Load() == 0 {
		return nil, fmt.Errorf("held tokens: %w: %w", errNoLayout, platform.ErrUnavailable)
	}
	held := make([]admin.HeldInstance, len(records))
	ids := make([]string, len(records))
	for i, r := range records {
		held[i].Record, ids[i] = r, r.Instance
	}
	for shard := range int(b.shards.Load()) {
		grants, err := b.writer.GrantsOf(ctx, shard, ids)
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
func (b *accounting) Release(ctx context.Context, id string) error {
	closer := b.closer.Load()
	if closer == nil {
		return fmt.Errorf("release instance %s: %w: %w", id, errNoLayout, platform.ErrUnavailable)
	}
	return closer.Release(ctx, id)
}
