package entry

import (
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
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func quietLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// decodeTest takes the value as the state of the endpoint.
func decodeTest(o platform.Object) (platform.VM, error) {
	if string(o.Value) == "broken" {
		return platform.VM{}, errors.New("broken")
	}
	return platform.VM{Name: o.Key, Service: "desk", State: platform.VMState(o.Value)}, nil
}

func entries(state string, keys ...string) []platform.Object {
	var list []platform.Object
	for _, key := range keys {
		list = append(list, platform.Object{Key: key, Value: []byte(state)})
	}
	return list
}

// published collects the names of the endpoints.
type published struct {
	mu   sync.Mutex
	list []string
}

func (p *published) set(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, vm := range vms {
		p.list = append(p.list, vm.Name)
	}
	slices.Sort(p.list)
}

func (p *published) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// Guards against dropping endpoints whose entries lapsed while the store was away, and against using them for longer than
// the time in which a living one is back.
func TestLapsedEntriesHaveTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &published{}
		e := newEndpoints(decodeTest, quietLog(), p.set)
		e.ReplaceAll(entries("live", "a", "b", "c"), 0)
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(10 * time.Second)
		e.ReplaceAll(entries("live", "a"), 5*time.Second)
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(time.Second)
		e.ApplyChanges(entries("live", "b"))
		must.Eq(t, []string{"a", "b", "c"}, p.names())
		time.Sleep(returnWithin)
		synctest.Wait()
		must.Eq(t, []string{"a", "b"}, p.names())
	})
}

// Guards against sending work to an endpoint whose entry was removed while the store was well.
func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &published{}
		e := newEndpoints(decodeTest, quietLog(), p.set)
		e.ReplaceAll(entries("live", "a", "b", "c"), 0)
		e.ApplyChanges([]platform.Object{{Key: "a", Deleted: true}})
		must.Eq(t, []string{"b", "c"}, p.names())
		e.ReplaceAll(entries("live", "c"), 100*time.Millisecond)
		must.Eq(t, []string{"c"}, p.names())
	})
}

// Guards against a broken entry that hides others or goes on naming the endpoint that it named before.
func TestBrokenEntryNamesNoEndpoint(t *testing.T) {
	p := &published{}
	e := newEndpoints(decodeTest, quietLog(), p.set)
	e.ReplaceAll(append(entries("live", "a", "b"), entries("broken", "x")...), 0)
	must.Eq(t, []string{"a", "b"}, p.names())
	e.ApplyChanges(entries("broken", "a"))
	must.Eq(t, []string{"b"}, p.names())
}

// Guards against going back to an older configuration, which a read that overtakes a watch would bring.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := &configuration{key: "config/main", log: quietLog(), decode: func(value []byte, revision uint64) (*catalog.Snapshot, error) {
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

// Guards against giving work to an endpoint for longer than it takes to leave, because a router that followed another
// one for the endpoints' entries had to find a new one.
func TestShortLossOfContactGivesNoGrace(t *testing.T) {
	p := &published{}
	e := newEndpoints(decodeTest, quietLog(), p.set)
	e.ReplaceAll(entries("live", "a", "b"), 0)
	e.ReplaceAll(entries("live", "b"), 2*time.Second)
	must.Eq(t, []string{"b"}, p.names())
}
