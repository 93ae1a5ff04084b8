package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const idHeader = "X-Id"

// startServer accepts connections and passes each request, with its number on the connection, to serve. serve writes the
// response; if it returns false, the connection is closed.
func startServer(t *testing.T, serve func(conn net.Conn, r *http.Request, number int) bool) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					if !serve(conn, r, number) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func writeResponse(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func readBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func newTestCall(address, id string) Call {
	return Call{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("body"), ID: id, IDHeader: idHeader}
}

// fetch sends a call and reads the whole body of the response.
func fetch(c *Client, call Call) (string, error) {
	r, err := c.Send(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// Guards against an answer without a length or chunks that counts as whole although its endpoint has died, and against a connection for
// each such answer of a living endpoint.
func TestEndOfAnswerWithoutLengthIsConfirmed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	answer := func(dies bool) {
		conn := <-accepted
		defer conn.Close()
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		must.NoError(t, err)
		readBody(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nbody", idHeader, r.Header.Get(idHeader))
		if dies {
			_ = listener.Close() // After a failure the test fails.
		}
	}
	c := NewClient()
	go answer(false)
	got, err := fetch(c, newTestCall(listener.Addr().String(), "1"))
	must.NoError(t, err)
	must.EqOp(t, "body", got)
	go answer(true)
	_, err = fetch(c, newTestCall(listener.Addr().String(), "2"))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.EqOp(t, 2, c.Stats.ConfirmedEnds.Load())
	must.EqOp(t, 1, c.Stats.Reuses.Load(), must.Sprint("the second request uses the connection of the first confirmation"))
}

// Guards against returning a second copy of an earlier request's response as the response to the current request.
func TestSkipsStrayResponse(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, number int) bool {
		readBody(r)
		if number == 2 {
			writeResponse(conn, "1", "late")
		}
		writeResponse(conn, r.Header.Get(idHeader), "answer "+r.Header.Get(idHeader))
		return true
	})
	c := NewClient()
	for i := range 4 {
		body, err := fetch(c, newTestCall(address, fmt.Sprint(i+1)))
		must.NoError(t, err)
		must.EqOp(t, fmt.Sprintf("answer %d", i+1), body)
	}
	must.EqOp(t, 1, c.Stats.StrayResponses.Load())
	must.EqOp(t, 1, c.Stats.Dials.Load())
}

// Guards against reading bytes that arrived while no request was in progress as the response to the next request.
func TestClosesConnectionWithUnreadBytes(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, number int) bool {
		readBody(r)
		writeResponse(conn, r.Header.Get(idHeader), "ok")
		writeResponse(conn, r.Header.Get(idHeader), "again")
		return true
	})
	c := NewClient()
	for i := range 3 {
		body, err := fetch(c, newTestCall(address, fmt.Sprint(i)))
		must.NoError(t, err)
		must.EqOp(t, "ok", body)
		time.Sleep(20 * time.Millisecond) // The second copy arrives while the connection is idle.
	}
	must.EqOp(t, 3, c.Stats.Dials.Load())
}

// Guards against sending a request again when the connection fails after it was sent.
func TestNeverRepeats(t *testing.T) {
	address, requests := startServer(t, func(conn net.Conn, r *http.Request, number int) bool {
		readBody(r)
		if number == 2 {
			return false
		}
		writeResponse(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	c := NewClient()
	_, err := fetch(c, newTestCall(address, "1"))
	must.NoError(t, err)
	call := newTestCall(address, "2")
	call.Method, call.Body = http.MethodGet, nil
	_, err = fetch(c, call)
	must.ErrorIs(t, err, ErrFailedAfterSend)
	must.EqOp(t, 2, requests.Load())
}

// Guards against reporting that a request may have run although nothing was sent.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = fetch(NewClient(), newTestCall(address, "1"))
	must.ErrorIs(t, err, ErrNotSent)
	must.False(t, errors.Is(err, ErrFailedAfterSend))
}

// Guards against accepting a truncated response as complete, with a content length and with chunked encoding.
func TestTruncatedResponse(t *testing.T) {
	for _, head := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
			readBody(r)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s\r\n5\r\nabc", idHeader, head)
			return false
		})
		_, err := fetch(NewClient(), newTestCall(address, "1"))
		must.Error(t, err)
	}
}

// Guards against passing on bytes with a status that no response has, which net/http refuses to write.
func TestRefusesStatusOutsideTheProtocol(t *testing.T) {
	for status, ok := range map[string]bool{"000": false, "020": false, "099": false, "200": true, "599": true, "600": false, "999": false} {
		address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
			readBody(r)
			fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, idHeader)
			return true
		})
		_, err := fetch(NewClient(), newTestCall(address, "1"))
		if ok {
			must.NoError(t, err, must.Sprint(status))
			continue
		}
		must.ErrorIs(t, err, ErrFailedAfterSend, must.Sprint(status))
	}
}

// Guards against sending the next request on a connection whose last request body is still being written, because the
// endpoint responded early.
func TestEarlyResponseClosesConnection(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeResponse(conn, r.Header.Get(idHeader), "early")
		time.Sleep(50 * time.Millisecond)
		readBody(r)
		return true
	})
	c := NewClient()
	for i := range 3 {
		call := newTestCall(address, fmt.Sprint(i))
		call.Body = []byte(strings.Repeat("x", 8<<20))
		body, err := fetch(c, call)
		must.NoError(t, err)
		must.EqOp(t, "early", body)
	}
	must.EqOp(t, 3, c.Stats.Dials.Load())
}

// Guards against an endpoint that continues to work on a request whose context has ended.
func TestContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewClient().Send(ctx, newTestCall(address, "1"))
	must.ErrorIs(t, err, ErrFailedAfterSend)
	<-closed
}

// Guards against keeping an idle connection for longer than the endpoint does.
func TestKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=2": time.Second, "timeout=1": 0, "timeout=x": defaultIdleTimeout, "": defaultIdleTimeout,
	} {
		c := newConn(nil)
		c.applyKeepAlive(http.Header{"Keep-Alive": {header}})
		must.EqOp(t, want, c.idleTimeout, must.Sprint(header))
	}
}
