package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// primaryShare is the share of the largest capacity in the fleet from which a router is a primary router. A fleet of
	// equal VMs has primary routers only.
	primaryShare = 0.5
	// minPrimaries is the number of primary routers below which the other routers share their work. Fewer would make the
	// loss of one too large a part of the fleet.
	minPrimaries = 4
)

// maxCapacity returns the largest capacity of the records.
func maxCapacity(records []Record) float64 {
	largest := 0.0
	for _, r := range records {
		largest = max(largest, r.Capacity)
	}
	return largest
}

// isPrimary reports whether a router belongs to the large ones of a fleet with the given largest capacity.
func (r Record) isPrimary(largest float64) bool { return r.Capacity >= primaryShare*largest }

// selectPrimaries returns the primary routers among the records, or all records if they have fewer than minPrimaries.
//
// It answers a fleet in which most VMs have a small share of a processor and a slow link: a caller with much traffic
// keeps one address, and its requests alone fill such a link. A few large VMs carry all requests with ease.
func selectPrimaries(records []Record) []Record {
	largest := maxCapacity(records)
	var primaries []Record
	for _, r := range records {
		if r.isPrimary(largest) {
			primaries = append(primaries, r)
		}
	}
	if len(primaries) < minPrimaries {
		return records
	}
	return primaries
}

// selectAddresses returns the caller addresses of at most limit routers in the state, primary routers if there are
// enough of them, those in the given zone first.
func selectAddresses(records []Record, state State, zone string, limit int) []string {
	var candidates []Record
	for _, r := range records {
		if r.State == state && r.Address != "" {
			candidates = append(candidates, r)
		}
	}
	selected := slices.Clone(selectPrimaries(candidates))
	rand.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	slices.SortStableFunc(selected, func(a, b Record) int { return cmp.Compare(zoneDistance(a, zone), zoneDistance(b, zone)) })
	addresses := make([]string, 0, min(limit, len(selected)))
	for _, r := range selected[:min(limit, len(selected))] {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

func zoneDistance(r Record, zone string) int {
	if r.Zone == zone {
		return 0
	}
	return 1
}
