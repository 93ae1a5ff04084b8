package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against refusing a whole answer because the endpoint takes no more connections: a server that stops by plan closes its listener
// first, then completes the answers in progress and ends their connections in order.
func TestWholeAnswerOfServerThatStopsIsComplete(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	started, stopping := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		readBody(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		defer conn.Close()
		close(started)
		<-stopping
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nwhole", idHeader, r.Header.Get(idHeader))
	})}
	go func() { _ = server.Serve(listener) }() // Serve returns an error after Shutdown.
	c := NewClient()
	done := make(chan error, 1)
	go func() {
		call := newTestCall(listener.Addr().String(), "1")
		call.IsLeaving = func() bool { return true }
		body, err := fetch(c, call)
		if err == nil && body != "whole" {
			err = fmt.Errorf("body %q", body)
		}
		done <- err
	}()
	<-started
	must.NoError(t, server.Shutdown(t.Context()))
	close(stopping)
	must.NoError(t, <-done)
}
