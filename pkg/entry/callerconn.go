package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

const (
	// writeStall is how long a caller may take to read writeBytes of an answer. It then gets at least 1.6 kB a second, and a stream that
	// its caller doesn't read ends.
	writeStall = 10 * time.Second
	writeBytes = 16 << 10
	// refusalWriteTime bounds the write of a refusal that the server doesn't write.
	refusalWriteTime = 100 * time.Millisecond
	// headRefusal is the answer to a request whose head can't be held: it has not run and never will.
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var (
	// errHeadRefused ends a connection for whose head there is no memory. The server has read no request from it.
	errHeadRefused = errors.New("entry: no memory is left for the head of a request")
	// errConnRefused ends a connection for which there is no memory.
	errConnRefused = errors.New("entry: no memory is left for a connection")
	// errPeerRefused is the cause of the refusal of a call at the listener for other routers.
	errPeerRefused = errors.New("entry: no memory is left for a call of another router")
	// errNotRead is the cause of the end of a connection whose caller reads nothing.
	errNotRead = errors.New("entry: the caller doesn't read the answer")
)

// refusalReason returns the label of a refusal for its cause.
func refusalReason(cause error) string {
	switch {
	case errors.Is(cause, errNotRead):
		return "answer_not_read"
	case errors.Is(cause, errConnRefused):
		return "connection_memory_full"
	case errors.Is(cause, errPeerRefused):
		return "peer_memory_full"
	}
	return "head_memory_full"
}

// listen returns a listener whose connections tell c when the head of a later request begins, and count what they take.
func (c *callerConns) listen(l net.Listener) net.Listener { return headListener{l, c} }

type headListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.conns.account.OpenConnection()
		if err := open.Grow(l.conns.connBytes); err != nil {
			l.conns.recordRefusal(addressOf(accepted), errors.Join(errConnRefused, err))
			_ = accepted.Close() // Nothing was read from it.
			l.conns.endIdle()
			continue
		}
		if n := l.conns.bufferSize(); n > 0 {
			setBuffers(accepted, n)
		}
		if l.conns.unframed {
			return &countedConn{accepted, open}, nil
		}
		return &headConn{Conn: accepted, conns: l.conns, open: open, held: l.conns.account.Open(addressOf(accepted), "")}, nil
	}
}

// countedConn is a connection that counts what it takes besides its requests.
type countedConn struct {
	net.Conn
	open *memory.Holding
}

func (c *countedConn) setState(state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.open.Close()
	}
}

// addressOf returns the IP address of the other end, an invalid one if it has none.
func addressOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// headConn is a connection that tells when the head of a later request begins, counts requests in the account before the server gets
// their bytes, and fails writes that the caller doesn't read.
//
// The server never gets bytes beyond the head, or the body, that it reads: it would decode the next head from its own buffer, and nothing
// could be asked before.
type headConn struct {
	net.Conn
	conns *callerConns
	// open is what the connection takes without a request, and held what its request takes.
	open, held *memory.Holding
	// idle is set while no byte of the next request has been read. It spares a lock for most reads.
	idle atomic.Bool
	// active is set from the end of a head until its request has ended, evicted once the request was ended for others while its head
	// arrived, and refused from the refusal of a head until it is answered.
	active, evicted, refused atomic.Bool
	// writeLimit is the write deadline that the server or a handler has set, nil if none.
	writeLimit atomic.Pointer[time.Time]

	mu     sync.Mutex
	framer framer
	// pending are bytes that were read beyond the part of a request that the server reads.
	pending []byte
	// uncounted is what the begin of a head takes that has come while the request before was active.
	uncounted int64
}

// Read implements net.Conn.
func (h *headConn) Read(p []byte) (int, error) {
	n, err := h.receive(p)
	if h.evicted.Load() && !h.active.Load() {
		return 0, h.refuseHead(memory.ErrFull)
	}
	if n == 0 {
		return 0, err
	}
	if h.idle.CompareAndSwap(true, false) {
		h.conns.beginHead(h)
	}
	h.mu.Lock()
	inHead := h.framer.inHead()
	taken, cost := h.framer.take(p[:n])
	if taken < n {
		h.pending = append(append([]byte(nil), p[taken:n]...), h.pending...)
	}
	switch {
	case !h.active.Load():
		cost += h.uncounted
		h.uncounted = 0
	case inHead:
		h.uncounted += cost
		cost = 0
	}
	h.mu.Unlock()
	if cost == 0 {
		return taken, nil
	}
	if full := h.count(cost); full != nil {
		if !h.active.Load() {
			return 0, h.refuseHead(full)
		}
		return 0, &net.OpError{Op: "read", Err: full}
	}
	return taken, nil
}

// receive reads at most what the framer allows, pending bytes first. An error that comes with bytes is left to the next read.
func (h *headConn) receive(p []byte) (int, error) {
	h.mu.Lock()
	p = p[:h.framer.most(len(p), h.active.Load())]
	if len(h.pending) > 0 {
		n := copy(p, h.pending)
		if h.pending = h.pending[n:]; len(h.pending) == 0 {
			h.pending = nil
		}
		h.mu.Unlock()
		return n, nil
	}
	h.mu.Unlock()
	return h.Conn.Read(p)
}

// count counts what bytes take that the server gets next. Until a head is whole, its request can be ended for others.
func (h *headConn) count(cost int64) error {
	if h.active.Load() {
		return h.held.Grow(cost)
	}
	begins := h.held.Size() == 0
	if begins {
		cost += memory.RequestBytes
	}
	if err := h.held.Grow(cost); err != nil {
		return err
	}
	if begins {
		h.held.Arrive(func() {
			h.evicted.Store(true)
			_ = h.Conn.SetReadDeadline(time.Unix(1, 0)) // On an error the connection is closed already.
		})
	}
	return nil
}

// refuseHead refuses a request whose head the server hasn't read, and returns the error that ends the connection: the server answers
// with 400 after any other one. What it has decoded so far is held until it closes the connection, and so is the room for it.
func (h *headConn) refuseHead(cause error) error {
	if h.refused.CompareAndSwap(false, true) {
		h.conns.recordRefusal(addressOf(h.Conn), errors.Join(errHeadRefused, cause))
	}
	return &net.OpError{Op: "read", Err: errHeadRefused}
}

// Close implements net.Conn. It answers a request whose head was refused first: the server doesn't.
func (h *headConn) Close() error {
	if h.refused.CompareAndSwap(true, false) {
		h.held.Close()
		_ = h.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime)) // On an error the connection is closed already.
		if _, err := io.WriteString(h.Conn, headRefusal); err == nil {
			forward.Linger(h)
		}
	}
	return h.Conn.Close()
}

// Held returns what is held for the request of the connection. It is given back when the request has ended.
func (h *headConn) Held() *memory.Holding { return h.held }

// SetWriteDeadline implements net.Conn. It bounds all parts of a Write together.
func (h *headConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		h.writeLimit.Store(nil)
	} else {
		h.writeLimit.Store(&t)
	}
	return h.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It writes in parts, each of which the caller has writeStall to take, at most until the write deadline.
func (h *headConn) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+writeBytes)]
		deadline := time.Now().Add(writeStall)
		if limit := h.writeLimit.Load(); limit != nil && limit.Before(deadline) {
			deadline = *limit
		}
		if err := h.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := h.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			h.conns.recordRefusal(addressOf(h.Conn), errNotRead)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// setState follows the request of the connection. What is held for a request is given back after it.
func (h *headConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		h.active.Store(true)
		h.held.Arrived()
		if h.evicted.CompareAndSwap(true, false) {
			_ = h.Conn.SetReadDeadline(time.Time{}) // It was ended at its last byte: the request is whole. On an error the connection is closed already.
		}
	case http.StateIdle:
		h.held.Close()
		h.evicted.Store(false)
		h.active.Store(false)
	case http.StateClosed, http.StateHijacked:
		h.held.Close()
		h.open.Close()
	}
}

// NetConn returns the connection whose bytes aren't counted, for a caller of which the rest is discarded.
func (h *headConn) NetConn() net.Conn { return h.Conn }

// SetLinger sets what Close does with unsent bytes, as net.TCPConn does.
func (h *headConn) SetLinger(seconds int) error { return setLinger(h.Conn, seconds) }

// CloseWrite ends what is sent to the caller, as net.TCPConn does.
func (h *headConn) CloseWrite() error { return closeWrite(h.Conn) }

// framedHandler tells the connection of a request which body follows its head.
type framedHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (f framedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h, ok := forward.Conn(r.Context()).(*headConn); ok {
		h.mu.Lock()
		h.framer.beginBody(r)
		h.mu.Unlock()
	}
	forward.CloseAfterChunks(w, r)
	f.next.ServeHTTP(w, r)
}

// framer finds the ends of heads and bodies in the bytes of a connection. The zero framer awaits a head.
type framer struct {
	head memory.HeadMeter
	// body is set while the body of a request is read: left bytes, or chunks.
	body   bool
	left   int64
	chunks *memory.ChunkMeter
}

func (f *framer) inHead() bool { return !f.body }

// most returns how many bytes may be read into a buffer of the size. While a request without a body is active, the server reads a single
// byte, to notice the end of the connection; it is the first one of the next head.
func (f *framer) most(size int, active bool) int {
	switch {
	case f.body && f.chunks == nil:
		return int(min(int64(size), f.left))
	case !f.body && active:
		return min(size, 1)
	}
	return size
}

// take returns how many of the bytes the server may get now, at most those up to the end of the head or body, and what they take decoded.
func (f *framer) take(p []byte) (n int, cost int64) {
	ended := false
	switch {
	case !f.body:
		n, cost, _ = f.head.Scan(p)
		return n, cost
	case f.chunks != nil:
		n, cost, ended = f.chunks.Scan(p)
	default:
		n = len(p)
		f.left -= int64(n)
		ended = f.left <= 0
	}
	if ended {
		*f = framer{}
	}
	return n, cost
}

// beginBody is called after the head of a request, before its body is read.
func (f *framer) beginBody(r *http.Request) {
	switch {
	case len(r.TransferEncoding) > 0:
		*f = framer{body: true, chunks: &memory.ChunkMeter{}}
	case r.ContentLength > 0:
		*f = framer{body: true, left: r.ContentLength}
	}
}
