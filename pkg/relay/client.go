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
	// ErrBroken means that the exchange ended before the complete answer was received.
	ErrBroken = errors.New("relay: exchange with the endpoint broke")
	// ErrCrashed means that the endpoint closed the connection of a running request. An error that wraps it
	// also wraps ErrBroken.
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
	// singleUse opens a connection for each call. The endpoint may close a reused connection at any time, and then it
	// is unknown whether the call ran.
	singleUse *fasthttp.Client
}

func newClient(firstByteTimeout, idleTimeout time.Duration) *client {
	return &client{
		singleUse: &fasthttp.Client{
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
			Dial:                      dialWithReadTimeouts(firstByteTimeout, idleTimeout),
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

// noRetry keeps fasthttp from sending a request again, because the first one may have run.
func noRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func dialWithReadTimeouts(firstByteTimeout, idleTimeout time.Duration) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return &readTimeoutConn{Conn: conn, firstByteTimeout: firstByteTimeout, idleTimeout: idleTimeout}, nil
	}
}

// errStaleConn means that a reused connection ended before a byte of the answer arrived: the endpoint most likely
// closed it while it was idle.
var errStaleConn = errors.New("reused connection was closed")

// readTimeoutConn fails a read that waits longer than its timeout. fasthttp's own read timeout covers a whole
// response and would end long streams. One request at a time uses a connection.
type readTimeoutConn struct {
	net.Conn
	firstByteTimeout time.Duration
	idleTimeout      time.Duration
	requestCount     int
	awaitingAnswer   bool
}

// Write counts a new request at the first write and at the first one after an answer.
func (c *readTimeoutConn) Write(p []byte) (int, error) {
	if !c.awaitingAnswer {
		c.awaitingAnswer = true
		c.requestCount++
	}
	return c.Conn.Write(p)
}

// Read waits up to firstByteTimeout for the beginning of an answer and up to idleTimeout for each further part.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	timeout := c.idleTimeout
	if c.awaitingAnswer {
		timeout = c.firstByteTimeout
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := c.Conn.Read(p)
	if err != nil && c.awaitingAnswer && c.requestCount > 1 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, fmt.Errorf("%w: %w", errStaleConn, err)
	}
	c.awaitingAnswer = false
	return n, err
}

// stream is an engine's answer while it is being read.
type stream struct {
	resp      *fasthttp.Response
	body      io.Reader
	closeOnce sync.Once
}

// openStream posts the body and returns the open stream. The error wraps ErrNotSent, ErrRefused, ErrRejected or
// ErrBroken.
func (c *client) openStream(address, requestID, organisation, idempotencyKey string, body []byte) (*stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setHeaders(req, "http://"+address+"/v1/chat/completions", requestID, organisation, idempotencyKey)
	req.SetBody(body)
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := c.streams.DoTimeout(req, resp, budget.LongestRequest); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, classifyTransportError(err)
	}
	s := &stream{resp: resp, body: resp.BodyStream()}
	status := resp.StatusCode()
	if status == fasthttp.StatusOK && s.body != nil {
		return s, nil
	}
	s.Close()
	switch {
	case isEngineRefusalStatus(status):
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return nil, fmt.Errorf("%w: status %d", ErrRejected, status)
	default:
		return nil, fmt.Errorf("%w: status %d", ErrBroken, status)
	}
}

// Close ends the exchange, and closes the connection if the answer was not read to its end. It may be called again.
func (s *stream) Close() {
	s.closeOnce.Do(func() {
		_ = s.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(s.resp)
	})
}

// isRefusalStatus reports whether the status proves that the endpoint did not run the request.
func isRefusalStatus(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// isEngineRefusalStatus also covers 404, because the model is no longer loaded, and 409, because the engine has
// received a higher fencing number than the request's; other engines may run the request.
func isEngineRefusalStatus(status int) bool {
	return isRefusalStatus(status) || status == fasthttp.StatusNotFound || status == fasthttp.StatusConflict
}

// classifyTransportError wraps a transport error in ErrNotSent, or in ErrBroken and if it applies ErrCrashed. Only a
// failed dial or the lack of a free connection proves that nothing was sent.
func classifyTransportError(err error) error {
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

// isCrash reports whether the endpoint ended the connection while a request was running on it.
func isCrash(err error) bool {
	if errors.Is(err, errStaleConn) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func setHeaders(req *fasthttp.Request, uri, requestID, organisation, idempotencyKey string) {
	req.SetRequestURI(uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, requestID)
	req.Header.Set(HeaderOrganisation, organisation)
	req.Header.Set(HeaderIdempotencyKey, idempotencyKey)
}

// Headers exchanged with callers and endpoints.
const (
	HeaderRequestID      = "X-LS-Request-Id"
	HeaderOrganisation   = "X-LS-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// cancelRequest asks the engine to stop a request. A failure is not reported: an unreachable engine has also lost the
// connection of the stream and stops by itself.
func (c *client) cancelRequest(address, requestID string) {
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
