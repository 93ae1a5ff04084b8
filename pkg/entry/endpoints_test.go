package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// decodeTestEndpoint uses the object's value as the state of the endpoint, and rejects the value "broken".
func decodeTestEndpoint(o platform.Object) (platform.VM, error) {
	if string(o.Value) == "broken" {
		return platform.VM{}, errors.New("broken")
	}
	return platform.VM{Name: o.Key, Service: "desk", State: platform.VMState(o.Value)}, nil
}

func endpointObjects(state string, keys ...string) []platform.Object {
	var list []platform.Object
	for _, key := range keys {
		list = append(list, platform.Object{Key: key, Value: []byte(state)})
	}
	return list
}

// publishedNames holds the names of the endpoints that were published last.
type publishedNames struct {
	mu   sync.Mutex
	list []string
}

func (p *publishedNames) set(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, vm := range vms {
		p.list = append(p.list, vm.Name)
	}
	slices.Sort(p.list)
}

func (p *publishedNames) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// Guards against removing live endpoints whose entries lapsed during an outage of the store, and against using
// endpoints that haven't registered again within reregistrationTime.
func TestEntriesLostInOutageHaveGraceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &publishedNames{}
		e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
		e.ReplaceAll(endpointObjects("live", "a", "b", "c"), 0)
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(10 * time.Second)
		e.ReplaceAll(endpointObjects("live", "a"), 5*time.Second)
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(time.Second)
		e.ApplyChanges(endpointObjects("live", "b"))
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(reregistrationTime)
		synctest.Wait()
		must.Eq(t, []string{"a", "b"}, p.names())
	})
}

// callStore makes a call to the store that takes a time and has a result.
func callStore(t *testing.T, m *contact.Monitor, d time.Duration, result error) {
	_ = m.Call(t.Context(), false, func(context.Context) error {
		time.Sleep(d)
		return result
	})
}

// Guards against sending requests to an endpoint whose entry was removed seconds after the store had come back: a router whose
// watch of the endpoints was lost lists them late, and must not give the entry the grace time of an outage.
func TestGraceTimeBeginsWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, watchLost = 4400 * time.Millisecond, 4100 * time.Millisecond
		monitor := contact.NewMonitor(contact.Options{Log: discardLog()})
		p := &publishedNames{}
		e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
		e.lastSilence = monitor.LastSilence
		e.ReplaceAll(endpointObjects("live", "a", "b", "c"), 0)
		callStore(t, monitor, 0, nil)
		time.Sleep(outage - time.Second)
		callStore(t, monitor, time.Second, platform.ErrUnavailable)
		callStore(t, monitor, 0, nil)
		time.Sleep(reregistrationTime / 2)
		e.ReplaceAll(endpointObjects("live", "a", "b"), outage+reregistrationTime/2)
		must.Eq(t, []string{"a", "b", "c"}, p.names(), must.Sprint("the entry may still come back"))
		time.Sleep(watchLost - reregistrationTime/2)
		e.ReplaceAll(endpointObjects("live", "b"), outage+watchLost)
		must.Eq(t, []string{"b"}, p.names())
	})
}

// Guards against dropping live endpoints whose entries lapsed during an outage and whose removals come as changes, because the watch
// went on, and against giving a removal after a short silence that time.
func TestEntriesThatLapsedHaveGraceTimeInAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := contact.NewMonitor(contact.Options{Log: discardLog()})
		p := &publishedNames{}
		e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
		e.lastSilence = monitor.LastSilence
		e.ReplaceAll(endpointObjects("live", "a", "b", "c"), 0)
		silence := func(length time.Duration) {
			callStore(t, monitor, 0, nil)
			time.Sleep(length)
			callStore(t, monitor, 0, platform.ErrUnavailable)
			callStore(t, monitor, 0, nil)
		}
		silence(graceOutageThreshold / 2)
		e.ApplyChanges([]platform.Object{{Key: "c", Deleted: true}})
		must.Eq(t, []string{"a", "b"}, p.names())
		silence(2 * graceOutageThreshold)
		e.ApplyChanges([]platform.Object{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}})
		must.Eq(t, []string{"a", "b"}, p.names())
		time.Sleep(reregistrationTime / 2)
		e.ApplyChanges(endpointObjects("live", "a"))
		time.Sleep(reregistrationTime)
		synctest.Wait()
		must.Eq(t, []string{"a"}, p.names())
		e.ApplyChanges([]platform.Object{{Key: "a", Deleted: true}})
		must.SliceEmpty(t, p.names())
	})
}

// Guards against a router that says it is ready, and then rejects requests because the placement has no endpoints yet.
func TestNotReadyBeforeEndpointsArePublished(t *testing.T) {
	var e *endpointSet
	loadedWhilePublishing := false
	e = newEndpointSet(decodeTestEndpoint, discardLog(), func([]platform.VM) { loadedWhilePublishing = e.isLoaded() })
	e.ReplaceAll(endpointObjects("live", "a"), 0)
	must.False(t, loadedWhilePublishing)
	must.True(t, e.isLoaded())
}

// Guards against sending requests to an endpoint whose entry was removed while the store was reachable.
func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &publishedNames{}
		e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
		e.ReplaceAll(endpointObjects("live", "a", "b", "c"), 0)
		e.ApplyChanges([]platform.Object{{Key: "a", Deleted: true}})
		must.Eq(t, []string{"b", "c"}, p.names())
		e.ReplaceAll(endpointObjects("live", "c"), 100*time.Millisecond)
		must.Eq(t, []string{"c"}, p.names())
	})
}

// Guards against an invalid entry that makes others disappear, or whose previous endpoint stays in use.
func TestInvalidEntryRemovesItsEndpointOnly(t *testing.T) {
	p := &publishedNames{}
	e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
	e.ReplaceAll(append(endpointObjects("live", "a", "b"), endpointObjects("broken", "x")...), 0)
	must.Eq(t, []string{"a", "b"}, p.names())
	e.ApplyChanges(endpointObjects("broken", "a"))
	must.Eq(t, []string{"b"}, p.names())
}

// Guards against returning to an older configuration, which arrives when a read overtakes a watch.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := &configuration{key: "config/main", log: discardLog(), decode: func(value []byte, revision uint64) (*catalog.Snapshot, error) {
		if string(value) == "broken" {
			return nil, catalog.ErrInvalid
		}
		return catalog.New(catalog.Config{}, revision)
	}}
	object := func(revision uint64, value string) platform.Object {
		return platform.Object{Key: "config/main", Revision: revision, Value: []byte(value)}
	}
	c.apply(object(5, ""))
	c.apply(object(4, ""))
	must.EqOp(t, 5, c.Current().Revision)
	c.apply(object(6, "broken"))
	must.EqOp(t, 5, c.Current().Revision)
	c.apply(platform.Object{Key: "config/main", Revision: 7, Deleted: true})
	must.EqOp(t, 5, c.Current().Revision)
	c.apply(platform.Object{Key: "config/other", Revision: 8})
	must.EqOp(t, 5, c.Current().Revision)
	c.apply(object(9, ""))
	must.EqOp(t, 9, c.Current().Revision)
}

// Guards against sending requests to an endpoint that has left: a router that gets the endpoints' entries from another
// router and has to find a new one is without contact for a short time, after which there is no grace time.
func TestShortOutageGivesNoGraceTime(t *testing.T) {
	p := &publishedNames{}
	e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
	e.ReplaceAll(endpointObjects("live", "a", "b"), 0)
	e.ReplaceAll(endpointObjects("live", "b"), 2*time.Second)
	must.Eq(t, []string{"b"}, p.names())
}

// inEra returns the objects with revisions of an era of the store.
func inEra(era uint64, objects []platform.Object) []platform.Object {
	for i := range objects {
		objects[i].Revision = platform.NewRevision(era, uint64(1+i))
	}
	return objects
}

// publishedStates holds the states of the endpoints that were published last.
type publishedStates struct {
	mu     sync.Mutex
	states map[string]platform.VMState
}

func (p *publishedStates) set(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = map[string]platform.VMState{}
	for _, vm := range vms {
		p.states[vm.Name] = vm.State
	}
}

func (p *publishedStates) get() map[string]platform.VMState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states
}

// Guards against sending requests to an endpoint that leaves or is gone because an older copy of the store has an earlier entry of
// it, and against dropping one that registered after the copy was taken.
func TestRestoredStoreBringsNoEndpointBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const live, leaving = platform.VMLive, platform.VMLeaving
		p := &publishedStates{}
		e := newEndpointSet(decodeTestEndpoint, discardLog(), p.set)
		e.ReplaceAll(inEra(1, endpointObjects("live", "a", "b", "c", "d")), 0)
		time.Sleep(10 * time.Second)
		e.ApplyChanges(inEra(1, endpointObjects("leaving", "b")))
		e.ApplyChanges([]platform.Object{{Key: "c", Revision: platform.NewRevision(1, 8), Deleted: true}, {Key: "d", Revision: platform.NewRevision(1, 9), Deleted: true}})
		e.ApplyChanges(inEra(1, endpointObjects("live", "new")))
		must.Eq(t, map[string]platform.VMState{"a": live, "b": leaving, "new": live}, p.get())

		e.ReplaceAll(inEra(2, endpointObjects("live", "a", "b", "c", "d")), time.Second)
		must.Eq(t, map[string]platform.VMState{"a": live, "b": leaving, "c": leaving, "d": leaving, "new": live}, p.get())
		time.Sleep(time.Second)
		e.ApplyChanges(inEra(2, endpointObjects("live", "new")))
		time.Sleep(2 * time.Second)
		e.ApplyChanges([]platform.Object{{Key: "c", Revision: platform.NewRevision(2, 8), Deleted: true}})
		must.Eq(t, map[string]platform.VMState{"a": live, "b": leaving, "d": leaving, "new": live}, p.get())
		time.Sleep(restoredHold)
		synctest.Wait()
		must.Eq(t, map[string]platform.VMState{"a": live, "b": leaving, "d": live, "new": live}, p.get())
	})
}

// Guards against an endpoint that counts as warm by an older copy of its entry, and against one that stays cold after its entry says that it
// isn't, or after a restart.
func TestColdnessByEntries(t *testing.T) {
	now := time.Now()
	cold := platform.VM{Started: 1, Sequence: 5, ColdRemaining: 3 * time.Second}
	cold.ColdUntil = coldUntil(now, cold, platform.VM{})
	must.EqOp(t, now.Add(3*time.Second), cold.ColdUntil)
	for name, c := range map[string]struct {
		vm   platform.VM
		want time.Time
	}{
		"later, 0":               {platform.VM{Started: 1, Sequence: 6}, time.Time{}},
		"earlier, 0":             {platform.VM{Started: 1, Sequence: 4}, cold.ColdUntil},
		"the same again":         {platform.VM{Started: 1, Sequence: 5, ColdRemaining: 3 * time.Second}, cold.ColdUntil},
		"later, less":            {platform.VM{Started: 1, Sequence: 6, ColdRemaining: time.Second}, cold.ColdUntil},
		"later, more":            {platform.VM{Started: 1, Sequence: 6, ColdRemaining: 5 * time.Second}, now.Add(6 * time.Second)},
		"another run, 0":         {platform.VM{Started: 2, Sequence: 1}, time.Time{}},
		"another run, also cold": {platform.VM{Started: 2, Sequence: 1, ColdRemaining: time.Second}, now.Add(2 * time.Second)},
	} {
		must.EqOp(t, c.want, coldUntil(now.Add(time.Second), c.vm, cold), must.Sprint(name))
	}
}
