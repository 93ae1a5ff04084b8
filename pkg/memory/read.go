package memory

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of a body's buffer before it grows, however much is announced.
const firstBodyBytes = 16 << 10

// ErrTooLarge means that a body is larger than its limit.
var ErrTooLarge = errors.New("memory: the body is too large")

// ReadBody reads a body up to its end. The buffer grows with what has come, and each growth is counted in held first; what is counted
// at the return is the buffer. announced is the length that the caller stated, below 0 if none. beforeRead is called with the number
// of bytes that have come.
func ReadBody(r io.Reader, announced, limit int64, held *Holding, beforeRead func(received int)) ([]byte, error) {
	most := limit
	if announced >= 0 {
		most = announced
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if announced >= 0 && int64(len(body)) == announced {
				return body, nil
			}
			if int64(len(body)) >= limit {
				beforeRead(len(body))
				return body, expectEnd(r)
			}
			next := min(max(firstBodyBytes, 2*int64(cap(body))), most)
			if err := held.Grow(next); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), next)
			copy(grown, body)
			held.Shrink(int64(cap(body)))
			body = grown
		}
		beforeRead(len(body))
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF && int64(len(body)) < announced:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// expectEnd returns ErrTooLarge if there is another byte, which needs no larger buffer.
func expectEnd(r io.Reader) error {
	var next [1]byte
	switch n, err := io.ReadFull(r, next[:]); {
	case n > 0:
		return ErrTooLarge
	case err != io.EOF:
		return err
	}
	return nil
}
