package entry

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

// Guards against a delay after a silence of the store that no metric shows, and against measuring one more than once, or from objects
// that are older than the store's return.
func TestCatchUpsAreMeasured(t *testing.T) {
	metrics, err := telemetry.New("lsentry")
	must.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		monitor := contact.NewMonitor(contact.Options{Log: discardLog()})
		c, err := newCatchUps(monitor.LastSilence, metrics.Meter, discardLog())
		must.NoError(t, err)
		c.contacted("config", "answered", time.Now())
		callStore(t, monitor, 0, nil)
		time.Sleep(3 * time.Second)
		callStore(t, monitor, 0, platform.ErrUnavailable)
		callStore(t, monitor, 0, nil)
		time.Sleep(300 * time.Millisecond)
		c.contacted("config", "given_up", time.Now().Add(-time.Second))
		c.contacted("config", "given_up", time.Now())
		c.contacted("config", "answered", time.Now())
	})
	recorder := httptest.NewRecorder()
	metrics.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	must.StrContains(t, recorder.Body.String(), `store_catch_up_seconds_count{cause="given_up",kind="config"} 1`)
	must.StrContains(t, recorder.Body.String(), `store_catch_up_seconds_sum{cause="given_up",kind="config"} 0.3`)
	must.StrNotContains(t, recorder.Body.String(), `cause="answered"`)
}
