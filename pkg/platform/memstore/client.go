package memstore

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// client implements platform.Store for one client id.
type client struct {
	store *Store
	id    string
}

// admitCall counts the call, applies the rate limit and FaultDown, and returns the delay that FaultSlow adds to the
// call.
func (c *client) admitCall(counter *uint64, bucket *Bucket) (time.Duration, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if s.hasFault(FaultDown, c.id) {
		return 0, platform.ErrUnavailable
	}
	if !bucket.Allow(1, s.clock.Now()) {
		s.counters.Throttled++
		return 0, platform.ErrThrottled
	}
	return s.longestDelay(FaultSlow, c.id), nil
}

// read runs a read with the delay of FaultSlow. It returns ErrUnavailable if ctx ends first.
func (c *client) read(ctx context.Context, counter *uint64, run func() error) error {
	delay, err := c.admitCall(counter, c.store.reads)
	if err != nil {
		return err
	}
	if err := c.store.clock.Sleep(ctx, delay/2); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	result := run()
	if err := c.store.clock.Sleep(ctx, delay-delay/2); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return result
}

// write runs a write with the delay of FaultSlow. If ctx ends in the first half of the delay, nothing is written; in
// the second half, the write has taken effect. Both cases return ErrUncertain, because a client of the platform can't
// distinguish them.
func (c *client) write(ctx context.Context, object platform.Object, ifRevision uint64) (platform.Object, error) {
	s := c.store
	if err := ctx.Err(); err != nil {
		return platform.Object{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if len(object.Value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	delay, err := c.admitCall(&s.counters.Writes, s.writes)
	if err != nil {
		return platform.Object{}, err
	}
	if err := s.clock.Sleep(ctx, delay/2); err != nil {
		return platform.Object{}, fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	stored, result := s.write(c.id, object, ifRevision)
	if err := s.clock.Sleep(ctx, delay-delay/2); err != nil {
		return platform.Object{}, fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	return stored, result
}

// Get implements platform.Store.
func (c *client) Get(ctx context.Context, key string) (platform.Object, error) {
	var found platform.Object
	err := c.read(ctx, &c.store.counters.Reads, func() error {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		object, ok := c.store.objects[key]
		if !ok {
			return fmt.Errorf("%w: %s", platform.ErrNotFound, key)
		}
		found = clone(object)
		return nil
	})
	return found, err
}

// Put implements platform.Store.
func (c *client) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	return c.write(ctx, platform.Object{Key: key, Value: bytes.Clone(value)}, ifRevision)
}

// Delete implements platform.Store.
func (c *client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := c.write(ctx, platform.Object{Key: key, Deleted: true}, ifRevision)
	return err
}

// List implements platform.Store.
func (c *client) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	var objects []platform.Object
	var revision uint64
	err := c.read(ctx, &c.store.counters.Lists, func() error {
		objects, revision = c.store.list(prefix)
		return nil
	})
	return objects, revision, err
}

// Poll implements platform.Store.
func (c *client) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	var objects []platform.Object
	revision := after
	err := c.read(ctx, &c.store.counters.Polls, func() error {
		var err error
		objects, revision, err = c.poll(ctx, prefix, after, wait)
		return err
	})
	return objects, revision, err
}

func (c *client) poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	s := c.store
	deadline := s.clock.Now().Add(wait)
	if c.consumeGapFault() {
		return nil, after, platform.ErrGap
	}
	for {
		objects, revision, changed, err := c.pollOnce(prefix, after)
		if err != nil || len(objects) > 0 {
			return objects, revision, err
		}
		after = revision
		remaining := deadline.Sub(s.clock.Now())
		if remaining <= 0 {
			return nil, revision, nil
		}
		s.waitForChange(ctx, changed, remaining)
		if err := ctx.Err(); err != nil {
			return nil, after, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
	}
}

func (c *client) consumeGapFault() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.consumeFault(FaultGap, c.id)
}

// pollOnce returns the changes after the given revision, the store's revision and a channel that is closed at the
// next change of objects or faults.
func (c *client) pollOnce(prefix string, after uint64) ([]platform.Object, uint64, <-chan struct{}, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasFault(FaultDown, c.id) {
		return nil, after, nil, platform.ErrUnavailable
	}
	objects, err := s.changes(prefix, after)
	if err != nil {
		return nil, after, nil, err
	}
	return objects, s.revision, s.changed, nil
}

// VMs implements platform.Store.
func (c *client) VMs(ctx context.Context) ([]platform.VM, error) {
	var vms []platform.VM
	err := c.read(ctx, &c.store.counters.VMLists, func() error {
		vms = c.store.visibleVMs(c.id)
		return nil
	})
	return vms, err
}
