package gateway

import "sync"

// tracker counts requests in progress. A drain waits for it to become idle.
type tracker struct {
	mu      sync.Mutex
	active  int
	waiters []chan struct{}
}

func newTracker() *tracker { return &tracker{} }

// begin counts a request; the returned function ends it and may be called more than once.
func (t *tracker) begin() func() {
	t.mu.Lock()
	t.active++
	t.mu.Unlock()
	return sync.OnceFunc(t.end)
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active > 0 {
		return
	}
	for _, waiter := range t.waiters {
		close(waiter)
	}
	t.waiters = nil
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

func (t *tracker) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := make(chan struct{})
	if t.active == 0 {
		close(done)
		return done
	}
	t.waiters = append(t.waiters, done)
	return done
}
