package feed

import "time"

// maxFallbackDoublings bounds the growth of the delay of a direct read after failed ones.
const maxFallbackDoublings = 2

// fallback decides when a router that can follow no other one reads the store itself. It answers an outage of the store,
// or the loss of all routers that a large fleet follows: each router then waits for a random part of a time that grows
// with the fleet, so that the fleet's calls stay below a fixed rate, and tries to follow another router meanwhile.
type fallback struct {
	// dueAt is the time of the next direct read, zero if none is planned.
	dueAt time.Time
	// failures is the number of direct reads that failed since the last contact to the store.
	failures int
}

// isDue reports whether to read the store now. jitter is a random number from 0 to 1.
func (b *fallback) isDue(now time.Time, maxDelay time.Duration, jitter float64) bool {
	if b.dueAt.IsZero() {
		b.dueAt = now.Add(time.Duration(jitter * float64(maxDelay<<min(b.failures, maxFallbackDoublings))))
	}
	if now.Before(b.dueAt) {
		return false
	}
	b.dueAt = time.Time{}
	return true
}
