package logging

import (
	"sync"
	"time"
)

// Limiter limits the log lines of one kind per second and counts the suppressed ones. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu         sync.Mutex
	second     int64
	allowed    int
	suppressed int
}

// NewLimiter returns a Limiter for the given number of lines per second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written now, and if so, how many were suppressed since the last allowed line.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.allowed = second, 0
	}
	if l.allowed >= l.perSecond {
		l.suppressed++
		return 0, false
	}
	l.allowed++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
