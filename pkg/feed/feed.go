// Package feed keeps a consumer up to date with the objects of one kind in the platform's store. In a large fleet a few
// routers watch the store and the others follow them, because every watch counts against the store's read limit.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. The actual delay is random in the upper
	// half of it.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// catchUpWait is how long the store holds the watch that replaces one that was given up: it shows soon that the objects are
	// up to date.
	catchUpWait = 10 * time.Millisecond
	// confirmWait is how long the store holds a watch that only asks whether there are changes.
	confirmWait = time.Millisecond
	// directWatchTime is how long a router watches the store itself after it could follow no other router.
	directWatchTime = 10 * time.Second
	// leaderRetryPause is the time after which a router that could follow no other router tries again.
	leaderRetryPause = 500 * time.Millisecond
)

// Store is the part of the platform's store that a Feed uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Object, uint64, error)
	Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error)
	// ListStale returns objects that may be seconds old, for a fraction of the price of List.
	ListStale(ctx context.Context, prefix string) ([]platform.Object, error)
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
	// StaleListInterval replaces the watch by stale lists, with this time between two of them. It suits objects that change
	// all the time and may be seen late. Optional.
	StaleListInterval time.Duration
	// MaxLeaderAge replaces MaxAge as the time since the store's last answer to a leader above which it isn't followed. It has to exceed
	// WatchWait. Optional.
	MaxLeaderAge time.Duration
	// MaxDirectDelay returns the longest time for which a router that can follow no other router puts off reading the store
	// itself, so that a large fleet doesn't do so at once. Needed with Leaders.
	MaxDirectDelay func() time.Duration
	// Leaders returns the peer addresses of the routers to follow. If it returns none, this router watches the store.
	// Optional.
	Leaders func() []string
	// Substitutes returns the peer addresses of other routers that watch the store, for a router that watches it and gets no answer: the
	// store may reject or not reach this router alone. Optional.
	Substitutes func() []string
	// StoreReturned returns a channel that is closed when the store answers this router again. Needed with Substitutes.
	StoreReturned func() <-chan struct{}
	// Client calls other routers. Needed with Leaders and Substitutes.
	Client PeerClient
	// StoreReached is called with the first revision of the store and with the first one after each restore from an older copy.
	// Optional.
	StoreReached func(revision uint64)
	// AwaitRetry waits for the delay before a failed call is made again, or for less if the store is known to be back. It returns false
	// as soon as the context has ended. Optional.
	AwaitRetry func(ctx context.Context, delay time.Duration) bool
	// LeaderAnswered is called with the time of the last answer of the store to the router that this one follows. Optional.
	LeaderAnswered func(at time.Time)
	// Contacted is called at each answer of the store, to this router or to the one that it follows. The objects are those of the time
	// at, and cause says how the feed's call before ended: answered, given_up, failed, or leader if another router is followed. Optional.
	Contacted func(kind, cause string, at time.Time)
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
	// following is set once a message of the leader was applied.
	following bool
	// isLed is set while another router is followed.
	isLed bool
	// isSubstituted is set while that router is one of Substitutes.
	isSubstituted bool
	// isGivenUp and isFailed say how the last call to the store ended.
	isGivenUp, isFailed bool
	fallback            fallback
}

// New returns a Feed. It doesn't call the store before Run.
func New(o Options) *Feed {
	if o.AwaitRetry == nil {
		o.AwaitRetry = sleep.For
	}
	return &Feed{Options: o, hub: newHub(), retryDelay: minRetryDelay}
}

// Run feeds the consumer until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var directUntil time.Time
	for ctx.Err() == nil {
		leaders := f.leaders(directUntil)
		f.followLeaders(ctx, leaders)
		switch {
		case ctx.Err() != nil:
		case len(leaders) == 0:
			if !f.readStore(ctx, directUntil) {
				f.followSubstitutes(ctx)
			}
		case f.fallback.isDue(time.Now(), f.MaxDirectDelay(), rand.Float64()):
			directUntil = time.Now().Add(directWatchTime)
			if !f.readStore(ctx, directUntil) {
				directUntil = time.Time{}
			}
		default:
			sleep.For(ctx, leaderRetryPause/2+rand.N(leaderRetryPause))
		}
	}
}

// followSubstitutes follows other routers that watch the store until it answers this router again, or until each of them has failed.
func (f *Feed) followSubstitutes(ctx context.Context) {
	if f.Substitutes == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	returned := f.StoreReturned()
	go func() {
		select {
		case <-returned:
			cancel()
		case <-ctx.Done():
		}
	}()
	f.isSubstituted = true
	defer func() { f.isSubstituted = false }()
	f.followLeaders(ctx, f.Substitutes())
}

// followLeaders follows one router after the other until each of them has failed.
func (f *Feed) followLeaders(ctx context.Context, leaders []string) {
	for _, address := range leaders {
		f.following = false
		err := f.followPeer(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if f.following {
			f.Log.WithFields(log.Fields{"kind": f.Kind, "peer": address, "revision": platform.FormatRevision(f.revision), "age_ms": f.sinceContact().Milliseconds()}).WithError(err).Info("feed_leader_lost")
		}
	}
}

func (f *Feed) leaders(directUntil time.Time) []string {
	if f.Leaders == nil || time.Now().Before(directUntil) {
		return nil
	}
	return f.Leaders()
}

// readStore reads the store until a call fails, or until directUntil has passed and there is a router to follow. It
// returns false after a failure, after a delay, and at once if a router that can be followed has an answer of the store.
func (f *Feed) readStore(ctx context.Context, directUntil time.Time) bool {
	var err error
	if f.StaleListInterval > 0 {
		err = f.pollLists(ctx, directUntil)
	} else {
		err = f.listAndWatch(ctx, directUntil)
	}
	switch {
	case ctx.Err() != nil || err == nil:
		return true
	case errors.Is(err, contact.ErrLeaderAnswered):
		f.fallback.dueAt = time.Now() // If no router can be followed, the store is read at once.
		return false
	case errors.Is(err, contact.ErrInterrupted):
		return true
	case errors.Is(err, platform.ErrGap):
		f.Log.WithField("kind", f.Kind).Info("store_history_gap")
		return true
	case !f.storeLost:
		f.setLost(true)
		f.Log.WithField("kind", f.Kind).WithError(err).Warn("store_lost")
	}
	f.fallback.failures++
	f.AwaitRetry(ctx, f.retryDelay/2+rand.N(f.retryDelay/2))
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
	return false
}

// recordContact records an answer of the store that is age old.
func (f *Feed) recordContact(age time.Duration) {
	f.contact, f.retryDelay, f.fallback = time.Now().Add(-age), minRetryDelay, fallback{}
	if f.Contacted != nil {
		f.Contacted(f.Kind, f.contactCause(), f.contact)
	}
	f.isGivenUp, f.isFailed = false, false
	if f.storeLost && !f.isSubstituted {
		f.setLost(false)
		f.Log.WithField("kind", f.Kind).Info("store_regained")
	}
}

// contactCause returns how the call before this answer ended.
func (f *Feed) contactCause() string {
	switch {
	case f.isLed:
		return "leader"
	case f.isGivenUp:
		return "given_up"
	case f.isFailed:
		return "failed"
	}
	return "answered"
}

// recordCallEnd records how a call to the store ended that got no answer.
func (f *Feed) recordCallEnd(err error) {
	f.isGivenUp = errors.Is(err, contact.ErrInterrupted)
	f.isFailed = !f.isGivenUp
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
		f.recordCallEnd(err)
		return err
	}
	f.replaceAll(objects, revision, f.sinceContact(), 0)
	failures, wait := 0, f.WatchWait()
	for {
		if leaders := f.leaders(directUntil); len(leaders) > 0 {
			return nil
		}
		start := time.Now()
		changes, next, err := f.Store.Poll(ctx, f.Kind+"/", revision, wait)
		if err != nil {
			f.recordCallEnd(err)
		}
		if errors.Is(err, contact.ErrInterrupted) && !errors.Is(err, contact.ErrLeaderAnswered) {
			wait = catchUpWait
			continue
		}
		wait = f.WatchWait()
		if err != nil {
			// A watch may be cut off while the store works, so one failed call is repeated from the same revision.
			failures++
			if errors.Is(err, platform.ErrGap) || errors.Is(err, contact.ErrLeaderAnswered) || failures > 1 {
				return err
			}
			continue
		}
		failures, revision = 0, next
		f.applyChanges(changes, revision, 0)
		if !sleep.For(ctx, time.Until(start.Add(f.WatchPause()))) {
			return ctx.Err()
		}
	}
}

// pollLists reads stale lists. It returns nil when there is a router to follow.
func (f *Feed) pollLists(ctx context.Context, directUntil time.Time) error {
	for first := true; ; first = false {
		objects, err := f.Store.ListStale(ctx, f.Kind+"/")
		if err != nil {
			f.recordCallEnd(err)
			return err
		}
		if first {
			f.replaceAll(objects, newestRevision(objects), f.sinceContact(), 0)
		} else {
			f.applyChanges(f.hub.changesTo(objects), newestRevision(objects), 0)
		}
		if leaders := f.leaders(directUntil); len(leaders) > 0 {
			return nil
		}
		if !sleep.For(ctx, f.StaleListInterval*4/5+rand.N(f.StaleListInterval*2/5)) {
			return ctx.Err()
		}
	}
}

func newestRevision(objects []platform.Object) uint64 {
	var newest uint64
	for _, o := range objects {
		newest = max(newest, o.Revision)
	}
	return newest
}

// Age returns the time since the last answer of the store, to this router or to the one that it follows, and false
// before the first one. It may be called at any time.
func (f *Feed) Age() (time.Duration, bool) { return f.hub.age() }

// Confirm asks the store whether the consumer has all objects as they are now. It returns false without an answer.
func (f *Feed) Confirm(ctx context.Context) bool {
	revision, loaded := f.hub.loadedRevision()
	if !loaded {
		return false
	}
	changes, _, err := f.Store.Poll(ctx, f.Kind+"/", revision, confirmWait)
	if err != nil || len(changes) > 0 {
		f.Log.WithFields(log.Fields{"kind": f.Kind, "revision": platform.FormatRevision(revision), "changes": len(changes)}).WithError(err).Info("objects_not_confirmed")
		return false
	}
	return true
}

// sinceContact returns the time since the last answer of the store, 0 before the first one.
func (f *Feed) sinceContact() time.Duration {
	if f.contact.IsZero() {
		return 0
	}
	return time.Since(f.contact)
}

// advance records the revision up to which the consumer has every change.
func (f *Feed) advance(revision uint64) {
	restored := platform.Era(revision) > platform.Era(f.revision)
	if f.StoreReached != nil && (f.revision == 0 || restored) {
		f.StoreReached(revision)
	}
	if f.revision != 0 && restored {
		f.Log.WithFields(log.Fields{
			"kind": f.Kind, "revision": platform.FormatRevision(revision), "seen": platform.FormatRevision(f.revision),
		}).Warn("store_restored")
	}
	f.revision = max(f.revision, revision)
}

func (f *Feed) replaceAll(objects []platform.Object, revision uint64, sinceContact, age time.Duration) {
	f.recordContact(age)
	f.advance(revision)
	f.Consumer.ReplaceAll(objects, sinceContact)
	f.hub.replaceAll(objects, revision, sinceContact, f.contact)
}

func (f *Feed) applyChanges(changes []platform.Object, revision uint64, age time.Duration) {
	f.recordContact(age)
	f.advance(revision)
	if len(changes) > 0 {
		f.Consumer.ApplyChanges(changes)
	}
	f.hub.applyChanges(changes, revision, f.contact)
}
