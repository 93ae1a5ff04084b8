package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// minFleetLeaders is the number of leaders in the fleet that its availability zones share. Each leader reads the store all the time, though
// only the first one of a zone is followed while it lives; of six, one is left after a loss of three routers in five in all but 0.05 of cases.
const minFleetLeaders = 6

// leadersOfZone returns the number of leaders of each availability zone: at most perZone, fewer in a fleet of more than
// minFleetLeaders/perZone zones.
func leadersOfZone(zones, perZone int) int {
	return min(perZone, (minFleetLeaders+zones-1)/max(1, zones))
}

// Leaders returns the peer addresses of the routers to follow, in order: the leaders of this availability zone, of which there are at most
// perZone (see leadersOfZone), then one of each other zone. The leaders of a zone are its largest routers, ranked by rendezvous hashing.
// Leaders returns none if this router is a leader of its zone, or if the fleet has at most smallFleet routers.
func (r *Roster) Leaders(smallFleet, perZone int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.members)+1 <= smallFleet {
		return nil
	}
	records := r.aliveRecords(func(m Record) bool { return m.name == r.name || m.State == Ready })
	byZone := map[string][]Record{}
	for _, m := range records {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	perZone = leadersOfZone(len(byZone), perZone)
	leaders := zoneLeaders(r.self.Zone, byZone[r.self.Zone], perZone)
	if slices.ContainsFunc(leaders, func(m Record) bool { return m.name == r.name }) {
		return nil
	}
	delete(byZone, r.self.Zone)
	for _, zone := range rendezvous.Rank(r.name, slices.Collect(maps.Keys(byZone))) {
		leaders = append(leaders, zoneLeaders(zone, byZone[zone], 1)...)
	}
	addresses := make([]string, len(leaders))
	for i, m := range leaders {
		addresses[i] = m.Peer
	}
	return addresses
}

// Substitutes returns the peer addresses of the routers that a leader may follow while the store answers others and not it: all other
// leaders of the fleet, in no order. It returns none if the fleet has at most smallFleet routers.
func (r *Roster) Substitutes(smallFleet, perZone int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.members)+1 <= smallFleet {
		return nil
	}
	byZone := map[string][]Record{}
	for _, m := range r.aliveRecords(func(m Record) bool { return m.name == r.name || m.State == Ready }) {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	perZone = leadersOfZone(len(byZone), perZone)
	var addresses []string
	for zone, records := range byZone {
		for _, m := range zoneLeaders(zone, records, perZone) {
			if m.name != r.name {
				addresses = append(addresses, m.Peer)
			}
		}
	}
	return addresses
}

// AnyReady reports whether another router is ready.
func (r *Roster) AnyReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.aliveRecords(func(m Record) bool { return m.State == Ready && m.name != r.name })) > 0
}

// AwaitsLeader reports whether this router should follow a leader and there is none yet: the fleet has more than
// smallFleet routers, this one is not a primary router, and no router is ready.
func (r *Roster) AwaitsLeader(smallFleet int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.members)+1 <= smallFleet || r.self.isPrimary(r.view.largestCapacity) {
		return false
	}
	return len(r.aliveRecords(func(m Record) bool { return m.State == Ready })) == 0
}

// zoneLeaders returns the first n of a zone's records, primary routers before the others.
func zoneLeaders(zone string, records []Record, n int) []Record {
	byName := make(map[string]Record, len(records))
	for _, m := range records {
		byName[m.name] = m
	}
	largest := maxCapacity(records)
	ranked := make([]Record, 0, len(records))
	for _, name := range rendezvous.Rank("leaders/"+zone, names(records)) {
		ranked = append(ranked, byName[name])
	}
	slices.SortStableFunc(ranked, func(a, b Record) int { return cmp.Compare(rank(a.isPrimary(largest)), rank(b.isPrimary(largest))) })
	return ranked[:min(n, len(ranked))]
}

// rank orders primary routers before the others.
func rank(primary bool) int {
	if primary {
		return 0
	}
	return 1
}
