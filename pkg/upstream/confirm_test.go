package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
// against refusing the whole answer of an endpoint that stops by plan to a request that can't be.
func TestEndOfAnswerOfUnreachedEndpoint(t *testing.T) {
	for _, test := range []struct {
		isLeaving, mayRepeat bool
		want                 EndBasis
	}{
		{false, false, EndNone},
		{false, true, EndNone},
		{true, true, EndNone},
		{true, false, EndLeaving},
	} {
		basis, err := judgeUnreached(syscall.ECONNREFUSED, test.isLeaving, test.mayRepeat)
		must.EqOp(t, test.want, basis)
		if test.want == EndNone {
			must.ErrorIs(t, err, ErrUnreached)
			must.ErrorIs(t, err, syscall.ECONNREFUSED)
			continue
		}
		must.NoError(t, err)
	}
}
