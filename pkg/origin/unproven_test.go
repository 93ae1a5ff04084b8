package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// restarted is a process that has no list entry yet.
var restarted = Run{Endpoint: "e0", Started: 2}

// started returns a list with one entry of an endpoint.
func started(run Run, software string) []platform.VM {
	return []platform.VM{{Name: run.Endpoint, Service: "desk", Software: software, Started: run.Started}}
}

// Guards against a stream that goes on at the only version that routers know of although it began at a process that none has an entry
// of, also after the router that began it was killed and after a power failure of all routers.
func TestStreamOfUnlistedProcessDoesNotGoOn(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		f.router("vm0").RecordUnproven("a", "desk", restarted)
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm0"), "a"))
		time.Sleep(100 * time.Millisecond)
		f.stop("vm0")
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm1"), "a"))
		must.Eq(t, found{"v1", SourceOnly}, find(f.router("vm1"), "b"))
		time.Sleep(2 * storeInterval)
		for i := range 3 {
			f.start(fmt.Sprintf("vm%d", i))
		}
		f.setSoftware("v1")
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm2"), "a"))
	})
}

// Guards against a stream that can't go on for good because its process was listed only after it began.
func TestStreamGoesOnOnceItsProcessIsListed(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		r := f.router("vm0")
		r.RecordUnproven("a", "desk", restarted)
		r.RecordUnproven("other", "desk", Run{Endpoint: "e0", Started: 3})
		r.Update(started(restarted, "v2"))
		must.Eq(t, found{"v2", SourceStream}, find(r, "a"))
		must.Eq(t, found{"", SourceUnknown}, find(r, "other"))
		time.Sleep(time.Second)
		f.stop("vm0")
		must.Eq(t, found{"v2", SourceStream}, find(f.router("vm1"), "a"))
	})
}

// Guards against a process that loses its version because its entry was replaced, as by one of an older copy of the store.
func TestReplacedEntryStillNamesItsProcess(t *testing.T) {
	runFleet(t, func(f *fleet) {
		r := f.router("vm0")
		r.Update(started(restarted, "v2"))
		time.Sleep(2 * MaxStreamAge)
		r.Update(started(Run{Endpoint: "e0", Started: 1}, "v1"))
		software, ok := r.SoftwareOf(restarted)
		must.True(t, ok)
		must.EqOp(t, "v2", software)
		r.RecordUnproven("a", "desk", restarted)
		must.Eq(t, found{"v2", SourceStream}, find(r, "a"))
		time.Sleep(MaxStreamAge + time.Second)
		r.Update(started(Run{Endpoint: "e0", Started: 1}, "v1"))
		_, ok = r.SoftwareOf(restarted)
		must.False(t, ok)
	})
}

// Guards against a stream that can't go on after a power failure of all routers although its version was found before: the store still has
// it as unproven, or has it no more.
func TestFoundVersionIsStored(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		r := f.router("vm0")
		r.RecordUnproven("a", "desk", restarted)
		r.RecordUnproven("other", "desk", Run{Endpoint: "e0", Started: 3})
		time.Sleep(2 * storeInterval)
		r.Update(started(restarted, "v2"))
		time.Sleep(2 * storeInterval)
		for i := range 3 {
			f.start(fmt.Sprintf("vm%d", i))
		}
		f.setSoftware("v1", "v2")
		software, _ := f.router("vm2").Find(f.ctx, "a", "desk") // By itself, or by vm0, which reads its own object.
		must.EqOp(t, "v2", software)
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm2"), "other"))
	})
}

// Guards against a router that wasn't told of the stream, asks those that were, and takes their word for no more than that they don't know
// its version: it would go on at the only version that all of them have seen.
func TestKeepersTellThatAStreamIsUnproven(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		f.router("vm0").RecordUnproven("a", "desk", restarted)
		time.Sleep(2 * announceDelay) // The store doesn't have it yet.
		asking := f.startAt("vm2", true)
		asking.Update(endpoints("v1"))
		f.stop("vm0")
		must.Eq(t, found{"", SourceUnknown}, find(asking, "a"))
		must.Eq(t, found{"v1", SourceOnly}, find(asking, "b"))
	})
}

// Guards against a stream that can't be taken up at another router because an attempt that gave nothing was sent to a process of unknown
// version before the stream began.
func TestStreamThatBeginsElsewhereIsNotUnproven(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.setSoftware("v1")
		time.Sleep(MaxStreamAge + maxClockSkew)
		r := f.router("vm0")
		r.RecordUnproven("a", "desk", restarted)
		time.Sleep(time.Second)
		must.Eq(t, found{"", SourceUnknown}, find(f.router("vm1"), "a"))
		r.Record("a", "desk", "v1")
		time.Sleep(time.Second)
		must.Eq(t, found{"v1", SourceStream}, find(r, "a"))
		must.Eq(t, found{"v1", SourceStream}, find(f.router("vm1"), "a"))
	})
}
