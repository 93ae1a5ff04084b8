package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/reach"
)

// Errors of Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrFailedAfterSend means that the endpoint may have received the request and that no usable response arrived.
	ErrFailedAfterSend = errors.New("upstream: connection failed after sending")
)

const (
	// dialTimeout bounds a connection attempt. A healthy endpoint accepts within a few ms.
	dialTimeout = 600 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// endSettleTime is the time after the end of an answer in which the kernel of a process that has died closes its other sockets.
	endSettleTime = 5 * time.Millisecond
	// maxStrayBodyBytes bounds the body that is skipped of a response to an earlier request.
	maxStrayBodyBytes = 1 << 20
	// maxStrayResponses is the number of responses to earlier requests that are skipped for one request.
	maxStrayResponses = 4
)

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the path and query as written in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the response must repeat in the header IDHeader.
	ID       string
	IDHeader string
	// IsLeaving reports whether the endpoint stops by plan: it may take no more connections while it still completes its answers.
	// Optional.
	IsLeaving func() bool
	// MayRepeat reports whether the call may be sent to another endpoint although this one has run it. Optional.
	MayRepeat func() bool
	// ConfirmRun returns an error if the endpoint that accepts connections at the address now is not the process that got the call, and
	// otherwise what shows that it is. Optional.
	ConfirmRun func(ctx context.Context) (EndBasis, error)
	// OnEnd is called after the check of an end that had to be confirmed, with the result. Optional.
	OnEnd func(EndBasis, error)
	// Identify asks the process at the other end of a connection for its start time as a Unix time in ms, 0 if it doesn't say, by calls
	// that send sends on that connection. It is called once for a connection, before the first call that has it. Optional.
	Identify func(ctx context.Context, send SendFunc) (started int64, err error)
	// Accept returns an error if the call must not be sent to the process, which is not known without Identify, or if it didn't answer.
	// Optional.
	Accept func(Run) error
}

// Response is an endpoint's response. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// EndsWithConnection is set if the body has neither a length nor chunks. Reading it fails at its end if the endpoint accepts no
	// connection then: an endpoint that stops by itself in the middle can't be told from one that has finished.
	EndsWithConnection bool
	// Run is the process that sent the response.
	Run Run
}

// Stats counts connection attempts, reuses of a connection, skipped or refused responses to other requests, requests
// that failed after they were sent, answers whose end had to be confirmed, and connections whose process was identified or could not be.
type Stats struct {
	Dials, Reuses, StrayResponses, FailedAfterSend, ConfirmedEnds, Identified, NotIdentified atomic.Int64
}

// Client sends requests to endpoints. It never repeats a request. It is safe for concurrent use.
type Client struct {
	Stats Stats
	// DialContext connects to an endpoint. NewClient sets it; another one may replace it before the first use.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OnAttempt is called at the end of each connection attempt, unless the request that needed the connection ended first.
	// Optional.
	OnAttempt func(reach.Attempt)
	// MaxConnsTo returns how many connections to the address the client may have, 0 for no limit. Optional.
	MaxConnsTo func(address string) int
	// MaxConns is the largest number of connections to all endpoints, 0 for no limit.
	MaxConns int
	counts   connCounts
	delay    delayMeter
	// receivedAt is the time of the last bytes of an endpoint in Unix nanoseconds, 0 before the first ones.
	receivedAt atomic.Int64
	mu         sync.Mutex
	// idle holds the idle connections by address.
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{DialContext: Dialer(0, EndpointUnackedTimeout).DialContext, idle: map[string][]*conn{}, counts: connCounts{byAddr: map[string]int{}}}
}

// dial connects to the address. timeout bounds the attempt.
func (c *Client) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	c.Stats.Dials.Add(1)
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialled, err := c.DialContext(dialCtx, "tcp", address)
	// The dialer's timer may fire before that of the context.
	netErr := net.Error(nil)
	ended, timedOut := time.Now(), dialCtx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	if err == nil || timedOut {
		c.delay.record(ended, ended.Sub(started))
	}
	if c.OnAttempt != nil {
		c.OnAttempt(reach.Attempt{Address: address, Started: started, Ended: ended, Connected: err == nil, Refused: err != nil && !timedOut})
	}
	return dialled, err
}

// Send sends the call and waits for the response's header. When ctx ends, the connection is closed, and reading the body
// fails. Its errors wrap ErrNotSent or ErrFailedAfterSend.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	connection, err := c.getConn(ctx, call.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if call.Identify != nil && !connection.run.Known {
		if connection, err = c.identify(ctx, connection, call); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	putIdle := func(connection *conn) { c.putIdle(call.Address, connection) }
	if err := call.accept(connection.run); err != nil {
		c.pool(call.Address, connection) // The endpoint got nothing, so its idle timeout goes on.
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c.sendOn(ctx, connection, call, putIdle)
}

// sendOn sends the call on a connection. put gets the connection back if it can carry another call; otherwise it is closed.
func (c *Client) sendOn(ctx context.Context, connection *conn, call Call, put func(*conn)) (*Response, error) {
	e := &exchange{ctx: ctx, client: c, conn: connection, call: call, put: put}
	e.detach = context.AfterFunc(ctx, func() { _ = connection.Close() }) // The read or write in progress reports the failure.
	connection.exchanges++
	response, err := e.run()
	if err != nil {
		e.release(false)
		c.Stats.FailedAfterSend.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrFailedAfterSend, err)
	}
	return response, nil
}

// LinkDelay estimates how long packets wait in the VM's link, in both directions together. It is 0 without an estimate.
func (c *Client) LinkDelay() time.Duration { return c.delay.estimate(time.Now()) }

// ReceivedSince reports whether bytes of an endpoint have arrived at the time or later. It answers a full link, on which new connections
// time out while answers still come: the links aren't lost then.
func (c *Client) ReceivedSince(t time.Time) bool { return c.receivedAt.Load() >= t.UnixNano() }

// SetLinksLost tells the client that the VM has lost its links to all endpoints, or has them back. Connection attempts say
// nothing about the delay of packets meanwhile.
func (c *Client) SetLinksLost(lost bool) { c.delay.setPaused(lost) }

// exchange is one request and its response on a connection.
type exchange struct {
	ctx    context.Context
	client *Client
	conn   *conn
	call   Call
	put    func(*conn)
	// detach separates the connection from the request's context. It reports false if the context has already ended.
	detach func() bool
	// written is closed when writing the request has ended, with the error writeErr.
	written  chan struct{}
	writeErr error
	// status is the status of the response.
	status int
	// reusable is set if the response allows another request on the connection.
	reusable bool
}

// run writes the request and reads the response's header. A larger body is written concurrently with reading, because an
// endpoint may respond before it has read the body.
func (e *exchange) run() (*Response, error) {
	head, err := e.encodeHead()
	if err != nil {
		return nil, err
	}
	e.written = make(chan struct{})
	if len(e.call.Body) <= smallBodyBytes {
		_, e.writeErr = e.conn.Write(append(head, e.call.Body...))
		close(e.written)
	} else {
		go func() {
			defer close(e.written)
			if _, e.writeErr = e.conn.Write(head); e.writeErr == nil {
				_, e.writeErr = e.conn.Write(e.call.Body)
			}
		}()
	}
	return e.readResponse()
}

// smallBodyBytes is the size up to which a body is written before the response is read. It fits into the socket's send
// buffer, so that the write does not block.
const smallBodyBytes = 4 << 10

func (e *exchange) encodeHead() ([]byte, error) {
	var b bytes.Buffer
	b.WriteString(e.call.Method + " " + e.call.Target + " HTTP/1.1\r\nHost: " + e.call.Host + "\r\n")
	if err := e.call.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(e.call.Body) > 0 || (e.call.Method != http.MethodGet && e.call.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

func (e *exchange) readResponse() (*Response, error) {
	request := &http.Request{Method: e.call.Method}
	for skipped := 0; ; {
		r, err := e.readFinalHead(request)
		if err != nil {
			return nil, err
		}
		if id := r.Header.Get(e.call.IDHeader); id != e.call.ID {
			skipped++
			e.client.Stats.StrayResponses.Add(1)
			if !e.conn.mayHoldStray(id) || skipped > maxStrayResponses || r.Close {
				return nil, fmt.Errorf("unexpected response id %q", id)
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBodyBytes)); err != nil || n == maxStrayBodyBytes {
				return nil, fmt.Errorf("skip response with id %q after %d bytes: %w", id, n, err)
			}
			continue
		}
		e.reusable, e.status = !r.Close, r.StatusCode
		e.conn.applyKeepAlive(r.Header)
		body := &responseBody{ReadCloser: r.Body, release: e.release}
		endsWithConnection := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
		if endsWithConnection {
			body.confirmEnd = e.confirmEnd
		}
		return &Response{Status: r.StatusCode, Header: r.Header, Body: body, EndsWithConnection: endsWithConnection, Run: e.conn.run}, nil
	}
}

// Statuses of a final response by the protocol. http.ReadResponse accepts any number of three digits.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// readFinalHead reads a response's head, after any interim responses. The limit on its size covers these too.
func (e *exchange) readFinalHead(request *http.Request) (*http.Response, error) {
	e.conn.head.start()
	defer e.conn.head.stop()
	for {
		r, err := http.ReadResponse(e.conn.reader, request)
		switch {
		case err != nil:
			return nil, err
		case r.StatusCode < 100 || r.StatusCode > maxFinalStatus:
			return nil, fmt.Errorf("unexpected response status %03d", r.StatusCode)
		case r.StatusCode >= minFinalStatus:
			return r, nil
		}
	}
}

// release returns the connection to the pool, or closes it if it can't be reused. complete is set if the whole
// response was read.
func (e *exchange) release(complete bool) {
	contextActive := e.detach()
	requestWritten := false
	select {
	case <-e.written:
		requestWritten = e.writeErr == nil
	default:
	}
	if !complete || !e.reusable || !contextActive || !requestWritten || e.conn.reader.Buffered() > 0 {
		_ = e.conn.Close() // The exchange has ended, so an error in closing does not matter.
		return
	}
	e.put(e.conn)
}

func (c *Client) getConn(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		pooled := c.popIdle(address)
		if pooled == nil {
			break
		}
		if now.Before(pooled.idleDeadline) && pooled.canReuse() {
			c.Stats.Reuses.Add(1)
			return pooled, nil
		}
		_ = pooled.Close() // The connection is unusable, so an error in closing it does not matter.
	}
	if err := c.reserve(address); err != nil {
		return nil, err
	}
	return c.open(ctx, address, dialTimeout)
}

// open makes a connection that has been counted.
func (c *Client) open(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialled, err := c.dial(ctx, address, timeout)
	if err != nil {
		c.counts.remove(address)
		return nil, err
	}
	opened := newConn(receivingConn{Conn: dialled, receivedAt: &c.receivedAt})
	opened.idleDeadline = time.Now().Add(opened.idleTimeout)
	opened.closed = sync.OnceFunc(func() { c.counts.remove(address) })
	return opened, nil
}

// Connect makes a connection for a later request, also beyond the limits: it is for checks of a link, which are few. timeout bounds
// the attempt.
func (c *Client) Connect(ctx context.Context, address string, timeout time.Duration) error {
	c.counts.add(address, 0, 0)
	opened, err := c.open(ctx, address, timeout)
	if err != nil {
		return err
	}
	c.putIdle(address, opened)
	return nil
}

// Refuses reports whether the address refuses a new connection, as it does when nothing listens there.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return errors.Is(c.Connect(ctx, address, dialTimeout), syscall.ECONNREFUSED)
}

func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.idle[address]
	if len(connections) == 0 {
		return nil
	}
	last := connections[len(connections)-1]
	connections[len(connections)-1] = nil
	c.idle[address] = connections[:len(connections)-1]
	return last
}

// putIdle keeps a connection that has just been used.
func (c *Client) putIdle(address string, released *conn) {
	released.idleDeadline = time.Now().Add(released.idleTimeout)
	c.pool(address, released)
}

// pool keeps a connection until its idle deadline.
func (c *Client) pool(address string, released *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if released.idleTimeout <= 0 || len(c.idle[address]) >= maxIdlePerEndpoint {
		_ = released.Close() // The endpoint closes it soon, or the pool for this address is full.
		return
	}
	c.idle[address] = append(c.idle[address], released)
}

// CloseIdleExcept closes the idle connections to all addresses except those in keep.
func (c *Client) CloseIdleExcept(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connections := range c.idle {
		if keep[address] {
			continue
		}
		for _, unused := range connections {
			_ = unused.Close() // The endpoint is no longer listed.
		}
		delete(c.idle, address)
	}
}
