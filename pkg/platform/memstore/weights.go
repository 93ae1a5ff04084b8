package memstore

import (
	"bufio"
	"context"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// maxWeightBytes bounds one answer of the weight store.
	maxWeightBytes = 1 << 30
	// weightChunk is the size of the pieces that the rate limit is applied to.
	weightChunk = 64 << 10
)

// weightStore sends zero bytes at a rate that all its readers share.
type weightStore struct {
	store  *Store
	mu     sync.Mutex
	bucket *Bucket
}

func (w *weightStore) serve(ctx *fasthttp.RequestCtx) error {
	bytes, err := ctx.QueryArgs().GetUint("bytes")
	if err != nil || bytes > maxWeightBytes {
		return badRequest("bytes: must be a number of at most 1 GiB")
	}
	if w.down(string(ctx.Request.Header.Peek(platform.HeaderClient))) {
		return platform.ErrUnavailable
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		chunk := make([]byte, weightChunk)
		for bytes > 0 {
			n := min(bytes, weightChunk)
			w.wait(n)
			_, _ = out.Write(chunk[:n])
			if out.Flush() != nil {
				return
			}
			bytes -= n
		}
	})
	return nil
}

func (w *weightStore) down(client string) bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.store.hasFault(FaultDown, client)
}

// wait waits until n bytes may be sent.
func (w *weightStore) wait(n int) {
	w.mu.Lock()
	delay := w.bucket.Reserve(n, w.store.clock.Now())
	w.mu.Unlock()
	_ = w.store.clock.Sleep(context.Background(), delay)
}
