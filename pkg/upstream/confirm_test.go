package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a HEAD answer without a length that counts as one that ends with its connection: it has no body, and its connection
// stays open, so that nothing has to be confirmed.
func TestHeadAnswerNeedsNoConfirmation(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", idHeader, r.Header.Get(idHeader))
		return true
	})
	c := NewClient()
	for i := range 3 {
		call := newTestCall(address, fmt.Sprint(i))
		call.Method, call.Body = http.MethodHead, nil
		_, err := fetch(c, call)
		must.NoError(t, err)
	}
	must.EqOp(t, 0, c.Stats.ConfirmedEnds.Load())
	must.EqOp(t, 1, c.Stats.Dials.Load())
}

// Guards against ends that were taken as whole, or not, without a word of what decided it.
func TestEndCheckIsReportedOnce(t *testing.T) {
	errOther := errors.New("another run")
	for _, test := range []struct {
		confirmRun func(context.Context) (EndBasis, error)
		want       EndBasis
		wantErr    error
	}{
		{nil, EndWithoutRuns, nil},
		{func(context.Context) (EndBasis, error) { return EndSameRun, nil }, EndSameRun, nil},
		{func(context.Context) (EndBasis, error) { return EndNone, errOther }, EndNone, errOther},
	} {
		address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
			readBody(r)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nbody", idHeader, r.Header.Get(idHeader))
			return false
		})
		call, reports := newTestCall(address, "1"), 0
		call.ConfirmRun = test.confirmRun
		call.OnEnd = func(basis EndBasis, err error) {
			reports++
			must.EqOp(t, test.want, basis)
			must.True(t, errors.Is(err, test.wantErr))
		}
		_, err := fetch(NewClient(), call)
		must.EqOp(t, test.wantErr == nil, err == nil)
		must.EqOp(t, 1, reports)
	}
}

// Guards against a part of an answer that counts as whole because its endpoint is leaving, although the request could be sent again, and
// against refusing the whole answer of an endpoint that stops by plan to a request that can't be. A connection that fails otherwise than by
// a closed listener doesn't show that the endpoint stops.
func TestEndOfAnswerOfUnreachedEndpoint(t *testing.T) {
	errTimeout := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	for _, test := range []struct {
		err                  error
		isLeaving, mayRepeat bool
		want                 EndBasis
	}{
		{syscall.ECONNREFUSED, false, false, EndNone},
		{syscall.ECONNREFUSED, false, true, EndNone},
		{syscall.ECONNREFUSED, true, true, EndNone},
		{syscall.ECONNREFUSED, true, false, EndLeaving},
		{errTimeout, true, false, EndNone},
		{syscall.ECONNRESET, true, false, EndNone},
		{syscall.EHOSTUNREACH, true, false, EndNone},
	} {
		basis, err := judgeUnreached(test.err, test.isLeaving, test.mayRepeat)
		must.EqOp(t, test.want, basis)
		if test.want == EndNone {
			must.ErrorIs(t, err, ErrUnreached)
			must.ErrorIs(t, err, test.err)
			continue
		}
		must.NoError(t, err)
	}
}
