package ledgerwriter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// Remote applies operations through the writer of another router. Errors wrap platform.ErrUnavailable if the other
// router was not reached, or did not reach the platform.
type Remote interface {
	Apply(ctx context.Context, address, organisation string, ops []budget.Op) ([]budget.Result, error)
	Read(ctx context.Context, address, organisation string) ([]budget.Status, error)
}

// Limits of the client.
const (
	// remoteTimeout limits a call to another router. It exceeds the time between two writes of a busy shard.
	remoteTimeout = 3 * time.Second
	// avoidDuration is how long a router is not called again after a call to it returned platform.ErrUnavailable.
	avoidDuration = 2 * time.Second
	// maxFallbackRouters is the number of further routers that are tried if neither the primary router nor this one
	// reaches the platform.
	maxFallbackRouters = 3
)

// Client implements budget.Ledger. It sends operations to the primary router of the shard, whose writer batches those of
// the whole fleet, and falls back to this router's writer and then to other routers. Any path is safe. Client is safe
// for concurrent use.
type Client struct {
	writer *Writer
	remote Remote
	view   member.View
	shards int

	mu sync.Mutex
	// avoidUntil maps instances of unreachable routers to the time before which they are not called.
	avoidUntil map[string]time.Time
}

// NewClient returns a Client. shards must be the number returned by EnsureLayout.
func NewClient(writer *Writer, remote Remote, view member.View, shards int) *Client {
	return &Client{writer: writer, remote: remote, view: view, shards: shards, avoidUntil: map[string]time.Time{}}
}

// Apply implements budget.Ledger.
func (c *Client) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	return callWithFallback(ctx, c, organisation,
		func(ctx context.Context, address string) ([]budget.Result, error) {
			return c.remote.Apply(ctx, address, organisation, ops)
		},
		func() ([]budget.Result, error) { return c.ApplyLocal(ctx, organisation, ops) })
}

// ApplyLocal applies the operations with this router's writer. The service that other routers call must use it, so that
// operations are not forwarded again.
func (c *Client) ApplyLocal(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	return c.writer.Apply(ctx, ledger.ShardOf(organisation, c.shards), ops)
}

// Read implements budget.Ledger.
func (c *Client) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	statuses, err := c.ReadLocal(ctx, organisation)
	if err == nil || !errors.Is(err, platform.ErrUnavailable) {
		return statuses, err
	}
	return callWithFallback(ctx, c, organisation,
		func(ctx context.Context, address string) ([]budget.Status, error) {
			return c.remote.Read(ctx, address, organisation)
		},
		func() ([]budget.Status, error) { return nil, err })
}

// ReadLocal reads the status of the organisation's budgets with this router's connection to the platform.
func (c *Client) ReadLocal(ctx context.Context, organisation string) ([]budget.Status, error) {
	return c.writer.Read(ctx, ledger.ShardOf(organisation, c.shards), organisation)
}

// callWithFallback tries the primary router, this router and then others in the order of their rank, until one reaches
// the platform.
func callWithFallback[T any](ctx context.Context, c *Client, organisation string,
	remote func(context.Context, string) (T, error), local func() (T, error),
) (T, error) {
	var zero T
	others, isPrimary := c.rankRouters(organisation)
	var errs error
	if !isPrimary && len(others) > 0 {
		r, err := callRouter(ctx, c, others[0], remote)
		if isFinal(ctx, err) {
			return r, err
		}
		errs = errors.Join(errs, err)
		others = others[1:]
	}
	r, err := local()
	if isFinal(ctx, err) {
		return r, err
	}
	errs = errors.Join(errs, err)
	for _, m := range others[:min(maxFallbackRouters, len(others))] {
		r, err := callRouter(ctx, c, m, remote)
		if isFinal(ctx, err) {
			return r, err
		}
		errs = errors.Join(errs, err)
	}
	return zero, fmt.Errorf("ledgerwriter: no path to the platform: %w", errs)
}

// isFinal reports whether the result of a call stands: it succeeded, ctx has ended, or it failed for another reason than
// an unreachable platform, which another router would not change.
func isFinal(ctx context.Context, err error) bool {
	return err == nil || ctx.Err() != nil || !errors.Is(err, platform.ErrUnavailable)
}

// callRouter calls remote with the address of another router, unless that router was unreachable a short time ago.
func callRouter[T any](ctx context.Context, c *Client, m member.Member, remote func(context.Context, string) (T, error)) (T, error) {
	var zero T
	c.mu.Lock()
	until := c.avoidUntil[m.Instance]
	c.mu.Unlock()
	if time.Now().Before(until) {
		return zero, fmt.Errorf("ledgerwriter: router %s was unreachable recently: %w", m.Instance, platform.ErrUnavailable)
	}
	callCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	r, err := remote(callCtx, m.PeerAddress)
	if err == nil {
		return r, nil
	}
	if callCtx.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		c.markUnreachable(m.Instance)
	}
	return zero, err
}

// markUnreachable records that a router must not be called for avoidDuration, and removes expired entries.
func (c *Client) markUnreachable(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	c.avoidUntil[instance] = now.Add(avoidDuration)
}

// rankRouters returns the other alive routers in the order of their rank for the shard, and whether this router is the
// primary router. All routers use the same order, so that few writers receive the operations of a shard even when the
// primary router is down.
func (c *Client) rankRouters(organisation string) (others []member.Member, isPrimary bool) {
	self := c.view.Self().Instance
	alive := map[string]member.Member{self: c.view.Self()}
	for _, m := range c.view.Members() {
		if m.State == member.Alive {
			alive[m.Instance] = m
		}
	}
	ids := make([]string, 0, len(alive))
	for id := range alive {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[string])
	ranked := rendezvous.Rank(ledger.Key(ledger.ShardOf(organisation, c.shards)), ids)
	for _, id := range ranked {
		if id != self {
			others = append(others, alive[id])
		}
	}
	return others, ranked[0] == self
}
