package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// maxStatusAge is the age from which a status is no longer used.
	maxStatusAge = 10 * time.Second
	// A round polls at most smallFleetPolls engines, or 1/roundsPerSweep of all engines if that is more. Thus, while a
	// model has no endpoint, all engines are polled within roundsPerSweep rounds, which take less than maxStatusAge.
	smallFleetPolls    = 32
	roundsPerSweep     = 8
	maxConcurrentPolls = 32
	// unansweredPollDelay is the delay before the next poll of an engine that did not respond. Without it, timeouts of
	// many engines would make rounds so long that the lease expires.
	unansweredPollDelay = 2 * time.Second
	// unhealthyAfter is the time without a response after which an engine is no longer chosen. failedLoadPenalty is the
	// time for which an engine is not chosen after a failed load.
	unhealthyAfter    = 10 * time.Second
	failedLoadPenalty = 30 * time.Second
)

// pollState holds the last status and the poll times of one engine.
type pollState struct {
	status Status
	// statusAt is the time of the last response and polledAt that of the last poll. unansweredSince is the time of the
	// first unanswered poll after the last response; zero if the last poll was answered.
	statusAt, polledAt, unansweredSince time.Time
	// loadFailedAt is the time at which a failed load was first found after the last order.
	loadFailedAt time.Time
}

// poller polls engines and keeps their statuses. It is not safe for concurrent use; the placement task owns it.
type poller struct {
	client  EngineClient
	engines map[string]*pollState
}

func newPoller(client EngineClient) *poller {
	return &poller{client: client, engines: map[string]*pollState{}}
}

// reset removes all statuses.
func (p *poller) reset() { clear(p.engines) }

// clearLoadFailure must be called before an order is sent, so that the failure of an earlier load no longer counts.
func (p *poller) clearLoadFailure(vm string) {
	if e := p.engines[vm]; e != nil {
		e.loadFailedAt = time.Time{}
	}
}

// poll requests the statuses of the engines that have a placement, and of all engines while a model has no endpoint. A
// round polls those that were polled longest ago, and first those with a load that has not finished.
func (p *poller) poll(now time.Time, in Input) {
	due := p.enginesToPoll(now, in)
	type result struct {
		vm     string
		status Status
		err    error
	}
	results := pool.NewWithResults[result]().WithMaxGoroutines(maxConcurrentPolls)
	for _, vm := range due {
		results.Go(func() result {
			status, err := p.client.Status(vm.Address)
			return result{vm.Name, status, err}
		})
	}
	for _, r := range results.Wait() {
		e := p.engines[r.vm]
		if e == nil {
			e = &pollState{}
			p.engines[r.vm] = e
		}
		e.polledAt = now
		if r.err == nil {
			e.status, e.statusAt, e.unansweredSince = r.status, now, time.Time{}
		} else if e.unansweredSince.IsZero() {
			e.unansweredSince = now
		}
	}
}

func (p *poller) enginesToPoll(now time.Time, in Input) []platform.VM {
	unserved := HasUnservedModel(in)
	var due []platform.VM
	engines := 0
	listed := map[string]bool{}
	for _, vm := range in.VMs {
		if vm.Role != platform.RoleEngine || vm.State == platform.VMGone {
			continue
		}
		engines++
		listed[vm.Name] = true
		if _, placed := in.Placements[vm.Name]; (placed || unserved) && !p.isBackingOff(now, vm.Name) {
			due = append(due, vm)
		}
	}
	for name := range p.engines {
		if !listed[name] {
			delete(p.engines, name)
		}
	}
	slices.SortStableFunc(due, func(a, b platform.VM) int {
		return cmp.Or(
			compareBool(!hasPendingModel(in.Placements[a.Name]), !hasPendingModel(in.Placements[b.Name])),
			p.polledAt(a.Name).Compare(p.polledAt(b.Name)), cmp.Compare(a.Name, b.Name),
		)
	})
	return due[:min(len(due), max(smallFleetPolls, (engines+roundsPerSweep-1)/roundsPerSweep))]
}

// isBackingOff reports whether the last poll of the engine failed less than unansweredPollDelay ago.
func (p *poller) isBackingOff(now time.Time, vm string) bool {
	e := p.engines[vm]
	return e != nil && !e.unansweredSince.IsZero() && now.Sub(e.polledAt) < unansweredPollDelay
}

func (p *poller) polledAt(vm string) time.Time {
	if e := p.engines[vm]; e != nil {
		return e.polledAt
	}
	return time.Time{}
}

// snapshot returns the statuses that are younger than maxStatusAge, and the engines that must not be chosen. A status
// is left out if a later poll was not answered.
func (p *poller) snapshot(now time.Time, placements map[string]config.Placement) (map[string]Status, map[string]bool) {
	statuses, unhealthy := map[string]Status{}, map[string]bool{}
	for name, e := range p.engines {
		unanswered := !e.unansweredSince.IsZero()
		if !unanswered && now.Sub(e.statusAt) < maxStatusAge {
			statuses[name] = e.status
		}
		if e.loadFailedAt.IsZero() && hasFailedLoad(e.status, placements[name]) {
			e.loadFailedAt = now
		}
		if unanswered && now.Sub(e.unansweredSince) >= unhealthyAfter || !e.loadFailedAt.IsZero() && now.Sub(e.loadFailedAt) < failedLoadPenalty {
			unhealthy[name] = true
		}
	}
	return statuses, unhealthy
}

// hasFailedLoad reports whether the engine's load of a chosen model failed.
func hasFailedLoad(status Status, placement config.Placement) bool {
	return slices.ContainsFunc(placement.Models, func(m config.PlacedModel) bool {
		s, ok := status.find(m.Model)
		return ok && !m.Ready && s.Loading == "" && s.Error != ""
	})
}
