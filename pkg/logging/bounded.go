package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is the number of log lines that wait for a slow reader of the log before lines are dropped.
const queuedLines = 2048

// Bounded is a writer of log lines that never blocks: lines that the destination does not take in time are dropped and
// counted. Create it with NewBounded.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a writer that passes lines on to w in a goroutine of its own.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues one line. It always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	reported := int64(0)
	for line := range b.lines {
		if n := b.dropped.Load(); n > reported {
			line = append(line, fmt.Sprintf(`{"level":"warn","message":"log_lines_dropped","fields":{"total":%d}}`+"\n", n)...)
			reported = n
		}
		if _, err := w.Write(line); err != nil {
			// The log has no other place to go; the next line that can be written has the count.
			b.dropped.Add(1)
		}
	}
}
