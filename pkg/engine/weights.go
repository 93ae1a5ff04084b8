package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// NewWeightFetcher returns a function for Config.FetchWeights that reads weights from the platform's weight store at
// the address. The function is safe for concurrent use.
func NewWeightFetcher(address string) func(ctx context.Context, name string, bytes int) error {
	client := &fasthttp.Client{StreamResponseBody: true}
	return func(ctx context.Context, name string, bytes int) error {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		query := url.Values{"name": {name}, "bytes": {strconv.Itoa(bytes)}}
		request.SetRequestURI("http://" + address + platform.PathWeights + "?" + query.Encode())
		if err := client.Do(request, response); err != nil {
			return fmt.Errorf("reading weights of %s: %w", name, err)
		}
		defer func() { _ = response.CloseBodyStream() }()
		if response.StatusCode() != http.StatusOK {
			return fmt.Errorf("reading weights of %s: status %d", name, response.StatusCode())
		}
		received, err := io.Copy(io.Discard, &contextReader{ctx: ctx, reader: response.BodyStream()})
		if err != nil {
			return fmt.Errorf("reading weights of %s: %w", name, err)
		}
		if received != int64(bytes) {
			return fmt.Errorf("reading weights of %s: %d bytes of %d", name, received, bytes)
		}
		return nil
	}
}

// contextReader is a reader that returns the error of its context once the context has ended.
type contextReader struct {
	ctx    context.Context
	reader io.Reader
}

// Read implements io.Reader.
func (c *contextReader) Read(p []byte) (int, error) {
	if err := c.ctx.Err(); err != nil {
		return 0, err
	}
	return c.reader.Read(p)
}
