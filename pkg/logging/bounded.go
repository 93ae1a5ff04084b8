package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueLength is the number of log lines that are queued for a slow destination before further lines are dropped.
	queueLength = 2048
	// queueBytes is the size of the queued lines in bytes before further lines are dropped: they have texts that callers choose.
	queueBytes = 2 << 20
)

// BoundedWriter is a writer of log lines that never blocks: lines that arrive while its queue is full are dropped and
// counted. Create it with NewBoundedWriter.
type BoundedWriter struct {
	lines chan []byte
	// queued is the size of the queued lines in bytes.
	queued  atomic.Int64
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
	size := int64(len(line))
	if b.queued.Add(size) > queueBytes {
		b.queued.Add(-size)
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.queued.Add(-size)
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
		size := int64(len(line))
		if n := b.dropped.Load(); n > reported {
			line = append(line, fmt.Sprintf(`{"level":"warn","message":"log_lines_dropped","fields":{"total":%d}}`+"\n", n)...)
			reported = n
		}
		if _, err := w.Write(line); err != nil {
			// The error can't be logged elsewhere; the count is reported with the next line that can be written.
			b.dropped.Add(1)
		}
		b.queued.Add(-size)
	}
}
