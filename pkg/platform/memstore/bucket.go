package memstore

import "time"

// Bucket is a token bucket that holds at most one second's worth of its rate. It isn't safe for concurrent use.
type Bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket for perSecond units per second; a rate of 0 or less means no limit.
func NewBucket(perSecond int, now time.Time) *Bucket {
	return &Bucket{rate: float64(perSecond), tokens: float64(perSecond), last: now}
}

func (b *Bucket) refill(now time.Time) {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
}

// Take takes n units if they are there and reports whether it did.
func (b *Bucket) Take(n int, now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Reserve takes n units, even if they are not there yet, and returns the time until they are.
func (b *Bucket) Reserve(n int, now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
