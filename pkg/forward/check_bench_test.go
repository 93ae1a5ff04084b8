package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// BenchmarkAnswerChecks compares what the checks of an answer take with a whole request over a connection to an endpoint in the same
// process, whose part is included, with the checks of the dialect and without. Checks taking over a hundredth of a request would be too dear.
//
//	go test ./pkg/forward -run xxx -bench AnswerChecks -cpu 1
func BenchmarkAnswerChecks(b *testing.B) {
	const streamEvents = 30
	var stream bytes.Buffer
	for i := range streamEvents {
		fmt.Fprintf(&stream, "id: %d\ndata: %040d\n\n", i+1, i)
	}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // What was sent doesn't matter.
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		_, _ = w.Write(stream.Bytes()) // The router reads all.
	}))
	defer endpoint.Close()
	placement := NewPlacement("a", route.Options{})
	go placement.Run(b.Context())
	placement.Update([]platform.VM{{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: endpoint.Listener.Addr().String()}})
	client := upstream.NewClient()
	header := http.Header{"Id": {"1"}, "Signature": {"s"}, "Content-Type": {"text/plain"}}
	for _, streaming := range []bool{false, true} {
		kind := map[bool]string{false: "buffered", true: "stream"}[streaming]
		request := func(b *testing.B, dialect Dialect) {
			for range b.N {
				e := testExchange(catalog.Route{MaxAttempts: 1, Streaming: streaming})
				e.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
				e.Dialect, e.Placement, e.Client = dialect, placement, client
				e.request, e.service, e.attempts = Request{ID: "1", Method: "POST", Target: "/a", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("body")}, catalog.Service{Name: "s"}, 0
				e.writer = httptest.NewRecorder()
				e.forward(b.Context())
				if e.failure != nil || e.incomplete || e.status != http.StatusOK {
					b.Fatal(e.status, e.failure)
				}
			}
		}
		b.Run("request/"+kind, func(b *testing.B) { request(b, signingDialect{}) })
		b.Run("unchecked/"+kind, func(b *testing.B) { request(b, plainDialect{}) })
		b.Run("checks/"+kind, func(b *testing.B) {
			whole := newEventStream(noEvent)
			for range b.N {
				if v, err := judge(signingDialect{}, streaming, http.StatusOK, header); v == verdictInvalid || err != nil {
					b.Fatal(err)
				}
				if streaming && !whole.endsWhole(true) {
					b.Fatal("not whole")
				}
			}
		})
	}
}
