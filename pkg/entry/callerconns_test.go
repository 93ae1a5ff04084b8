package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
)

// pipeListener accepts the ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// callersOf runs a server whose connections are limited by limits and most. A request takes work.
type callersOf struct {
	conns    *callerConns
	listener pipeListener
	limits   atomic.Pointer[catalog.Limits]
	// work is a time.Duration.
	work atomic.Int64
}

func newCallersOf(t *testing.T, most int, limits catalog.Limits) *callersOf {
	c := &callersOf{listener: pipeListener{make(chan net.Conn)}}
	c.limits.Store(&limits)
	c.conns = newCallerConns(func() catalog.Limits { return *c.limits.Load() }, most, discardLog())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // What the caller sends doesn't matter.
		time.Sleep(time.Duration(c.work.Load()))
	})}
	c.conns.attach(server)
	go func() { _ = server.Serve(c.conns.listen(c.listener)) }() // It ends with the listener.
	ctx, cancel := context.WithCancel(t.Context())
	go c.conns.run(ctx)
	t.Cleanup(func() {
		cancel()
		close(c.listener.conns)
		_ = server.Close() // Ends the connections that are left.
	})
	return c
}

// dial returns a caller's new connection.
func (c *callersOf) dial(t *testing.T) net.Conn {
	near, far := net.Pipe()
	c.listener.conns <- far
	t.Cleanup(func() { _ = near.Close() })
	synctest.Wait()
	return near
}

// send sends a request and returns whether it was answered.
func send(conn net.Conn) bool {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// isOpen reports whether the server keeps the connection open for the time.
func isOpen(conn net.Conn, during time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(during)) // Pipes always take a deadline.
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Guards against connections of callers that are kept for longer than the configuration allows, also after a change of it, and against
// ending one within its time or with a request in progress.
func TestIdleCallersAreEndedByTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCallersOf(t, 0, catalog.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 5 * time.Second})
		conn := c.dial(t)
		for range 3 {
			must.True(t, send(conn))
			must.True(t, isOpen(conn, 12*time.Second), must.Sprint("callers reuse connections for up to four fifths of the limit"))
		}
		must.True(t, send(conn))
		must.True(t, isOpen(conn, 14900*time.Millisecond))
		must.False(t, isOpen(conn, time.Second))

		silent := c.dial(t)
		must.True(t, isOpen(silent, 4900*time.Millisecond))
		must.False(t, isOpen(silent, time.Second), must.Sprint("no head of a request has come"))

		c.work.Store(int64(40 * time.Second))
		busy := c.dial(t)
		must.True(t, send(busy), must.Sprint("a request in progress is not idle"))

		c.work.Store(0)
		c.limits.Store(&catalog.Limits{IdleTimeout: 3 * time.Second})
		must.True(t, isOpen(busy, 2900*time.Millisecond))
		must.False(t, isOpen(busy, time.Second), must.Sprint("the limit was changed"))
		synctest.Wait()
		must.MapEmpty(t, c.conns.conns)
	})
}

// Guards against a head that takes longer than the configuration allows on a connection that has carried a request, against ending one
// that comes in time, and against a fixed limit below that of the configuration.
func TestLaterHeadsAreLimitedByTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 2
		c := newCallersOf(t, most, catalog.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second})
		begin := func(conn net.Conn) {
			_, err := io.WriteString(conn, "GET / HT")
			must.NoError(t, err)
		}
		slow := c.dial(t)
		must.True(t, send(slow))
		time.Sleep(14 * time.Second)
		begin(slow)
		time.Sleep(2 * time.Second)
		must.NoError(t, slow.SetWriteDeadline(time.Now().Add(time.Second)))
		_, err := io.WriteString(slow, "TP/1.1\r\nHost: a\r\n")
		must.NoError(t, err)
		must.True(t, isOpen(slow, 900*time.Millisecond), must.Sprint("the head has begun within the idle timeout"))
		must.NoError(t, slow.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = slow.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF, must.Sprint("a part of a head doesn't extend its time, and callers don't retry after a 400"))

		inTime := c.dial(t)
		must.True(t, send(inTime))
		time.Sleep(14 * time.Second)
		begin(inTime)
		idle := c.dial(t)
		must.True(t, send(idle))
		time.Sleep(time.Second)
		added := c.dial(t)
		must.True(t, send(added))
		must.False(t, isOpen(idle, 100*time.Millisecond), must.Sprint("the only idle one"))
		_, err = io.WriteString(inTime, "TP/1.1\r\nHost: a\r\n\r\n")
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(inTime), nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, response.StatusCode)

		c.limits.Store(&catalog.Limits{IdleTimeout: 5 * time.Minute, HeaderTimeout: time.Minute})
		must.True(t, isOpen(inTime, 4*time.Minute))
		begin(inTime)
		must.True(t, isOpen(inTime, 59*time.Second))
		must.False(t, isOpen(inTime, 2*time.Second))
	})
}

// Guards against a router that has used up its descriptors with idle connections and takes no new one, and against ending others than
// those idle for longest.
func TestNewCallersReplaceThoseIdleLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		c := newCallersOf(t, most, catalog.Limits{IdleTimeout: time.Hour, HeaderTimeout: time.Hour})
		var conns []net.Conn
		for range most {
			conn := c.dial(t)
			must.True(t, send(conn))
			conns = append(conns, conn)
			time.Sleep(time.Second)
		}
		must.True(t, send(conns[0]), must.Sprint("now the second one has been idle for longest"))
		added := c.dial(t)
		must.True(t, send(added))
		must.False(t, isOpen(conns[1], time.Second))
		for _, i := range []int{0, 2, 3} {
			must.True(t, send(conns[i]), must.Sprint(i))
		}
		must.False(t, c.conns.isFull())

		c.work.Store(int64(time.Minute))
		for _, conn := range []net.Conn{conns[0], conns[2], conns[3], added} {
			go send(conn)
		}
		synctest.Wait()
		must.True(t, c.conns.isFull(), must.Sprint("requests are in progress on all"))
		must.False(t, isOpen(c.dial(t), time.Second))
		time.Sleep(2 * time.Minute)
		must.False(t, c.conns.isFull())
		c.work.Store(0)
		must.True(t, send(c.dial(t)))
	})
}

// Guards against a request that is lost because it came as its connection was ended.
func TestRequestOnAnEndedConnectionIsServed(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := newCallerConns(func() catalog.Limits { return catalog.Limits{IdleTimeout: time.Second} }, 0, discardLog())
	c.Observe(far, http.StateNew)
	c.Observe(far, http.StateIdle)
	ended, open := c.check(time.Now().Add(time.Minute))
	must.EqOp(t, 1, ended)
	must.EqOp(t, 0, open)
	c.Observe(far, http.StateActive)
	go func() { _, _ = near.Write([]byte("x")) }() // The read below tells.
	_, err := far.Read(make([]byte, 1))
	must.NoError(t, err)
}

// Guards against a connection that stays open and is no longer counted: the server sets the deadline of one that has just become idle
// after the hook, over that by which it was ended.
func TestEndedConnectionIsEndedAgainIfTheServerKeepsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c := newCallerConns(func() catalog.Limits { return catalog.Limits{IdleTimeout: time.Hour} }, 1, discardLog())
		c.Observe(far, http.StateNew)
		c.Observe(far, http.StateIdle)
		other, _ := net.Pipe()
		defer other.Close()
		c.Observe(other, http.StateNew)
		must.NoError(t, far.SetReadDeadline(time.Now().Add(idleTimeout)))
		ended, _ := c.check(time.Now())
		must.EqOp(t, 0, ended, must.Sprint("it was counted before"))
		_, err := far.Read(make([]byte, 1))
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		must.Less(t, time.Second, time.Since(c.conns[far].since))
	})
}

// Guards against a log line for each connection that a flood of callers opens at a full router.
func TestFullRouterLogsAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		c := newCallerConns(func() catalog.Limits { return catalog.Limits{} }, 1, &log.Logger{Handler: lines, Level: log.InfoLevel})
		for range 50 {
			near, far := net.Pipe()
			defer near.Close()
			c.Observe(far, http.StateNew)
		}
		must.Len(t, fullLinesPerSecond, lines.Entries)
	})
}

// Guards against routers that together open more connections to an endpoint than it accepts, and against shares of the descriptors that
// leave none for the store, other routers and readiness checks.
func TestSharesOfConnections(t *testing.T) {
	for _, routers := range []int{1, 3, 8, 88} {
		must.LessEq(t, 370, routers*connShare(370, routers))
	}
	must.EqOp(t, 46, connShare(370, 8))
	must.EqOp(t, 1, connShare(5, 88), must.Sprint("a router with no share would serve nothing"))
	must.EqOp(t, 0, connShare(0, 8), must.Sprint("no limit is known"))
	must.EqOp(t, 0, maxEndpointConns(0))
	for _, descriptors := range []int{400, 4100, 8192} {
		callers, endpoints := maxCallerConns(descriptors, 0), maxEndpointConns(descriptors)
		must.Less(t, descriptors-fileDescriptors, callers+endpoints)
		must.GreaterEq(t, (descriptors-fileDescriptors)/10, descriptors-fileDescriptors-callers-endpoints)
	}
}
