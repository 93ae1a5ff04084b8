// Package httpstore is the HTTP client of the platform's object API and VM list. It implements platform.Store.
package httpstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// DefaultTimeout bounds a call. A healthy platform responds within milliseconds.
	DefaultTimeout = 5 * time.Second
	// maxConns bounds the connections to the platform, including those of pending polls.
	maxConns = 64
	// idleTimeout is shorter than the server's, so that a write is rarely sent on a connection that the server is
	// closing.
	idleTimeout = 30 * time.Second
	// MaxResponseBytes bounds a response. The largest one is that to a list, with all objects below a prefix.
	MaxResponseBytes = 256 << 20
)

// Options configures a client.
type Options struct {
	// Address is the platform's IP address and port.
	Address string
	// ClientID identifies the client to the platform.
	ClientID string
	// Timeout bounds a call, and for a poll is added to its waiting time; default is DefaultTimeout. An earlier
	// deadline of the context takes precedence.
	Timeout time.Duration
}

// Store is a client of the platform. It is safe for concurrent use and doesn't retry calls.
type Store struct {
	options Options
	client  *fasthttp.HostClient
}

var _ platform.Store = (*Store)(nil)

// New returns a client. It doesn't connect before the first call.
func New(options Options) *Store {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	return &Store{options: options, client: &fasthttp.HostClient{
		Addr:                options.Address,
		Dial:                dial,
		MaxConns:            maxConns,
		MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: MaxResponseBytes,
		// By default fasthttp retries a PUT after a lost response, and the second attempt would get a conflict.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	body, err := s.call(ctx, request{method: fasthttp.MethodGet, path: platform.PathObject, query: url.Values{"key": {key}}})
	if err != nil {
		return platform.Object{}, err
	}
	return decodeObject(body, key)
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	payload, err := json.Marshal(platform.WireValue{Value: value})
	if err != nil {
		return platform.Object{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	body, err := s.call(ctx, request{
		method: fasthttp.MethodPut, path: platform.PathObject, query: url.Values{"key": {key}},
		isWrite: true, ifRevision: ifRevision, body: payload,
	})
	if err != nil {
		return platform.Object{}, err
	}
	object, err := decodeObject(body, key)
	if err != nil || object.Revision <= ifRevision {
		return platform.Object{}, fmt.Errorf("%w: invalid response", platform.ErrUncertain)
	}
	object.Value = append([]byte(nil), value...)
	return object, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, ifRevision uint64) error {
	_, err := s.call(ctx, request{
		method: fasthttp.MethodDelete, path: platform.PathObject, query: url.Values{"key": {key}},
		isWrite: true, ifRevision: ifRevision,
	})
	return err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	body, err := s.call(ctx, request{method: fasthttp.MethodGet, path: platform.PathObjects, query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return nil, 0, err
	}
	return decodeList(body, prefix)
}

// Poll implements platform.Store.
func (s *Store) Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	body, err := s.call(ctx, request{method: fasthttp.MethodGet, path: platform.PathWatch, pollWait: wait, query: url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}})
	if err != nil {
		return nil, after, err
	}
	return decodeChanges(body, prefix, after)
}

// VMs implements platform.Store.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	body, err := s.call(ctx, request{method: fasthttp.MethodGet, path: platform.PathVMs})
	if err != nil {
		return nil, err
	}
	return decodeVMs(body)
}
