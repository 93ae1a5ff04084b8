package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// signingDialect is a Dialect whose endpoints sign their successes and say what they haven't run.
type signingDialect struct{ plainDialect }

func (signingDialect) NotRun(status int, h http.Header) bool {
	return h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}

func (signingDialect) CheckSuccess(h http.Header) error {
	if h.Get("Signature") == "" || h.Get("Content-Encoding") != "" {
		return ErrNotOwn
	}
	return nil
}

// Guards against an answer that is passed on as a success or as a promise by its status alone.
func TestJudge(t *testing.T) {
	signed, unsigned := http.Header{"Signature": {"s"}}, http.Header{}
	encoded, notRun := http.Header{"Signature": {"s"}, "Content-Encoding": {"gzip"}}, http.Header{"Not-Run": {"1"}}
	for _, c := range []struct {
		name      string
		streaming bool
		status    int
		header    http.Header
		want      verdict
	}{
		{"success", false, 200, signed, verdictWhole},
		{"success of another kind", false, 201, signed, verdictWhole},
		{"stream", true, 200, signed, verdictStream},
		{"stream of another kind", true, 206, signed, verdictStream},
		{"unsigned", false, 200, unsigned, verdictInvalid},
		{"unsigned stream", true, 200, unsigned, verdictInvalid},
		{"unsigned success of another kind", true, 204, unsigned, verdictInvalid},
		{"encoded", false, 200, encoded, verdictInvalid},
		{"encoded stream", true, 200, encoded, verdictInvalid},
		{"own failure", false, 500, signed, verdictWhole},
		{"unsigned failure", true, 504, unsigned, verdictWhole},
		{"not found", false, 404, unsigned, verdictWhole},
		{"redirect", false, 302, unsigned, verdictWhole},
		{"rejected", false, 503, notRun, verdictNotRun},
		{"rejected stream", true, 429, notRun, verdictNotRun},
		{"bad request that didn't run", false, 400, notRun, verdictNotRun},
		{"another endpoint", false, 421, unsigned, verdictNotRun},
		{"failed as unavailable", false, 503, signed, verdictWithheld},
		{"failed as busy", true, 429, unsigned, verdictWithheld},
		{"failed as timed out", false, 408, unsigned, verdictWithheld},
	} {
		got, err := judge(signingDialect{}, c.streaming, c.status, c.header)
		must.EqOp(t, c.want, got, must.Sprint(c.name))
		must.EqOp(t, c.want == verdictInvalid || c.want == verdictWithheld, err != nil, must.Sprint(c.name))
	}
}

// refusingWriter panics like net/http for a status that it refuses to write.
type refusingWriter struct{ *httptest.ResponseRecorder }

func (refusingWriter) WriteHeader(int) { panic("invalid status") }

// Guards against an endpoint that is full for ever because an answer could not be written: the request's place there must be given
// back however the attempt ends.
func TestPanicGivesThePlaceAtTheEndpointBack(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "1") }))
	defer endpoint.Close()
	placement := NewPlacement("a", route.Options{})
	go placement.Run(t.Context())
	placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, MaxInFlight: 1, Address: endpoint.Listener.Addr().String()}})
	for range 3 {
		e := testExchange(catalog.Route{MaxAttempts: 1})
		e.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		e.Dialect, e.Placement, e.Client = plainDialect{}, placement, upstream.NewClient()
		e.request, e.service, e.attempts = Request{ID: "1", Method: "POST", Target: "/a", Host: "h"}, catalog.Service{Name: "s"}, 0
		e.buffers.limit = 1 << 20
		e.writer = refusingWriter{httptest.NewRecorder()}
		must.Panic(t, func() { e.forward(t.Context()) })
		must.EqOp(t, 1, e.attempts, must.Sprint("the endpoint has room for the request"))
	}
}

// Guards against an endpoint that counts as failed, and is closed to others, because this router has used its own share of connections.
func TestLimitOfConnectionsIsNoFailureOfTheEndpoint(t *testing.T) {
	placement := NewPlacement("a", route.Options{})
	go placement.Run(t.Context())
	placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: "endpoint"}})
	client := upstream.NewClient()
	client.MaxConnsTo = func(string) int { return 1 }
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	client.DialContext = func(context.Context, string, string) (net.Conn, error) { return near, nil }
	go func() {
		_, _ = client.Send(t.Context(), upstream.Call{Address: "endpoint", Method: "GET", Target: "/"})
	}() // Holds the only one.
	_, err := far.Read(make([]byte, 1))
	must.NoError(t, err)
	for range 5 {
		e := testExchange(catalog.Route{MaxAttempts: 1})
		e.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		e.Dialect, e.Placement, e.Client = plainDialect{}, placement, client
		e.request, e.service, e.attempts = Request{ID: "1", Method: "POST", Target: "/a", Host: "h"}, catalog.Service{Name: "s"}, 0
		e.writer = httptest.NewRecorder()
		e.forward(t.Context())
		must.EqOp(t, outcome.NotRun, e.failure.Outcome)
		must.ErrorIs(t, e.attemptErr, upstream.ErrTooManyConns, must.Sprint("the endpoint is still chosen"))
	}
}
