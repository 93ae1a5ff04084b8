package ledgerwriter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// callCounters counts calls to the platform, their failures by cause and the stored operations.
type callCounters struct {
	gets, puts, deletes, bytes, ops, conflicts, uncertain, throttled, unavailable atomic.Uint64
}

// Counts is a snapshot of a writer's call counters.
type Counts struct {
	// Gets, Puts and Deletes count calls by kind; Bytes is the total size of the values of all puts.
	Gets, Puts, Deletes, Bytes uint64
	// Ops is the number of operations stored by this writer.
	Ops uint64
	// Conflicts, Uncertain, Throttled and Unavailable count failures by cause.
	Conflicts, Uncertain, Throttled, Unavailable uint64
}

// Counts returns the current values of the call counters. They are read one by one, not at one instant.
func (w *Writer) Counts() Counts {
	c := &w.calls
	return Counts{
		Gets: c.gets.Load(), Puts: c.puts.Load(), Deletes: c.deletes.Load(), Bytes: c.bytes.Load(), Ops: c.ops.Load(), Conflicts: c.conflicts.Load(),
		Uncertain: c.uncertain.Load(), Throttled: c.throttled.Load(), Unavailable: c.unavailable.Load(),
	}
}

// QueueLengths returns the number of queued calls by class, over all shards.
func (w *Writer) QueueLengths() map[string]int64 {
	names := [classCount]string{classSettle: "settle", classGrant: "grant", classOther: "other"}
	lengths := map[string]int64{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, name := range names {
		lengths[name] = 0
		for _, t := range w.tasks {
			lengths[name] += int64(len(t.queues[c]))
		}
	}
	return lengths
}

// Available reports whether the platform counts as available.
func (w *Writer) Available() bool { return !w.health.isDown() }

func (w *Writer) get(ctx context.Context, key string) (platform.Object, error) {
	w.calls.gets.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := w.store.Get(ctx, key)
	if ctx.Err() != nil && err != nil && !errors.Is(err, platform.ErrUnavailable) {
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	w.countFailure(err)
	return object, err
}

func (w *Writer) put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	w.calls.puts.Add(1)
	w.calls.bytes.Add(uint64(len(value)))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := w.store.Put(ctx, key, value, ifRevision)
	if ctx.Err() != nil && err != nil && !isNotWritten(err) {
		err = fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	w.countFailure(err)
	return object, err
}

// isNotWritten reports whether the error proves that nothing was written.
func isNotWritten(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrTooLarge)
}

// countFailure increments the counter for the cause of err, if it has one.
func (w *Writer) countFailure(err error) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		w.calls.conflicts.Add(1)
	case errors.Is(err, platform.ErrUncertain):
		w.calls.uncertain.Add(1)
	case errors.Is(err, platform.ErrThrottled):
		w.calls.throttled.Add(1)
	case errors.Is(err, platform.ErrUnavailable):
		w.calls.unavailable.Add(1)
	}
}
