package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// endlessCap is the number of bytes after which a stand-in gives up on a client that never closes the connection.
const endlessCap = 8 << 20

// sendToEndless sends a call to an endpoint that answers with prefix and then with chunk, again and again with the pause
// between, until the client closes the connection. It returns the number of bytes that the client took, the time after
// which Send returned, and its error.
func sendToEndless(t *testing.T, prefix, chunk string, pause time.Duration) (int64, time.Duration, error) {
	client := NewClient()
	near, far := net.Pipe()
	client.putIdle("endpoint", newConn(near))
	var taken atomic.Int64
	ended := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		defer close(ended)
		text := prefix
		for taken.Load() < endlessCap {
			n, err := io.WriteString(far, text)
			taken.Add(int64(n))
			if err != nil {
				return
			}
			text = chunk
			time.Sleep(pause)
		}
		_ = far.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	start := time.Now()
	_, err := client.Send(ctx, newTestCall("endpoint", "1"))
	took := time.Since(start)
	<-ended
	return taken.Load(), took, err
}

// Guards against memory that grows with a response head that never ends, in a line, in lines, in interim responses and
// in bytes that are no response at all, and against keeping such a connection.
func TestEndlessHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, c := range map[string]struct{ prefix, chunk string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("O", 1000)},
		"no response":       {"", strings.Repeat("\x00", 1000)},
		"header line":       {ok + "X-Long: ", strings.Repeat("a", 1000)},
		"header lines":      {ok, "X-More: a\r\n"},
		"continuation":      {ok + "X-Long: a\r\n", " a\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				taken, _, err := sendToEndless(t, c.prefix, c.chunk, 0)
				must.ErrorIs(t, err, ErrFailedAfterSend)
				must.LessEq(t, maxHeadBytes+readBufferBytes, taken)
			})
		})
		t.Run(name+" slowly", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, took, err := sendToEndless(t, c.prefix, c.chunk, 50*time.Millisecond)
				must.ErrorIs(t, err, ErrFailedAfterSend)
				must.LessEq(t, 2*time.Second, took, must.Sprint("the call's time ends the connection"))
			})
		})
	}
}

// Guards against skipping a response to an earlier request that never ends.
func TestEndlessStrayBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient()
		near, far := net.Pipe()
		pooled := newConn(near)
		pooled.exchanges = 1
		client.putIdle("endpoint", pooled)
		var taken atomic.Int64
		ended := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go func() {
			defer close(ended)
			fmt.Fprint(far, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n")
			for taken.Load() < endlessCap {
				n, err := io.WriteString(far, "400\r\n"+strings.Repeat("a", 1024)+"\r\n")
				taken.Add(int64(n))
				if err != nil {
					return
				}
			}
			_ = far.Close()
		}()
		_, err := client.Send(t.Context(), newTestCall("endpoint", "1"))
		must.ErrorIs(t, err, ErrFailedAfterSend)
		<-ended
		must.LessEq(t, 2*maxStrayBodyBytes, taken.Load())
	})
}

// Guards against a limit on the head that also limits the body.
func TestLargeBodyAfterHead(t *testing.T) {
	body := strings.Repeat("b", 4*maxHeadBytes)
	synctest.Test(t, func(t *testing.T) {
		client := NewClient()
		near, far := net.Pipe()
		client.putIdle("endpoint", newConn(near))
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go writeResponse(far, "1", body)
		got, err := fetch(client, newTestCall("endpoint", "1"))
		must.NoError(t, err)
		must.EqOp(t, len(body), len(got))
		must.NoError(t, far.Close())
	})
}
