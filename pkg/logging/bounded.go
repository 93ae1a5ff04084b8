package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLength is the number of log lines that are queued for a slow destination before further lines are dropped.
const queueLength = 2048

// BoundedWriter is a writer of log lines that never blocks: lines that arrive while its queue is full are dropped and
// counted. Create it with NewBoundedWriter.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer that passes lines on to w in a goroutine of its own.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write queues one line. It always reports success.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close waits until the queued lines are written. Write must not be called afterwards.
func (b *BoundedWriter) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	reported := int64(0)
	for line := range b.lines {
		if n := b.dropped.Load(); n > reported {
			line = append(line, fmt.Sprintf(`{"level":"warn","message":"log_lines_dropped","fields":{"total":%d}}`+"\n", n)...)
			reported = n
		}
		if _, err := w.Write(line); err != nil {
			// The error can't be logged elsewhere; the count is reported with the next line that can be written.
			b.dropped.Add(1)
		}
	}
}
