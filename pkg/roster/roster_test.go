package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

func record(zone, address string, state State) Record {
	return Record{Zone: zone, Address: address, Peer: "peer-" + address, State: state}
}

// testRoster returns the roster of router r0 with n others in the same zone.
func testRoster(n int) *Roster {
	r := New(nil, "r0", record("a", "r0", Ready), &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	found := map[string]member{}
	for i := range n {
		name := fmt.Sprintf("r%d", i+1)
		found[name] = member{record: record("a", name, Ready), revision: uint64(i + 1)}
	}
	r.view.listed(time.Now(), found)
	return r
}

// Guards against taking all routers for dead after an outage of the store, in which nobody renews, and against keeping a
// dead one for ever.
func TestDeathNeedsAReadableStore(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view{members: map[string]member{}}
	dead := member{record: record("a", "dead", Ready), revision: 1}
	v.listed(now, map[string]member{"dead": dead})
	now = now.Add(time.Hour)
	v.listed(now, map[string]member{"dead": dead})
	must.True(t, v.alive(v.members["dead"]), must.Sprint("an hour without the store proves nothing"))
	for range 10 {
		now = now.Add(Interval)
		v.listed(now, map[string]member{"dead": dead})
	}
	must.False(t, v.alive(v.members["dead"]))
	must.False(t, v.old(v.members["dead"]))
	for range 40 {
		now = now.Add(Interval)
		v.listed(now, map[string]member{"dead": dead})
	}
	must.True(t, v.old(v.members["dead"]))
	dead.revision++
	v.listed(now.Add(Interval), map[string]member{"dead": dead})
	must.True(t, v.alive(v.members["dead"]))
}

// Guards against an old list that brings back the former state of a router.
func TestOldListIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view{members: map[string]member{}}
	v.listed(now, map[string]member{"x": {record: record("a", "x", Leaving), revision: 7}})
	v.listed(now.Add(time.Second), map[string]member{"x": {record: record("a", "x", Ready), revision: 5}})
	must.EqOp(t, Leaving, v.members["x"].record.State)
}

// Guards against address answers with routers that leave, and against an empty answer while the fleet starts.
func TestAddresses(t *testing.T) {
	r := testRoster(0)
	r.view.listed(time.Now(), map[string]member{
		"near": {record: record("a", "near", Ready)}, "far": {record: record("b", "far", Ready)},
		"leaving": {record: record("a", "leaving", Leaving)}, "starting": {record: record("a", "starting", Starting)},
	})
	got := r.Addresses("b", 64)
	must.EqOp(t, "far", got[0])
	slices.Sort(got)
	must.Eq(t, []string{"far", "near", "r0"}, got)
	must.Len(t, 2, r.Addresses("a", 2))
	r.self.State = Leaving
	must.Eq(t, []string{"far"}, r.Addresses("b", 1))
	r.view.listed(time.Now(), map[string]member{"starting": {record: record("a", "starting", Starting)}})
	must.Eq(t, []string{"starting"}, r.Addresses("a", 64))
}

// Guards against routers that disagree about who draws budgets, and against a fleet in which all watch the store.
func TestPreferenceListAndLeaders(t *testing.T) {
	must.Len(t, 8, testRoster(7).PreferenceList("velocar", 8))
	must.Len(t, 0, testRoster(7).Leaders(16, 2))
	large := testRoster(40)
	ranked := large.PreferenceList("velocar", 4)
	must.Len(t, 4, ranked)
	must.Eq(t, ranked, testRoster(40).PreferenceList("velocar", 4))
	leading := 0
	for i := range 41 {
		r := testRoster(40)
		r.name = fmt.Sprintf("r%d", i)
		delete(r.view.members, r.name)
		r.view.members["r0"] = member{record: record("a", "r0", Ready), changed: r.view.origin}
		if i == 0 {
			delete(r.view.members, "r0")
		}
		if leaders := r.Leaders(16, 2); leaders == nil {
			leading++
		} else {
			must.Len(t, 2, leaders)
		}
	}
	must.EqOp(t, 2, leading)
}
