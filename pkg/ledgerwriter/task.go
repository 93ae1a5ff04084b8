package ledgerwriter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// task owns one shard: its queues and the cached state. One write is in flight at a time.
type task struct {
	w     *Writer
	shard int
	wake  chan struct{}
	// queues is guarded by w.mu.
	queues [classes][]*submission

	// stored is nil if the next attempt must read the shard. It may contain operations of the current batch that
	// are not stored yet; it is dropped if the batch fails.
	stored *stored
	// unused maps the keys of objects that no head refers to, or that a head refers to which may not be written,
	// to their revisions; 0 means that the revision is not known.
	unused map[string]uint64
}

// push adds a submission; the caller holds w.mu.
func (t *task) push(s *submission) error {
	if len(t.queues[s.class]) >= maxQueue {
		return fmt.Errorf("%w: shard %d", ErrQueueFull, t.shard)
	}
	t.queues[s.class] = append(t.queues[s.class], s)
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return nil
}

func (t *task) run() {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-t.wake:
		case <-idle.C:
			if t.retire() {
				return
			}
		case <-t.w.ctx.Done():
			t.drain()
			return
		}
		for t.pending() < classes && t.w.ctx.Err() == nil {
			t.commit()
		}
		idle.Reset(idleTime)
	}
}

// retire drops the cached state and removes the task if nothing waits.
func (t *task) retire() bool {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	for _, q := range t.queues {
		if len(q) > 0 {
			return false
		}
	}
	t.stored = nil
	if len(t.unused) > 0 {
		// The objects are deleted after the next write.
		return false
	}
	delete(t.w.shards, t.shard)
	return true
}

// drain fails what waits after the writer was closed.
func (t *task) drain() {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	for c, q := range t.queues {
		for _, s := range q {
			s.done <- reply{err: ErrClosed}
		}
		t.queues[c] = nil
	}
}

// pending returns the most urgent class that waits, or classes if nothing waits.
func (t *task) pending() class {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	for c, q := range t.queues {
		if len(q) > 0 {
			return class(c)
		}
	}
	return classes
}

// collect moves waiting submissions into the batch, the most urgent first. It drops those whose caller has gone,
// so that a writer that was paused does not apply what nobody waits for.
func (t *task) collect(b *batch) {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	for c := range t.queues {
		for len(t.queues[c]) > 0 {
			s := t.queues[c][0]
			if s.ctx.Err() != nil {
				s.done <- reply{err: s.ctx.Err()}
			} else if b.fits(s) {
				b.submissions = append(b.submissions, s)
			} else {
				return
			}
			t.queues[c] = t.queues[c][1:]
		}
	}
}

// commit stores one batch. Between attempts it adds what has come in since.
func (t *task) commit() {
	b := &batch{}
	urgent := t.pending()
	retry := newRetries()
	for {
		if !t.w.health.enter() {
			t.collect(b)
			t.abort(b, fmt.Errorf("ledgerwriter: %w", platform.ErrUnavailable))
			return
		}
		if err := t.w.limiter.take(t.w.ctx, urgent); err != nil {
			t.abort(b, ErrClosed)
			return
		}
		t.collect(b)
		if b.empty() {
			t.w.health.leave()
			return
		}
		err := t.attempt(b)
		if err == nil {
			t.w.answered()
			t.w.calls.ops.Add(uint64(b.ops))
			b.answer()
			t.sweep(t.w.ctx)
			return
		}
		if !t.again(retry, err) {
			t.abort(b, err)
			return
		}
	}
}

// retries are the failures of the attempts to store one batch.
type retries struct {
	// unavailable and conflicts count failures of one kind in a row.
	unavailable, conflicts int
	waits                  *backoff.ExponentialBackOff
}

func newRetries() *retries { return &retries{waits: newBackOff(firstRetry, lastRetry)} }

// again reports whether a failed batch is to be tried again, after waiting for the time that the failure needs.
func (t *task) again(r *retries, err error) bool {
	health := t.w.health
	if errors.Is(err, platform.ErrUnavailable) {
		r.unavailable++
		if r.unavailable >= unavailableAfter || health.isDown() {
			health.fail()
			return false
		}
	} else {
		r.unavailable = 0
		t.w.answered()
	}
	if errors.Is(err, platform.ErrThrottled) {
		t.w.limiter.slow()
	}
	switch {
	case errors.Is(err, platform.ErrConflict):
		// The first conflict is resolved by reading; more of them mean that other writers are busy.
		if r.conflicts++; r.conflicts == 1 {
			return true
		}
	case errors.Is(err, platform.ErrUncertain), errors.Is(err, platform.ErrThrottled),
		errors.Is(err, platform.ErrUnavailable):
	default:
		return false
	}
	return sleep(t.w.ctx, r.waits.NextBackOff()) == nil
}

// abort fails the batch and drops the cached state, which may contain its operations.
func (t *task) abort(b *batch, err error) {
	t.stored = nil
	b.fail(err)
}

// attempt writes the batch once.
func (t *task) attempt(b *batch) error {
	ctx := t.w.ctx
	if t.stored == nil {
		s, err := t.w.load(ctx, t.shard)
		if err != nil {
			return err
		}
		t.adopt(b, s)
	}
	now := time.Now()
	b.apply(t.stored.state, now)
	t.stored.state.Prune(now)
	if err := t.extend(ctx); err != nil {
		return err
	}
	value, err := t.stored.head.Encode()
	if err != nil {
		return err
	}
	object, err := t.w.put(ctx, ledger.Key(t.shard), value, t.stored.revision)
	switch {
	case err == nil:
		t.stored.revision, t.stored.value = object.Revision, value
	case errors.Is(err, platform.ErrConflict):
		t.stored = nil
	case errors.Is(err, platform.ErrUncertain):
		return t.readBack(ctx, b, value, err)
	}
	return err
}

// adopt replaces the cached state by a stored one, to which the whole batch is applied again.
func (t *task) adopt(b *batch, s *stored) {
	t.stored = s
	b.applied = 0
}

// readBack finds out whether a write whose response was lost took effect. If the stored value is another one, the
// batch is applied to it again; the operation ids in it show what took effect.
func (t *task) readBack(ctx context.Context, b *batch, value []byte, lost error) error {
	t.stored = nil
	s, err := t.w.load(ctx, t.shard)
	if err != nil {
		return err
	}
	if bytes.Equal(s.value, value) {
		t.stored = s
		return nil
	}
	t.adopt(b, s)
	return lost
}
