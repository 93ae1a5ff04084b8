package forward

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

const (
	// maxResponseBytes is the size limit of a non-streaming response, which is buffered until it is complete.
	maxResponseBytes = 4 << 20
	// firstBufferBytes is the size of a response's buffer before it grows.
	firstBufferBytes = 2 << 10
	// defaultBufferBytes is the limit on all buffers if Options.BufferBytes is 0.
	defaultBufferBytes = 64 << 20
)

var (
	// errResponseTooLarge means that a response is larger than maxResponseBytes.
	errResponseTooLarge = errors.New("forward: the response is too large")
	// errBuffersFull means that the responses of all requests together would exceed the limit on buffers.
	errBuffersFull = errors.New("forward: no memory is left to buffer the response")
)

// bufferPool bounds the memory of the responses that are buffered at the same time. An endpoint may send a response
// without end, and several may do so at once. It is safe for concurrent use.
type bufferPool struct {
	limit int64
	used  atomic.Int64
}

// reserve reports whether n more bytes may be buffered, and counts them if so.
func (p *bufferPool) reserve(n int64) bool {
	if p.used.Add(n) > p.limit {
		p.used.Add(-n)
		return false
	}
	return true
}

func (p *bufferPool) release(n int64) { p.used.Add(-n) }

// readAll reads a response until its end, and counts its buffer in held as well. It returns the number of bytes that it has reserved,
// which the caller has to release even after an error.
func (p *bufferPool) readAll(r io.Reader, held *memory.Holding) (body []byte, reserved int64, err error) {
	for {
		if len(body) == cap(body) {
			// One byte more than the limit shows that the response exceeds it.
			next := min(max(firstBufferBytes, 2*cap(body)), maxResponseBytes+1)
			if !p.reserve(int64(next)) {
				return nil, reserved, errBuffersFull
			}
			if err := held.Grow(int64(next)); err != nil {
				p.release(int64(next))
				return nil, reserved, fmt.Errorf("%w: %w", errBuffersFull, err)
			}
			grown := make([]byte, len(body), next)
			copy(grown, body)
			p.release(reserved)
			held.Shrink(reserved)
			body, reserved = grown, int64(next)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, reserved, errResponseTooLarge
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}
