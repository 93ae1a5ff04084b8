package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// endlessReader returns bytes without end and counts them.
type endlessReader struct{ bytes int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.bytes += len(p)
	return len(p), nil
}

// Guards against memory that grows with a response that never ends, for one request and for many at once.
func TestBuffersAreBounded(t *testing.T) {
	pool := &bufferPool{limit: 10 << 20}
	endless := &endlessReader{}
	_, first, err := pool.readAll(endless, nil)
	must.ErrorIs(t, err, errResponseTooLarge)
	must.LessEq(t, 2*maxResponseBytes, endless.bytes)
	must.EqOp(t, first, pool.used.Load())

	second := &endlessReader{}
	_, reserved, err := pool.readAll(second, nil)
	must.ErrorIs(t, err, errBuffersFull)
	must.LessEq(t, pool.limit, pool.used.Load())
	pool.release(first)
	pool.release(reserved)
	must.EqOp(t, 0, pool.used.Load())
}

// Guards against a response that is cut short or refused although it fits.
func TestBuffersWholeResponse(t *testing.T) {
	pool := &bufferPool{limit: 16 << 20}
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, maxResponseBytes} {
		want := bytes.Repeat([]byte("a"), size)
		got, reserved, err := pool.readAll(io.MultiReader(bytes.NewReader(want[:size/2]), bytes.NewReader(want[size/2:])), nil)
		must.NoError(t, err)
		must.True(t, bytes.Equal(want, got))
		pool.release(reserved)
	}
	_, _, err := pool.readAll(strings.NewReader(strings.Repeat("a", maxResponseBytes+1)), nil)
	must.ErrorIs(t, err, errResponseTooLarge)
}
