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
	// vms are the engines that are not gone, staying those of them that are not leaving.
	vms     map[string]platform.VM
	staying []platform.VM
	// next are the placements after this plan.
	next map[string]config.Placement
}

// Decide makes a plan. An engine is ordered to load a model only after the choice was stored, so that another holder
// continues with the same choice and counts the load.
func Decide(in Input) Plan {
	p := newPlanner(in)
	for _, need := range p.needs() {
		p.choose(need)
	}
	p.order()
	p.write()
	return p.plan
}

// Unserved reports whether a model has no endpoint that stays and serves it.
func Unserved(in Input) bool {
	p := newPlanner(in)
	open := slices.ContainsFunc(p.staying, func(vm platform.VM) bool { return hasOpen(p.next[vm.Name]) })
	return open || len(p.needs()) > 0
}

func newPlanner(in Input) *planner {
	p := &planner{Input: in, vms: map[string]platform.VM{}, next: map[string]config.Placement{}}
	for _, vm := range in.VMs {
		if vm.Role != platform.RoleEngine || vm.State == platform.VMGone {
			continue
		}
		p.vms[vm.Name] = vm
		if _, marked := in.Marked(vm.Name); vm.State == platform.VMLive && !marked {
			p.staying = append(p.staying, vm)
		}
	}
	p.reconcile()
	p.drop()
	return p
}

// reconcile brings the placements in line with the statuses.
func (p *planner) reconcile() {
	for name, stored := range p.Placements {
		next := config.Placement{VM: name, Models: slices.Clone(stored.Models), Displaced: slices.Clone(stored.Displaced)}
		if status, ok := p.Statuses[name]; ok {
			pending := false
			for i, m := range next.Models {
				next.Models[i].Ready = status.serves(m.Model, m.Version)
				pending = pending || !next.Models[i].Ready
			}
			next.Displaced = displaced(p.vms[name], stored, status, pending)
		}
		p.next[name] = next
	}
}

// displaced returns the listed models that the engine does not have. A model that is to be displaced by a load that
// is not finished stays among them, so that it gets no requests in between.
func displaced(vm platform.VM, stored config.Placement, status Status, pending bool) []string {
	var models []string
	for _, m := range vm.Models {
		if !status.serves(m, "") || pending && slices.Contains(stored.Displaced, m) {
			models = append(models, m)
		}
	}
	return models
}

// drop removes choices that are not needed any more: another engine that stays serves the model or loads it.
func (p *planner) drop() {
	for _, name := range slices.Sorted(maps.Keys(p.next)) {
		placement := p.next[name]
		placement.Models = slices.DeleteFunc(placement.Models, func(m config.PlacedModel) bool {
			if p.isStaying(name) && m.Ready {
				return false
			}
			listed := slices.Contains(p.vms[name].Models, m.Model) && !slices.Contains(placement.Displaced, m.Model)
			gone := p.vms[name].Name == ""
			return listed || (!m.Ready || gone) && (p.servedElsewhere(m.Model, name) || !p.viable(p.vms[name], m.Model) && p.pendingElsewhere(m.Model, name))
		})
		if p.vms[name].Name == "" {
			placement.Displaced = nil
		}
		p.next[name] = placement
	}
}

func (p *planner) isStaying(name string) bool {
	return slices.ContainsFunc(p.staying, func(vm platform.VM) bool { return vm.Name == name })
}

func (p *planner) servedElsewhere(model, except string) bool {
	return slices.ContainsFunc(p.staying, func(vm platform.VM) bool {
		return vm.Name != except && slices.Contains(served(vm, p.next[vm.Name]), model)
	})
}

// pendingElsewhere reports whether another engine that stays and can be expected to load the model was chosen.
func (p *planner) pendingElsewhere(model, except string) bool {
	return slices.ContainsFunc(p.staying, func(vm platform.VM) bool {
		return vm.Name != except && p.viable(vm, model) && slices.ContainsFunc(p.next[vm.Name].Models, func(m config.PlacedModel) bool {
			return m.Model == model && !m.Ready
		})
	})
}

// need is a model without an endpoint that stays.
type need struct {
	model    string
	version  string
	region   string
	deadline time.Time
}

// needs returns the models that must be loaded elsewhere, the one with the earliest deadline first.
func (p *planner) needs() []need {
	var needs []need
	seen := map[string]bool{}
	add := func(vm platform.VM, model, version string) {
		if seen[model] || p.servedElsewhere(model, "") || p.pendingElsewhere(model, "") {
			return
		}
		seen[model] = true
		if status, ok := p.Statuses[vm.Name]; ok && version == "" {
			m, _ := status.find(model)
			version = m.Version
		}
		needs = append(needs, need{model: model, version: version, region: vm.Region, deadline: p.deadline(vm)})
	}
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		for _, model := range p.vms[name].Models {
			add(p.vms[name], model, "")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.next)) {
		for _, m := range p.next[name].Models {
			add(p.vms[name], m.Model, m.Version)
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(compareDeadlines(a.deadline, b.deadline), cmp.Compare(a.model, b.model))
	})
	return needs
}

// compareDeadlines puts an unknown deadline last.
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

// deadline returns the earlier one of the platform's and the operator's deadline, or zero.
func (p *planner) deadline(vm platform.VM) time.Time {
	deadline, _ := p.Marked(vm.Name)
	if vm.Deadline != nil && compareDeadlines(*vm.Deadline, deadline) < 0 {
		deadline = *vm.Deadline
	}
	return deadline
}

// write adds the placements that differ from the stored ones.
func (p *planner) write() {
	for _, name := range slices.Sorted(maps.Keys(p.next)) {
		next, stored := p.next[name], p.Placements[name]
		same := slices.Equal(next.Models, stored.Models) && slices.Equal(next.Displaced, stored.Displaced)
		empty := len(next.Models) == 0 && len(next.Displaced) == 0
		_, exists := p.Placements[name]
		if !same || empty && exists {
			p.plan.Writes = append(p.plan.Writes, next)
		}
	}
}
