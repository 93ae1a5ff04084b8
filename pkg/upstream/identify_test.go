package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const startTarget = "/start"

// identifiable returns a call that asks the process for its start time first.
func identifiable(address, id string) Call {
	call := newTestCall(address, id)
	call.Identify = func(ctx context.Context, send SendFunc) (started int64, err error) {
		response, err := send(ctx, Call{Address: address, Method: http.MethodGet, Target: startTarget, Header: http.Header{}})
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, err
		}
		_, err = fmt.Sscan(string(body), &started)
		return started, err
	}
	return call
}

// startIdentifiable starts a server that answers questions for its start time with the head and body, and other calls in full.
func startIdentifiable(t *testing.T, answer string) (address string) {
	address, _ = startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		if r.URL.Path == startTarget {
			_, _ = io.WriteString(conn, answer)
			return answer != "" && r.Header.Get("Connection") == ""
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader))
		return true
	})
	return address
}

// Guards against a response that counts as one of another process: the start time belongs to the connection that carries the call.
func TestResponseNamesItsProcess(t *testing.T) {
	address := startIdentifiable(t, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
	c := NewClient()
	for i := range 3 {
		response, err := c.Send(t.Context(), identifiable(address, fmt.Sprint(i)))
		must.NoError(t, err)
		must.Eq(t, Run{Known: true, Started: 7}, response.Run)
		_, err = io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
	}
	must.EqOp(t, 1, c.Stats.Dials.Load())
	must.EqOp(t, 1, c.Stats.Identified.Load())
}

// Guards against a call that is refused, or sent to a process that it must not be sent to, because the process doesn't say when it was
// started.
func TestUnidentifiedProcessGetsOnlyCallsThatAcceptIt(t *testing.T) {
	for name, answer := range map[string]string{
		"no number":    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"cut":          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7",
		"closes":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7",
		"out of time":  "HTTP/1.1 200 OK\r\nContent-Len",
		"broken bytes": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n77",
	} {
		address := startIdentifiable(t, answer)
		c := NewClient()
		response, err := c.Send(t.Context(), identifiable(address, name))
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, Run{}, response.Run, must.Sprint(name))
		must.NoError(t, response.Body.Close())

		call := identifiable(address, name)
		errUnknown := errors.New("unknown")
		call.Accept = func(run Run) error {
			must.False(t, run.Known, must.Sprint(name))
			return errUnknown
		}
		_, err = c.Send(t.Context(), call)
		must.ErrorIs(t, err, ErrNotSent, must.Sprint(name))
		must.ErrorIs(t, err, errUnknown, must.Sprint(name))
		must.EqOp(t, 0, connsTo(c, address), must.Sprint(name))
	}
}

// Guards against a process that stays unknown because its endpoint closes a connection after an answer now and then.
func TestProcessIsAskedAgainAfterItClosedTheConnection(t *testing.T) {
	questions := 0
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		if r.URL.Path != startTarget {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader))
			return true
		}
		if questions++; questions == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7")
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
		return true
	})
	response, err := NewClient().Send(t.Context(), identifiable(address, "a"))
	must.NoError(t, err)
	must.Eq(t, Run{Known: true, Started: 7}, response.Run)
	must.NoError(t, response.Body.Close())
}

// Guards against a call that counts as sent, or a connection that stays counted, although the connection failed before it.
func TestFailureBeforeTheCallIsNotSent(t *testing.T) {
	address := startIdentifiable(t, "")
	c := NewClient()
	_, err := c.Send(t.Context(), identifiable(address, "a"))
	must.ErrorIs(t, err, ErrNotSent)
	must.EqOp(t, 0, connsTo(c, address))
}

// connsTo waits until the connections of a client are closed, and returns how many are left.
func connsTo(c *Client, address string) (n int) {
	for range 100 {
		c.counts.mu.Lock()
		n = c.counts.byAddr[address]
		c.counts.mu.Unlock()
		if n == 0 {
			return 0
		}
		time.Sleep(time.Millisecond)
	}
	return n
}

// Guards against asking on each connection in vain, and refusing all calls that need the answer, at an endpoint that keeps idle connections
// for a short time only: the call follows at once.
func TestProcessWithShortIdleTimeoutIsIdentified(t *testing.T) {
	address := startIdentifiable(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\n7")
	c := NewClient()
	for _, id := range []string{"a", "b"} {
		call := identifiable(address, id)
		call.Accept = func(run Run) error {
			must.Eq(t, Run{Known: true, Started: 7}, run)
			return nil
		}
		_, err := fetch(c, call)
		must.NoError(t, err)
	}
	must.EqOp(t, 2, c.Stats.Dials.Load(), must.Sprint("the connection isn't kept after a call"))
	must.EqOp(t, 0, connsTo(c, address))
}

// Guards against a call that is sent on a connection which its endpoint is closing: a call that was refused doesn't keep the connection
// from its idle timeout.
func TestRefusedCallDoesNotRenewTheIdleTimeout(t *testing.T) {
	address := startIdentifiable(t, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")
	c := NewClient()
	_, err := fetch(c, identifiable(address, "a"))
	must.NoError(t, err)
	deadline := c.idle[address][0].idleDeadline
	refused := identifiable(address, "b")
	refused.Accept = func(Run) error { return ErrRefused }
	_, err = c.Send(t.Context(), refused)
	must.ErrorIs(t, err, ErrRefused)
	must.Len(t, 1, c.idle[address])
	must.Eq(t, deadline, c.idle[address][0].idleDeadline)
}
