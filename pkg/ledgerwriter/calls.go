package ledgerwriter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// calls counts calls to the platform and their failures.
type calls struct {
	gets, puts, deletes, bytes, ops, conflicts, uncertain, throttled, unavailable atomic.Uint64
}

// Counts is a snapshot of a writer's calls to the platform.
type Counts struct {
	// Gets, Puts and Deletes are calls by kind; Bytes is the size of the values of all puts.
	Gets, Puts, Deletes, Bytes uint64
	// Ops are the operations stored by this writer's puts.
	Ops uint64
	// Failures by cause.
	Conflicts, Uncertain, Throttled, Unavailable uint64
}

// Counts returns the calls made so far.
func (w *Writer) Counts() Counts {
	c := &w.calls
	return Counts{
		Gets: c.gets.Load(), Puts: c.puts.Load(), Deletes: c.deletes.Load(), Bytes: c.bytes.Load(), Ops: c.ops.Load(), Conflicts: c.conflicts.Load(),
		Uncertain: c.uncertain.Load(), Throttled: c.throttled.Load(), Unavailable: c.unavailable.Load(),
	}
}

// Queued returns the number of calls that wait to be written, by class.
func (w *Writer) Queued() map[string]int64 {
	names := [classes]string{classSettle: "settle", classGrant: "grant", classRest: "other"}
	queued := map[string]int64{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, name := range names {
		queued[name] = 0
		for _, t := range w.shards {
			queued[name] += int64(len(t.queues[c]))
		}
	}
	return queued
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
	w.count(err)
	return object, err
}

func (w *Writer) put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	w.calls.puts.Add(1)
	w.calls.bytes.Add(uint64(len(value)))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := w.store.Put(ctx, key, value, ifRevision)
	if ctx.Err() != nil && err != nil && !known(err) {
		err = fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	w.count(err)
	return object, err
}

// known reports whether the error tells that nothing was written.
func known(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrTooLarge)
}

func (w *Writer) count(err error) {
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
