package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/loopback"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

func testRegistry() *poison.Registry {
	return poison.NewRegistry(poison.RegistryOptions{
		VM: "r0", Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, IsFirst: func(string) bool { return false },
	})
}

// Guards against suspecting a stream that had events already when its engine crashed, at the first crash of all.
func TestAnsweredStreamIsNoSuspect(t *testing.T) {
	e := testExchange(catalog.Route{Streaming: true})
	e.CrashRecords = testRegistry()
	e.recordAnswered()
	must.True(t, e.attemptAnswered)
}

// Guards against taking an endpoint that resets single connections, or one that can't be reached, for a crashed one: its
// requests would be stopped.
func TestOnlyRefusedConnectionsAreCrashes(t *testing.T) {
	listener, err := net.Listen("tcp4", loopback.Address())
	must.NoError(t, err)
	defer listener.Close()
	registry := testRegistry()
	d := &crashDetector{client: upstream.NewClient(), registry: registry, checks: map[string]*crashCheck{}}
	features := (&Request{Method: "POST", Target: "/a", Body: []byte("a")}).features("o")
	<-d.report("listening@1", listener.Addr().String(), features, true)
	must.True(t, registry.IsEmpty())
	<-d.report("closed@1", loopback.Address(), features, true)
	must.False(t, registry.IsEmpty())
}

// Guards against stopping the content of requests that broke because the VM lost its links: then all endpoints refuse
// connections, and none has crashed.
func TestEndpointsBehindLostLinksHaveNotCrashed(t *testing.T) {
	registry := testRegistry()
	d := &crashDetector{client: upstream.NewClient(), registry: registry, checks: map[string]*crashCheck{}, linksLost: func(context.Context) bool { return true }}
	features := (&Request{Method: "POST", Target: "/a", Body: []byte("a")}).features("o")
	<-d.report("closed@1", loopback.Address(), features, true)
	must.True(t, registry.IsEmpty())
}

// Guards against stopping different prompts that have the same body, and against parts that only one request has.
func TestFeatures(t *testing.T) {
	request := func(id string) *Request {
		return &Request{Method: "POST", Target: "/a", Body: []byte("a"), Prompt: &Prompt{Model: "m", Parts: []Part{{ID: "shared"}, {ID: id}}}}
	}
	a, b, repeated := request("1").features("o"), request("2").features("o"), request("1").features("o")
	must.Len(t, 2, a)
	must.Eq(t, a, repeated)
	must.Eq(t, a[0], b[0])
	must.NotEq(t, a[1], b[1])
	must.NotEq(t, a[1], request("1").features("p")[1])
	must.EqOp(t, poison.DepthOfRequest, a[1].Depth)
}

// Guards against crash records and log lines that grow with what a caller sends.
func TestNamesOfPartsAreBounded(t *testing.T) {
	r := &Request{Prompt: &Prompt{}}
	for range 200 {
		r.Prompt.Parts = append(r.Prompt.Parts, Part{ID: strings.Repeat("a", 1000)})
	}
	must.Len(t, maxLoggedParts, r.Prompt.loggedPartIDs())
	must.Len(t, maxNameBytes, []byte(r.Prompt.loggedPartIDs()[0]))
	must.LessEq(t, maxNameBytes+len("part "), len(r.features("o")[0].Name))
}

// Guards against checks that pile up for an endpoint at which many requests broke.
func TestCrashIsCheckedOnce(t *testing.T) {
	d := &crashDetector{client: upstream.NewClient(), registry: testRegistry(), checks: map[string]*crashCheck{}}
	address := loopback.Address()
	for range 20 {
		must.True(t, d.hasCrashed("e@1", address))
	}
	must.EqOp(t, 1, d.client.Stats.Dials.Load())
	d.checks["e@1"].startedAt = time.Now().Add(-2 * crashCheckTTL)
	must.True(t, d.hasCrashed("e@1", address))
	must.EqOp(t, 2, d.client.Stats.Dials.Load())
}

// plainDialect is a Dialect for requests without a prompt.
type plainDialect struct{}

func (plainDialect) Decode(*http.Request) (Request, error) { return Request{}, ErrMalformed }
func (plainDialect) Encode(*Request, Dispatch) http.Header { return http.Header{"Id": {"1"}} }
func (plainDialect) IDHeader() string                      { return "Id" }
func (plainDialect) NotRun(int, http.Header) bool          { return false }
func (plainDialect) CheckSuccess(http.Header) error        { return nil }
func (plainDialect) Notice(int, http.Header) Notice        { return Notice{} }

// Guards against replacing an endpoint's answer by a failure of the router, because the content was stopped while the
// endpoint ran the request.
func TestAnswerIsDeliveredWhenContentIsStoppedMeanwhile(t *testing.T) {
	registry := testRegistry()
	request := Request{ID: "1", Method: "POST", Target: "/a", Host: "h", Body: []byte("a")}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		registry.ReportCrash("a@1", request.features(""), true)
		time.Sleep(250 * time.Millisecond) // Two crashes at the same time count as one.
		registry.ReportCrash("b@1", request.features(""), true)
		w.Header().Set("Id", "1")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer endpoint.Close()
	placement := NewPlacement("a", route.Options{})
	go placement.Run(t.Context())
	placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: endpoint.Listener.Addr().String()}})
	e := testExchange(catalog.Route{Semantics: catalog.Idempotent, MaxAttempts: 3})
	e.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	e.Dialect, e.Placement, e.Client, e.CrashRecords = plainDialect{}, placement, upstream.NewClient(), registry
	e.request, e.service, e.attempts = request, catalog.Service{Name: "s"}, 0
	e.buffers.limit = 1 << 20
	recorder := httptest.NewRecorder()
	e.writer = recorder
	e.forward(t.Context())
	must.Nil(t, e.failure)
	must.EqOp(t, http.StatusInternalServerError, recorder.Code)
}

// Guards against a prompt of thousands of parts that replaces the prefixes of all others in the placement's index.
func TestPromptOfManyPartsIsIndexedInPart(t *testing.T) {
	p := &Prompt{Model: "m", Parts: make([]Part, 4000)}
	for i := range p.Parts {
		p.Parts[i] = Part{ID: strconv.Itoa(i), Tokens: 1}
	}
	hashes, ends := p.sharedPrefixes()
	must.Len(t, maxIndexedParts, hashes)
	must.EqOp(t, maxIndexedParts, ends[len(ends)-1])
	p.Parts = p.Parts[:3]
	first, _ := p.sharedPrefixes()
	must.Eq(t, hashes[:2], first)
}
