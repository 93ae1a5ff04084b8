package instance

import (
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// Scope is the location of a witness relative to its instance.
type Scope string

// Scopes.
const (
	SameZone    Scope = "same-zone"
	OtherZone   Scope = "other-zone"
	OtherRegion Scope = "other-region"
	Anywhere    Scope = "anywhere"
)

// DefaultScopes are one witness in the same availability zone and one in another zone of the region.
var DefaultScopes = []Scope{SameZone, OtherZone}

func (s Scope) matches(self, m member.Member) bool {
	switch s {
	case SameZone:
		return m.Region == self.Region && m.Zone == self.Zone
	case OtherZone:
		return m.Region == self.Region && m.Zone != self.Zone
	case OtherRegion:
		return m.Region != self.Region
	default:
		return true
	}
}

// Choose returns the witnesses of an instance: the kept ones, and for each scope without one the alive router that
// ranks first for the instance by rendezvous hash. If no router matches a scope, any other alive router fills its slot
// until one does. At most one kept witness that matches no free scope is replaced by a router that does, so that an
// instance with two witnesses can always rely on one of them while the other is replaced; a single witness is kept.
// Witnesses in different zones are preferred, so that fewer fail together. The result is empty if there is no other
// alive router.
func Choose(view member.View, instance string, scopes []Scope, kept []journal.Ref) []journal.Ref {
	self := view.Self()
	alive := map[string]member.Member{}
	var ids []string
	for _, m := range view.Members() {
		if m.State == member.Alive && m.Instance != self.Instance {
			alive[m.Instance] = m
			ids = append(ids, m.Instance)
		}
	}
	ranked := rendezvous.Rank(instance, ids)
	slots := make([]journal.Ref, len(scopes))
	usedRouters := map[string]bool{}
	misplaced := assignSlots(slots, kept, func(i int, r journal.Ref) bool {
		return scopes[i].matches(self, member.Member{Region: r.Region, Zone: r.Zone})
	})
	for _, ref := range kept {
		usedRouters[ref.Router] = true
	}
	vacantCount := max(0, len(scopes)-len(kept))
	limit := vacantCount
	if len(kept) > 1 && len(misplaced) > 0 {
		limit++
	}
	filled := fillSlots(slots, ranked, alive, usedRouters, limit, func(i int, m member.Member) bool {
		return scopes[i].matches(self, m) && !slices.ContainsFunc(slots, func(r journal.Ref) bool {
			return r.Router != "" && r.Region == m.Region && r.Zone == m.Zone
		})
	})
	filled += fillSlots(slots, ranked, alive, usedRouters, limit-filled, func(i int, m member.Member) bool { return scopes[i].matches(self, m) })
	if filled > vacantCount {
		misplaced = misplaced[:len(misplaced)-1]
	}
	assignSlots(slots, misplaced, func(int, journal.Ref) bool { return true })
	fillSlots(slots, ranked, alive, usedRouters, len(slots), func(int, member.Member) bool { return true })
	return slices.DeleteFunc(slots, func(r journal.Ref) bool { return r.Router == "" })
}

// assignSlots puts each witness into the first free slot that it fits, and returns those that fit none.
func assignSlots(slots, refs []journal.Ref, fits func(int, journal.Ref) bool) (unplaced []journal.Ref) {
next:
	for _, ref := range refs {
		for i := range slots {
			if slots[i].Router == "" && fits(i, ref) {
				slots[i] = ref
				continue next
			}
		}
		unplaced = append(unplaced, ref)
	}
	return unplaced
}

// fillSlots puts the highest-ranked routers that fit into at most limit free slots, and returns the number of slots
// filled.
func fillSlots(slots []journal.Ref, ranked []string, alive map[string]member.Member, usedRouters map[string]bool, limit int, fits func(int, member.Member) bool) int {
	filled := 0
	for i := range slots {
		if slots[i].Router != "" || filled >= limit {
			continue
		}
		for _, id := range ranked {
			if m := alive[id]; !usedRouters[id] && fits(i, m) {
				slots[i] = journal.Ref{Router: id, Address: m.PeerAddress, Region: m.Region, Zone: m.Zone}
				usedRouters[id] = true
				filled++
				break
			}
		}
	}
	return filled
}
