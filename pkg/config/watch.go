package config

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Watcher keeps a Store up to date from the platform. It is not safe for concurrent use.
type Watcher struct {
	store    *Store
	platform platform.Store
	// maxWait is the maximum wait of one poll.
	maxWait time.Duration
	// after is the revision up to which the watcher has read. It is valid if hasAfter is true.
	after    uint64
	hasAfter bool
	// listRequested makes the next step list even if it could continue from the store's floor.
	listRequested bool
}

// NewWatcher returns a watcher. Its first step lists all objects if the store is not loaded. maxWait is the maximum
// wait of one poll.
func NewWatcher(store *Store, p platform.Store, maxWait time.Duration) *Watcher {
	return &Watcher{store: store, platform: p, maxWait: maxWait}
}

// Step polls the platform or lists all objects, and returns the changes that the store accepted. If the store was
// loaded from a peer, the watcher continues from the store's floor. Otherwise, and after a gap in the platform's
// history, it lists all objects, because a poll alone would miss the deletions in the gap.
func (w *Watcher) Step(ctx context.Context) ([]Entry, error) {
	if summary := w.store.Summary(); !w.hasAfter && !w.listRequested && summary.Loaded && summary.Floor > 0 {
		w.after, w.hasAfter = summary.Floor, true
	}
	if !w.hasAfter {
		return w.list(ctx)
	}
	objects, complete, err := w.platform.Poll(ctx, Prefix, w.after, w.maxWait)
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
func (w *Watcher) Reset() { w.hasAfter = false }

// Relist makes the next step list all objects.
func (w *Watcher) Relist() { w.hasAfter, w.listRequested = false, true }

func (w *Watcher) list(ctx context.Context) ([]Entry, error) {
	objects, revision, err := w.platform.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	w.after, w.hasAfter, w.listRequested = revision, true, false
	return w.store.MergeList(entriesOf(objects), revision), nil
}

func entriesOf(objects []platform.Object) []Entry {
	entries := make([]Entry, len(objects))
	for i, o := range objects {
		entries[i] = Entry{Key: o.Key, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
	}
	return entries
}
