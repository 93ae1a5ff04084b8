package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func engineVM(name, region string, models ...string) platform.VM {
	return platform.VM{Name: name, Region: region, Role: platform.RoleEngine, State: platform.VMLive, Models: models, Fencing: platform.FencingEnforced}
}

func statusWith(maxModels, load int, models ...string) Status {
	s := Status{MaxModels: maxModels, Load: load, Fencing: 1}
	for _, m := range models {
		s.Models = append(s.Models, ModelStatus{Model: m, Version: "1"})
	}
	return s
}

// inputWithFirstLeaving returns an input in which the first VM has a leaving mark.
func inputWithFirstLeaving(statuses map[string]Status, vms ...platform.VM) Input {
	return Input{
		VMs: vms, Statuses: statuses, Fencing: 1, MaxLoads: 2,
		LeavingMark: func(vm string) (time.Time, bool) { return time.Time{}, vm == vms[0].Name },
	}
}

// Guards against choosing an engine in another region, a busy one or a full one although a better engine has room.
func TestEngineChoiceOrder(t *testing.T) {
	in := inputWithFirstLeaving(map[string]Status{
		"far": statusWith(2, 0, "x"), "busy": statusWith(2, 9, "x"), "full": statusWith(1, 0, "x"), "idle": statusWith(2, 1, "x"),
	}, engineVM("e1", "r", "m"), engineVM("far", "q", "x"), engineVM("busy", "r", "x"), engineVM("full", "r", "x"), engineVM("idle", "r", "x"))
	for _, want := range []string{"idle", "busy", "far", "full"} {
		plan := Decide(in)
		must.Eq(t, want, plan.Decisions[0].Chosen)
		must.Len(t, 0, plan.Orders, must.Sprint("order sent before its choice was stored"))
		in.Unhealthy = map[string]bool{"idle": true, "busy": want != "idle", "far": want == "far"}
	}
}

// Guards against displacing a model's last endpoint or a model that still gets requests there, and against displacing a
// model while an engine without a known status may have room.
func TestDisplacement(t *testing.T) {
	e1, e2, e3 := engineVM("e1", "r", "m"), engineVM("e2", "r", "x"), engineVM("e3", "r", "x")
	in := inputWithFirstLeaving(map[string]Status{"e2": statusWith(1, 0, "x")}, e1, e2)
	must.Eq(t, ReasonNoCandidate, Decide(in).Decisions[0].Reason)

	in = inputWithFirstLeaving(map[string]Status{"e2": statusWith(1, 0, "x")}, e1, e2, e3)
	must.Eq(t, ReasonStatusesMissing, Decide(in).Decisions[0].Reason)
	in.Statuses["e3"] = statusWith(1, 5, "x")
	plan := Decide(in)
	must.Eq(t, ReasonDisplace, plan.Decisions[0].Reason)
	must.Eq(t, config.Placement{VM: "e2", Models: []config.PlacedModel{{Model: "m"}}, Displaced: []string{"x"}}, plan.Writes[0])

	in.Placements = map[string]config.Placement{"e2": {VM: "e2", Models: plan.Writes[0].Models}}
	must.Len(t, 0, Decide(in).Orders, must.Sprint("x is still served by e2"))
	in.Placements["e2"] = plan.Writes[0]
	plan = Decide(in)
	must.Eq(t, []Order{{VM: "e2", Model: "m"}}, plan.Orders)
	must.Len(t, 0, plan.Writes)
	in.PreviousHolders, in.VMs[1].Fencing = 1, platform.FencingIgnored
	must.Len(t, 0, Decide(in).Orders, must.Sprint("a previous holder may still send orders"))
	in.VMs = in.VMs[:2]
	in.PreviousHolders = 0
	must.Len(t, 0, Decide(in).Orders, must.Sprint("x has no other endpoint"))
}

// Guards against loading a model with a late or no deadline before one with an early deadline.
func TestEarliestDeadlineFirst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	early, late := now, now.Add(time.Hour)
	none, first, second := engineVM("a", "r", "a"), engineVM("b", "r", "b"), engineVM("c", "r", "c")
	first.Deadline, second.Deadline = &late, &early
	first.State, second.State, none.State = platform.VMLeaving, platform.VMLeaving, platform.VMLeaving
	in := inputWithFirstLeaving(map[string]Status{"e": statusWith(9, 0)}, none, first, second, engineVM("e", "r"))
	plan := Decide(in)
	must.Eq(t, "c", plan.Decisions[0].Model)
	must.Eq(t, "b", plan.Decisions[1].Model)
	must.Eq(t, Decision{Model: "a", Reason: ReasonLoadLimit}, plan.Decisions[2])
}

// Guards against sending an order that relies on a status which a previous holder's late order can still change.
func TestFencingNumberIsSentFirst(t *testing.T) {
	in := inputWithFirstLeaving(map[string]Status{"e2": statusWith(2, 0, "x")}, engineVM("e1", "r", "m"), engineVM("e2", "r", "x"))
	in.Fencing = 2
	in.Placements = map[string]config.Placement{"e2": {VM: "e2", Models: []config.PlacedModel{{Model: "m"}}}}
	plan := Decide(in)
	must.Len(t, 0, plan.Orders)
	must.Eq(t, []string{"e2"}, plan.FencingUpdates)
}
