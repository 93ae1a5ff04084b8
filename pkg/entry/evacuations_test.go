package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// Guards against a watch whose connection goes silent just before an order, so that the order is in force after its bound: the store
// client gives a call up 1.5 s after the time for which the store may hold it, and the followers of its router leave it earlier.
func TestWatchOfOrdersFitsTheBound(t *testing.T) {
	const callTimeout = 1500 * time.Millisecond
	for _, bound := range []time.Duration{4 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
		wait := evacuationWatch(bound)
		must.Less(t, bound, wait+callTimeout, must.Sprint(bound))
		must.Less(t, bound, wait+evacuationAnswerTime+feed.LeaderWait, must.Sprint(bound))
	}
	must.Positive(t, evacuationWatch(time.Millisecond))
	must.EqOp(t, maxEvacuationWatch, evacuationWatch(time.Hour))
}

// orderObjects returns the objects of orders for the zones, with the number of the revision in the era.
func orderObjects(era, number uint64, zones ...string) (objects []platform.Object) {
	for _, zone := range zones {
		objects = append(objects, platform.Object{Key: "evacuations/" + zone, Revision: platform.NewRevision(era, number), Value: []byte("{}")})
	}
	return objects
}

// Guards against zones that are published only with the first change, published again without one, or never opened again after the store
// has lost their order; and against a change that no log line shows.
func TestEvacuationsArePublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var published [][]string
		handler := memory.New()
		e := newEvacuations("evacuations", &log.Logger{Handler: handler, Level: log.InfoLevel}, func(zones []string) route.EvacuatedState {
			published = append(published, zones)
			return route.EvacuatedState{Endpoints: 3, InFlight: 2}
		})
		must.False(t, e.isLoaded())
		e.reached(platform.NewRevision(0, 5))
		e.ReplaceAll(nil, 0)
		must.True(t, e.isLoaded())
		must.Eq(t, [][]string{{}}, published)
		e.contacted(time.Now().Add(-40 * time.Millisecond))
		e.ApplyChanges(append(orderObjects(0, 7, "b"), platform.Object{Key: "evacuations/", Revision: 6}, platform.Object{Key: "other/a", Revision: 6}))
		must.True(t, e.isEvacuated("b"))
		must.False(t, e.isEvacuated("a"))
		must.Eq(t, []string{"b"}, published[1])
		e.ReplaceAll(orderObjects(0, 7, "b"), time.Second)
		must.Len(t, 2, published)
		e.reached(platform.NewRevision(1, 5))
		e.ReplaceAll(nil, time.Second)
		time.Sleep(59 * time.Second)
		must.True(t, e.isEvacuated("b"))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		must.False(t, e.isEvacuated("b"))
		must.Eq(t, []string{}, published[len(published)-1])

		var lines []string
		for _, entry := range handler.Entries {
			lines = append(lines, entry.Message)
			if entry.Message == "zone_evacuated" {
				must.Eq(t, log.Fields{"zone": "b", "revision": "0/7", "zones": 1, "endpoints": 3, "in_flight": 2, "age_ms": int64(40)}, entry.Fields)
			}
		}
		must.Eq(t, []string{"zone_evacuation_skipped", "zone_evacuation_skipped", "zone_evacuated", "zone_evacuation_lost", "zone_evacuation_expired"}, lines)
	})
}

// Guards against load reports that are fetched from engines in an emptied zone.
func TestNoReportsFromEvacuatedZones(t *testing.T) {
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	config, err := catalog.New(catalog.Config{Services: []catalog.Service{{Name: "desk", TokensPerEvent: 4}}}, 1)
	must.NoError(t, err)
	r := &Router{
		config:    newConfiguration("config/main", nil, nil, 0, logger),
		endpoints: newEndpointSet(nil, logger, func([]platform.VM) {}),
	}
	r.config.newest.Store(config)
	for _, zone := range []string{"a", "b"} {
		r.endpoints.registered["servers/"+zone] = platform.VM{Name: "engine-" + zone, Zone: zone, Service: "desk", State: platform.VMLive}
	}
	polled := func() (names []string) {
		for _, vm := range r.polledEngines() {
			names = append(names, vm.Name)
		}
		return names
	}
	must.Eq(t, []string{"engine-a", "engine-b"}, polled(), must.Sprint("without orders"))
	r.evacuations = newEvacuations("evacuations", logger, func([]string) route.EvacuatedState { return route.EvacuatedState{} })
	r.evacuations.ReplaceAll(orderObjects(0, 1, "a"), 0)
	must.Eq(t, []string{"engine-b"}, polled())
	r.evacuations.ReplaceAll(nil, 0)
	must.Eq(t, []string{"engine-a", "engine-b"}, polled())
}
