package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
)

// catchUps measures how long after the end of a silence of the store each feed is up to date again. It is safe for concurrent use.
type catchUps struct {
	lastSilence func() contact.Silence
	log         log.Interface
	duration    metric.Float64Histogram

	mu sync.Mutex
	// measured maps kinds of objects to the end of the last silence that was measured.
	measured map[string]time.Time
}

// catchUpBuckets are the histogram's bounds in seconds, around the aim of 1 s.
var catchUpBuckets = metric.WithExplicitBucketBoundaries(0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10)

func newCatchUps(lastSilence func() contact.Silence, meter metric.Meter, logger log.Interface) (*catchUps, error) {
	c := &catchUps{lastSilence: lastSilence, log: logger, measured: map[string]time.Time{}}
	var err error
	c.duration, err = meter.Float64Histogram("store_catch_up", metric.WithUnit("s"), catchUpBuckets, metric.WithDescription("Time from the end of a silence of the store to the first answer to a feed."))
	if err != nil {
		return nil, fmt.Errorf("entry: create the histogram of catch-ups: %w", err)
	}
	return c, nil
}

// contacted records that the feed of a kind has the objects as of the time at. cause says how its last call before ended.
func (c *catchUps) contacted(kind, cause string, at time.Time) {
	last := c.lastSilence()
	if last.Ended.IsZero() || at.Before(last.Ended) {
		return
	}
	c.mu.Lock()
	isMeasured := c.measured[kind].Equal(last.Ended)
	c.measured[kind] = last.Ended
	c.mu.Unlock()
	if isMeasured {
		return
	}
	delay := at.Sub(last.Ended)
	c.duration.Record(context.Background(), delay.Seconds(), metric.WithAttributes(attribute.String("kind", kind), attribute.String("cause", cause)))
	c.log.WithFields(log.Fields{"kind": kind, "cause": cause, "since_return_ms": delay.Milliseconds(), "silent_ms": last.Length().Milliseconds()}).Info("feed_caught_up")
}
