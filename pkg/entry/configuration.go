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
	// confirmTimeout bounds the read that confirms the configuration; a caller waits for it.
	confirmTimeout = 400 * time.Millisecond
	// confirmEvery is how long a confirmation holds, from the begin of its read: half of the 2 s in which a configuration
	// must be in force. It bounds the reads that unknown routes and keys cause.
	confirmEvery = time.Second
	// failureHolds is how long a failed read is not repeated, so that callers don't wait for one timeout after another.
	failureHolds = 300 * time.Millisecond
)

// decodeConfig decodes the configuration's object.
type decodeConfig func(value []byte, revision uint64) (*catalog.Snapshot, error)

// configuration is the newest configuration that the process has seen. It never goes back.
type configuration struct {
	key    string
	decode decodeConfig
	store  Store
	log    log.Interface
	newest atomic.Pointer[catalog.Snapshot]

	// confirming holds a value while a read is in progress; it guards the fields below.
	confirming chan struct{}
	// confirmed is the begin of the last successful read, and failed the end of the last one without an answer, which
	// ended with failure.
	confirmed, failed time.Time
	failure           error
}

func newConfiguration(key string, decode decodeConfig, store Store, logger log.Interface) *configuration {
	return &configuration{key: key, decode: decode, store: store, log: logger, confirming: make(chan struct{}, 1)}
}

// Current implements forward.Configuration.
func (c *configuration) Current() *catalog.Snapshot { return c.newest.Load() }

// Confirm implements forward.Configuration. Calls at the same time share one read.
func (c *configuration) Confirm(ctx context.Context) (*catalog.Snapshot, error) {
	select {
	case c.confirming <- struct{}{}:
		defer func() { <-c.confirming }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	began := time.Now()
	switch {
	case began.Sub(c.confirmed) < confirmEvery:
		return c.newest.Load(), nil
	case began.Sub(c.failed) < failureHolds:
		return nil, c.failure
	}
	timed, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, err := c.store.Get(timed, c.key)
	if err != nil {
		if ctx.Err() == nil {
			c.failed, c.failure = time.Now(), err
		}
		return nil, err
	}
	c.apply(object)
	c.confirmed = began
	return c.newest.Load(), nil
}

// apply takes the configuration's object if it is newer than the present one.
func (c *configuration) apply(o platform.Object) {
	if o.Key != c.key || o.Deleted {
		return
	}
	for {
		old := c.newest.Load()
		if old != nil && old.Revision >= o.Revision {
			return
		}
		next, err := c.decode(o.Value, o.Revision)
		if err != nil {
			c.log.WithField("revision", o.Revision).WithError(err).Error("configuration_rejected")
			return
		}
		if c.newest.CompareAndSwap(old, next) {
			c.log.WithFields(log.Fields{"version": next.Version, "revision": next.Revision}).Info("configuration_applied")
			return
		}
	}
}

// configFeed is the configuration as the consumer of a feed.
type configFeed struct{ *configuration }

// ReplaceAll implements feed.Consumer.
func (c configFeed) ReplaceAll(objects []platform.Object, _ time.Duration) { c.ApplyChanges(objects) }

// ApplyChanges implements feed.Consumer.
func (c configFeed) ApplyChanges(objects []platform.Object) {
	for _, o := range objects {
		c.apply(o)
	}
}

// errNoConfiguration is reported by the readiness check before the first configuration.
var errNoConfiguration = errors.New("no configuration has been read yet")
