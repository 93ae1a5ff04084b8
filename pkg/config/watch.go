package config

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Watcher keeps a Store up to date from the platform. It is owned by one goroutine.
type Watcher struct {
	store    *Store
	platform platform.Store
	// wait is the longest wait of one poll.
	wait time.Duration
	// after is the revision up to which the watcher has read; listed tells that it is valid.
	after  uint64
	listed bool
	relist bool
}

// NewWatcher returns a watcher that lists at its first step.
func NewWatcher(store *Store, p platform.Store, wait time.Duration) *Watcher {
	return &Watcher{store: store, platform: p, wait: wait}
}

// Step makes one platform call and returns the changes that the store accepted. A store that was loaded from a
// peer continues from its floor; otherwise, and after a gap, the watcher lists everything. A poll alone would lose
// the deletions that happened in the gap.
func (w *Watcher) Step(ctx context.Context) ([]Entry, error) {
	if floor := w.store.Summary(); !w.listed && !w.relist && floor.Loaded && floor.Floor > 0 {
		w.after, w.listed = floor.Floor, true
	}
	if !w.listed {
		return w.list(ctx)
	}
	objects, complete, err := w.platform.Poll(ctx, Prefix, w.after, w.wait)
	if errors.Is(err, platform.ErrGap) {
		return w.list(ctx)
	}
	if err != nil {
		return nil, err
	}
	w.after = max(w.after, complete)
	return w.store.Advance(entriesOf(objects), complete), nil
}

// Reset makes the next step continue from the store's floor. It is called when a watcher resumes after a pause.
func (w *Watcher) Reset() { w.listed = false }

// Relist makes the next step list everything.
func (w *Watcher) Relist() { w.listed, w.relist = false, true }

func (w *Watcher) list(ctx context.Context) ([]Entry, error) {
	objects, revision, err := w.platform.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	w.after, w.listed, w.relist = revision, true, false
	return w.store.MergeList(entriesOf(objects), revision), nil
}

func entriesOf(objects []platform.Object) []Entry {
	entries := make([]Entry, len(objects))
	for i, o := range objects {
		entries[i] = Entry{Key: o.Key, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
	}
	return entries
}
