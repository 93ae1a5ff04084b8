package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// Errors of calls to endpoints.
var (
	// ErrNotSent means that no byte of the request reached the endpoint.
	ErrNotSent = errors.New("relay: request was not sent")
	// ErrRefused means that the endpoint answered that it did not run the request.
	ErrRefused = errors.New("relay: endpoint refused the request")
	// ErrRejected means that the endpoint found the request invalid and did not run it.
	ErrRejected = errors.New("relay: endpoint rejected the request as invalid")
	// ErrBroken means that the exchange ended before the whole answer was received.
	ErrBroken = errors.New("relay: exchange with the endpoint broke")
	// ErrCrashed means that the endpoint closed the connection of a running request. It comes with ErrBroken.
	ErrCrashed = errors.New("relay: endpoint closed the connection")
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxConnsPerHost is above the number of streams that an engine runs at once.
	maxConnsPerHost = 4096
	idleConnTimeout = 30 * time.Second
	cancelTimeout   = 500 * time.Millisecond
	// maxServiceBodyBytes limits the answer of a plain service.
	maxServiceBodyBytes = 8 << 20
)

// client sends requests to endpoints. Streams and short calls use separate connections, because a stream's
// connection times out on silence and a short call on its whole duration.
type client struct {
	streams *fasthttp.Client
	calls   *fasthttp.Client
	// once opens a connection for each call: a reused one may have been closed by the endpoint, and then it
	// can't be told whether the call ran.
	once *fasthttp.Client
}

func newClient(firstByte, idle time.Duration) *client {
	return &client{
		once: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			MaxResponseBodySize:       maxServiceBodyBytes,
			Dial:                      dial,
		},
		streams: &fasthttp.Client{
			StreamResponseBody:        true,
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdleConnDuration:       idleConnTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			Dial:                      dialWithIdleTimeout(firstByte, idle),
		},
		calls: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxIdleConnDuration:       idleConnTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			MaxResponseBodySize:       maxServiceBodyBytes,
			Dial:                      dial,
		},
	}
}

// noRetry keeps fasthttp from sending a request twice: it can't know whether the first one ran.
func noRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func dialWithIdleTimeout(firstByte, idle time.Duration) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return &idleConn{Conn: conn, firstByte: firstByte, idle: idle}, nil
	}
}

// errStale marks the end of a reused connection on which no byte of the answer had arrived: the endpoint most
// likely closed it while it was idle.
var errStale = errors.New("reused connection was closed")

// idleConn fails a read that waits longer than its limit. fasthttp's own read timeout covers a whole response
// and would end long streams. One request at a time uses a connection.
type idleConn struct {
	net.Conn
	firstByte time.Duration
	idle      time.Duration
	requests  int
	waiting   bool
}

// Write begins a request.
func (c *idleConn) Write(p []byte) (int, error) {
	if !c.waiting {
		c.waiting = true
		c.requests++
	}
	return c.Conn.Write(p)
}

// Read waits up to firstByte for the beginning of an answer and up to idle for each further part.
func (c *idleConn) Read(p []byte) (int, error) {
	limit := c.idle
	if c.waiting {
		limit = c.firstByte
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := c.Conn.Read(p)
	if err != nil && c.waiting && c.requests > 1 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, fmt.Errorf("%w: %w", errStale, err)
	}
	c.waiting = false
	return n, err
}

// stream is an open answer of an engine.
type stream struct {
	resp  *fasthttp.Response
	body  io.Reader
	close sync.Once
}

// openStream posts the body and returns the open answer. The error wraps ErrNotSent, ErrRefused or ErrBroken.
func (c *client) openStream(address, requestID, organisation, key string, body []byte) (*stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setHeaders(req, "http://"+address+"/v1/chat/completions", requestID, organisation, key)
	req.SetBody(body)
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := c.streams.DoTimeout(req, resp, budget.LongestRequest); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, classify(err)
	}
	s := &stream{resp: resp, body: resp.BodyStream()}
	status := resp.StatusCode()
	if status == fasthttp.StatusOK && s.body != nil {
		return s, nil
	}
	s.Close()
	switch {
	case isEngineRefusal(status):
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return nil, fmt.Errorf("%w: status %d", ErrRejected, status)
	default:
		return nil, fmt.Errorf("%w: status %d", ErrBroken, status)
	}
}

// Close ends the exchange and its connection if the answer was not read to its end.
func (s *stream) Close() {
	s.close.Do(func() {
		_ = s.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(s.resp)
	})
}

// isRefusal reports whether the status proves that the endpoint did not run the request.
func isRefusal(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// isEngineRefusal also covers a model that is no longer loaded and an order that was overtaken; other engines may
// run the request.
func isEngineRefusal(status int) bool {
	return isRefusal(status) || status == fasthttp.StatusNotFound || status == fasthttp.StatusConflict
}

// classify maps a transport error. Only a failed dial proves that nothing was sent.
func classify(err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if isCrash(err) {
		return fmt.Errorf("%w: %w: %w", ErrBroken, ErrCrashed, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// isCrash reports whether the endpoint's side ended the connection while a request was running on it.
func isCrash(err error) bool {
	if errors.Is(err, errStale) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func setHeaders(req *fasthttp.Request, uri, requestID, organisation, key string) {
	req.SetRequestURI(uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, requestID)
	req.Header.Set(HeaderOrganisation, organisation)
	req.Header.Set(HeaderIdempotencyKey, key)
}

// Headers that the system uses towards callers and endpoints.
const (
	HeaderRequestID      = "X-LS-Request-Id"
	HeaderOrganisation   = "X-LS-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// cancel tells the engine to stop a request. A failure is not reported: an engine that can't be reached has
// lost the connection of the stream too and stops by itself.
func (c *client) cancel(address, requestID string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/cancel")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyString(`{"request_id":"` + requestID + `"}`)
	_ = c.calls.DoTimeout(req, resp, cancelTimeout)
}
