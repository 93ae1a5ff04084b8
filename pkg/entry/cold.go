package entry

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// coldPermit returns what this router may send to a cold endpoint now. It is called by the placement.
func (r *Router) coldPermit(vm platform.VM) route.ColdPermit {
	config := r.config.Current()
	if config == nil {
		return route.ColdPermit{}
	}
	service, ok := config.Service(vm.Service)
	if !ok || service.ColdPerSecond <= 0 {
		return route.ColdPermit{}
	}
	p := route.ColdPermit{AfterStart: service.ColdStart, ColdLimits: route.ColdLimits{
		PerSecond: service.ColdPerSecond, Most: service.ColdPerSecond*r.settings.ColdOvershoot + r.settings.ColdTolerance, Burst: 1,
	}}
	if service.TokensPerEvent > 0 {
		p.Burst = 2 // Model engines are asked for their start time.
	}
	p.Routers = r.roster.PrimaryCount()
	age, known := r.rosterFeed.Age()
	if sharers, ok := r.roster.Share("cold/"+vm.Name, p.Sharers(), age, known); ok {
		p.PerRouter = p.Share(sharers)
	}
	return p
}

// coldUntil returns the end of the coldness of an endpoint by an entry that has arrived now, and the entry before. An entry that was written
// earlier, such as one from an older copy of the store, doesn't end it, and one that comes once more, in a list, doesn't prolong it.
func coldUntil(now time.Time, vm, before platform.VM) time.Time {
	isSameRun := before.Started == vm.Started && before.Address == vm.Address
	if isSameRun && vm.Sequence == before.Sequence && vm.ColdRemaining == before.ColdRemaining {
		return before.ColdUntil
	}
	until := time.Time{}
	if vm.ColdRemaining > 0 {
		until = now.Add(vm.ColdRemaining)
	}
	if isSameRun && before.ColdUntil.After(until) && (vm.ColdRemaining > 0 || vm.Sequence < before.Sequence) {
		return before.ColdUntil
	}
	return until
}
