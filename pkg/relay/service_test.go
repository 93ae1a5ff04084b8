package relay

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// fakeService counts the calls that ran.
type fakeService struct {
	address string
	runs    atomic.Int64
	// dropsAnswer breaks the connection after the call has run.
	dropsAnswer bool
	// refusesCalls answers 503 without running the call.
	refusesCalls bool
	// wrongRequestID, if set, is sent as the answer's request id.
	wrongRequestID string
}

func startService(t *testing.T, s *fakeService) *fakeService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = listener.Addr().String()
	server := &fasthttp.Server{Logger: discardLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
		if s.refusesCalls {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		s.runs.Add(1)
		if s.dropsAnswer {
			_ = ctx.Conn().Close()
			return
		}
		if s.wrongRequestID != "" {
			ctx.Response.Header.Set(HeaderRequestID, s.wrongRequestID)
		}
		ctx.SetBodyString("booked " + string(ctx.PostBody()))
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func testCall(id, key string, nonIdempotent bool) Call {
	c := Call{Request: testRequest(id), Service: "booking", Method: "POST", Path: "book", Body: []byte(key)}
	c.IdempotencyKey = key
	c.Class = config.Class{Name: "ride", Target: config.TargetWhole, NonIdempotent: nonIdempotent}
	return c
}

// Guards against a second run of a non-idempotent call after its answer was lost.
func TestCallRunsOnceAfterLostAnswer(t *testing.T) {
	lossy, spare := startService(t, &fakeService{dropsAnswer: true}), startService(t, &fakeService{})
	claims := newFakeClaims()
	r := newRelay(t, Relay{Claims: claims, Selector: listSelector{[]string{lossy.address, spare.address}}})
	for _, id := range []string{"r1", "r2"} {
		_, failure := r.Call(t.Context(), testCall(id, "ride-7", true))
		must.Eq(t, outcome.Unknown, failure.Outcome)
	}
	must.Eq(t, 1, lossy.runs.Load()+spare.runs.Load())
	must.Eq(t, 0, claims.released)
}

// Guards against a second run of a finished call; the repeated attempt gets the first answer.
func TestCallReturnsStoredResult(t *testing.T) {
	service := startService(t, &fakeService{})
	r := newRelay(t, Relay{Claims: newFakeClaims(), Selector: listSelector{[]string{service.address}}})
	first, failure := r.Call(t.Context(), testCall("r1", "ride-7", true))
	must.Nil(t, failure)
	second, failure := r.Call(t.Context(), testCall("r2", "ride-7", true))
	must.Nil(t, failure)
	must.Eq(t, first.Body, second.Body)
	must.True(t, second.Stored)
	must.Eq(t, 1, service.runs.Load())
}

// Guards against a dispatch without a durable claim.
func TestCallIsNotSentWithoutClaim(t *testing.T) {
	service := startService(t, &fakeService{})
	claims := newFakeClaims()
	claims.claimErr = errTest
	r := newRelay(t, Relay{Claims: claims, Selector: listSelector{[]string{service.address}}})
	_, failure := r.Call(t.Context(), testCall("r1", "ride-7", true))
	must.Eq(t, outcome.NotRun, failure.Outcome)
	must.Eq(t, 0, service.runs.Load())
}

// Guards against losing a call that provably did not run: another endpoint is tried, and if there is none the
// claim is released.
func TestCallAfterRefusal(t *testing.T) {
	refusing := startService(t, &fakeService{refusesCalls: true})
	dead := closedAddress(t)
	claims := newFakeClaims()
	r := newRelay(t, Relay{Claims: claims, Selector: listSelector{[]string{dead, refusing.address}}})
	_, failure := r.Call(t.Context(), testCall("r1", "ride-7", true))
	must.Eq(t, outcome.NotRun, failure.Outcome)
	must.Eq(t, 1, claims.released)
	service := startService(t, &fakeService{})
	r.Selector = listSelector{[]string{dead, refusing.address, service.address}}
	answer, failure := r.Call(t.Context(), testCall("r2", "ride-7", true))
	must.Nil(t, failure)
	must.Eq(t, "booked ride-7", string(answer.Body))
}

// Guards against delivering another caller's answer.
func TestCallDropsForeignAnswer(t *testing.T) {
	crossing := startService(t, &fakeService{wrongRequestID: "someone-else"})
	r := newRelay(t, Relay{Claims: newFakeClaims(), Selector: listSelector{[]string{crossing.address}}})
	answer, failure := r.Call(t.Context(), testCall("r1", "ride-7", true))
	must.Eq(t, outcome.Unknown, failure.Outcome)
	must.Len(t, 0, answer.Body)
}

// Guards against giving up on an idempotent call after one endpoint failed.
func TestCallRetriesIdempotentCall(t *testing.T) {
	lossy, spare := startService(t, &fakeService{dropsAnswer: true}), startService(t, &fakeService{})
	r := newRelay(t, Relay{Selector: listSelector{[]string{lossy.address, spare.address}}})
	answer, failure := r.Call(t.Context(), testCall("r1", "status", false))
	must.Nil(t, failure)
	must.Eq(t, "booked status", string(answer.Body))
}
