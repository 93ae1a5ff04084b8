package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const seed = 20261204

var start = time.Unix(1_800_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func engineVMs(n int, models ...string) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			Name: fmt.Sprintf("e%d", i), Region: "r1", Zone: fmt.Sprintf("z%d", i%3), Role: platform.RoleEngine,
			State: platform.VMLive, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Models: models,
		}
	}
	return vms
}

func newTable(vms []platform.VM) *Table {
	t := New(Location{Region: "r1", Zone: "z0"}, Options{})
	t.Update(start, vms, nil)
	return t
}

var request = Request{
	ID: "q", Organisation: "o", Class: "c", Pool: Model("m"), PromptTokens: 100, OutputTokens: 50,
	Blocks: []uint64{8, 16}, BlockEnds: []int{16, 32},
}

// Guards against choosing a leaving endpoint (invariant I6) that has the prompt in its cache. It is leaving by
// SetLeaving, by its state in the VM list or by the function passed to Update.
func TestLeavingEndpointIsNeverChosen(t *testing.T) {
	vms := engineVMs(6, "m")
	table := newTable(vms)
	for i := range vms {
		table.ApplyCacheEvents(start, vms[i].Name, []CacheEvent{{Sequence: 1, Block: 8}, {Sequence: 2, Block: 16}}, 2)
	}
	vms[1].State = platform.VMLeaving
	table.Update(start, vms, nil)
	table.SetLeaving(start, "e0", true)
	check := func(leaving ...string) {
		rng := newRand()
		for range 500 {
			d := table.Choose(start, rng, request)
			must.True(t, d.OK())
			must.SliceNotContains(t, leaving, d.Chosen)
			table.Done(start, table.Begin(start, d), Succeeded, 50)
		}
	}
	check("e0", "e1")
	table.Update(start, vms, func(vm string) bool { return vm == "e2" })
	check("e1", "e2")
	for _, vm := range vms {
		table.SetLeaving(start, vm.Name, true)
	}
	d := table.Choose(start, newRand(), request)
	must.False(t, d.OK())
	must.Eq(t, ReasonNoEndpoint, d.Reason)
}

// Guards against a request in progress that is lost or counted twice when its endpoint is removed from the list.
func TestAccountingSurvivesRemoval(t *testing.T) {
	vms := engineVMs(1, "m")
	vms[0].MaxInFlight = 1
	table := newTable(vms)
	f := table.Begin(start, table.Choose(start, newRand(), request))
	must.Eq(t, ReasonFull, table.Choose(start, newRand(), request).Reason)
	table.Update(start, nil, nil)
	must.Eq(t, PoolState{}, table.PoolState(request.Pool))
	table.Done(start, f, Succeeded, 50)
	table.Done(start, f, Succeeded, 50)
	table.Update(start, vms, nil)
	d := table.Choose(start, newRand(), request)
	must.Eq(t, "e0", d.Chosen)
	must.Eq(t, ReasonOnlyCandidate, d.Reason)
	must.Eq(t, log.Fields{
		"request_id": "q", "organisation": "o", "class": "c", "pool": "model/m", "candidates": 1,
		"considered": "e0:12.5", "chosen": "e0", "reason": "only_candidate",
	}, d.Fields())
}
