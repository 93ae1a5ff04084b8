package memstore

import (
	"bufio"
	"context"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// maxWeightBytes bounds one response of the weight store.
	maxWeightBytes = 1 << 30
	// weightChunkBytes is the number of bytes that are sent and counted against the rate limit at a time.
	weightChunkBytes = 64 << 10
)

// weightStore serves model weights: zero bytes, at a rate that all its readers share.
type weightStore struct {
	store  *Store
	mu     sync.Mutex
	bucket *Bucket
}

func (w *weightStore) handle(ctx *fasthttp.RequestCtx) error {
	bytes, err := ctx.QueryArgs().GetUint("bytes")
	if err != nil || bytes > maxWeightBytes {
		return badRequest("bytes: must be a number of at most 1 GiB")
	}
	if w.isDown(string(ctx.Request.Header.Peek(platform.HeaderClient))) {
		return platform.ErrUnavailable
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		chunk := make([]byte, weightChunkBytes)
		for bytes > 0 {
			n := min(bytes, weightChunkBytes)
			w.waitToSend(n)
			_, _ = out.Write(chunk[:n])
			if out.Flush() != nil {
				return
			}
			bytes -= n
		}
	})
	return nil
}

func (w *weightStore) isDown(client string) bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.store.hasFault(FaultDown, client)
}

// waitToSend waits until the rate limit permits sending n bytes.
func (w *weightStore) waitToSend(n int) {
	w.mu.Lock()
	delay := w.bucket.Reserve(n, w.store.clock.Now())
	w.mu.Unlock()
	_ = w.store.clock.Sleep(context.Background(), delay)
}
