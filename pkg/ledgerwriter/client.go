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

// Remote applies operations through the writer of another router. Errors wrap platform.ErrUnavailable if the
// other router or the platform behind it was not reached.
type Remote interface {
	Apply(ctx context.Context, address, organisation string, ops []budget.Op) ([]budget.Result, error)
	Read(ctx context.Context, address, organisation string) ([]budget.Status, error)
}

// Bounds of the client.
const (
	// remoteTimeout is how long another router may take. It exceeds the time between two writes of a busy shard.
	remoteTimeout = 3 * time.Second
	// avoidTime is how long a router that did not answer is not asked again.
	avoidTime = 2 * time.Second
	// maxDetours is the number of other routers that are asked if neither the primary router nor this one reaches
	// the platform.
	maxDetours = 3
)

// Client implements budget.Ledger. It sends operations to the primary router of the shard, whose writer collects those
// of the whole fleet, and falls back to this router's writer and then to other routers. Any path is safe.
type Client struct {
	writer *Writer
	remote Remote
	view   member.View
	shards int

	mu    sync.Mutex
	avoid map[string]time.Time
}

// NewClient returns a Client. shards is the number returned by Layout.
func NewClient(writer *Writer, remote Remote, view member.View, shards int) *Client {
	return &Client{writer: writer, remote: remote, view: view, shards: shards, avoid: map[string]time.Time{}}
}

// Apply implements budget.Ledger.
func (c *Client) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	return route(ctx, c, organisation,
		func(ctx context.Context, address string) ([]budget.Result, error) {
			return c.remote.Apply(ctx, address, organisation, ops)
		},
		func() ([]budget.Result, error) { return c.ApplyLocal(ctx, organisation, ops) })
}

// ApplyLocal applies the operations with this router's writer. The service that other routers call uses it.
func (c *Client) ApplyLocal(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	return c.writer.Apply(ctx, ledger.ShardOf(organisation, c.shards), ops)
}

// Read implements budget.Ledger.
func (c *Client) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	statuses, err := c.ReadLocal(ctx, organisation)
	if err == nil || !errors.Is(err, platform.ErrUnavailable) {
		return statuses, err
	}
	return route(ctx, c, organisation,
		func(ctx context.Context, address string) ([]budget.Status, error) {
			return c.remote.Read(ctx, address, organisation)
		},
		func() ([]budget.Status, error) { return nil, err })
}

// ReadLocal reads with this router's connection to the platform.
func (c *Client) ReadLocal(ctx context.Context, organisation string) ([]budget.Status, error) {
	return c.writer.Read(ctx, ledger.ShardOf(organisation, c.shards), organisation)
}

// route tries the primary router, this router and then others, until one reaches the platform.
func route[T any](ctx context.Context, c *Client, organisation string,
	there func(context.Context, string) (T, error), here func() (T, error),
) (T, error) {
	var none T
	others, primary := c.ranked(organisation)
	var errs error
	if !primary && len(others) > 0 {
		r, err := visit(ctx, c, others[0], there)
		if final(ctx, err) {
			return r, err
		}
		errs = errors.Join(errs, err)
		others = others[1:]
	}
	r, err := here()
	if final(ctx, err) {
		return r, err
	}
	errs = errors.Join(errs, err)
	for _, m := range others[:min(maxDetours, len(others))] {
		r, err := visit(ctx, c, m, there)
		if final(ctx, err) {
			return r, err
		}
		errs = errors.Join(errs, err)
	}
	return none, fmt.Errorf("ledgerwriter: no path to the platform: %w", errs)
}

// final reports whether another path would not help.
func final(ctx context.Context, err error) bool {
	return err == nil || ctx.Err() != nil || !errors.Is(err, platform.ErrUnavailable)
}

// visit asks another router, unless it did not answer a short time ago.
func visit[T any](ctx context.Context, c *Client, m member.Member, there func(context.Context, string) (T, error)) (T, error) {
	var none T
	c.mu.Lock()
	until := c.avoid[m.Instance]
	c.mu.Unlock()
	if time.Now().Before(until) {
		return none, fmt.Errorf("ledgerwriter: router %s did not answer: %w", m.Instance, platform.ErrUnavailable)
	}
	limited, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	r, err := there(limited, m.PeerAddress)
	if err == nil {
		return r, nil
	}
	if limited.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		c.shun(m.Instance)
	}
	return none, err
}

// shun remembers that a router did not answer, and forgets those whose time has passed.
func (c *Client) shun(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	c.avoid[instance] = now.Add(avoidTime)
}

// ranked returns the other alive routers in the order of their rank for the shard, and whether this router is the
// primary router. All routers use the same order, so that operations meet at few writers also when the primary is down.
func (c *Client) ranked(organisation string) (others []member.Member, primary bool) {
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
