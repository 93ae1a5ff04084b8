// Package feed keeps a consumer up to date with the objects of one kind in the platform's store. In a large fleet a few
// routers watch the store and the others follow them, because the store counts every waiting watch.
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
	// The pause after a failed call grows from minPause to maxPause; the actual one is drawn from the upper half.
	minPause = 50 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// directTime is how long a router watches the store itself after no other one could be followed.
	directTime = 10 * time.Second
)

// Store is the part of the platform's store that a Feed uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Object, uint64, error)
	Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error)
}

// Consumer takes the objects of a kind. Calls come from one goroutine.
type Consumer interface {
	// ReplaceAll replaces all objects. sinceContact is the time since the last answer of the store, 0 at the first list.
	ReplaceAll(objects []platform.Object, sinceContact time.Duration)
	// ApplyChanges applies changes in order.
	ApplyChanges(objects []platform.Object)
}

// Options configures a Feed.
type Options struct {
	Kind     string
	Store    Store
	Log      log.Interface
	Consumer Consumer
	// WatchWait returns how long the store holds a watch without changes. A watch that went silent is noticed after it.
	WatchWait func() time.Duration
	// WatchPause returns the least time between two watches; changes that come closer together share an answer.
	WatchPause func() time.Duration
	// Leaders returns the peer addresses of the routers to follow; none means that this router watches the store.
	// Optional.
	Leaders func() []string
	// Client calls other routers. Needed with Leaders.
	Client Follower
	// Lost is told when the store is lost and when it is regained. Optional.
	Lost func(lost bool)
}

// Feed is the feed of one kind.
type Feed struct {
	Options
	hub *hub
	// contact is the time of the last answer of the store, to this router or the one that it follows.
	contact time.Time
	// revision is the newest revision that the consumer has.
	revision uint64
	lost     bool
	pause    time.Duration
}

// New returns a Feed.
func New(o Options) *Feed { return &Feed{Options: o, hub: newHub(), pause: minPause} }

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
			directUntil = time.Now().Add(directTime)
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

// watchStore watches the store until a call fails, or until the time to follow another router has come.
func (f *Feed) watchStore(ctx context.Context, until time.Time) {
	err := f.follow(ctx, until)
	switch {
	case ctx.Err() != nil || err == nil:
		return
	case errors.Is(err, platform.ErrGap):
		f.Log.WithField("kind", f.Kind).Info("store_history_gap")
		return
	case !f.lost:
		f.setLost(true)
		f.Log.WithField("kind", f.Kind).WithError(err).Warn("store_lost")
	}
	wait := f.pause/2 + rand.N(f.pause/2)
	f.pause = min(2*f.pause, maxPause)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// reached notes an answer of the store that came some time ago.
func (f *Feed) reached(age time.Duration) {
	f.contact, f.pause = time.Now().Add(-age), minPause
	if f.lost {
		f.setLost(false)
		f.Log.WithField("kind", f.Kind).Info("store_regained")
	}
}

func (f *Feed) setLost(lost bool) {
	f.lost = lost
	if f.Lost != nil {
		f.Lost(lost)
	}
}

// follow lists once and then watches.
func (f *Feed) follow(ctx context.Context, until time.Time) error {
	objects, at, err := f.Store.List(ctx, f.Kind+"/")
	if err != nil {
		return err
	}
	f.listed(objects, at, f.sinceContact(), 0)
	failures := 0
	for {
		if leaders := f.leaders(until); len(leaders) > 0 {
			return nil
		}
		began := time.Now()
		changes, next, err := f.Store.Poll(ctx, f.Kind+"/", at, f.WatchWait())
		if err != nil {
			// A watch may be cut off while the store is well; it then goes on from where it was.
			failures++
			if errors.Is(err, platform.ErrGap) || failures > 1 {
				return err
			}
			continue
		}
		failures, at = 0, next
		f.changed(changes, at, 0)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(f.WatchPause()))):
		}
	}
}

// sinceContact is the time since the last answer of the store.
func (f *Feed) sinceContact() time.Duration {
	if f.contact.IsZero() {
		return 0
	}
	return time.Since(f.contact)
}

func (f *Feed) listed(objects []platform.Object, at uint64, sinceContact, age time.Duration) {
	f.reached(age)
	f.revision = max(f.revision, at)
	f.Consumer.ReplaceAll(objects, sinceContact)
	f.hub.listed(objects, at, sinceContact, f.contact)
}

func (f *Feed) changed(changes []platform.Object, at uint64, age time.Duration) {
	f.reached(age)
	f.revision = max(f.revision, at)
	if len(changes) > 0 {
		f.Consumer.ApplyChanges(changes)
	}
	f.hub.changed(changes, at, f.contact)
}
