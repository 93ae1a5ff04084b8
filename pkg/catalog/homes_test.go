package catalog

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a request that runs in a region which its route or its organisation doesn't allow, and against restricting one that has
// no homes.
func TestHomesOf(t *testing.T) {
	for name, c := range map[string]struct {
		route, org []string
		want       Homes
	}{
		"none":           {nil, nil, Homes{}},
		"empty lists":    {[]string{}, []string{}, Homes{}},
		"route":          {[]string{"r1"}, nil, Homes{true, []string{"r1"}}},
		"organisation":   {nil, []string{"r2", "r1"}, Homes{true, []string{"r2", "r1"}}},
		"both":           {[]string{"r1", "r2", "r3"}, []string{"r3", "r2", "r4"}, Homes{true, []string{"r2", "r3"}}},
		"none in common": {[]string{"r1"}, []string{"r2"}, Homes{Restricted: true}},
	} {
		must.Eq(t, c.want, HomesOf(Route{AllowedRegions: c.route}, &Organisation{AllowedRegions: c.org}), must.Sprint(name))
	}
	must.Eq(t, Homes{true, []string{"r1"}}, HomesOf(Route{AllowedRegions: []string{"r1"}}, nil))
	must.True(t, Homes{}.Allow(""))
	must.False(t, Homes{Restricted: true, Regions: []string{""}}.Allow(""), must.Sprint("an unknown region is no home"))
}

// Guards against homes that depend on the order of the lists or allow what one of them doesn't.
func TestHomesAreWhatAllAllow(t *testing.T) {
	regions := []string{"r1", "r2", "r3"}
	lists := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID)
	rapid.Check(t, func(t *rapid.T) {
		route, org := lists.Draw(t, "route"), lists.Draw(t, "organisation")
		homes := HomesOf(Route{AllowedRegions: route}, &Organisation{AllowedRegions: org})
		for _, region := range regions {
			want := (len(route) == 0 || slices.Contains(route, region)) && (len(org) == 0 || slices.Contains(org, region))
			must.EqOp(t, want, homes.Allow(region))
		}
	})
}

// Guards against a directory that sends the callers of a host to regions in which one of its routes may not run.
func TestHostHomes(t *testing.T) {
	route := func(name string, regions ...string) Route {
		return Route{Name: name, Host: "Desk.example", Prefix: "/" + name + "/", Timeout: time.Second, Backends: []Backend{{Service: "s", Weight: 1}}, AllowedRegions: regions}
	}
	s, err := New(Config{Routes: []Route{route("a", "r1", "r2"), route("b"), route("c", "r2", "r3")}}, 1)
	must.NoError(t, err)
	must.Eq(t, Homes{true, []string{"r2"}}, s.HostHomes("desk.EXAMPLE"))
	must.Eq(t, Homes{}, s.HostHomes("other.example"))
}
