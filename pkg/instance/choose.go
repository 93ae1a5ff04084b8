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
// place. Witnesses in zones of their own are preferred, so that fewer fail together. The result is empty if there is
// no other router.
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
	for _, ref := range keep {
		if i := slot(scopes, chosen, self, ref); i >= 0 {
			chosen[i] = ref
			used[ref.Router] = true
		}
	}
	fill(chosen, ranked, alive, used, func(i int, m member.Member) bool {
		return scopes[i].matches(self, m) && !slices.ContainsFunc(chosen, func(r journal.Ref) bool {
			return r.Router != "" && r.Region == m.Region && r.Zone == m.Zone
		})
	})
	fill(chosen, ranked, alive, used, func(i int, m member.Member) bool { return scopes[i].matches(self, m) })
	fill(chosen, ranked, alive, used, func(int, member.Member) bool { return true })
	return slices.DeleteFunc(chosen, func(r journal.Ref) bool { return r.Router == "" })
}

// slot returns the first free place whose scope matches the witness.
func slot(scopes []Scope, chosen []journal.Ref, self member.Member, ref journal.Ref) int {
	free := -1
	for i := range chosen {
		if chosen[i].Router != "" {
			continue
		}
		if scopes[i].matches(self, member.Member{Region: ref.Region, Zone: ref.Zone}) {
			return i
		}
		if free < 0 {
			free = i
		}
	}
	return free
}

func fill(chosen []journal.Ref, ranked []string, alive map[string]member.Member, used map[string]bool, fits func(int, member.Member) bool) {
	for i := range chosen {
		if chosen[i].Router != "" {
			continue
		}
		for _, id := range ranked {
			if m := alive[id]; !used[id] && fits(i, m) {
				chosen[i] = journal.Ref{Router: id, Address: m.PeerAddress, Region: m.Region, Zone: m.Zone}
				used[id] = true
				break
			}
		}
	}
}
