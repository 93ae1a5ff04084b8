package evacuation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

var start = time.Unix(1_700_000_000, 0)

func order(zone string, era, number uint64) Order {
	return Order{Zone: zone, Revision: platform.NewRevision(era, number)}
}

func ended(zone string, era, number uint64) Order {
	return Order{Zone: zone, Revision: platform.NewRevision(era, number), Ended: true}
}

func kinds(changes []Change) (kinds []ChangeKind) {
	for _, c := range changes {
		kinds = append(kinds, c.Kind)
	}
	return kinds
}

// Guards against a set that takes a zone for open before it has read the orders, and against one that keeps an order which ended while it
// could read nothing, or was ended and given again.
func TestListsAndChanges(t *testing.T) {
	s := New()
	must.False(t, s.IsLoaded())
	must.Eq(t, []ChangeKind{Ordered}, kinds(s.Replace(start, []Order{order("a", 0, 10)})))
	must.True(t, s.IsLoaded())
	must.True(t, s.IsEvacuated("a"))
	must.SliceEmpty(t, s.Replace(start, []Order{order("a", 0, 10)}))
	must.Eq(t, []ChangeKind{Ordered}, kinds(s.Apply(start, []Order{order("b", 0, 12)})))
	must.Eq(t, []string{"a", "b"}, s.Zones())
	must.Eq(t, []ChangeKind{TakenBack, Ordered}, kinds(s.Apply(start, []Order{ended("a", 0, 13), order("a", 0, 14), ended("c", 0, 15)})))
	must.Eq(t, []Change{{TakenBack, "b", platform.NewRevision(0, 12)}}, s.Replace(start, []Order{order("a", 0, 14)}))
	must.Eq(t, []string{"a"}, s.Zones())
	must.Eq(t, []ChangeKind{TakenBack}, kinds(s.Replace(start, nil)))
	must.SliceEmpty(t, s.Zones())
}

// Guards against a store that comes back from an older copy and loses an order, and against an order that is held for it for ever.
func TestOrderLostInARestoreIsHeld(t *testing.T) {
	s := New()
	s.Replace(start, []Order{order("a", 0, 10), order("b", 0, 11)})
	s.Reach(platform.NewRevision(1, 9))
	must.Eq(t, []ChangeKind{Held, Held}, kinds(s.Replace(start, nil)))
	must.SliceEmpty(t, s.Replace(start.Add(time.Second), nil), must.Sprint("a second list after the restore"))
	must.Eq(t, []string{"a", "b"}, s.Zones())
	next, ok := s.NextExpiry()
	must.True(t, ok)
	must.EqOp(t, start.Add(lostHold), next)
	must.SliceEmpty(t, s.Apply(start.Add(time.Second), []Order{order("b", 1, 10)}), must.Sprint("the operator repeats the order"))
	must.SliceEmpty(t, s.Expire(next.Add(-1)))
	must.Eq(t, []Change{{Expired, "a", platform.NewRevision(0, 10)}}, s.Expire(next))
	must.Eq(t, []string{"b"}, s.Zones())
	_, ok = s.NextExpiry()
	must.False(t, ok)

	s.Reach(platform.NewRevision(2, 9))
	s.Replace(start, nil)
	must.Eq(t, []ChangeKind{TakenBack}, kinds(s.Apply(start, []Order{order("b", 2, 10), ended("b", 2, 11)})))
	must.SliceEmpty(t, s.Zones())
}

// Guards against an order that has ended and is in force again because the store came back from an older copy, and against ignoring
// a later one for it.
func TestEndedOrderStaysEndedAfterARestore(t *testing.T) {
	s := New()
	s.Replace(start, []Order{order("a", 0, 10)})
	s.Apply(start, []Order{ended("a", 0, 15)})
	copied := []Order{order("a", 1, 10)}
	must.Eq(t, []ChangeKind{Ignored}, kinds(s.Replace(start, copied)))
	must.SliceEmpty(t, s.Replace(start.Add(2*endedRetention), copied), must.Sprint("a later list of the same copy"))
	must.Eq(t, []ChangeKind{Ignored}, kinds(s.Replace(start.Add(2*endedRetention), []Order{order("a", 2, 10)})), must.Sprint("restored again"))
	must.SliceEmpty(t, s.Zones())
	must.Eq(t, []ChangeKind{Ordered}, kinds(s.Apply(start, []Order{order("a", 2, 16)})))

	s = New()
	s.Replace(start, []Order{order("a", 0, 10)})
	s.Replace(start, nil)
	s.Reach(platform.NewRevision(1, 8))
	s.Replace(start, nil)
	must.Eq(t, []ChangeKind{Ordered}, kinds(s.Apply(start, []Order{order("a", 1, 10)})), must.Sprint("a new order with the number of the old one"))
}

// Guards against any sequence of orders, lists, changes, compactions and restores after which a router that follows the store believes other
// than what the operator was last told, or than the store has, if there was no restore.
func TestFollowsTheOperator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		var era, number uint64 = 0, 1
		// untold are the orders that were lost and ended before a router read of it.
		stored, confirmed, untold := map[string]uint64{}, map[string]bool{}, map[string]bool{}
		var copied map[string]uint64
		var copiedAt uint64
		var pending []Order
		s := New()
		list := func() (orders []Order) {
			for _, zone := range zones {
				if n, ok := stored[zone]; ok {
					orders = append(orders, order(zone, era, n))
				}
			}
			return orders
		}
		read := func(whole bool) {
			s.Reach(platform.NewRevision(era, number))
			if whole {
				s.Replace(start, list())
				for _, o := range pending {
					untold[o.Zone] = untold[o.Zone] || !confirmed[o.Zone] && s.zones[o.Zone].isHeld()
				}
			} else {
				s.Apply(start, pending)
			}
			pending = nil
		}
		read(true)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if _, ok := stored[zone]; !ok {
					number++
					stored[zone], confirmed[zone] = number, true
					delete(untold, zone)
					pending = append(pending, order(zone, era, number))
				}
			case 2:
				if _, ok := stored[zone]; ok {
					number++
					delete(stored, zone)
					pending = append(pending, ended(zone, era, number))
				} else if confirmed[zone] {
					untold[zone] = true
				}
				delete(confirmed, zone)
			case 3:
				read(rapid.Bool().Draw(t, "whole"))
				for _, zone := range zones {
					_, has := stored[zone]
					if era == 0 {
						must.EqOp(t, has, s.IsEvacuated(zone))
					}
					if confirmed[zone] {
						must.True(t, s.IsEvacuated(zone), must.Sprintf("the order for %s is lost", zone))
					}
				}
			case 4:
				read(true) // What a router hasn't read of a copy, it can't tell from new orders.
				copied, copiedAt = map[string]uint64{}, number
				for zone, n := range stored {
					copied[zone] = n
				}
			case 5:
				if copied == nil {
					continue
				}
				read(rapid.Bool().Draw(t, "whole")) // What a router hasn't read before a restore, it can't know.
				stored, number, era = map[string]uint64{}, copiedAt, era+1
				for zone, n := range copied {
					stored[zone] = n
				}
				read(true)
				for _, zone := range zones {
					must.EqOp(t, confirmed[zone] || untold[zone], s.IsEvacuated(zone), must.Sprintf("%s after a restore", zone))
				}
				copied = nil
			}
		}
		read(false)
		s.Expire(start.Add(lostHold))
		for zone, held := range untold {
			must.False(t, held && s.IsEvacuated(zone), must.Sprintf("the end of the order for %s is never noticed", zone))
		}
	})
}
