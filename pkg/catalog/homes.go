package catalog

import (
	"slices"
	"strings"
)

// Homes are the regions in which requests may run. The zero value means any region.
type Homes struct {
	// Restricted is set if only the Regions are allowed, which may be none.
	Restricted bool
	Regions    []string
}

// HomesOf returns the homes of the requests of an organisation on a route: the regions that both allow. The organisation may be nil. A
// route or an organisation without allowed regions allows any.
func HomesOf(r Route, o *Organisation) Homes {
	homes := Homes{}.and(r.AllowedRegions)
	if o != nil {
		homes = homes.and(o.AllowedRegions)
	}
	return homes
}

// HostHomes returns the regions that all routes of the host allow. It returns any region for a host without routes.
func (s *Snapshot) HostHomes(host string) Homes {
	var homes Homes
	for _, r := range s.hosts[strings.ToLower(host)] {
		homes = homes.and(r.AllowedRegions)
	}
	return homes
}

// and returns the homes that are also among the regions, of which none means any.
func (h Homes) and(regions []string) Homes {
	switch {
	case len(regions) == 0:
		return h
	case !h.Restricted:
		return Homes{Restricted: true, Regions: regions}
	}
	common := Homes{Restricted: true}
	for _, region := range h.Regions {
		if slices.Contains(regions, region) {
			common.Regions = append(common.Regions, region)
		}
	}
	return common
}

// Allow reports whether the region is a home. An unknown region, "", is none.
func (h Homes) Allow(region string) bool {
	return !h.Restricted || region != "" && slices.Contains(h.Regions, region)
}
