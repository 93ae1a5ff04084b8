package gateway

import "sync"

// requestTracker counts requests in progress, so that a drain can wait for their end. It is safe for concurrent use.
type requestTracker struct {
	mu          sync.Mutex
	active      int
	idleWaiters []chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{} }

// begin counts a request as in progress. The returned function ends it and may be called more than once.
func (t *requestTracker) begin() func() {
	t.mu.Lock()
	t.active++
	t.mu.Unlock()
	return sync.OnceFunc(t.end)
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active > 0 {
		return
	}
	for _, waiter := range t.idleWaiters {
		close(waiter)
	}
	t.idleWaiters = nil
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// idle returns a channel that is closed when no request is in progress.
func (t *requestTracker) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := make(chan struct{})
	if t.active == 0 {
		close(done)
		return done
	}
	t.idleWaiters = append(t.idleWaiters, done)
	return done
}
