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
	// displaces is the model that the load would displace; empty if there is room.
	displaces   string
	otherRegion bool
	// pending is the number of models chosen for the engine that it does not have yet. An engine loads one model at a
	// time.
	pending int
	load    int
}

// chooseEngine chooses an engine for the model and records the choice and the decision in the plan.
func (p *planner) chooseEngine(n modelToLoad) {
	decision := Decision{Model: n.model, Reason: ReasonNoCandidate}
	defer func() { p.plan.Decisions = append(p.plan.Decisions, decision) }()
	if p.countLoads() >= p.MaxLoads {
		decision.Reason = ReasonLoadLimit
		return
	}
	var candidates []candidate
	for _, vm := range p.remaining {
		c, reason := p.evaluate(vm, n)
		switch reason {
		case "":
			candidates = append(candidates, c)
			decision.Candidates = append(decision.Candidates, fmt.Sprintf("%s=%d", vm.Name, c.load))
		case ReasonPreviousHolder, ReasonStatusesMissing:
			decision.Reason = reason
		}
	}
	if len(candidates) == 0 {
		return
	}
	best := slices.MinFunc(candidates, compareCandidates)
	decision.Chosen, decision.Reason = best.vm.Name, ReasonRoom
	next := p.planned[best.vm.Name]
	next.VM = best.vm.Name
	next.Models = append(withoutModel(next, n.model, platform.VM{}).Models, config.PlacedModel{Model: n.model, Version: n.version})
	if best.displaces != "" {
		decision.Reason = ReasonDisplace
		next = withoutModel(next, best.displaces, best.vm)
	}
	p.planned[best.vm.Name] = next
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBool(a.displaces != "", b.displaces != ""), compareBool(a.otherRegion, b.otherRegion), cmp.Compare(a.pending, b.pending),
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

// withoutModel returns the placement without the model. A model that the VM list names for the engine is added to
// Displaced, so that it gets no more requests there before it is displaced.
func withoutModel(next config.Placement, model string, vm platform.VM) config.Placement {
	next.Models = slices.DeleteFunc(slices.Clone(next.Models), func(m config.PlacedModel) bool { return m.Model == model })
	if slices.Contains(vm.Models, model) && !slices.Contains(next.Displaced, model) {
		next.Displaced = append(slices.Clone(next.Displaced), model)
	}
	return next
}

// evaluate checks whether an engine can load the model. The reason is empty if it can. ReasonPreviousHolder and
// ReasonStatusesMissing mean that it can't yet.
func (p *planner) evaluate(vm platform.VM, n modelToLoad) (candidate, string) {
	status, known := p.Statuses[vm.Name]
	if !known || p.Unhealthy[vm.Name] {
		return candidate{}, ReasonNoCandidate
	}
	c := candidate{vm: vm, otherRegion: vm.Region != n.region, load: status.Load}
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
	model, ok := p.displaceable(vm.Name, status)
	if !ok || pending > 0 {
		return c, ReasonNoCandidate
	}
	if !p.allStatusesKnown() {
		return c, ReasonStatusesMissing
	}
	c.displaces = model
	return c, ""
}

// room returns the number of further models that the engine can load without displacing one, and the number of models
// that were chosen for it and that it does not have yet. The latter are subtracted from the former.
func (p *planner) room(name string, status Status) (room, pending int) {
	for _, m := range p.planned[name].Models {
		if _, present := status.find(m.Model); !present {
			pending++
		}
	}
	return status.MaxModels - len(status.Models) - pending, pending
}

// allStatusesKnown reports whether the status of every remaining engine that is not unhealthy is known, so that no
// engine with room is overlooked.
func (p *planner) allStatusesKnown() bool {
	return !slices.ContainsFunc(p.remaining, func(vm platform.VM) bool {
		_, known := p.Statuses[vm.Name]
		return !known && !p.Unhealthy[vm.Name]
	})
}

// canLoad reports whether the engine is expected to load a model that was chosen for it.
func (p *planner) canLoad(vm platform.VM, model string) bool {
	if p.Unhealthy[vm.Name] || !p.isRemaining(vm.Name) {
		return false
	}
	status, known := p.Statuses[vm.Name]
	if _, present := status.find(model); !known || present || len(status.Models) < status.MaxModels {
		return true
	}
	return p.mayDisplace(vm, status, p.planned[vm.Name])
}

// displaceable returns the model that a load at a full engine displaces. It reports false if no other remaining engine
// serves that model, if the model is being loaded, if the engine is not full, or if its limit is unknown.
func (p *planner) displaceable(name string, status Status) (string, bool) {
	if status.MaxModels == 0 || len(status.Models) != status.MaxModels {
		return "", false
	}
	oldest := status.Models[0]
	return oldest.Model, oldest.Loading == "" && p.servedElsewhere(oldest.Model, name)
}

// countLoads counts the loads that read from the weight store or soon will: those that engines report, and those that
// were chosen and that no status shows as finished.
func (p *planner) countLoads() int {
	loads := 0
	for _, vm := range p.remaining {
		chosenModels := p.planned[vm.Name].Models
		for _, m := range chosenModels {
			if !m.Ready && p.canLoad(vm, m.Model) {
				loads++
			}
		}
		for _, m := range p.Statuses[vm.Name].Models {
			isChosen := slices.ContainsFunc(chosenModels, func(o config.PlacedModel) bool { return o.Model == m.Model && !o.Ready })
			if m.Loading != "" && (!isChosen || !p.canLoad(vm, m.Model)) {
				loads++
			}
		}
	}
	return loads
}

// addOrders adds the orders for stored choices that the engines have not loaded yet.
func (p *planner) addOrders() {
	running := 0
	for _, vm := range p.remaining {
		status, known := p.Statuses[vm.Name]
		// An engine that doesn't respond may be loading a model that was chosen for it.
		if known && status.isLoading() || !known && !p.Unhealthy[vm.Name] && hasPendingModel(p.Placements[vm.Name]) {
			running++
		}
	}
	for _, vm := range p.remaining {
		status, known := p.Statuses[vm.Name]
		if !known || p.Unhealthy[vm.Name] || status.isLoading() {
			continue
		}
		for _, m := range p.Placements[vm.Name].Models {
			if !p.isChosen(vm.Name, m) || status.serves(m.Model, m.Version) {
				continue
			}
			if running < p.MaxLoads && p.addOrder(vm, status, m) {
				running++
			}
			break
		}
	}
}

func hasPendingModel(placement config.Placement) bool {
	return slices.ContainsFunc(placement.Models, func(m config.PlacedModel) bool { return !m.Ready })
}

// isChosen reports whether the plan keeps the stored choice.
func (p *planner) isChosen(name string, m config.PlacedModel) bool {
	return slices.ContainsFunc(p.planned[name].Models, func(n config.PlacedModel) bool { return n.Model == m.Model })
}

// addOrder adds an order to load the model unless it could displace a model in use. It reports whether it added one.
func (p *planner) addOrder(vm platform.VM, status Status, m config.PlacedModel) bool {
	enforced := vm.Fencing == platform.FencingEnforced
	if enforced && status.Fencing < p.Fencing {
		// A late order of a previous holder could still change what the status shows.
		p.plan.FencingUpdates = append(p.plan.FencingUpdates, vm.Name)
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

// mayDisplace reports whether the model that the engine would displace gets no more requests there, and is served by
// another remaining engine.
func (p *planner) mayDisplace(vm platform.VM, status Status, placement config.Placement) bool {
	model, ok := p.displaceable(vm.Name, status)
	return ok && !slices.Contains(servedModels(vm, placement), model)
}
