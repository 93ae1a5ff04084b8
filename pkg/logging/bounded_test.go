package logging

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a process that blocks because nobody reads its log, and against dropped lines that are not counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	b := NewBoundedWriter(writer)
	for range 3 * queueLength {
		n, err := b.Write([]byte("line\n"))
		must.NoError(t, err)
		must.EqOp(t, 5, n)
	}
	// The writer goroutine holds one line, and the queue is full.
	must.GreaterEq(t, 2*queueLength-1, b.Dropped())
	var read bytes.Buffer
	done := make(chan struct{})
	go func() { _, _ = io.Copy(&read, reader); close(done) }()
	b.Close()
	must.NoError(t, writer.Close())
	<-done
	must.StrContains(t, read.String(), `"log_lines_dropped"`)
}

// Guards against a number of log lines that grows with the load.
func TestLimiter(t *testing.T) {
	l := NewLimiter(3)
	now := time.Unix(1_800_000_000, 0)
	written := 0
	for range 10 {
		if _, ok := l.Allow(now); ok {
			written++
		}
	}
	must.EqOp(t, 3, written)
	suppressed, ok := l.Allow(now.Add(time.Second))
	must.True(t, ok)
	must.EqOp(t, 7, suppressed)
}
