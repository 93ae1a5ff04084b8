package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes holds the header and the first events of a response.
	readBufferBytes = 4 << 10
	// defaultIdle is how long a connection is kept if the endpoint doesn't state its idle timeout.
	defaultIdle = 15 * time.Second
	// idleMargin is subtracted from a stated idle timeout, so that a request doesn't cross the endpoint's close.
	idleMargin = time.Second
)

// conn is a connection to one endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// exchanges counts the requests that were sent on the connection.
	exchanges int
	idleUntil time.Time
	idle      time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idle: defaultIdle}
}

// quiet reports whether an idle connection is open and has no unread bytes. Bytes that arrive while no request waits
// belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepAlive takes the idle timeout that the endpoint states, in whole seconds.
func (c *conn) keepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 && s < 3600 {
			c.idle = time.Duration(s)*time.Second - idleMargin
		}
	}
}

// body is the body of a response; Close gives the connection back to the pool if the exchange ended cleanly.
type body struct {
	io.ReadCloser
	done func(complete bool)
	eof  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return n, err
}

func (b *body) Close() error {
	if b.done != nil {
		b.done(b.eof)
		b.done = nil
	}
	return nil
}
