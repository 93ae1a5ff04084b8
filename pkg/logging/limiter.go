package logging

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one kind per second and counts those that are left out. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	used    int
	skipped int
}

// NewLimiter returns a Limiter for the given number of lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written now, and how many were left out before it.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	if l.used >= l.perSecond {
		l.skipped++
		return 0, false
	}
	l.used++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
