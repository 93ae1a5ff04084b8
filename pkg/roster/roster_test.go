package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func newRecord(zone, address string, state State) Record {
	return Record{Zone: zone, Address: address, Peer: "peer-" + address, State: state, name: address}
}

// newTestRoster returns the roster of router r0 with n others in the same zone.
func newTestRoster(n int) *Roster {
	r := New(nil, "r0", newRecord("a", "r0", Ready), &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	found := map[string]member{}
	for i := range n {
		name := fmt.Sprintf("r%d", i+1)
		found[name] = member{record: newRecord("a", name, Ready), revision: uint64(i + 1)}
	}
	r.view.applyList(time.Now(), r.self, found)
	return r
}

// Guards against declaring all routers dead after an outage of the store, during which none of them can renew its record,
// and against keeping the record of a dead router for ever.
func TestMembersExpireOnlyWhileStoreIsReadable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view{members: map[string]member{}}
	dead := member{record: newRecord("a", "dead", Ready), revision: 1}
	v.applyList(now, Record{}, map[string]member{"dead": dead})
	now = now.Add(time.Hour)
	v.applyList(now, Record{}, map[string]member{"dead": dead})
	must.True(t, v.isAlive(v.members["dead"]), must.Sprint("dead after an hour in which the store could not be read"))
	for range 10 {
		now = now.Add(ListInterval)
		v.applyList(now, Record{}, map[string]member{"dead": dead})
	}
	must.False(t, v.isAlive(v.members["dead"]))
	must.False(t, v.isExpired(v.members["dead"]))
	for range 40 {
		now = now.Add(ListInterval)
		v.applyList(now, Record{}, map[string]member{"dead": dead})
	}
	must.True(t, v.isExpired(v.members["dead"]))
	dead.revision++
	v.applyList(now.Add(ListInterval), Record{}, map[string]member{"dead": dead})
	must.True(t, v.isAlive(v.members["dead"]))
}

// Guards against a stale list that restores a router's earlier state.
func TestStaleListIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view{members: map[string]member{}}
	v.applyList(now, Record{}, map[string]member{"x": {record: newRecord("a", "x", Leaving), revision: 7}})
	v.applyList(now.Add(time.Second), Record{}, map[string]member{"x": {record: newRecord("a", "x", Ready), revision: 5}})
	must.EqOp(t, Leaving, v.members["x"].record.State)
}

// Guards against returning addresses of leaving routers, and against returning none while the whole fleet is starting.
func TestAddresses(t *testing.T) {
	r := newTestRoster(0)
	r.view.applyList(time.Now(), r.self, map[string]member{
		"near": {record: newRecord("a", "near", Ready)}, "far": {record: newRecord("b", "far", Ready)},
		"leaving": {record: newRecord("a", "leaving", Leaving)}, "starting": {record: newRecord("a", "starting", Starting)},
	})
	got := r.Addresses("b", 64)
	must.EqOp(t, "far", got[0])
	slices.Sort(got)
	must.Eq(t, []string{"far", "near", "r0"}, got)
	must.Len(t, 2, r.Addresses("a", 2))
	r.self.State = Leaving
	must.Eq(t, []string{"far"}, r.Addresses("b", 1))
	r.view.applyList(time.Now(), r.self, map[string]member{"starting": {record: newRecord("a", "starting", Starting)}})
	must.Eq(t, []string{"starting"}, r.Addresses("a", 64))
}

// Guards against callers that are sent to other zones than those allowed while a router is ready there, and against no answer if none is.
func TestAddressesInAllowedZones(t *testing.T) {
	r := newTestRoster(0)
	members := map[string]member{"near": {record: newRecord("b", "near", Ready)}, "far": {record: newRecord("c", "far", Ready)}}
	r.view.applyList(time.Now(), r.self, members)
	inC := func(zone string) bool { return zone == "c" }
	must.Eq(t, []string{"far"}, r.AddressesIn(inC, "b", 64))
	members["far"] = member{record: newRecord("c", "far", Starting), revision: 1}
	r.view.applyList(time.Now(), r.self, members)
	must.EqOp(t, "near", r.AddressesIn(inC, "b", 64)[0])
}

// Guards against callers that are sent to a VM which has lost its links to the endpoints, and against no answer if all have.
func TestAddressesLeaveOutRoutersWithoutLinks(t *testing.T) {
	r := newTestRoster(3)
	cut := r.view.members["r1"]
	cut.record.NoLinks = true
	r.view.members["r1"] = cut
	r.SetLinksLost(true)
	must.SliceContainsAll(t, []string{"r2", "r3"}, r.Addresses("a", 64))
	for name, m := range r.view.members {
		m.record.NoLinks = true
		r.view.members[name] = m
	}
	must.Len(t, 4, r.Addresses("a", 64))
}

// Guards against routers that compute different preference lists for an organisation, and against a large fleet in which
// more than two routers of a zone watch the store.
func TestPreferenceListAndLeaders(t *testing.T) {
	must.Len(t, 8, newTestRoster(7).PreferenceList("velocar", 8))
	must.Len(t, 0, newTestRoster(7).Leaders(16, 2))
	large := newTestRoster(40)
	ranked := large.PreferenceList("velocar", 4)
	must.Len(t, 4, ranked)
	must.Eq(t, ranked, newTestRoster(40).PreferenceList("velocar", 4))
	leaderCount := 0
	for i := range 41 {
		r := newTestRoster(40)
		r.name = fmt.Sprintf("r%d", i)
		r.self.name = r.name
		delete(r.view.members, r.name)
		r.view.members["r0"] = member{record: newRecord("a", "r0", Ready), changedAt: r.view.firstListAt}
		if i == 0 {
			delete(r.view.members, "r0")
		}
		if leaders := r.Leaders(16, 2); leaders == nil {
			leaderCount++
		} else {
			must.Len(t, 2, leaders)
		}
	}
	must.EqOp(t, 2, leaderCount)
}

// fleetOf returns a roster as seen by a small router, with large and small VMs in two availability zones.
func fleetOf(large, small int) *Roster {
	r := New(nil, "self", Record{Zone: "a", Address: "self", Peer: "peer-self", State: Ready, Capacity: 31}, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	found := map[string]member{}
	for i := range large + small {
		record := newRecord([]string{"a", "b"}[i%2], fmt.Sprintf("large%d", i), Ready)
		record.Capacity = 533
		if i >= large {
			record.Address, record.Capacity = fmt.Sprintf("small%d", i), 31
		}
		record.name = record.Address
		found[record.name] = member{record: record, revision: 1}
	}
	r.view.applyList(time.Now(), r.self, found)
	return r
}

// Guards against sending a caller with much traffic to a VM whose link that traffic fills: one caller's 200 requests a
// second at a VM of 10 Mbit/s once held requests past their timeout.
func TestCallersUseLargeRouters(t *testing.T) {
	r := fleetOf(6, 82)
	addresses := r.Addresses("a", 64)
	must.Len(t, 6, addresses)
	for _, address := range addresses {
		must.StrHasPrefix(t, "large", address)
	}
	for i := range 20 {
		for _, name := range r.PreferenceList(fmt.Sprintf("org%d", i), 4) {
			must.StrHasPrefix(t, "large", name)
		}
	}
	for _, peer := range r.Leaders(16, 2) {
		must.StrHasPrefix(t, "peer-large", peer)
	}
}

// Guards against losing the service, or most of it, when most of the large VMs are gone.
func TestSmallRoutersReplaceLargeOnes(t *testing.T) {
	must.Len(t, 64, fleetOf(3, 82).Addresses("a", 64))
	must.Len(t, 5, fleetOf(0, 4).Addresses("a", 64))
	must.Len(t, 4, fleetOf(0, 4).PreferenceList("org", 4))
	must.Len(t, 3, fleetOf(0, 40).Leaders(16, 2), must.Sprint("two of its own zone and one of the other"))
	unknown := newTestRoster(40)
	must.Len(t, 41, unknown.Addresses("a", 64), must.Sprint("routers without a known capacity"))
}

// Guards against noticing a dead router late because the fleet is large: callers use the large VMs, so these renew their
// records often.
func TestLargeRoutersRenewOften(t *testing.T) {
	v := &fleetOf(15, 280).view
	must.EqOp(t, ListInterval, v.renewalInterval(Record{Capacity: 533}))
	must.Greater(t, 10*ListInterval, v.renewalInterval(Record{Capacity: 31}))
	must.EqOp(t, ListInterval, newTestRoster(7).view.renewalInterval(Record{}))
}

// Guards against deleting the records of living routers in a fleet so large that they are renewed less often than dead ones
// are deleted.
func TestRecordsOutliveTheirRenewals(t *testing.T) {
	for _, size := range []int{10, 300, 1000} {
		r := fleetOf(6, size)
		v := &r.view
		interval := v.renewalInterval(Record{Capacity: 31})
		for range int(2*interval/ListInterval) + 1 {
			v.advance(v.advancedAt.Add(ListInterval))
		}
		for name, m := range v.members {
			if m.record.Capacity > 31 {
				continue // A large router renews in 2 s.
			}
			must.False(t, v.isExpired(m), must.Sprintf("%s of %d, renewed every %s", name, size, interval))
		}
	}
}

// Guards against taking routers for dead after the store has come back from an older copy, which lacks the records of routers that
// started since and counts revisions again, and against taking the copy's records for renewals.
func TestRestoredStoreKeepsMembers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(era, number, renewal uint64, name string, state State) member {
		r := newRecord("a", name, state)
		r.Instance, r.Renewal = name+"-1", renewal
		return member{record: r, revision: platform.NewRevision(era, number)}
	}
	v := view{members: map[string]member{}}
	must.False(t, v.applyList(now, Record{}, map[string]member{
		"living": at(1, 100, 9, "living", Ready), "dead": at(1, 101, 9, "dead", Ready), "leaving": at(1, 102, 9, "leaving", Leaving), "new": at(1, 103, 1, "new", Ready),
	}))
	limit := maxListAge + time.Duration(missedRenewals*float64(ListInterval))
	restored := map[string]member{"living": at(2, 40, 6, "living", Ready), "dead": at(2, 41, 9, "dead", Ready), "leaving": at(2, 42, 6, "leaving", Ready)}
	must.True(t, v.applyList(now.Add(time.Second), Record{}, restored))
	must.EqOp(t, Leaving, v.members["leaving"].record.State)
	must.True(t, v.isAlive(v.members["new"]))
	for since := 2 * time.Second; since < limit+2*time.Second; since += time.Second {
		restored["living"] = at(2, 50+uint64(since/time.Second), 10+uint64(since/time.Second), "living", Ready)
		must.False(t, v.applyList(now.Add(since), Record{}, restored))
		must.True(t, v.isAlive(v.members["living"]))
	}
	must.False(t, v.isAlive(v.members["dead"]), must.Sprint("the record of the older copy counts as a renewal"))
	must.EqOp(t, platform.NewRevision(2, 41), v.members["dead"].revision)
}
