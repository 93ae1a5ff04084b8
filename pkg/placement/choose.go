package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// candidate is an engine that can take a model.
type candidate struct {
	vm platform.VM
	// victim is the model that the load displaces; empty if there is room.
	victim string
	far    bool
	// pending is the number of models that were chosen for the engine and are not loaded. An engine loads one after
	// the other.
	pending int
	load    int
}

// choose selects an engine for the model.
func (p *planner) choose(n need) {
	decision := Decision{Model: n.model, Reason: ReasonNone}
	defer func() { p.plan.Decisions = append(p.plan.Decisions, decision) }()
	if p.openLoads() >= p.MaxLoads {
		decision.Reason = ReasonLimit
		return
	}
	var candidates []candidate
	for _, vm := range p.staying {
		c, reason := p.candidate(vm, n)
		switch reason {
		case "":
			candidates = append(candidates, c)
			decision.Candidates = append(decision.Candidates, fmt.Sprintf("%s=%d", vm.Name, c.load))
		case ReasonPreviousHolder, ReasonUnknown:
			decision.Reason = reason
		}
	}
	if len(candidates) == 0 {
		return
	}
	best := slices.MinFunc(candidates, compareCandidates)
	decision.Chosen, decision.Reason = best.vm.Name, ReasonRoom
	next := p.next[best.vm.Name]
	next.VM = best.vm.Name
	next.Models = append(withoutModel(next, n.model, platform.VM{}).Models, config.PlacedModel{Model: n.model, Version: n.version})
	if best.victim != "" {
		decision.Reason = ReasonDisplace
		next = withoutModel(next, best.victim, best.vm)
	}
	p.next[best.vm.Name] = next
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBool(a.victim != "", b.victim != ""), compareBool(a.far, b.far), cmp.Compare(a.pending, b.pending),
		cmp.Compare(a.load, b.load), cmp.Compare(a.vm.Name, b.vm.Name),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// withoutModel takes a model out of an engine's service before it is displaced.
func withoutModel(next config.Placement, victim string, vm platform.VM) config.Placement {
	next.Models = slices.DeleteFunc(slices.Clone(next.Models), func(m config.PlacedModel) bool { return m.Model == victim })
	if slices.Contains(vm.Models, victim) && !slices.Contains(next.Displaced, victim) {
		next.Displaced = append(slices.Clone(next.Displaced), victim)
	}
	return next
}

// candidate examines an engine. The reason is empty if it can take the model, ReasonFormer if it can't yet.
func (p *planner) candidate(vm platform.VM, n need) (candidate, string) {
	status, known := p.Statuses[vm.Name]
	if !known || p.Bad[vm.Name] {
		return candidate{}, ReasonNone
	}
	c := candidate{vm: vm, far: vm.Region != n.region, load: status.Load}
	room, pending := p.room(vm.Name, status)
	c.pending = pending
	if _, present := status.find(n.model); present {
		return c, ""
	}
	if vm.Fencing != platform.FencingEnforced && p.PreviousHolders > 0 && room <= p.PreviousHolders {
		return c, ReasonPreviousHolder
	}
	if room > 0 {
		return c, ""
	}
	victim, ok := p.victim(vm.Name, status)
	if !ok || pending > 0 {
		return c, ReasonNone
	}
	if !p.complete() {
		return c, ReasonUnknown
	}
	c.victim = victim
	return c, ""
}

// room returns the number of models that the engine can load without displacing one, less those that were chosen for
// it, and the number of the latter.
func (p *planner) room(name string, status Status) (room, pending int) {
	for _, m := range p.next[name].Models {
		if _, present := status.find(m.Model); !present {
			pending++
		}
	}
	return status.MaxModels - len(status.Models) - pending, pending
}

// complete reports whether the status of each engine that stays is known, so that none with room was overlooked.
func (p *planner) complete() bool {
	return !slices.ContainsFunc(p.staying, func(vm platform.VM) bool {
		_, known := p.Statuses[vm.Name]
		return !known && !p.Bad[vm.Name]
	})
}

// viable reports whether a model that was chosen for the engine can be expected to be loaded there.
func (p *planner) viable(vm platform.VM, model string) bool {
	if p.Bad[vm.Name] || !p.isStaying(vm.Name) {
		return false
	}
	status, known := p.Statuses[vm.Name]
	if _, present := status.find(model); !known || present || len(status.Models) < status.MaxModels {
		return true
	}
	return p.mayDisplace(vm, status, p.next[vm.Name])
}

// victim returns the model that a load at a full engine displaces. It reports false if that model has no other
// endpoint that stays, or if the engine's limit is not known.
func (p *planner) victim(name string, status Status) (string, bool) {
	if status.MaxModels == 0 || len(status.Models) != status.MaxModels {
		return "", false
	}
	victim := status.Models[0]
	return victim.Model, victim.Loading == "" && p.servedElsewhere(victim.Model, name)
}

// openLoads counts the loads that read from the weight store or soon will: those that engines show, and those that
// were chosen and are not shown as finished.
func (p *planner) openLoads() int {
	loads := 0
	for _, vm := range p.staying {
		open := p.next[vm.Name].Models
		for _, m := range open {
			if !m.Ready && p.viable(vm, m.Model) {
				loads++
			}
		}
		for _, m := range p.Statuses[vm.Name].Models {
			chosen := slices.ContainsFunc(open, func(o config.PlacedModel) bool { return o.Model == m.Model && !o.Ready })
			if m.Loading != "" && (!chosen || !p.viable(vm, m.Model)) {
				loads++
			}
		}
	}
	return loads
}

// order gives the orders for stored choices that the statuses don't show yet.
func (p *planner) order() {
	running := 0
	for _, vm := range p.staying {
		status, known := p.Statuses[vm.Name]
		// An engine that doesn't answer may be loading what was chosen for it.
		if known && status.loading() || !known && !p.Bad[vm.Name] && hasOpen(p.Placements[vm.Name]) {
			running++
		}
	}
	for _, vm := range p.staying {
		status, known := p.Statuses[vm.Name]
		if !known || p.Bad[vm.Name] || status.loading() {
			continue
		}
		for _, m := range p.Placements[vm.Name].Models {
			if !p.chosen(vm.Name, m) || status.serves(m.Model, m.Version) {
				continue
			}
			if running < p.MaxLoads && p.orderOne(vm, status, m) {
				running++
			}
			break
		}
	}
}

func hasOpen(placement config.Placement) bool {
	return slices.ContainsFunc(placement.Models, func(m config.PlacedModel) bool { return !m.Ready })
}

// chosen reports whether the stored choice still holds after this plan.
func (p *planner) chosen(name string, m config.PlacedModel) bool {
	return slices.ContainsFunc(p.next[name].Models, func(n config.PlacedModel) bool { return n.Model == m.Model })
}

// orderOne gives one order if it can't displace a model in use. It reports whether it gave one.
func (p *planner) orderOne(vm platform.VM, status Status, m config.PlacedModel) bool {
	enforced := vm.Fencing == platform.FencingEnforced
	if enforced && status.Fencing < p.Fencing {
		// A late order of a previous holder could still change what the status shows.
		p.plan.Introduce = append(p.plan.Introduce, vm.Name)
		return false
	}
	if _, present := status.find(m.Model); !present {
		room := status.MaxModels - len(status.Models)
		if !enforced && p.PreviousHolders > 0 && room <= p.PreviousHolders {
			p.plan.Decisions = append(p.plan.Decisions, Decision{Model: m.Model, Candidates: []string{vm.Name}, Reason: ReasonPreviousHolder})
			return false
		}
		if room <= 0 && !p.mayDisplace(vm, status, p.Placements[vm.Name]) {
			return false
		}
	}
	p.plan.Orders = append(p.plan.Orders, Order{VM: vm.Name, Model: m.Model, Version: m.Version})
	return true
}

// mayDisplace reports whether the engine's first model was taken out of service and has another endpoint.
func (p *planner) mayDisplace(vm platform.VM, status Status, placement config.Placement) bool {
	victim, ok := p.victim(vm.Name, status)
	return ok && !slices.Contains(served(vm, placement), victim)
}
