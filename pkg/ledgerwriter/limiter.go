package ledgerwriter

import (
	"context"
	"math"
	"sync"
	"time"
)

// class orders operations that wait for calls to the platform, the most urgent first.
type class int

const (
	classSettle class = iota
	classGrant
	classRest
	classes
)

// limiter is a token bucket for calls to the platform whose waiters are served by class, then by arrival.
type limiter struct {
	rate  func() float64
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
	// slowed is the time of the last slow down; zero means none.
	slowed  time.Time
	waiting [classes][]chan struct{}
	timer   *time.Timer
}

func newLimiter(rate func() float64, burst int) *limiter {
	b := max(1, float64(burst))
	return &limiter{rate: rate, burst: b, tokens: b, last: time.Now()}
}

// take waits for a token. It returns the error of ctx if that ends first.
func (l *limiter) take(ctx context.Context, c class) error {
	if l.rate == nil {
		return ctx.Err()
	}
	turn := make(chan struct{})
	l.mu.Lock()
	l.waiting[c] = append(l.waiting[c], turn)
	l.serve()
	l.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		l.abandon(turn, c)
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

// abandon removes a waiter. A token that it was just given is lost, which only delays others.
func (l *limiter) abandon(turn chan struct{}, c class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiting[c] {
		if w == turn {
			l.waiting[c] = append(l.waiting[c][:i:i], l.waiting[c][i+1:]...)
			return
		}
	}
}

// serve hands out the tokens that are there and sets the timer for the next one. The caller holds the lock.
func (l *limiter) serve() {
	now := time.Now()
	rate := l.current(now)
	l.tokens = min(l.burst, l.tokens+rate*now.Sub(l.last).Seconds())
	l.last = now
	for c := range l.waiting {
		for len(l.waiting[c]) > 0 && l.tokens >= 1 {
			l.tokens--
			close(l.waiting[c][0])
			l.waiting[c] = l.waiting[c][1:]
		}
	}
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	for _, w := range l.waiting {
		if len(w) > 0 {
			wait := time.Duration((1-l.tokens)/rate*float64(time.Second)) + time.Microsecond
			l.timer = time.AfterFunc(wait, l.tick)
			return
		}
	}
}

// Bounds of the slow start.
const (
	// slowStart divides the rate at the beginning of a slow start.
	slowStart = 16
	// slowStep is the time in which the rate doubles again.
	slowStep = time.Second
	// leastRate is the least number of calls per second.
	leastRate = 0.5
)

// current returns the calls per second that are allowed now.
func (l *limiter) current(now time.Time) float64 {
	rate := l.rate()
	if !l.slowed.IsZero() {
		factor := math.Pow(2, float64(now.Sub(l.slowed))/float64(slowStep)) / slowStart
		if factor < 1 {
			return max(leastRate, rate*factor)
		}
		l.slowed = time.Time{}
	}
	return max(leastRate, rate)
}

// slow lowers the rate for a few seconds. It is used when the platform comes back, so that what waited everywhere
// is stored in few writes, and when the platform refuses calls.
func (l *limiter) slow() {
	if l.rate == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowed = time.Now()
	l.tokens = min(0, l.tokens)
}

func (l *limiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve()
}
