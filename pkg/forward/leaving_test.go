package forward

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// Guards against an endpoint that has crashed and counts as one that stops by plan, because its entry is gone or is that of its next run: a
// part of its answer would be taken for the whole.
func TestOnlyALeavingEndpointEndsByPlan(t *testing.T) {
	placement := NewPlacement("a", route.Options{LastResort: true})
	go placement.Run(t.Context())
	vm := platform.VM{Name: "e0", Role: platform.RoleService, Service: "s", State: platform.VMLive, Address: "endpoint", Started: 1}
	restarted, leaving := vm, vm
	restarted.Started, leaving.State = 2, platform.VMLeaving
	for name, test := range map[string]struct {
		updates [][]platform.VM
		want    bool
	}{
		"serves":                {nil, false},
		"not listed":            {[][]platform.VM{nil}, false},
		"restarted":             {[][]platform.VM{{restarted}}, false},
		"leaves":                {[][]platform.VM{{leaving}}, true},
		"left after it said so": {[][]platform.VM{{leaving}, nil}, true},
	} {
		placement.Update([]platform.VM{vm})
		_, inFlight := placement.chooseEndpoint(route.Request{ID: "1", Pool: route.Service("s")})
		must.NotNil(t, inFlight, must.Sprint(name))
		for _, vms := range test.updates {
			placement.Update(vms)
		}
		must.EqOp(t, test.want, placement.isLeaving(inFlight), must.Sprint(name))
		placement.Update(nil)
	}
}
