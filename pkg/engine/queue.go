package engine

import "container/heap"

// queue hands out the slots of the batch, to the largest priority first and in order of arrival within a priority.
type queue struct {
	free    int
	limit   int
	arrival uint64
	waiting waiters
}

// waiter is a request that waits for a slot. granted is closed when it gets one.
type waiter struct {
	priority int
	arrival  uint64
	position int
	granted  chan struct{}
}

// enter returns a waiter, whose slot may be granted already, or nil if the queue is full.
func (q *queue) enter(priority int) *waiter {
	w := &waiter{priority: priority, arrival: q.arrival, position: -1, granted: make(chan struct{})}
	q.arrival++
	if q.free > 0 {
		q.free--
		close(w.granted)
		return w
	}
	if len(q.waiting) >= q.limit {
		return nil
	}
	heap.Push(&q.waiting, w)
	return w
}

// leave gives the waiter's slot to the next one, or takes the waiter out of the queue.
func (q *queue) leave(w *waiter) {
	if w.position >= 0 {
		heap.Remove(&q.waiting, w.position)
		return
	}
	if len(q.waiting) == 0 {
		q.free++
		return
	}
	next := heap.Pop(&q.waiting).(*waiter)
	close(next.granted)
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].position, w[j].position = i, j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.position = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.position = -1
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}
