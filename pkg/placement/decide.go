package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// planner makes one plan.
type planner struct {
	Input
	plan Plan
	// engines are the listed engines that are not gone. remaining are those of them that are not leaving.
	engines   map[string]platform.VM
	remaining []platform.VM
	// planned are the placements after this plan.
	planned map[string]config.Placement
}

// Decide makes a plan. An engine gets the order to load a model only after the choice has been stored, so that the
// next lease holder continues with the same choice and counts the load.
func Decide(in Input) Plan {
	p := newPlanner(in)
	for _, m := range p.modelsToLoad() {
		p.chooseEngine(m)
	}
	p.addOrders()
	p.addWrites()
	return p.plan
}

// HasUnservedModel reports whether some model is not served by any remaining engine.
func HasUnservedModel(in Input) bool {
	p := newPlanner(in)
	pending := slices.ContainsFunc(p.remaining, func(vm platform.VM) bool { return hasPendingModel(p.planned[vm.Name]) })
	return pending || len(p.modelsToLoad()) > 0
}

func newPlanner(in Input) *planner {
	p := &planner{Input: in, engines: map[string]platform.VM{}, planned: map[string]config.Placement{}}
	for _, vm := range in.VMs {
		if vm.Role != platform.RoleEngine || vm.State == platform.VMGone {
			continue
		}
		p.engines[vm.Name] = vm
		if _, marked := in.LeavingMark(vm.Name); vm.State == platform.VMLive && !marked {
			p.remaining = append(p.remaining, vm)
		}
	}
	p.updateFromStatuses()
	p.dropObsoleteChoices()
	return p
}

// updateFromStatuses sets the planned placements from the stored ones and the engines' statuses.
func (p *planner) updateFromStatuses() {
	for name, stored := range p.Placements {
		next := config.Placement{VM: name, Models: slices.Clone(stored.Models), Displaced: slices.Clone(stored.Displaced)}
		if status, ok := p.Statuses[name]; ok {
			pending := false
			for i, m := range next.Models {
				next.Models[i].Ready = status.serves(m.Model, m.Version)
				pending = pending || !next.Models[i].Ready
			}
			next.Displaced = displacedModels(p.engines[name], stored, status, pending)
		}
		p.planned[name] = next
	}
}

// displacedModels returns the models that the VM list names for the engine but the engine has not loaded. A model that
// an unfinished load will displace is included, so that it gets no requests until then.
func displacedModels(vm platform.VM, stored config.Placement, status Status, pending bool) []string {
	var models []string
	for _, m := range vm.Models {
		if !status.serves(m, "") || pending && slices.Contains(stored.Displaced, m) {
			models = append(models, m)
		}
	}
	return models
}

// dropObsoleteChoices removes choices that are no longer needed, because the VM list names the model for this engine
// or another remaining engine serves or loads it.
func (p *planner) dropObsoleteChoices() {
	for _, name := range slices.Sorted(maps.Keys(p.planned)) {
		placement := p.planned[name]
		placement.Models = slices.DeleteFunc(placement.Models, func(m config.PlacedModel) bool {
			if p.isRemaining(name) && m.Ready {
				return false
			}
			listed := slices.Contains(p.engines[name].Models, m.Model) && !slices.Contains(placement.Displaced, m.Model)
			removed := p.engines[name].Name == ""
			return listed || (!m.Ready || removed) && (p.servedElsewhere(m.Model, name) || !p.canLoad(p.engines[name], m.Model) && p.pendingElsewhere(m.Model, name))
		})
		if p.engines[name].Name == "" {
			placement.Displaced = nil
		}
		p.planned[name] = placement
	}
}

func (p *planner) isRemaining(name string) bool {
	return slices.ContainsFunc(p.remaining, func(vm platform.VM) bool { return vm.Name == name })
}

func (p *planner) servedElsewhere(model, except string) bool {
	return slices.ContainsFunc(p.remaining, func(vm platform.VM) bool {
		return vm.Name != except && slices.Contains(servedModels(vm, p.planned[vm.Name]), model)
	})
}

// pendingElsewhere reports whether another remaining engine was chosen for the model and is expected to load it.
func (p *planner) pendingElsewhere(model, except string) bool {
	return slices.ContainsFunc(p.remaining, func(vm platform.VM) bool {
		return vm.Name != except && p.canLoad(vm, model) && slices.ContainsFunc(p.planned[vm.Name].Models, func(m config.PlacedModel) bool {
			return m.Model == model && !m.Ready
		})
	})
}

// modelToLoad is a model that no remaining engine serves.
type modelToLoad struct {
	model    string
	version  string
	region   string
	deadline time.Time
}

// modelsToLoad returns the models that need another engine, sorted by deadline, earliest first.
func (p *planner) modelsToLoad() []modelToLoad {
	var modelsToLoad []modelToLoad
	added := map[string]bool{}
	add := func(vm platform.VM, model, version string) {
		if added[model] || p.servedElsewhere(model, "") || p.pendingElsewhere(model, "") {
			return
		}
		added[model] = true
		if status, ok := p.Statuses[vm.Name]; ok && version == "" {
			m, _ := status.find(model)
			version = m.Version
		}
		modelsToLoad = append(modelsToLoad, modelToLoad{model: model, version: version, region: vm.Region, deadline: p.deadline(vm)})
	}
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		for _, model := range p.engines[name].Models {
			add(p.engines[name], model, "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.planned)) {
		for _, m := range p.planned[name].Models {
			add(p.engines[name], m.Model, m.Version)
		}
	}
	slices.SortStableFunc(modelsToLoad, func(a, b modelToLoad) int {
		return cmp.Or(compareDeadlines(a.deadline, b.deadline), cmp.Compare(a.model, b.model))
	})
	return modelsToLoad
}

// compareDeadlines sorts a zero deadline, which means none, last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// deadline returns the earlier of the platform's and the operator's deadline, or zero if there is none.
func (p *planner) deadline(vm platform.VM) time.Time {
	deadline, _ := p.LeavingMark(vm.Name)
	if vm.Deadline != nil && compareDeadlines(*vm.Deadline, deadline) < 0 {
		deadline = *vm.Deadline
	}
	return deadline
}

// addWrites adds the placements that differ from the stored ones to the plan.
func (p *planner) addWrites() {
	for _, name := range slices.Sorted(maps.Keys(p.planned)) {
		next, stored := p.planned[name], p.Placements[name]
		same := slices.Equal(next.Models, stored.Models) && slices.Equal(next.Displaced, stored.Displaced)
		empty := len(next.Models) == 0 && len(next.Displaced) == 0
		_, exists := p.Placements[name]
		if !same || empty && exists {
			p.plan.Writes = append(p.plan.Writes, next)
		}
	}
}
