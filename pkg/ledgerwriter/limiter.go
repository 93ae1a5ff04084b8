package ledgerwriter

import (
	"context"
	"math"
	"sync"
	"time"
)

// class is the priority of operations and of calls to the platform; lower values are served first.
type class int

const (
	classSettle class = iota
	classGrant
	classOther
	classCount // number of classes
)

// limiter is a token bucket for calls to the platform. Waiters are served by class, then in order of arrival. It is safe
// for concurrent use.
type limiter struct {
	// rate returns the calls per second; nil means no limit.
	rate  func() float64
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	// slowStartAt is the beginning of the current slow start; zero means none.
	slowStartAt time.Time
	waiters     [classCount][]chan struct{}
	timer       *time.Timer
}

func newLimiter(rate func() float64, burst int) *limiter {
	b := max(1, float64(burst))
	return &limiter{rate: rate, burst: b, tokens: b, refilledAt: time.Now()}
}

// wait waits for a token. It returns the error of ctx if ctx ends first.
func (l *limiter) wait(ctx context.Context, c class) error {
	if l.rate == nil {
		return ctx.Err()
	}
	granted := make(chan struct{})
	l.mu.Lock()
	l.waiters[c] = append(l.waiters[c], granted)
	l.serveWaiters()
	l.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		l.removeWaiter(granted, c)
		return ctx.Err()
	}
}

// charge takes a token without waiting; later calls wait for it.
func (l *limiter) charge() {
	if l.rate == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens--
}

// removeWaiter removes a waiter. A token that was granted to it at the same moment is lost, which only delays others.
func (l *limiter) removeWaiter(granted chan struct{}, c class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters[c] {
		if w == granted {
			l.waiters[c] = append(l.waiters[c][:i:i], l.waiters[c][i+1:]...)
			return
		}
	}
}

// serveWaiters grants the available tokens to waiters and sets the timer for the next token. The caller must hold mu.
func (l *limiter) serveWaiters() {
	now := time.Now()
	rate := l.currentRate(now)
	l.tokens = min(l.burst, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	for c := range l.waiters {
		for len(l.waiters[c]) > 0 && l.tokens >= 1 {
			l.tokens--
			close(l.waiters[c][0])
			l.waiters[c] = l.waiters[c][1:]
		}
	}
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	for _, w := range l.waiters {
		if len(w) > 0 {
			delay := time.Duration((1-l.tokens)/rate*float64(time.Second)) + time.Microsecond
			l.timer = time.AfterFunc(delay, l.onTimer)
			return
		}
	}
}

// Parameters of the slow start.
const (
	// slowStartDivisor divides the rate at the beginning of a slow start.
	slowStartDivisor = 16
	// slowStartDoubling is the time in which the rate doubles during a slow start.
	slowStartDoubling = time.Second
	minRate           = 0.5 // calls per second
)

// currentRate returns the calls per second allowed at now. The caller must hold mu.
func (l *limiter) currentRate(now time.Time) float64 {
	rate := l.rate()
	if !l.slowStartAt.IsZero() {
		factor := math.Pow(2, float64(now.Sub(l.slowStartAt))/float64(slowStartDoubling)) / slowStartDivisor
		if factor < 1 {
			return max(minRate, rate*factor)
		}
		l.slowStartAt = time.Time{}
	}
	return max(minRate, rate)
}

// startSlowly begins a slow start, which lowers the rate for a few seconds. It is used when the platform is available
// again, so that the operations queued at all routers are stored in few writes, and when the platform throttles calls.
func (l *limiter) startSlowly() {
	if l.rate == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowStartAt = time.Now()
	l.tokens = min(0, l.tokens)
}

func (l *limiter) onTimer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serveWaiters()
}
