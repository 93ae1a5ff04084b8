package instance

import (
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// Scope tells where a witness is.
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
// comes first for the instance by rendezvous hash. If a scope has no router, any other alive router takes its
// place until there is one. At most one kept witness gives way to a router that fits better, so that an instance
// with two witnesses always relies on one of them while the other is replaced; a single one is kept. Witnesses in
// zones of their own are preferred, so that fewer fail together. The result is empty if there is no other router.
func Choose(view member.View, instance string, scopes []Scope, keep []journal.Ref) []journal.Ref {
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
	chosen := make([]journal.Ref, len(scopes))
	used := map[string]bool{}
	misplaced := place(chosen, keep, func(i int, r journal.Ref) bool {
		return scopes[i].matches(self, member.Member{Region: r.Region, Zone: r.Zone})
	})
	for _, ref := range keep {
		used[ref.Router] = true
	}
	vacant := max(0, len(scopes)-len(keep))
	limit := vacant
	if len(keep) > 1 && len(misplaced) > 0 {
		limit++
	}
	filled := fill(chosen, ranked, alive, used, limit, func(i int, m member.Member) bool {
		return scopes[i].matches(self, m) && !slices.ContainsFunc(chosen, func(r journal.Ref) bool {
			return r.Router != "" && r.Region == m.Region && r.Zone == m.Zone
		})
	})
	filled += fill(chosen, ranked, alive, used, limit-filled, func(i int, m member.Member) bool { return scopes[i].matches(self, m) })
	if filled > vacant {
		misplaced = misplaced[:len(misplaced)-1]
	}
	place(chosen, misplaced, func(int, journal.Ref) bool { return true })
	fill(chosen, ranked, alive, used, len(chosen), func(int, member.Member) bool { return true })
	return slices.DeleteFunc(chosen, func(r journal.Ref) bool { return r.Router == "" })
}

// place puts each witness into the first free place that it fits, and returns those that fit none.
func place(chosen, refs []journal.Ref, fits func(int, journal.Ref) bool) (left []journal.Ref) {
next:
	for _, ref := range refs {
		for i := range chosen {
			if chosen[i].Router == "" && fits(i, ref) {
				chosen[i] = ref
				continue next
			}
		}
		left = append(left, ref)
	}
	return left
}

// fill puts the first routers that fit into at most limit free places, and returns the number of places filled.
func fill(chosen []journal.Ref, ranked []string, alive map[string]member.Member, used map[string]bool, limit int, fits func(int, member.Member) bool) int {
	filled := 0
	for i := range chosen {
		if chosen[i].Router != "" || filled >= limit {
			continue
		}
		for _, id := range ranked {
			if m := alive[id]; !used[id] && fits(i, m) {
				chosen[i] = journal.Ref{Router: id, Address: m.PeerAddress, Region: m.Region, Zone: m.Zone}
				used[id] = true
				filled++
				break
			}
		}
	}
	return filled
}
