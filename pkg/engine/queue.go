package engine

import "container/heap"

// queue grants the slots of the batch by priority, highest first, and by order of arrival within a priority.
type queue struct {
	freeSlots   int
	maxWaiting  int
	nextArrival uint64
	waiting     waiters
}

// waiter is a request that waits for a slot or has one. granted is closed when it gets the slot. heapIndex is -1 while
// the waiter is not in the heap.
type waiter struct {
	priority  int
	arrival   uint64
	heapIndex int
	granted   chan struct{}
}

// enqueue returns a waiter, which may have its slot already, or nil if the queue is full.
func (q *queue) enqueue(priority int) *waiter {
	w := &waiter{priority: priority, arrival: q.nextArrival, heapIndex: -1, granted: make(chan struct{})}
	q.nextArrival++
	if q.freeSlots > 0 {
		q.freeSlots--
		close(w.granted)
		return w
	}
	if len(q.waiting) >= q.maxWaiting {
		return nil
	}
	heap.Push(&q.waiting, w)
	return w
}

// release passes the waiter's slot to the next waiter, or removes a waiter without a slot from the queue.
func (q *queue) release(w *waiter) {
	if w.heapIndex >= 0 {
		heap.Remove(&q.waiting, w.heapIndex)
		return
	}
	if len(q.waiting) == 0 {
		q.freeSlots++
		return
	}
	next := heap.Pop(&q.waiting).(*waiter)
	close(next.granted)
}

// waiters implements heap.Interface, highest priority first.
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
	w[i].heapIndex, w[j].heapIndex = i, j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.heapIndex = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.heapIndex = -1
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}
