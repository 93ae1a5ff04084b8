package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// earlyConn is a connection to an endpoint that answers while the request is still being written. The answer ends with its connection.
type earlyConn struct {
	net.Conn
	answer *strings.Reader
	// ended is closed when the answer has been read to its end, and writeEnds when writing the body ends with writeErr.
	ended, writeEnds chan struct{}
	writeErr         error
}

func (c *earlyConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err == io.EOF {
		select {
		case <-c.ended:
		default:
			close(c.ended)
		}
	}
	return n, err
}

func (c *earlyConn) Write(p []byte) (int, error) {
	if len(p) <= smallBodyBytes {
		return len(p), nil // The head.
	}
	<-c.writeEnds
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

func (c *earlyConn) Close() error {
	select {
	case <-c.writeEnds:
	default:
		if c.writeErr == nil {
			c.writeErr = net.ErrClosed
		}
		close(c.writeEnds)
	}
	return nil
}

// Guards against a part of an answer that counts as whole because the kernel reported the reset of its connection to the write that was
// in progress, so that the read sees an orderly end. The order of events is fixed by the connection.
func TestEndOfAnAnswerWhileTheRequestIsWritten(t *testing.T) {
	const (
		before = "the write fails before the end is read"
		after  = "the write fails after the end was read"
		never  = "the write goes on for ever"
		fine   = "the write succeeds after the end was read"
	)
	for _, test := range []struct {
		status, head, body, write string
		whole                     bool
	}{
		{"200 OK", "", "part", before, false},
		{"200 OK", "", "part", after, false},
		{"200 OK", "", "part", never, false},
		{"200 OK", "", "whole", fine, true},
		{"200 OK", "Content-Length: 5\r\n", "whole", before, true},
		{"200 OK", "Content-Length: 5\r\n", "whole", after, true},
		{"200 OK", "Content-Length: 5\r\n", "par", before, false},
		{"200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", before, true},
		{"200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n", before, false},
		{"413 Too Large", "", "too large", before, true},
		{"429 Busy", "", "", after, true},
		{"503 Busy", "", "busy", never, true},
	} {
		name := fmt.Sprintf("%s %q %q, %s", test.status, test.head, test.body, test.write)
		c := NewClient()
		connected := false
		c.DialContext = func(context.Context, string, string) (net.Conn, error) {
			if connected { // The check whether the endpoint still accepts connections.
				near, _ := net.Pipe()
				return near, nil
			}
			connected = true
			conn := &earlyConn{
				answer: strings.NewReader(fmt.Sprintf("HTTP/1.1 %s\r\n%s: 1\r\n%s\r\n%s", test.status, idHeader, test.head, test.body)),
				ended:  make(chan struct{}), writeEnds: make(chan struct{}),
			}
			switch test.write {
			case before:
				conn.writeErr = syscall.ECONNRESET
				close(conn.writeEnds)
			case after, fine:
				if test.write == after {
					conn.writeErr = syscall.ECONNRESET
				}
				go func() { <-conn.ended; close(conn.writeEnds) }()
			}
			return conn, nil
		}
		call := newTestCall("endpoint", "1")
		call.Body = make([]byte, 2*smallBodyBytes)
		_, err := fetch(c, call)
		must.EqOp(t, test.whole, err == nil, must.Sprint(name, ": ", err))
		if !test.whole && test.head == "" {
			must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(name))
		}
	}
}

// Guards against the same on real sockets, for bodies that fit into the socket's buffers and for others: the endpoint reads the head,
// answers without a length, sends part of its body and resets the connection, but goes on accepting others.
func TestResetDuringTheRequestEndsNoAnswer(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n0123456789", idHeader, r.Header.Get(idHeader))
		_, _ = bufio.NewReader(r.Body).Peek(1) // Some of the body has arrived.
		time.Sleep(time.Duration(len(r.Header.Get("Delay"))) * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	for i, size := range []int{8 << 10, 200 << 10, 16 << 20} {
		for delay := range 12 {
			call := newTestCall(address, fmt.Sprint(i, "-", delay))
			call.Header.Set("Delay", strings.Repeat("x", 2*delay))
			call.Body = make([]byte, size)
			_, err := fetch(NewClient(), call)
			must.Error(t, err, must.Sprintf("%d bytes, reset after %d ms", size, 2*delay))
		}
	}
}
