package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// openConns returns the number of connections that the client counts.
func openConns(c *Client) int {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	return c.counts.total
}

// Guards against more connections to an endpoint, or to all, than this router may have, and against a count that is not given back
// however a connection ends.
func TestConnectionsAreLimited(t *testing.T) {
	release := make(chan struct{})
	serve := func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		if r.Header.Get(idHeader) == "wait" {
			<-release
		}
		writeResponse(conn, r.Header.Get(idHeader), "ok")
		return true
	}
	first, firstRequests := startServer(t, serve)
	second, _ := startServer(t, serve)
	c := NewClient()
	c.MaxConns, c.MaxConnsTo = 3, func(string) int { return 2 }

	results := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := fetch(c, newTestCall(first, "wait"))
			results <- err
		}()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return firstRequests.Load() == 2 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	_, err := fetch(c, newTestCall(first, "1"))
	must.ErrorIs(t, err, ErrNotSent)
	must.ErrorIs(t, err, ErrTooManyConns)
	_, err = fetch(c, newTestCall(second, "1"))
	must.NoError(t, err, must.Sprint("another endpoint has room"))
	close(release)
	for range 2 {
		must.NoError(t, <-results)
	}
	must.EqOp(t, 3, openConns(c), must.Sprint("all are idle"))

	third, _ := startServer(t, serve)
	_, err = fetch(c, newTestCall(third, "1"))
	must.NoError(t, err, must.Sprint("an idle connection to another endpoint is closed for it"))
	must.EqOp(t, 3, openConns(c))

	ctx, cancel := context.WithCancel(t.Context())
	response, err := c.Send(ctx, newTestCall(third, "1"))
	must.NoError(t, err)
	cancel()
	_, _ = io.ReadAll(response.Body) // The connection may be closed before it is read.
	must.NoError(t, response.Body.Close())
	must.ErrorIs(t, c.Connect(t.Context(), "127.0.0.1:1", 0), context.DeadlineExceeded)
	c.CloseIdleExcept(nil)
	must.EqOp(t, 0, openConns(c))
	must.MapEmpty(t, c.counts.byAddr)
}

// Guards against connections that the endpoint has closed by its timeout and that keep new ones out.
func TestExpiredConnectionsMakeRoom(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		writeResponse(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	c := NewClient()
	c.MaxConnsTo = func(string) int { return 1 }
	_, err := fetch(c, newTestCall(address, "1"))
	must.NoError(t, err)
	c.mu.Lock()
	c.idle[address][0].idleDeadline = time.Now()
	c.mu.Unlock()
	must.NoError(t, c.reserve(address))
	must.EqOp(t, 1, openConns(c))
	must.ErrorIs(t, c.reserve(address), ErrTooManyConns)
}
