package telemetry

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against instruments that are missing in a scrape, and against two meters that share a registry.
func TestScrape(t *testing.T) {
	for range 2 {
		m, err := New("lsrouter")
		must.NoError(t, err)
		counter, err := m.Meter.Int64Counter("ls_requests")
		must.NoError(t, err)
		counter.Add(context.Background(), 3)
		recorder := httptest.NewRecorder()
		m.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		must.StrContains(t, recorder.Body.String(), "ls_requests_total 3")
		must.StrContains(t, recorder.Body.String(), "go_goroutines")
		must.NoError(t, m.Close(context.Background()))
	}
}
