package origin

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a stream that goes on at an older version because the router that gets it hasn't seen the endpoints of the newer one
// yet, or is cut off from the store: it takes its own view for that of the router at which the stream began.
func TestTakenUpStreamKeepsItsVersionAtRouterWithOldView(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		f.router("vm0").Update(endpoints("v1", "v1.1")) // The other routers don't get this change.
		f.router("vm0").Record("a", "desk", "v1.1")
		must.NotEq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"), must.Sprint("before the announcement has arrived"))
	})
}

// Guards against the same where the router that gets the stream isn't one that remembers it.
func TestTakenUpStreamKeepsItsVersionAtRouterOutsideItsKeepers(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.router("vm0").Keepers = func(string, int) []string { return []string{"vm0", "vm2"} }
		f.router("vm1").Keepers = f.router("vm0").Keepers
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		f.router("vm0").Update(endpoints("v1", "v1.1")) // vm1 doesn't get this change.
		f.router("vm0").Record("a", "desk", "v1.1")
		time.Sleep(5 * time.Second)
		must.NotEq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"), must.Sprint("five seconds after the stream began"))
	})
}

// Guards against the same where nobody remembers the stream: another router has seen the newer version, or none can be asked.
func TestRouterWithOldViewDoesNotGuess(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"))
		f.router("vm1").IsViewCurrent = func(context.Context) bool { return false }
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"), must.Sprint("other routers know of one version only, as while the store is silent for all"))
		f.unreachable["vm1"] = true
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm1"), "a"), must.Sprint("no router can be asked"))
		f.router("vm1").IsViewCurrent = func(context.Context) bool { return true }
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "a"), must.Sprint("the store confirms the endpoints"))
		f.unreachable["vm1"] = false
		f.router("vm0").Update(endpoints("v1", "v1.1"))
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm1"), "a"), must.Sprint("another router has seen two versions"))
	})
}

// Guards against a router that falls back on its own view because it was paused while it asked the others.
func TestPausedRouterAsksAgain(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for _, vm := range []string{"vm0", "vm2"} {
			f.router(vm).Keepers = func(string, int) []string { return []string{"vm0", "vm1"} }
		}
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		f.router("vm0").Update(endpoints("v1", "v1.1")) // The other routers don't get this change.
		f.router("vm0").Record("a", "desk", "v1.1")
		time.Sleep(time.Second)
		f.lost["vm2"] = 1
		must.Eq(t, found{"v1.1", SourcePeer}, find(f.router("vm2"), "a"))
	})
}
