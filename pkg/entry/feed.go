package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// watchWait is how long the store holds a watch without changes. A watch that went silent is noticed after it, so
	// it is of the order of the bounds within which changes must be in force.
	watchWait = 3 * time.Second
	// The pause after a failed call grows from minPause to maxPause; the actual one is drawn from the upper half.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// feedStore is the part of the platform's store that a feed uses.
type feedStore interface {
	List(ctx context.Context, prefix string) ([]platform.Object, uint64, error)
	Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error)
}

// consumer takes the objects of a kind. Calls come from one goroutine.
type consumer interface {
	// listed replaces all objects. away is the time since the last answer of the store, 0 at the first list.
	listed(objects []platform.Object, away time.Duration)
	// changed applies changes in order.
	changed(objects []platform.Object)
	// current is called after an answer without changes.
	current()
}

// feed keeps a consumer up to date by a list and a watch.
type feed struct {
	kind     string
	store    feedStore
	log      log.Interface
	consumer consumer
}

// run feeds the consumer until ctx ends.
func (f *feed) run(ctx context.Context) {
	pause := minPause
	var contact time.Time
	lost := false
	for ctx.Err() == nil {
		err := f.follow(ctx, &contact, func() {
			pause = minPause
			if lost {
				lost = false
				f.log.WithField("kind", f.kind).Info("store_regained")
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, platform.ErrGap) {
			if !lost {
				lost = true
				f.log.WithField("kind", f.kind).WithError(err).Warn("store_lost")
			}
			wait := pause/2 + rand.N(pause/2)
			pause = min(2*pause, maxPause)
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			continue
		}
		f.log.WithField("kind", f.kind).Info("store_history_gap")
	}
}

// follow lists once and then watches until a call fails.
func (f *feed) follow(ctx context.Context, contact *time.Time, reached func()) error {
	objects, at, err := f.store.List(ctx, f.kind+"/")
	if err != nil {
		return err
	}
	var away time.Duration
	if !contact.IsZero() {
		away = time.Since(*contact)
	}
	*contact = time.Now()
	reached()
	f.consumer.listed(objects, away)
	failures := 0
	for {
		changes, next, err := f.store.Poll(ctx, f.kind+"/", at, watchWait)
		if err != nil {
			// A watch may be cut off while the store is well; it then goes on from where it was.
			failures++
			if errors.Is(err, platform.ErrGap) || failures > 1 {
				return err
			}
			continue
		}
		failures, at = 0, next
		*contact = time.Now()
		reached()
		if len(changes) > 0 {
			f.consumer.changed(changes)
		} else {
			f.consumer.current()
		}
	}
}
