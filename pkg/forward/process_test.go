package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/lavendershunt/lavendershunt/internal/loopback"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Guards against a router of an earlier build that takes the version of a list entry for that of a stream that it gets through this
// router: it reads the version only, and not that it is unproven.
func TestUnprovenStreamForAnotherRouterNamesNoVersion(t *testing.T) {
	d := &route.Decision{Chosen: "e0", Software: "v1", Started: 1}
	e := testExchange(catalog.Route{Streaming: true})
	e.Origins, e.onBehalf, e.decision = origin.NewRegistry(origin.Options{}), true, d
	e.process = identifyProcess(d, upstream.Run{Known: true, Started: 2}, func(int64) (string, bool) { return "", false })
	e.recordBegin()
	must.Eq(t, RemoteProgress{Attempts: 1, Endpoint: "e0", Unproven: true}, (&RemoteExchange{e}).Progress())
}

// prefillTime is the time until the first event of a stream.
const prefillTime = 50 * time.Millisecond

// listRestarted returns an exchange with a stream that has begun at v1, and lists endpoints with v1 of which all but the given number were
// restarted.
func listRestarted(t *testing.T, endpoints, proven int) *exchange {
	placement := NewPlacement("a", route.Options{})
	go placement.Run(t.Context())
	var vms []platform.VM
	started := map[string]int64{}
	for i := range endpoints {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a" {
				time.Sleep(prefillTime)
			}
			w.Header().Set("Id", "1")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n") // An error shows at the caller.
		}))
		t.Cleanup(server.Close)
		name := fmt.Sprintf("e%d", i)
		started[name] = 2
		if i < proven {
			started[name] = 1
		}
		vms = append(vms, platform.VM{
			Name: name, Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: server.Listener.Addr().String(), Software: "v1", Started: 1,
		})
	}
	placement.Update(vms)
	e := testExchange(catalog.Route{Semantics: catalog.Idempotent, Streaming: true, Resumable: true, MaxAttempts: 2})
	e.Log, e.Dialect, e.Placement, e.Client = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, plainDialect{}, placement, upstream.NewClient()
	e.Identify = func(ctx context.Context, endpoint, address string, send upstream.SendFunc) (int64, error) {
		response, err := send(ctx, upstream.Call{Address: address, Method: http.MethodGet, Target: "/report", Header: http.Header{}})
		if err != nil {
			return 0, err
		}
		discardBody(response)
		return started[endpoint], response.Body.Close()
	}
	e.request, e.service, e.attempts = Request{ID: "1", Method: "POST", Target: "/a", Host: "h"}, catalog.Service{Name: "s", TokensPerEvent: 1}, 0
	e.begun, e.software, e.deadline = true, "v1", time.Now().Add(time.Minute)
	e.writer = httptest.NewRecorder()
	return e
}

// Guards against a router that counts as one without links for all requests of another router, because the endpoints that it reaches
// must not continue one stream.
func TestRefusedProcessesAreReached(t *testing.T) {
	e := listRestarted(t, 4, 0)
	e.onBehalf = true
	e.forward(t.Context())
	must.NotNil(t, e.failure)
	must.EqOp(t, outcome.NotRun, e.failure.Outcome)
	must.EqOp(t, 0, e.attempts)
	must.False(t, (&RemoteExchange{e}).Unreached())
}

// Guards against a stream that is broken off or rejected although an endpoint can continue it, because some others were restarted.
func TestStreamGoesOnBesideRestartedEndpoints(t *testing.T) {
	for range 8 {
		e := listRestarted(t, maxRefusedAttempts, 1)
		e.forward(t.Context())
		must.Nil(t, e.failure)
		must.EqOp(t, "e0", e.decision.Chosen)
		must.EqOp(t, 1, e.attempts)
	}
}

// announcements passes on what is announced to another router.
type announcements chan map[string]origin.Began

func (a announcements) Announce(_ string, began map[string]origin.Began) { a <- began }

func (announcements) Find(context.Context, []string, string, string) origin.Finding {
	return origin.Finding{}
}

// Guards against a stream that goes on at another version because its router was killed just after the first event: the others are told
// before the request is sent that it may begin at a process of unknown version.
func TestOthersAreToldBeforeAnUnprovenStreamBegins(t *testing.T) {
	told := make(announcements, 8)
	e := listRestarted(t, 1, 0)
	e.Origins = origin.NewRegistry(origin.Options{
		Store: memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}).Client("vm0"), VM: "vm0", Log: e.Log, Peers: told,
		Routers: func() int { return 1 }, Keepers: func(string, int) []string { return []string{"vm1"} }, IsFirst: func(string) bool { return false },
	})
	go e.Origins.Run(t.Context())
	e.begun = false
	writer := &firstWrite{ResponseWriter: e.writer, before: func() {
		select {
		case began := <-told:
			must.Eq(t, map[string]origin.Began{"1": {Unproven: true}}, began)
		default:
			t.Error("the first event is written before the other router is told")
		}
	}}
	e.writer = writer
	e.forward(t.Context())
	must.Nil(t, e.failure)
	must.True(t, e.begun)
	must.Nil(t, writer.before)
}

// firstWrite calls a function before the first byte of a body.
type firstWrite struct {
	http.ResponseWriter
	before func()
}

func (w *firstWrite) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *firstWrite) Write(data []byte) (int, error) {
	if w.before != nil {
		w.before()
		w.before = nil
	}
	return w.ResponseWriter.Write(data)
}

// Guards against two crashes of an endpoint that count as one, because it was restarted between them and the router has the list entry of
// the first process: a request that crashes endpoints would reach one more.
func TestCrashIsThatOfTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		run  upstream.Run
		want string
	}{
		"as listed":      {upstream.Run{Known: true, Started: 1}, "e0@1"},
		"restarted":      {upstream.Run{Known: true, Started: 2}, "e0@2"},
		"not identified": {upstream.Run{}, "e0@1"},
		"says no start":  {upstream.Run{Known: true}, "e0@1"},
	} {
		lines := memory.New()
		registry := testRegistry()
		registry.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		placement := NewPlacement("a", route.Options{})
		go placement.Run(t.Context())
		address := loopback.Address() // Nobody listens there.
		placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: address, Started: 1}})
		_, inFlight := placement.chooseEndpoint(route.Request{ID: "1", Pool: route.Service("s")})
		must.NotNil(t, inFlight)
		e := testExchange(catalog.Route{})
		e.Placement, e.CrashRecords, e.process = placement, registry, process{run: test.run}
		e.crashes = &crashDetector{client: upstream.NewClient(), registry: registry, checks: map[string]*crashCheck{}}
		e.reportBroken(address, inFlight)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !registry.IsEmpty() }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		must.Len(t, 1, lines.Entries, must.Sprint(name))
		must.Eq(t, any(test.want), lines.Entries[0].Fields["run"], must.Sprint(name))
	}
}
