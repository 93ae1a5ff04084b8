package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// answerOf returns an answer with the id of the request.
func answerOf(status, headers, body string) []byte {
	return []byte("HTTP/1.1 " + status + "\r\nId: 1\r\n" + headers + "\r\n" + body)
}

// unwrittenConn is a connection whose reset the kernel has reported to the write, so that the read sees an orderly end.
type unwrittenConn struct {
	net.Conn
	answer *bytes.Reader
}

func (c *unwrittenConn) Read(p []byte) (int, error)  { return c.answer.Read(p) }
func (c *unwrittenConn) Write(p []byte) (int, error) { return len(p) / 2, syscall.ECONNRESET }
func (c *unwrittenConn) Close() error                { return nil }

// Guards against a success, a promise that the request has not run, or a panic made of bytes in which the endpoint didn't say so: any
// head and body, cut anywhere. If the request isn't written whole, the end of the connection doesn't make a success whole.
func FuzzAnswer(f *testing.F) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, answer := range [][]byte{
		answerOf("200 OK", "Signature: s\r\nContent-Length: 4\r\n", "body"),
		answerOf("200 OK", "Content-Length: 4\r\n", "body"),
		answerOf("200 OK", "Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n", "body"),
		answerOf("503 X", "Not-Run: 1\r\nContent-Length: 0\r\n", ""),
		answerOf("503 X", "Signature: s\r\nContent-Length: 0\r\n", ""),
		answerOf("429 X", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
		answerOf("020 X", "Signature: s\r\nContent-Length: 0\r\n", ""),
		answerOf("421 X", "Content-Length: 0\r\n", ""),
		answerOf("200 OK", "Signature: s\r\n", stream),
		answerOf("200 OK", "Signature: s\r\n", stream[:len(stream)-4]),
		answerOf("200 OK", "Signature: s\r\nContent-Length: 28\r\n", stream[:28]),
		answerOf("200 OK", "Signature: s\r\nTransfer-Encoding: chunked\r\n", "1c\r\n"+stream[:28]+"\r\n0\r\n\r\n"),
		[]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n"),
		[]byte("\x00\x01garbage\r\n\r\n"),
	} {
		for _, cut := range []int{len(answer), len(answer) - 1, len(answer) / 2} {
			for _, unwritten := range []bool{false, true} {
				f.Add(answer[:cut], false, unwritten)
				f.Add(answer[:cut], true, unwritten)
			}
		}
	}
	placement := NewPlacement("a", route.Options{LastResort: true})
	go placement.Run(context.Background()) // It ends with the process of the test.
	placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: "endpoint"}})
	f.Fuzz(func(t *testing.T, answer []byte, streaming, unwritten bool) {
		e := testExchange(catalog.Route{MaxAttempts: 1, Streaming: streaming})
		e.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		e.Dialect, e.Placement, e.Client = signingDialect{}, placement, upstream.NewClient()
		e.Client.DialContext = func(context.Context, string, string) (net.Conn, error) {
			if unwritten {
				return &unwrittenConn{answer: bytes.NewReader(answer)}, nil
			}
			near, far := net.Pipe()
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(far))
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = far.Write(answer) // The client may have closed the connection.
				}
				_ = far.Close()
			}()
			return near, nil
		}
		e.request, e.service, e.attempts = Request{ID: "1", Method: "POST", Target: "/a", Host: "h", Body: []byte("body")}, catalog.Service{Name: "s"}, 0
		e.deadline = time.Now().Add(time.Minute)
		recorder := httptest.NewRecorder()
		e.writer = recorder
		e.forward(t.Context())

		said, whole := parseAnswer(answer)
		notRun := said != nil && signingDialect{}.NotRun(said.StatusCode, said.Header)
		switch {
		case e.failure != nil && e.failure.Outcome == outcome.NotRun && !notRun:
			t.Fatalf("%q: the caller is told that the request has not run", answer)
		case e.failure == nil && e.delivered && outcome.PromisesNotRun(recorder.Code):
			t.Fatalf("%q: status %d is passed on", answer, recorder.Code)
		case e.failure == nil && !e.incomplete && recorder.Code < 300:
			ownSuccess := said != nil && said.Header.Get("Signature") != "" && said.Header.Get("Content-Encoding") == ""
			if !ownSuccess || !whole.ok || recorder.Body.String() != whole.body || streaming && whole.body != "" && !strings.HasSuffix(whole.body, "\n\n") {
				t.Fatalf("%q: passed on as the success %q", answer, recorder.Body)
			}
			if unwritten && whole.endsWithConnection {
				t.Fatalf("%q: passed on as a success after the request was not written whole", answer)
			}
		}
	})
}

// wholeBody is the body of an answer; ok is set if it is whole by its framing, endsWithConnection if it has neither a length nor chunks.
type wholeBody struct {
	body                   string
	ok, endsWithConnection bool
}

// parseAnswer returns the final head in the bytes of an answer to the request with the id 1, nil if there is none, and its body.
func parseAnswer(answer []byte) (*http.Response, wholeBody) {
	reader := bufio.NewReader(bytes.NewReader(answer))
	for {
		r, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil || r.StatusCode < 100 || r.StatusCode > 599 {
			return nil, wholeBody{}
		}
		if r.StatusCode < 200 {
			continue
		}
		if r.Header.Get("Id") != "1" {
			return nil, wholeBody{}
		}
		body, err := io.ReadAll(r.Body)
		return r, wholeBody{string(body), err == nil, r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody}
	}
}
