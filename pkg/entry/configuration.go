package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// confirmTimeout limits the read that confirms the configuration. A caller's request waits for it.
	confirmTimeout = 400 * time.Millisecond
	// defaultApplyBound is the time within which a new configuration must be in force, if the settings state none.
	defaultApplyBound = 2 * time.Second
	// confirmFailureTTL is how long a failed read is not repeated, so that callers don't wait for one timeout after
	// another.
	confirmFailureTTL = 300 * time.Millisecond
)

// configDecoder decodes the value of the configuration's object in the store.
type configDecoder func(value []byte, revision uint64) (*catalog.Snapshot, error)

// configuration holds the newest configuration that the process has read. It never returns to an older version. It is
// safe for concurrent use.
type configuration struct {
	key    string
	decode configDecoder
	store  Store
	log    log.Interface
	newest atomic.Pointer[catalog.Snapshot]
	// confirmationTTL is how long a confirmation is valid, from the start of its read: half of the time within which a new
	// configuration must be in force. It limits the rate of reads caused by unknown routes and keys.
	confirmationTTL time.Duration
	// age returns the age of the newest configuration by its feed, and false before the first one. Optional.
	age func() (time.Duration, bool)

	// confirmLock holds a value while a read is in progress, and guards the fields below. It is a channel so that
	// waiting for it can be cancelled.
	confirmLock chan struct{}
	// confirmedAt is the start of the last successful read. failedAt is the end of the last failed one, and lastErr its
	// error; a read that fails because its caller's context has ended doesn't count.
	confirmedAt, failedAt time.Time
	lastErr               error
}

// newConfiguration returns a configuration that must be in force within applyBound; 0 means a default.
func newConfiguration(key string, decode configDecoder, store Store, applyBound time.Duration, logger log.Interface) *configuration {
	if applyBound <= 0 {
		applyBound = defaultApplyBound
	}
	return &configuration{key: key, decode: decode, store: store, log: logger, confirmationTTL: applyBound / 2, confirmLock: make(chan struct{}, 1)}
}

// Current implements forward.Configuration.
func (c *configuration) Current() *catalog.Snapshot { return c.newest.Load() }

// Confirm implements forward.Configuration. Concurrent calls share one read.
func (c *configuration) Confirm(ctx context.Context) (*catalog.Snapshot, error) {
	if c.age != nil {
		if age, ok := c.age(); ok && age < c.confirmationTTL {
			return c.newest.Load(), nil
		}
	}
	select {
	case c.confirmLock <- struct{}{}:
		defer func() { <-c.confirmLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	startedAt := time.Now()
	switch {
	case startedAt.Sub(c.confirmedAt) < c.confirmationTTL:
		return c.newest.Load(), nil
	case startedAt.Sub(c.failedAt) < confirmFailureTTL:
		return nil, c.lastErr
	}
	readCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, err := c.store.Get(readCtx, c.key)
	if err != nil {
		if ctx.Err() == nil {
			c.failedAt, c.lastErr = time.Now(), err
		}
		return nil, err
	}
	c.apply(object)
	c.confirmedAt = startedAt
	return c.newest.Load(), nil
}

// apply adopts the configuration in the object if it is valid and newer than the current one. A deletion is ignored.
func (c *configuration) apply(o platform.Object) {
	if o.Key != c.key || o.Deleted {
		return
	}
	for {
		current := c.newest.Load()
		if current != nil && current.Revision == o.Revision {
			return
		}
		next, err := c.decode(o.Value, o.Revision)
		if err != nil {
			c.log.WithField("revision", platform.FormatRevision(o.Revision)).WithError(err).Error("configuration_rejected")
			return
		}
		if current != nil && !isNewer(next, current) {
			c.log.WithFields(log.Fields{
				"version": next.Version, "revision": platform.FormatRevision(next.Revision), "held": current.Version, "held_revision": platform.FormatRevision(current.Revision),
			}).Info("configuration_ignored")
			return
		}
		if c.newest.CompareAndSwap(current, next) {
			c.log.WithFields(log.Fields{"version": next.Version, "revision": platform.FormatRevision(next.Revision)}).Info("configuration_applied")
			return
		}
	}
}

// isNewer reports whether a configuration replaces the current one. The operator's version decides: a store that comes back
// from an older copy has an older configuration at first, and later ones there may have lower revisions.
func isNewer(next, current *catalog.Snapshot) bool {
	if next.Version != current.Version {
		return next.Version > current.Version
	}
	return next.Revision > current.Revision
}

// configFeed makes the configuration a feed.Consumer.
type configFeed struct{ *configuration }

// ReplaceAll implements feed.Consumer.
func (c configFeed) ReplaceAll(objects []platform.Object, _ time.Duration) { c.ApplyChanges(objects) }

// ApplyChanges implements feed.Consumer.
func (c configFeed) ApplyChanges(objects []platform.Object) {
	for _, o := range objects {
		c.apply(o)
	}
}

// errNoConfiguration is returned by the readiness check before the first configuration has been read.
var errNoConfiguration = errors.New("no configuration has been read yet")
