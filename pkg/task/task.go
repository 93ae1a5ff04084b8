// Package task serializes access to a value: a single goroutine owns the value and runs the functions that use it.
package task

import "context"

// queueLength is the number of calls that can be queued before Post blocks.
const queueLength = 64

// Owner serializes access to a value of type T. Create it with New and start it with Run.
type Owner[T any] struct {
	state   *T
	calls   chan func(*T)
	stopped chan struct{}
}

// New returns an Owner of state. After the call, only functions passed to Do and Post may use state.
func New[T any](state *T) *Owner[T] {
	return &Owner[T]{state: state, calls: make(chan func(*T), queueLength), stopped: make(chan struct{})}
}

// Run executes calls until ctx ends. It must be called once.
func (o *Owner[T]) Run(ctx context.Context) {
	defer close(o.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-o.calls:
			call(o.state)
		}
	}
}

// Stopped is closed when Run has ended.
func (o *Owner[T]) Stopped() <-chan struct{} { return o.stopped }

// Do runs f in the owner's goroutine and waits for it. It returns false if the owner has stopped, in which case f may
// not have run. Functions passed to Do and Post must not call Do, which would deadlock.
func (o *Owner[T]) Do(f func(*T)) bool {
	done := make(chan struct{})
	if !o.Post(func(s *T) { f(s); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-o.stopped:
		return false
	}
}

// Post queues f without waiting until it has run, but blocks while the queue is full. It returns false if the owner has
// stopped. If it returns true, f still does not run if the owner stops first.
func (o *Owner[T]) Post(f func(*T)) bool {
	select {
	case o.calls <- f:
		return true
	case <-o.stopped:
		return false
	}
}
