package httpstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// dialTimeout bounds a connection attempt.
const dialTimeout = 2 * time.Second

// errDial marks a failed connection attempt: nothing was sent.
var errDial = errors.New("connecting to the platform")

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return conn, nil
}

type request struct {
	method, path string
	query        url.Values
	body         []byte
	// write marks a call whose lost response leaves its effect open.
	write    bool
	revision uint64
	// wait is the time that the server may hold the request.
	wait time.Duration
}

type response struct {
	status int
	body   []byte
	err    error
}

// call sends the request and returns the body of a 200 answer, or an error of package platform. If ctx ends first,
// the exchange goes on in the background until its own timeout.
func (s *Store) call(ctx context.Context, r request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	deadline := time.Now().Add(s.options.Timeout + r.wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	result := make(chan response, 1)
	go func() { result <- s.exchange(r, deadline) }()
	select {
	case <-ctx.Done():
		return nil, r.lost(ctx.Err())
	case got := <-result:
		if got.err != nil {
			return nil, r.failed(got.err)
		}
		if got.status != fasthttp.StatusOK {
			return nil, r.refused(got.status, got.body)
		}
		return got.body, nil
	}
}

func (s *Store) exchange(r request, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + s.options.Address + r.path + "?" + r.query.Encode())
	req.Header.Set(platform.HeaderClient, s.options.ClientID)
	if r.write {
		req.Header.Set(platform.HeaderIfMatch, strconv.FormatUint(r.revision, 10))
	}
	req.SetBody(r.body)
	if err := s.host.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// lost is the error of a call that was sent and whose response did not arrive.
func (r request) lost(cause error) error {
	if r.write {
		return fmt.Errorf("%w: %w", platform.ErrUncertain, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// failed is the error of a call without an answer.
func (r request) failed(cause error) error {
	if errors.Is(cause, errDial) || errors.Is(cause, fasthttp.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
	}
	return r.lost(cause)
}

// refused is the error of an answer other than 200.
func (r request) refused(status int, body []byte) error {
	message := decodeError(body)
	switch status {
	case fasthttp.StatusNotFound:
		return fmt.Errorf("%w (%s)", platform.ErrNotFound, message)
	case fasthttp.StatusConflict:
		return fmt.Errorf("%w (%s)", platform.ErrConflict, message)
	case fasthttp.StatusTooManyRequests:
		return fmt.Errorf("%w (%s)", platform.ErrThrottled, message)
	case fasthttp.StatusGone:
		return fmt.Errorf("%w (%s)", platform.ErrGap, message)
	case fasthttp.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w (%s)", platform.ErrTooLarge, message)
	case fasthttp.StatusBadRequest, fasthttp.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d (%s)", platform.ErrUnavailable, status, message)
	}
	return r.lost(fmt.Errorf("status %d (%s)", status, message))
}
