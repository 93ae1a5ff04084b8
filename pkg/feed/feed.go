// Package feed keeps a consumer up to date with the objects of one kind in the platform's store. In a large fleet a few
// routers watch the store and the others follow them, because every watch counts against the store's read limit.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. The actual delay is random in the upper
	// half of it.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// directWatchTime is how long a router watches the store itself after it could follow no other router.
	directWatchTime = 10 * time.Second
)

// Store is the part of the platform's store that a Feed uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Object, uint64, error)
	Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error)
}

// Consumer receives the objects of a kind. A Feed calls it from one goroutine.
type Consumer interface {
	// ReplaceAll replaces all objects. sinceContact is the time since the last answer of the store before this one, 0 for
	// the first list.
	ReplaceAll(objects []platform.Object, sinceContact time.Duration)
	// ApplyChanges applies changed and deleted objects in order.
	ApplyChanges(objects []platform.Object)
}

// Options configures a Feed.
type Options struct {
	Kind     string
	Store    Store
	Log      log.Interface
	Consumer Consumer
	// WatchWait returns how long the store holds a watch open without changes. A watch that hangs is detected after this
	// time.
	WatchWait func() time.Duration
	// WatchPause returns the minimum time between the starts of two watches. Changes that come closer together are
	// returned by one watch.
	WatchPause func() time.Duration
	// Leaders returns the peer addresses of the routers to follow. If it returns none, this router watches the store.
	// Optional.
	Leaders func() []string
	// Client calls other routers. Needed with Leaders.
	Client PeerClient
	// SetStoreLost is called with true when calls to the store start to fail and with false when the store answers again.
	// Optional.
	SetStoreLost func(lost bool)
}

// Feed passes the objects of one kind to a consumer and to the routers that follow this one.
type Feed struct {
	Options
	hub *hub
	// contact is the time of the last answer of the store, to this router or to the one that it follows.
	contact time.Time
	// revision is the newest revision passed to the consumer.
	revision   uint64
	storeLost  bool
	retryDelay time.Duration
}

func New(o Options) *Feed { return &Feed{Options: o, hub: newHub(), retryDelay: minRetryDelay} }

// Run feeds the consumer until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var directUntil time.Time
	for ctx.Err() == nil {
		leaders := f.leaders(directUntil)
		for _, address := range leaders {
			err := f.followPeer(ctx, address)
			f.Log.WithFields(log.Fields{"kind": f.Kind, "peer": address}).WithError(err).Info("feed_leader_lost")
			if ctx.Err() != nil {
				return
			}
		}
		if len(leaders) > 0 {
			directUntil = time.Now().Add(directWatchTime)
		}
		f.watchStore(ctx, directUntil)
	}
}

func (f *Feed) leaders(directUntil time.Time) []string {
	if f.Leaders == nil || time.Now().Before(directUntil) {
		return nil
	}
	return f.Leaders()
}

// watchStore watches the store until a call fails, or until directUntil has passed and there is a router to follow.
func (f *Feed) watchStore(ctx context.Context, directUntil time.Time) {
	err := f.listAndWatch(ctx, directUntil)
	switch {
	case ctx.Err() != nil || err == nil:
		return
	case errors.Is(err, platform.ErrGap):
		f.Log.WithField("kind", f.Kind).Info("store_history_gap")
		return
	case !f.storeLost:
		f.setLost(true)
		f.Log.WithField("kind", f.Kind).WithError(err).Warn("store_lost")
	}
	delay := f.retryDelay/2 + rand.N(f.retryDelay/2)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// recordContact records an answer of the store that is age old.
func (f *Feed) recordContact(age time.Duration) {
	f.contact, f.retryDelay = time.Now().Add(-age), minRetryDelay
	if f.storeLost {
		f.setLost(false)
		f.Log.WithField("kind", f.Kind).Info("store_regained")
	}
}

func (f *Feed) setLost(lost bool) {
	f.storeLost = lost
	if f.SetStoreLost != nil {
		f.SetStoreLost(lost)
	}
}

// listAndWatch lists the objects once and then watches for changes. It returns nil when there is a router to follow.
func (f *Feed) listAndWatch(ctx context.Context, directUntil time.Time) error {
	objects, revision, err := f.Store.List(ctx, f.Kind+"/")
	if err != nil {
		return err
	}
	f.replaceAll(objects, revision, f.sinceContact(), 0)
	failures := 0
	for {
		if leaders := f.leaders(directUntil); len(leaders) > 0 {
			return nil
		}
		start := time.Now()
		changes, next, err := f.Store.Poll(ctx, f.Kind+"/", revision, f.WatchWait())
		if err != nil {
			// A watch may be cut off while the store works, so one failed call is repeated from the same revision.
			failures++
			if errors.Is(err, platform.ErrGap) || failures > 1 {
				return err
			}
			continue
		}
		failures, revision = 0, next
		f.applyChanges(changes, revision, 0)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(f.WatchPause()))):
		}
	}
}

// sinceContact returns the time since the last answer of the store, 0 before the first one.
func (f *Feed) sinceContact() time.Duration {
	if f.contact.IsZero() {
		return 0
	}
	return time.Since(f.contact)
}

func (f *Feed) replaceAll(objects []platform.Object, revision uint64, sinceContact, age time.Duration) {
	f.recordContact(age)
	f.revision = max(f.revision, revision)
	f.Consumer.ReplaceAll(objects, sinceContact)
	f.hub.replaceAll(objects, revision, sinceContact, f.contact)
}

func (f *Feed) applyChanges(changes []platform.Object, revision uint64, age time.Duration) {
	f.recordContact(age)
	f.revision = max(f.revision, revision)
	if len(changes) > 0 {
		f.Consumer.ApplyChanges(changes)
	}
	f.hub.applyChanges(changes, revision, f.contact)
}
