package memstore

import "time"

// Bucket is a token bucket that holds at most one second's worth of its rate. It isn't safe for concurrent use.
type Bucket struct {
	rate       float64 // units per second
	tokens     float64 // units; negative after a Reserve of more than the bucket held
	lastRefill time.Time
}

// NewBucket returns a full bucket that is refilled with unitsPerSecond; 0 or less means no limit.
func NewBucket(unitsPerSecond int, now time.Time) *Bucket {
	return &Bucket{rate: float64(unitsPerSecond), tokens: float64(unitsPerSecond), lastRefill: now}
}

func (b *Bucket) refill(now time.Time) {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.lastRefill).Seconds()*b.rate)
	b.lastRefill = now
}

// Allow removes n units if the bucket holds them and reports whether it did.
func (b *Bucket) Allow(n int, now time.Time) bool {
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

// Reserve removes n units, even if the bucket doesn't hold them yet, and returns how long the caller must
// wait for them.
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
