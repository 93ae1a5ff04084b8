package entry

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

// storeCallsInterval is the time between two log lines about the calls to the store. Counts of a killed router are missing for at most
// this time.
const storeCallsInterval = 5 * time.Second

// storeCall is a kind of call to the store and of the objects that it is about.
type storeCall struct {
	call, kind string
}

// storeCalls counts this router's calls to the store, those without an answer included, as the platform prices them all.
type storeCalls struct {
	mu     sync.Mutex
	counts map[storeCall]int64
}

func newStoreCalls() *storeCalls { return &storeCalls{counts: map[storeCall]int64{}} }

// count records a call about the object with the key, or about all objects with it as prefix.
func (c *storeCalls) count(call, key string) {
	kind, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[storeCall{call, kind}]++
}

func (c *storeCalls) snapshot() map[storeCall]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// registerMetrics registers the counts by call and kind of object.
func (c *storeCalls) registerMetrics(i *telemetry.Instruments) {
	i.Counter("store_calls", "calls", "Calls to the platform's store, those without an answer included.", func(o telemetry.Observe) {
		for call, n := range c.snapshot() {
			o(n, "call", call.call, "kind", call.kind)
		}
	})
}

// run logs the calls since the last line until ctx ends, in which there were some.
func (c *storeCalls) run(ctx context.Context, logger log.Interface) {
	ticker := time.NewTicker(storeCallsInterval)
	defer ticker.Stop()
	previous := map[storeCall]int64{}
	for {
		stopped := false
		select {
		case <-ctx.Done():
			stopped = true
		case <-ticker.C:
		}
		current := c.snapshot()
		calls := map[string]int64{}
		for call, n := range current {
			if n > previous[call] {
				calls[call.call+" "+call.kind] = n - previous[call]
			}
		}
		if len(calls) > 0 {
			logger.WithField("calls", calls).Info("store_calls")
		}
		if stopped {
			return
		}
		previous = current
	}
}
