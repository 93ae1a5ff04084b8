// Package retry limits how often the whole fleet sends requests to a second endpoint.
package retry

import (
	"sync"
	"time"
)

const (
	// windowParts is the number of buckets that make up a window. One more bucket is kept, because the newest one is only
	// partly over.
	windowParts = 20
	bucketCount = windowParts + 1
	// usableShare is the part of the fleet's budget that the routers use. The rest covers the difference between the
	// windows of callers and of routers, which don't begin at the same time.
	usableShare = 0.8
)

// Limits is the fleet's retry budget for one service: in any Window at most Ratio × requests + Extra retries.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

type windowCounts struct {
	requests, retries [bucketCount]int
	// newest is the number of the newest bucket, counted from the creation of the Budget.
	newest int64
}

// Budget is a router's share of the fleet's retry budget. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	started  time.Time
	services map[string]*windowCounts
	// firstStart is set if no earlier process of this router can have used the budget.
	firstStart bool
}

// New returns a Budget. Unless firstStart is set, this router's share of Extra isn't available for one window, because
// an earlier process of the router may have used it.
func New(limits Limits, now time.Time, firstStart bool) *Budget {
	return &Budget{limits: limits, started: now, firstStart: firstStart, services: map[string]*windowCounts{}}
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).requests[b.bucketNumber(now)%bucketCount]++
}

// Allow reports whether the budget allows one more retry for the service, and counts the retry if so. routers is the
// number of routers that share the budget.
func (b *Budget) Allow(service string, now time.Time, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	extra := b.limits.Extra / float64(max(1, routers))
	if !b.firstStart && now.Sub(b.started) < b.limits.Window {
		extra = 0
	}
	if float64(retries+1) > usableShare*(b.limits.Ratio*float64(requests)+extra) {
		return false
	}
	w.retries[w.newest%bucketCount]++
	return true
}

func (b *Budget) bucketNumber(now time.Time) int64 {
	return int64(now.Sub(b.started) / max(1, b.limits.Window/windowParts))
}

// window returns the service's counts after clearing the buckets that are older than the window.
func (b *Budget) window(service string, now time.Time) *windowCounts {
	w := b.services[service]
	if w == nil {
		w = &windowCounts{}
		b.services[service] = w
	}
	newest := b.bucketNumber(now)
	for i := max(w.newest+1, newest-bucketCount+1); i <= newest; i++ {
		w.requests[i%bucketCount], w.retries[i%bucketCount] = 0, 0
	}
	w.newest = max(w.newest, newest)
	return w
}
