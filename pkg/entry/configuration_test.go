package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// configStore holds one configuration whose version equals its revision. If unresponsive is set, Get blocks until its
// context ends.
type configStore struct {
	Store
	reads, revision atomic.Uint64
	unresponsive    bool
}

func (s *configStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.reads.Add(1)
	if s.unresponsive {
		<-ctx.Done()
		return platform.Object{}, platform.ErrUnavailable
	}
	return platform.Object{Key: key, Revision: s.revision.Load()}, nil
}

func testConfiguration(s *configStore) *configuration {
	return newConfiguration("config/main", func(_ []byte, revision uint64) (*catalog.Snapshot, error) {
		return catalog.New(catalog.Config{Version: revision}, revision)
	}, s, 2*time.Second, discardLog())
}

// Guards against reading the store for each request with an unknown route or key, and against returning a configuration
// that was replaced longer ago than the time within which a new one must be in force.
func TestConfirmationIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &configStore{}
		c := testConfiguration(s)
		// 10 s of such requests, with a new version every second.
		for i := range 100 {
			s.revision.Store(uint64(1 + i/10))
			snapshot, err := c.Confirm(t.Context())
			must.NoError(t, err)
			must.GreaterEq(t, s.revision.Load()-1, snapshot.Version)
			time.Sleep(100 * time.Millisecond)
		}
		must.LessEq(t, 10, s.reads.Load())
	})
}

// Guards against concurrent callers waiting for one timeout after another while the store doesn't respond.
func TestFailedConfirmationIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfiguration(&configStore{unresponsive: true})
		startedAt := time.Now()
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() {
				_, err := c.Confirm(t.Context())
				must.ErrorIs(t, err, platform.ErrUnavailable)
			})
		}
		callers.Wait()
		must.LessEq(t, confirmTimeout, time.Since(startedAt))
	})
}

// Guards against a read for each unknown route in a large fleet although the feed shows that nothing has changed, and
// against relying on a feed that is older than half of the time within which a new configuration must be in force.
func TestFreshFeedConfirms(t *testing.T) {
	s := &configStore{}
	c := testConfiguration(s)
	age, known := 900*time.Millisecond, true
	c.age = func() (time.Duration, bool) { return age, known }
	for range 10 {
		_, err := c.Confirm(t.Context())
		must.NoError(t, err)
	}
	must.EqOp(t, 0, s.reads.Load())
	age = 1100 * time.Millisecond
	_, err := c.Confirm(t.Context())
	must.NoError(t, err)
	must.EqOp(t, 1, s.reads.Load())
	age, known, c.confirmedAt = 0, false, time.Time{}
	_, err = c.Confirm(t.Context())
	must.NoError(t, err)
	must.EqOp(t, 2, s.reads.Load(), must.Sprint("before the first list"))
}
