// Package retry limits how often requests are sent to a second endpoint, over the whole fleet.
package retry

import (
	"sync"
	"time"
)

const (
	// parts is the number of parts in which a window is counted. One bucket more is kept, because the newest one has
	// only begun.
	parts   = 20
	buckets = parts + 1
	// margin is the part of the fleet's budget that the routers use; the rest covers that windows of callers and of
	// routers don't begin together.
	margin = 0.8
)

// Limits is the fleet's budget for one service: in any window at most Ratio × requests + Extra retries.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

type window struct {
	requests, retries [buckets]int
	// at is the number of the newest bucket since the Unix epoch of the router's clock.
	at int64
}

// Budget is a router's share of the fleet's retry budget. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	started  time.Time
	services map[string]*window
	// first tells that no earlier start of this router can have used the budget.
	first bool
}

// New returns a Budget. After a restart the share of Extra is not used for one window, because the earlier process
// may have used it.
func New(limits Limits, now time.Time, firstStart bool) *Budget {
	return &Budget{limits: limits, started: now, first: firstStart, services: map[string]*window{}}
}

// Request counts a request for the service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).requests[b.bucket(now)%buckets]++
}

// Allow takes one retry for the service and reports whether there was one. routers is the number of routers that
// share the budget.
func (b *Budget) Allow(service string, now time.Time, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	extra := b.limits.Extra / float64(max(1, routers))
	if !b.first && now.Sub(b.started) < b.limits.Window {
		extra = 0
	}
	if float64(retries+1) > margin*(b.limits.Ratio*float64(requests)+extra) {
		return false
	}
	w.retries[w.at%buckets]++
	return true
}

func (b *Budget) bucket(now time.Time) int64 {
	return int64(now.Sub(b.started) / max(1, b.limits.Window/parts))
}

// window returns the service's counts with the buckets that have left the window cleared.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	at := b.bucket(now)
	for i := max(w.at+1, at-buckets+1); i <= at; i++ {
		w.requests[i%buckets], w.retries[i%buckets] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}
