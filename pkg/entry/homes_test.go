package entry

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against an address answer that sends a caller to a region which is neither a home of the host's requests nor its own, and against
// restricting the callers of other hosts or those that ask before there is a configuration.
func TestZonesForACaller(t *testing.T) {
	r := &Router{
		settings: Settings{Regions: map[string]string{"a": "r1", "b": "r2", "c": "r3"}},
		config:   newConfiguration("config/main", nil, nil, 0, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	}
	zones := func(host, region string) (allowed string) {
		isAllowed := r.zonesFor(host, region)
		for _, zone := range []string{"a", "b", "c", "unknown"} {
			if isAllowed(zone) {
				allowed += zone + " "
			}
		}
		return allowed
	}
	const all = "a b c unknown "
	must.EqOp(t, all, zones("homed", "r1"))
	config, err := catalog.New(catalog.Config{Routes: []catalog.Route{
		{Host: "homed", Prefix: "/", Timeout: time.Second, Backends: []catalog.Backend{{Service: "s"}}, AllowedRegions: []string{"r2"}},
		{Host: "free", Prefix: "/", Timeout: time.Second, Backends: []catalog.Backend{{Service: "s"}}},
	}}, 1)
	must.NoError(t, err)
	r.config.newest.Store(config)
	must.EqOp(t, "a b ", zones("homed", "r1"))
	must.EqOp(t, "b ", zones("homed", "r2"))
	must.EqOp(t, "b ", zones("homed", ""))
	must.EqOp(t, all, zones("free", "r1"))
}

// Guards against an endpoint of an unknown zone that counts as one of a region.
func TestEndpointsHaveTheRegionOfTheirZone(t *testing.T) {
	s := Settings{Regions: map[string]string{"a": "r1"}}
	decode := s.inRegions(func(o platform.Object) (platform.VM, error) { return platform.VM{Zone: o.Key}, nil })
	for zone, region := range map[string]string{"a": "r1", "b": ""} {
		vm, err := decode(platform.Object{Key: zone})
		must.NoError(t, err)
		must.EqOp(t, region, vm.Region)
	}
}
