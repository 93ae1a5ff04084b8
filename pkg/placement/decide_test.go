package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func listed(name, region string, models ...string) platform.VM {
	return platform.VM{Name: name, Region: region, Role: platform.RoleEngine, State: platform.VMLive, Models: models, Fencing: platform.FencingEnforced}
}

func having(maxModels, load int, models ...string) Status {
	s := Status{MaxModels: maxModels, Load: load, Fencing: 1}
	for _, m := range models {
		s.Models = append(s.Models, ModelStatus{Model: m, Version: "1"})
	}
	return s
}

// leavingFirst is a fleet whose first VM is marked.
func leavingFirst(statuses map[string]Status, vms ...platform.VM) Input {
	return Input{
		VMs: vms, Statuses: statuses, Fencing: 1, MaxLoads: 2,
		Marked: func(vm string) (time.Time, bool) { return time.Time{}, vm == vms[0].Name },
	}
}

// Guards against a far or busy engine although a better one has room.
func TestChoiceOrder(t *testing.T) {
	in := leavingFirst(map[string]Status{
		"far": having(2, 0, "x"), "busy": having(2, 9, "x"), "full": having(1, 0, "x"), "idle": having(2, 1, "x"),
	}, listed("e1", "r", "m"), listed("far", "q", "x"), listed("busy", "r", "x"), listed("full", "r", "x"), listed("idle", "r", "x"))
	for _, want := range []string{"idle", "busy", "far", "full"} {
		plan := Decide(in)
		must.Eq(t, want, plan.Decisions[0].Chosen)
		must.Len(t, 0, plan.Orders, must.Sprint("an order before its choice is stored"))
		in.Bad = map[string]bool{"idle": true, "busy": want != "idle", "far": want == "far"}
	}
}

// Guards against the displacement of a model's last endpoint, of a model that still gets requests there, and against a
// displacement while an engine with room may have been overlooked.
func TestDisplacement(t *testing.T) {
	e1, e2, e3 := listed("e1", "r", "m"), listed("e2", "r", "x"), listed("e3", "r", "x")
	in := leavingFirst(map[string]Status{"e2": having(1, 0, "x")}, e1, e2)
	must.Eq(t, ReasonNone, Decide(in).Decisions[0].Reason)

	in = leavingFirst(map[string]Status{"e2": having(1, 0, "x")}, e1, e2, e3)
	must.Eq(t, ReasonUnknown, Decide(in).Decisions[0].Reason)
	in.Statuses["e3"] = having(1, 5, "x")
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
	must.Len(t, 0, Decide(in).Orders, must.Sprint("a former holder may be alive"))
	in.VMs = in.VMs[:2]
	in.PreviousHolders = 0
	must.Len(t, 0, Decide(in).Orders, must.Sprint("x has no other endpoint any more"))
}

// Guards against a model with an early deadline that waits behind one with a late or no deadline.
func TestEarliestDeadlineFirst(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	early, late := now, now.Add(time.Hour)
	none, first, second := listed("a", "r", "a"), listed("b", "r", "b"), listed("c", "r", "c")
	first.Deadline, second.Deadline = &late, &early
	first.State, second.State, none.State = platform.VMLeaving, platform.VMLeaving, platform.VMLeaving
	in := leavingFirst(map[string]Status{"e": having(9, 0)}, none, first, second, listed("e", "r"))
	plan := Decide(in)
	must.Eq(t, "c", plan.Decisions[0].Model)
	must.Eq(t, "b", plan.Decisions[1].Model)
	must.Eq(t, Decision{Model: "a", Reason: ReasonLimit}, plan.Decisions[2])
}

// Guards against an order whose effect depends on a status that a previous holder's late order can still change.
func TestIntroductionComesFirst(t *testing.T) {
	in := leavingFirst(map[string]Status{"e2": having(2, 0, "x")}, listed("e1", "r", "m"), listed("e2", "r", "x"))
	in.Fencing = 2
	in.Placements = map[string]config.Placement{"e2": {VM: "e2", Models: []config.PlacedModel{{Model: "m"}}}}
	plan := Decide(in)
	must.Len(t, 0, plan.Orders)
	must.Eq(t, []string{"e2"}, plan.Introduce)
}
