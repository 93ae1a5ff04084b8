package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// confirmTimeout bounds the read that confirms the configuration; a caller waits for it.
	confirmTimeout = 400 * time.Millisecond
	// confirmEvery is how long a confirmation holds, which bounds the reads that unknown routes and keys cause.
	confirmEvery = 300 * time.Millisecond
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

	mu        sync.Mutex
	confirmed time.Time
}

// Current implements forward.Configuration.
func (c *configuration) Current() *catalog.Snapshot { return c.newest.Load() }

// Confirm implements forward.Configuration. Calls at the same time share one read.
func (c *configuration) Confirm(ctx context.Context) (*catalog.Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.confirmed) < confirmEvery {
		return c.newest.Load(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, err := c.store.Get(ctx, c.key)
	if err != nil {
		return nil, err
	}
	c.apply(object)
	c.confirmed = time.Now()
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

// Listed implements feed.Consumer.
func (c configFeed) Listed(objects []platform.Object, _ time.Duration) { c.Changed(objects) }

// Changed implements feed.Consumer.
func (c configFeed) Changed(objects []platform.Object) {
	for _, o := range objects {
		c.apply(o)
	}
}

// errNoConfiguration is reported by the readiness check before the first configuration.
var errNoConfiguration = errors.New("no configuration has been read yet")
