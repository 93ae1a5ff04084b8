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

// server accepts connections and hands each request, with its number on the connection, to serve. serve writes the
// response; a false result closes the connection.
func server(t *testing.T, serve func(conn net.Conn, r *http.Request, number int) bool) (address string, requests *atomic.Int64) {
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

func respond(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func drain(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func testCall(address, id string) Call {
	return Call{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("body"), ID: id, IDHeader: idHeader}
}

// fetch sends a call and reads its whole body.
func fetch(c *Client, call Call) (string, error) {
	r, err := c.Send(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// Guards against giving a caller the answer of an earlier request that came once more.
func TestSkipsStrayResponse(t *testing.T) {
	address, _ := server(t, func(conn net.Conn, r *http.Request, number int) bool {
		drain(r)
		if number == 2 {
			respond(conn, "1", "late")
		}
		respond(conn, r.Header.Get(idHeader), "answer "+r.Header.Get(idHeader))
		return true
	})
	c := NewClient()
	for i := range 4 {
		body, err := fetch(c, testCall(address, fmt.Sprint(i+1)))
		must.NoError(t, err)
		must.EqOp(t, fmt.Sprintf("answer %d", i+1), body)
	}
	must.EqOp(t, 1, c.Stats.Stray.Load())
	must.EqOp(t, 1, c.Stats.Dials.Load())
}

// Guards against reading bytes that came while no request waited as the answer to the next one.
func TestDropsConnectionWithUnreadBytes(t *testing.T) {
	address, _ := server(t, func(conn net.Conn, r *http.Request, number int) bool {
		drain(r)
		respond(conn, r.Header.Get(idHeader), "ok")
		respond(conn, r.Header.Get(idHeader), "again")
		return true
	})
	c := NewClient()
	for i := range 3 {
		body, err := fetch(c, testCall(address, fmt.Sprint(i)))
		must.NoError(t, err)
		must.EqOp(t, "ok", body)
		time.Sleep(20 * time.Millisecond) // Lets the second copy arrive while the connection is idle.
	}
	must.EqOp(t, 3, c.Stats.Dials.Load())
}

// Guards against a request that is sent twice when a connection breaks after it was sent.
func TestNeverRepeats(t *testing.T) {
	address, requests := server(t, func(conn net.Conn, r *http.Request, number int) bool {
		drain(r)
		if number == 2 {
			return false
		}
		respond(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	c := NewClient()
	_, err := fetch(c, testCall(address, "1"))
	must.NoError(t, err)
	call := testCall(address, "2")
	call.Method, call.Body = http.MethodGet, nil
	_, err = fetch(c, call)
	must.ErrorIs(t, err, ErrBroken)
	must.EqOp(t, 2, requests.Load())
}

// Guards against telling a caller that a request may have run although nothing was sent.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = fetch(NewClient(), testCall(address, "1"))
	must.ErrorIs(t, err, ErrNotSent)
	must.False(t, errors.Is(err, ErrBroken))
}

// Guards against taking a truncated answer for a whole one, with a length and without.
func TestTruncatedAnswer(t *testing.T) {
	for _, head := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		address, _ := server(t, func(conn net.Conn, r *http.Request, _ int) bool {
			drain(r)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s\r\n5\r\nabc", idHeader, head)
			return false
		})
		_, err := fetch(NewClient(), testCall(address, "1"))
		must.Error(t, err)
	}
}

// Guards against sending the next request in the middle of a body whose answer came early.
func TestEarlyAnswerEndsConnection(t *testing.T) {
	address, _ := server(t, func(conn net.Conn, r *http.Request, _ int) bool {
		respond(conn, r.Header.Get(idHeader), "early")
		time.Sleep(50 * time.Millisecond)
		drain(r)
		return true
	})
	c := NewClient()
	for i := range 3 {
		call := testCall(address, fmt.Sprint(i))
		call.Body = []byte(strings.Repeat("x", 8<<20))
		body, err := fetch(c, call)
		must.NoError(t, err)
		must.EqOp(t, "early", body)
	}
	must.EqOp(t, 3, c.Stats.Dials.Load())
}

// Guards against an endpoint that works on after the caller has gone.
func TestContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := server(t, func(conn net.Conn, r *http.Request, _ int) bool {
		drain(r)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewClient().Send(ctx, testCall(address, "1"))
	must.ErrorIs(t, err, ErrBroken)
	<-closed
}

// Guards against keeping a connection for longer than the endpoint does.
func TestIdleTimeoutOfEndpoint(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=2": time.Second, "timeout=1": 0, "timeout=x": defaultIdle, "": defaultIdle,
	} {
		c := newConn(nil)
		c.keepAlive(http.Header{"Keep-Alive": {header}})
		must.EqOp(t, want, c.idle, must.Sprint(header))
	}
}
