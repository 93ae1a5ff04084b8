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

// task owns one shard: its queues and the cached shard. It has one write in flight at a time.
type task struct {
	writer *Writer
	shard  int
	wake   chan struct{} // signals queued submissions; capacity 1
	// queues is guarded by writer.mu.
	queues [classCount][]*submission

	// cached is nil if the next attempt must read the shard. It may contain operations of the current batch that
	// are not stored yet; it is discarded if the batch fails.
	cached *storedShard
	// unusedObjects maps the keys of base objects to their revisions, or to 0 if the revision is not known. The
	// objects belong to a replaced base, or to a new base whose head may not have been written.
	unusedObjects map[string]uint64
}

// enqueue adds a submission. The caller must hold writer.mu.
func (t *task) enqueue(s *submission) error {
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

// run stores batches until the writer is closed or the shard has been idle for idleTimeout.
func (t *task) run() {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-t.wake:
		case <-idle.C:
			if t.removeIfIdle() {
				return
			}
		case <-t.writer.ctx.Done():
			t.failQueued()
			return
		}
		for t.mostUrgentClass() < classCount && t.writer.ctx.Err() == nil {
			t.storeBatch()
		}
		idle.Reset(idleTimeout)
	}
}

// removeIfIdle discards the cached shard and removes the task from the writer if nothing is queued. It reports whether
// the task was removed.
func (t *task) removeIfIdle() bool {
	t.writer.mu.Lock()
	defer t.writer.mu.Unlock()
	for _, q := range t.queues {
		if len(q) > 0 {
			return false
		}
	}
	t.cached = nil
	if len(t.unusedObjects) > 0 {
		// The task stays, because only it can delete these objects, after its next write.
		return false
	}
	delete(t.writer.tasks, t.shard)
	return true
}

// failQueued returns ErrClosed to all queued submissions. It is called after the writer was closed.
func (t *task) failQueued() {
	t.writer.mu.Lock()
	defer t.writer.mu.Unlock()
	for c, q := range t.queues {
		for _, s := range q {
			s.done <- reply{err: ErrClosed}
		}
		t.queues[c] = nil
	}
}

// mostUrgentClass returns the most urgent class with queued submissions, or classCount if nothing is queued.
func (t *task) mostUrgentClass() class {
	t.writer.mu.Lock()
	defer t.writer.mu.Unlock()
	for c, q := range t.queues {
		if len(q) > 0 {
			return class(c)
		}
	}
	return classCount
}

// fillBatch moves queued submissions into the batch, the most urgent first, until the next one does not fit. It fails
// submissions whose context has ended, so that a writer that was paused does not apply operations of calls that have
// already returned.
func (t *task) fillBatch(b *batch) {
	t.writer.mu.Lock()
	defer t.writer.mu.Unlock()
	for c := range t.queues {
		for len(t.queues[c]) > 0 {
			s := t.queues[c][0]
			if s.ctx.Err() != nil {
				s.done <- reply{err: s.ctx.Err()}
			} else if b.reserveRoom(s) {
				b.submissions = append(b.submissions, s)
			} else {
				return
			}
			t.queues[c] = t.queues[c][1:]
		}
	}
}

// storeBatch stores one batch. Before each attempt it adds submissions that were queued meanwhile.
func (t *task) storeBatch() {
	b := &batch{}
	mostUrgent := t.mostUrgentClass()
	retry := newRetries()
	for {
		if !t.writer.health.beginAttempt() {
			t.fillBatch(b)
			t.abort(b, fmt.Errorf("ledgerwriter: %w", platform.ErrUnavailable))
			return
		}
		if err := t.writer.limiter.wait(t.writer.ctx, mostUrgent); err != nil {
			t.abort(b, ErrClosed)
			return
		}
		t.fillBatch(b)
		if b.isEmpty() {
			t.writer.health.cancelAttempt()
			return
		}
		err := t.tryStore(b)
		if err == nil {
			t.writer.recordAnswer()
			t.writer.calls.ops.Add(uint64(b.opCount))
			b.sendResults()
			t.deleteUnusedObjects(t.writer.ctx)
			return
		}
		if !t.waitForRetry(retry, err) {
			t.abort(b, err)
			return
		}
	}
}

// retries counts the failed attempts to store one batch.
type retries struct {
	// unavailable counts consecutive failures with platform.ErrUnavailable, conflicts all conflicts of the batch.
	unavailable, conflicts int
	delays                 *backoff.ExponentialBackOff
}

func newRetries() *retries { return &retries{delays: newBackOff(minRetryDelay, maxRetryDelay)} }

// waitForRetry reports whether a failed batch must be tried again, and waits as long as the kind of failure requires.
func (t *task) waitForRetry(r *retries, err error) bool {
	health := t.writer.health
	if errors.Is(err, platform.ErrUnavailable) {
		r.unavailable++
		if r.unavailable >= unavailableThreshold || health.isDown() {
			health.recordFailure()
			return false
		}
	} else {
		r.unavailable = 0
		t.writer.recordAnswer()
	}
	if errors.Is(err, platform.ErrThrottled) {
		t.writer.limiter.startSlowly()
	}
	switch {
	case errors.Is(err, platform.ErrConflict):
		// The first conflict is resolved by reading the shard again; further ones mean that other writers are busy.
		if r.conflicts++; r.conflicts == 1 {
			return true
		}
	case errors.Is(err, platform.ErrUncertain), errors.Is(err, platform.ErrThrottled),
		errors.Is(err, platform.ErrUnavailable):
	default:
		return false
	}
	return sleep(t.writer.ctx, r.delays.NextBackOff()) == nil
}

// abort fails the batch and discards the cached shard, which may contain its operations.
func (t *task) abort(b *batch, err error) {
	t.cached = nil
	b.sendError(err)
}

// tryStore makes one attempt to write the batch, after reading the shard if it is not cached.
func (t *task) tryStore(b *batch) error {
	ctx := t.writer.ctx
	if t.cached == nil {
		s, err := t.writer.load(ctx, t.shard)
		if err != nil {
			return err
		}
		t.replaceCached(b, s)
	}
	now := time.Now()
	b.apply(t.cached.shard, now)
	t.cached.shard.Prune(now)
	if err := t.extendHead(ctx); err != nil {
		return err
	}
	value, err := t.cached.head.Encode()
	if err != nil {
		return err
	}
	object, err := t.writer.put(ctx, ledger.Key(t.shard), value, t.cached.revision)
	switch {
	case err == nil:
		t.cached.revision, t.cached.value = object.Revision, value
	case errors.Is(err, platform.ErrConflict):
		t.cached = nil
	case errors.Is(err, platform.ErrUncertain):
		return t.resolveUncertainWrite(ctx, b, value, err)
	}
	return err
}

// replaceCached replaces the cached shard by one that was read, to which the whole batch must be applied again.
func (t *task) replaceCached(b *batch, s *storedShard) {
	t.cached = s
	b.applied = 0
}

// resolveUncertainWrite reads the shard to find out whether a write whose response was lost took effect. It returns nil
// if the stored head equals value. Otherwise it returns uncertain, and the next attempt applies the batch to the shard
// that was read; the shard recognises by operation id which operations took effect.
func (t *task) resolveUncertainWrite(ctx context.Context, b *batch, value []byte, uncertain error) error {
	t.cached = nil
	s, err := t.writer.load(ctx, t.shard)
	if err != nil {
		return err
	}
	if bytes.Equal(s.value, value) {
		t.cached = s
		return nil
	}
	t.replaceCached(b, s)
	return uncertain
}
