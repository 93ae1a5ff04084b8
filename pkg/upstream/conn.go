package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBufferBytes is enough for the header and the first events of a response.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, with the interim responses before it. A faulty endpoint may send bytes
	// until its caller closes the connection.
	maxHeadBytes = 32 << 10
	// defaultIdleTimeout is the time that an idle connection is kept if the endpoint doesn't state its idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutMargin is subtracted from the endpoint's idle timeout, so that no request is sent on a connection that the
	// endpoint is closing.
	idleTimeoutMargin = time.Second
)

// errHeadTooLarge means that an endpoint sent more than maxHeadBytes without a complete response head.
var errHeadTooLarge = errors.New("the response head is too large")

// headLimit passes on the bytes of a connection. While a response head is read, it fails after maxHeadBytes.
type headLimit struct {
	source io.Reader
	// remaining is the number of bytes that may still be read while active is set.
	remaining int
	active    bool
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p)
	l.remaining -= n
	return n, err
}

// start begins the head of a response.
func (l *headLimit) start() { l.remaining, l.active = maxHeadBytes, true }

// stop ends the head: a body has limits of its own.
func (l *headLimit) stop() { l.active = false }

// receivingConn records when bytes of an endpoint arrive.
type receivingConn struct {
	net.Conn
	// receivedAt is a Unix time in nanoseconds.
	receivedAt *atomic.Int64
}

// Read implements net.Conn.
func (c receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// conn is a connection to one endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimit
	// exchanges is the number of requests sent on the connection.
	exchanges    int
	idleDeadline time.Time
	idleTimeout  time.Duration
	// run is the process at the other end.
	run Run
	// closed is called when the connection is closed, any number of times.
	closed func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func newConn(c net.Conn) *conn {
	head := &headLimit{source: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, idleTimeout: defaultIdleTimeout, closed: func() {}}
}

// socket returns the connection's socket, nil if it has none.
func (c *conn) socket() (syscall.RawConn, error) {
	source := c.Conn
	if receiving, ok := source.(receivingConn); ok {
		source = receiving.Conn
	}
	if tcp, ok := source.(syscall.Conn); ok {
		return tcp.SyscallConn()
	}
	return nil, nil
}

// pendingError returns the error that the kernel has for the socket and has not reported yet, such as a reset after the last write.
func (c *conn) pendingError() error {
	raw, err := c.socket()
	if raw == nil || err != nil {
		return err
	}
	number := 0
	controlErr := raw.Control(func(fd uintptr) { number, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	if err := errors.Join(controlErr, err); err != nil {
		return err
	}
	if number != 0 {
		return syscall.Errno(number)
	}
	return nil
}

// canReuse reports whether an idle connection is open and has no unread bytes. Bytes that arrive while no request is in
// progress are not a response to any request.
func (c *conn) canReuse() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.socket()
	if raw == nil || err != nil {
		return err == nil
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// mayHoldStray reports whether a response with the id can be one to an earlier request: only on a connection that has carried one. The
// question for the start time of the process has no id.
func (c *conn) mayHoldStray(id string) bool { return c.exchanges > 1 || c.run.Known && id == "" }

// applyKeepAlive sets the idle timeout from the header Keep-Alive, which gives it in whole seconds.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 && s < 3600 {
			c.idleTimeout = time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
}

// responseBody is the body of a response. Close returns the connection to the pool if the whole response was read and the
// connection can be reused.
type responseBody struct {
	io.ReadCloser
	release func(complete bool)
	// confirmEnd is set if the end of the body alone doesn't show that it is whole. It returns an error if it is not.
	confirmEnd func() error
	eof        bool
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.eof && b.confirmEnd != nil {
		if notConfirmed := b.confirmEnd(); notConfirmed != nil {
			return n, fmt.Errorf("the endpoint is gone after an answer without a length or chunks: %w", errors.Join(io.ErrUnexpectedEOF, notConfirmed))
		}
	}
	b.eof = b.eof || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.release != nil {
		b.release(b.eof)
		b.release = nil
	}
	return nil
}
