package remote

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	forwardv1 "github.com/lavendershunt/lavendershunt/api/ls/forward/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/forward/v1/forwardv1connect"
	"github.com/lavendershunt/lavendershunt/internal/loopback"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

type sender = *connect.ServerStream[forwardv1.ForwardResponse]

// fakeRouter answers Check with true and forwards by its function.
type fakeRouter struct {
	forwardv1connect.UnimplementedForwardServiceHandler
	forward func(context.Context, sender) error
	got     atomic.Int64
}

func (f *fakeRouter) Check(context.Context, *connect.Request[forwardv1.CheckRequest]) (*connect.Response[forwardv1.CheckResponse], error) {
	return connect.NewResponse(&forwardv1.CheckResponse{CanForward: true}), nil
}

func (f *fakeRouter) Forward(ctx context.Context, _ *connect.Request[forwardv1.ForwardRequest], s sender) error {
	f.got.Add(1)
	return f.forward(ctx, s)
}

func accept(s sender) error {
	return s.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Accepted{Accepted: &forwardv1.Accepted{}}})
}

func fail(s sender, f *forwardv1.Failure) error {
	return s.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Failure{Failure: f}})
}

// newTestClient returns a client that knows only the router.
func newTestClient(t *testing.T, f *fakeRouter) *Client {
	_, handler := forwardv1connect.NewForwardServiceHandler(f)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = peerhttp.UnencryptedHTTP2()
	server.Start()
	t.Cleanup(server.Close)
	return newClientOf(server.Listener.Addr().String())
}

func newClientOf(address string) *Client {
	c := NewClient(Options{
		Cut: func() bool { return true }, HTTP: &http.Client{Transport: &http.Transport{Protocols: peerhttp.UnencryptedHTTP2()}},
		Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	})
	c.setAble(Peer{Name: "other", Address: address}, true)
	close(c.round)
	return c
}

// Guards against a request that is reported as not run, or sent to a second router, although the first one may have sent it; and
// against one that is reported as lost although no router took it.
func TestErrorsTellWhetherTheRequestMayRun(t *testing.T) {
	notSent, mayHaveRun := upstream.ErrNotSent, upstream.ErrFailedAfterSend
	for name, test := range map[string]struct {
		forward func(context.Context, sender) error
		want    error
	}{
		"declined": {func(context.Context, sender) error {
			return connect.NewError(connect.CodeUnavailable, forward.ErrCannotForward)
		}, notSent},
		"acceptance lost": {func(context.Context, sender) error { panic(http.ErrAbortHandler) }, mayHaveRun},
		"never accepted": {func(ctx context.Context, _ sender) error {
			<-ctx.Done()
			return nil
		}, mayHaveRun},
		"broken after the acceptance": {func(_ context.Context, s sender) error {
			if err := accept(s); err != nil {
				return err
			}
			panic(http.ErrAbortHandler)
		}, mayHaveRun},
		"ended after the acceptance": {func(_ context.Context, s sender) error { return accept(s) }, mayHaveRun},
		"reached no endpoint": {func(_ context.Context, s sender) error {
			return errors.Join(accept(s), fail(s, &forwardv1.Failure{Outcome: string(outcome.NotRun), Reason: string(outcome.ReasonOverload), Unreached: true}))
		}, notSent},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeRouter{forward: test.forward}
			_, err := newTestClient(t, f).Send(t.Context(), forward.RemoteRequest{TimeLeft: time.Second})
			must.ErrorIs(t, err, test.want)
			must.EqOp(t, 1, f.got.Load())
		})
	}
	_, err := newClientOf(loopback.Address()).Send(t.Context(), forward.RemoteRequest{TimeLeft: time.Second})
	must.ErrorIs(t, err, notSent, must.Sprint("nobody listens there"))
}

// Guards against a failure of the other router that changes on the way, such as one that may have run and is said not to have.
func TestFailureOfTheOtherRouterIsKept(t *testing.T) {
	for _, want := range []*outcome.Failure{
		outcome.NotRunf(outcome.ReasonOverload, 700*time.Millisecond, "full"), outcome.Unknownf(outcome.ReasonEndpointFailed, 0, "broken"),
	} {
		f := &fakeRouter{forward: func(_ context.Context, s sender) error {
			return errors.Join(accept(s), fail(s, encodeFailure(want, 2)))
		}}
		got, err := newTestClient(t, f).Send(t.Context(), forward.RemoteRequest{TimeLeft: time.Second})
		must.NoError(t, err)
		must.Eq(t, want, got.Failure)
		must.EqOp(t, 2, got.Progress().Attempts)
	}
	must.EqOp(t, outcome.Unknown, decodeFailure(&forwardv1.Failure{Outcome: "from a later version"}).Outcome)
}

// Guards against an answer that broke off and looks complete.
func TestOnlyAnAnswerWithItsEndIsComplete(t *testing.T) {
	for _, whole := range []bool{true, false} {
		f := &fakeRouter{forward: func(_ context.Context, s sender) error {
			err := errors.Join(accept(s),
				s.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Head{Head: &forwardv1.Head{Status: 200, Attempts: 1, Endpoint: "e"}}}),
				s.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Data{Data: []byte("part")}}))
			if whole {
				err = errors.Join(err, s.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_End{End: &forwardv1.End{}}}))
			}
			return err
		}}
		got, err := newTestClient(t, f).Send(t.Context(), forward.RemoteRequest{TimeLeft: time.Second})
		must.NoError(t, err)
		body, err := io.ReadAll(got.Response.Body)
		must.EqOp(t, "part", string(body))
		must.EqOp(t, whole, err == nil)
		must.NoError(t, got.Response.Body.Close())
	}
}

// Guards against rejecting requests on a busy VM because questions to the other routers time out while these serve requests well;
// and against sending to a router for ever that answers nothing.
func TestUnansweredQuestionsDontEndForwardingAtOnce(t *testing.T) {
	c := newClientOf(loopback.Address())
	c.Peers = func() []Peer { return []Peer{{Name: "other", Address: loopback.Address()}} } // Nobody answers there.
	c.ask(t.Context())
	_, ok := c.choose(t.Context(), catalog.Homes{}, nil)
	must.True(t, ok)
	for p := range c.able {
		c.able[p] = time.Now().Add(-2 * ableRetention)
	}
	c.ask(t.Context())
	_, ok = c.choose(t.Context(), catalog.Homes{}, nil)
	must.False(t, ok)
}

// Guards against a request whose body is sent to a router outside of its homes, or to one whose region isn't known.
func TestRequestIsSentToRoutersInItsHomes(t *testing.T) {
	c := newClientOf(loopback.Address())
	c.able[Peer{Name: "away", Region: "r1"}], c.able[Peer{Name: "unknown"}] = time.Now(), time.Now()
	homes := catalog.Homes{Restricted: true, Regions: []string{"r2", "r3"}}
	_, ok := c.choose(t.Context(), homes, nil)
	must.False(t, ok)
	c.able[Peer{Name: "home", Region: "r2"}] = time.Now()
	for range 20 {
		peer, ok := c.choose(t.Context(), homes, nil)
		must.True(t, ok)
		must.EqOp(t, "home", peer.Name)
	}
	_, ok = c.choose(t.Context(), homes, map[string]bool{"home": true})
	must.False(t, ok)
}

// Guards against the stream of a process of unknown version that goes on because the router that got it through another one takes its
// version for proven.
func TestHeadTellsWhatIsProven(t *testing.T) {
	for name, want := range map[string]forward.RemoteProgress{
		"proven":   {Attempts: 1, Endpoint: "e", Software: "v1"},
		"unproven": {Attempts: 1, Endpoint: "e", Unproven: true},
	} {
		f := &fakeRouter{forward: func(_ context.Context, s sender) error {
			w := &responseWriter{stream: s, progress: func() forward.RemoteProgress { return want }, header: http.Header{}}
			err := accept(s)
			w.WriteHeader(http.StatusOK)
			return err
		}}
		got, err := newTestClient(t, f).Send(t.Context(), forward.RemoteRequest{TimeLeft: time.Second})
		must.NoError(t, err)
		must.Eq(t, want, got.Progress(), must.Sprint(name))
		must.NoError(t, got.Response.Body.Close())
	}
}
