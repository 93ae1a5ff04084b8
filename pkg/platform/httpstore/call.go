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

// errDial marks a failed connection attempt. Nothing was sent.
var errDial = errors.New("connect to the platform")

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
	// isWrite marks a Put or Delete. If its response is lost, it may have taken effect.
	isWrite bool
	// ifRevision is the revision that a write expects.
	ifRevision uint64
	// pollWait is the time that the server may wait for a change before it responds; it extends the timeout.
	pollWait time.Duration
}

type response struct {
	status int
	body   []byte
	err    error
}

// call sends the request and returns the body of a 200 response, or an error of package platform. If ctx ends first,
// call returns at once, and the exchange continues in the background until its own deadline.
func (s *Store) call(ctx context.Context, r request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	deadline := time.Now().Add(s.options.Timeout + r.pollWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	responses := make(chan response, 1)
	go func() { responses <- s.exchange(r, deadline) }()
	select {
	case <-ctx.Done():
		return nil, r.lostResponseError(ctx.Err())
	case resp := <-responses:
		if resp.err != nil {
			return nil, r.exchangeError(resp.err)
		}
		if resp.status != fasthttp.StatusOK {
			return nil, r.statusError(resp.status, resp.body)
		}
		return resp.body, nil
	}
}

func (s *Store) exchange(r request, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + s.options.Address + r.path + "?" + r.query.Encode())
	req.Header.Set(platform.HeaderClient, s.options.ClientID)
	if r.isWrite {
		req.Header.Set(platform.HeaderIfMatch, strconv.FormatUint(r.ifRevision, 10))
	}
	req.SetBody(r.body)
	if err := s.client.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// lostResponseError returns the error of a call that may have been sent and whose response did not arrive:
// ErrUncertain for a write, otherwise ErrUnavailable.
func (r request) lostResponseError(cause error) error {
	if r.isWrite {
		return fmt.Errorf("%w: %w", platform.ErrUncertain, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// exchangeError returns the error of a call that ended without a response. Without a connection nothing was sent, so
// that a write is known not to have taken effect.
func (r request) exchangeError(cause error) error {
	if errors.Is(cause, errDial) || errors.Is(cause, fasthttp.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
	}
	return r.lostResponseError(cause)
}

// statusError returns the error of a response with a status other than 200.
func (r request) statusError(status int, body []byte) error {
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
	return r.lostResponseError(fmt.Errorf("status %d (%s)", status, message))
}
