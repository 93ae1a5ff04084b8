package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

const (
	// A body must come in with leastBodyPace, in bytes a second, after bodyGrace. The deadline of the request bounds it besides, for
	// most routes much earlier.
	leastBodyPace = 1 << 10
	bodyGrace     = 10 * time.Second
	// lingerTime bounds the time in which the rest of a refused request is read, so that the caller gets the refusal.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds what is read in that time.
	maxLingerBytes = 256 << 10
	// maxDiscardedBytes is the largest body that is read for keeping the connection after a refusal.
	maxDiscardedBytes = 64 << 10
)

// bodyDeadline returns the time by which more of a body must come, after the number of bytes that have come since started.
func bodyDeadline(started time.Time, received int, deadline time.Time) time.Time {
	due := started.Add(bodyGrace + time.Duration(float64(received)/leastBodyPace*float64(time.Second)))
	if due.Before(deadline) {
		return due
	}
	return deadline
}

func maxBodyBytes(l catalog.Limits) int64 {
	if l.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return l.MaxBodyBytes
}

// receiveBody reads the body of a request that is to be served.
func (e *exchange) receiveBody(r *http.Request) *outcome.Failure {
	limit := maxBodyBytes(e.config.Limits)
	tooLarge := outcome.NotRunf(outcome.ReasonTooLarge, 0, "the body is larger than %d bytes", limit)
	switch {
	case r.ContentLength > limit:
		return tooLarge
	case r.ContentLength == 0:
		return nil
	case e.onBehalf:
		return e.takeBody()
	}
	control := http.NewResponseController(e.writer)
	started, ended := time.Now(), atomic.Bool{}
	endRead := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) } // On an error the connection is closed already.
	e.held.Arrive(func() {
		ended.Store(true)
		endRead()
	})
	body, err := memory.ReadBody(r.Body, r.ContentLength, limit, e.held, func(received int) {
		_ = control.SetReadDeadline(bodyDeadline(started, received, e.deadline)) // As above.
		if ended.Load() {
			endRead()
		}
	})
	e.held.Arrived()
	switch {
	case err == nil && !ended.Load(): // Otherwise the server may take the deadline for the end of the connection, at any time.
		_ = control.SetReadDeadline(time.Time{}) // As above.
		e.request.Body, e.bodyUnread = body, false
		r.Trailer = nil // It isn't forwarded.
		return nil
	case errors.Is(err, memory.ErrTooLarge):
		return tooLarge
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrShare), ended.Load():
		return outcome.NotRunf(outcome.ReasonNoMemory, shortRetryAfter, "no memory is left for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.NotRunf(outcome.ReasonBodyLate, shortRetryAfter, "the body has not come in time")
	}
	return outcome.NotRunf(outcome.ReasonBadRequest, 0, "reading the body: %v", err)
}

// takeBody takes the body that another router has sent, which is in memory.
func (e *exchange) takeBody() *outcome.Failure {
	if e.bodyCounted {
		e.request.Body = e.peerBody
		return nil
	}
	if err := e.held.Grow(int64(len(e.peerBody))); err != nil {
		return outcome.NotRunf(outcome.ReasonNoMemory, shortRetryAfter, "no memory is left for the body")
	}
	e.request.Body = e.peerBody
	return nil
}

type connKey struct{}

// WithConn returns the context for the requests of a caller's connection. A refusal of a request whose body has not been read then
// reaches the caller: closing a connection with unread bytes resets it, and the reset may overtake the refusal.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection of WithConn, nil if there is none.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// Linger ends what is sent to a caller and reads, for a time, what it still sends, so that the end of the connection doesn't reset it
// before the caller has read the refusal.
func Linger(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // On an error the connection is closed already.
	if counted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = counted.NetConn()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxLingerBytes)) // Its end is that of the connection.
}

// refuseUnread refuses a request whose body has not been read to its end. A short body is read for a time, so that the connection can be
// kept. Otherwise the connection is closed after the refusal, once the caller has had the time to read it.
func (e *exchange) refuseUnread(r *http.Request, f *outcome.Failure) {
	control := http.NewResponseController(e.writer)
	_ = control.SetReadDeadline(time.Now().Add(lingerTime)) // On an error the connection is closed already.
	if r.ContentLength >= 0 && r.ContentLength <= maxDiscardedBytes && r.Header.Get("Expect") == "" {
		if n, err := io.Copy(io.Discard, r.Body); err == nil && n <= r.ContentLength {
			_ = control.SetReadDeadline(time.Time{}) // As above.
			e.refuse(f)
			return
		}
	}
	e.writer.Header().Set("Connection", "close")
	e.refuse(f)
	if conn := Conn(r.Context()); conn != nil && control.Flush() == nil {
		Linger(conn)
	}
}

// headBytes returns the size of a request's head, at most what the caller has sent: fields need no space before their value, and lines no
// carriage return.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(":\n")
		}
	}
	return n
}
