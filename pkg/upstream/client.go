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
	"time"
)

// Errors of Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken means that the request may have been received and no usable response came.
	ErrBroken = errors.New("upstream: connection failed after sending")
)

const (
	// dialTimeout bounds a connection attempt; an endpoint accepts within a few ms when it is well.
	dialTimeout = 600 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// maxStrayBytes bounds the body of a response to an earlier request that is skipped.
	maxStrayBytes = 1 << 20
	// maxSkipped bounds the responses that are skipped for one request.
	maxSkipped = 4
)

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the path with the query as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the response repeats in IDHeader.
	ID       string
	IDHeader string
}

// Response is an endpoint's response. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Stats counts events of a client.
type Stats struct {
	Dials, Reused, Stray, Broken atomic.Int64
}

// Client sends requests to endpoints. It is safe for concurrent use and never repeats a request.
type Client struct {
	Stats  Stats
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{dialer: Dialer(dialTimeout), idle: map[string][]*conn{}} }

// Send sends the call and waits for the response's header. When ctx ends the connection is closed, which also ends
// the body. The errors wrap ErrNotSent or ErrBroken.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	connection, err := c.get(ctx, call.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	e := &exchange{client: c, conn: connection, call: call}
	e.stop = context.AfterFunc(ctx, func() { _ = connection.Close() }) // The read or write in progress reports the failure.
	connection.exchanges++
	response, err := e.run()
	if err != nil {
		e.end(false)
		c.Stats.Broken.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return response, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	client *Client
	conn   *conn
	call   Call
	stop   func() bool
	// written is closed when the request was written; writeErr is then set.
	written  chan struct{}
	writeErr error
	// reusable tells that the response allows another request on the connection.
	reusable bool
}

// run writes the request beside reading the response, because an endpoint may answer before it has read the body.
func (e *exchange) run() (*Response, error) {
	head, err := e.head()
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
	return e.read()
}

// smallBodyBytes is the size up to which a body is written before the response is read; it fits into the socket's buffer.
const smallBodyBytes = 4 << 10

func (e *exchange) head() ([]byte, error) {
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

func (e *exchange) read() (*Response, error) {
	request := &http.Request{Method: e.call.Method}
	for skipped := 0; ; {
		r, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if id := r.Header.Get(e.call.IDHeader); id != e.call.ID {
			// A response to an earlier request can only come on a connection that carried one.
			skipped++
			e.client.Stats.Stray.Add(1)
			if e.conn.exchanges < 2 || skipped > maxSkipped || r.Close {
				return nil, fmt.Errorf("response has the id %q", id)
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
				return nil, fmt.Errorf("skipping a response with the id %q: %d bytes read: %w", id, n, err)
			}
			continue
		}
		e.reusable = !r.Close
		e.conn.keepAlive(r.Header)
		return &Response{Status: r.StatusCode, Header: r.Header, Body: &body{ReadCloser: r.Body, done: e.end}}, nil
	}
}

// end gives the connection back or closes it.
func (e *exchange) end(complete bool) {
	live := e.stop()
	wrote := false
	select {
	case <-e.written:
		wrote = e.writeErr == nil
	default:
	}
	if !complete || !e.reusable || !live || !wrote || e.conn.reader.Buffered() > 0 || e.conn.idle <= 0 {
		_ = e.conn.Close() // The exchange has ended; a failed close changes nothing.
		return
	}
	e.client.put(e.call.Address, e.conn)
}

func (c *Client) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		kept := c.pop(address)
		if kept == nil {
			break
		}
		if now.Before(kept.idleUntil) && kept.quiet() {
			c.Stats.Reused.Add(1)
			return kept, nil
		}
		_ = kept.Close() // The connection is stale already.
	}
	c.Stats.Dials.Add(1)
	fresh, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(fresh), nil
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return last
}

func (c *Client) put(address string, used *conn) {
	used.idleUntil = time.Now().Add(used.idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerEndpoint {
		_ = used.Close() // Enough connections are kept.
		return
	}
	c.idle[address] = append(c.idle[address], used)
}

// Forget closes the idle connections to all addresses except those in keep.
func (c *Client) Forget(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		if keep[address] {
			continue
		}
		for _, unused := range list {
			_ = unused.Close() // The endpoint has left.
		}
		delete(c.idle, address)
	}
}
