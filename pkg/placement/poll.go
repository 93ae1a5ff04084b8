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
	// statusAge is the age up to which a status is used.
	statusAge = 10 * time.Second
	// minPolls is the least number of engines that are asked in one round. While a model has no endpoint, all
	// engines are asked within roundsPerSweep rounds, which is less than statusAge.
	minPolls       = 32
	roundsPerSweep = 8
	concurrentPoll = 32
	// restTime is the time between two questions to an engine that does not answer. Time-outs of many engines would
	// otherwise make rounds so long that the lease expires.
	restTime = 2 * time.Second
	// badAfter is the time without an answer after which an engine is not chosen, badTime how long a failed load
	// keeps it from being chosen.
	badAfter = 10 * time.Second
	badTime  = 30 * time.Second
)

// engineState is what the poller knows about one engine.
type engineState struct {
	status Status
	// readAt is the time of the last answer, askedAt that of the last question, silentSince that of the first
	// question without an answer since then.
	readAt, askedAt, silentSince time.Time
	// failedAt is the time at which a failed load was first seen after the last order.
	failedAt time.Time
}

// poller keeps the statuses of engines. It is owned by the placement task.
type poller struct {
	client  EngineClient
	engines map[string]*engineState
}

func newPoller(client EngineClient) *poller {
	return &poller{client: client, engines: map[string]*engineState{}}
}

// reset forgets all statuses.
func (p *poller) reset() { clear(p.engines) }

// ordered records that an order is about to be given.
func (p *poller) ordered(vm string) {
	if e := p.engines[vm]; e != nil {
		e.failedAt = time.Time{}
	}
}

// poll asks the engines whose status matters: those with a placement, and all while a model has no endpoint.
func (p *poller) poll(now time.Time, in Input) {
	due := p.due(now, in)
	type answer struct {
		vm     string
		status Status
		err    error
	}
	answers := pool.NewWithResults[answer]().WithMaxGoroutines(concurrentPoll)
	for _, vm := range due {
		answers.Go(func() answer {
			status, err := p.client.Status(vm.Address)
			return answer{vm.Name, status, err}
		})
	}
	for _, a := range answers.Wait() {
		e := p.engines[a.vm]
		if e == nil {
			e = &engineState{}
			p.engines[a.vm] = e
		}
		e.askedAt = now
		if a.err == nil {
			e.status, e.readAt, e.silentSince = a.status, now, time.Time{}
		} else if e.silentSince.IsZero() {
			e.silentSince = now
		}
	}
}

func (p *poller) due(now time.Time, in Input) []platform.VM {
	unserved := Unserved(in)
	var due []platform.VM
	engines := 0
	listed := map[string]bool{}
	for _, vm := range in.VMs {
		if vm.Role != platform.RoleEngine || vm.State == platform.VMGone {
			continue
		}
		engines++
		listed[vm.Name] = true
		if _, placed := in.Placements[vm.Name]; (placed || unserved) && !p.resting(now, vm.Name) {
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
			compareBool(!hasOpen(in.Placements[a.Name]), !hasOpen(in.Placements[b.Name])),
			p.askedAt(a.Name).Compare(p.askedAt(b.Name)), cmp.Compare(a.Name, b.Name),
		)
	})
	return due[:min(len(due), max(minPolls, (engines+roundsPerSweep-1)/roundsPerSweep))]
}

// resting reports whether the engine did not answer a short time ago.
func (p *poller) resting(now time.Time, vm string) bool {
	e := p.engines[vm]
	return e != nil && !e.silentSince.IsZero() && now.Sub(e.askedAt) < restTime
}

func (p *poller) askedAt(vm string) time.Time {
	if e := p.engines[vm]; e != nil {
		return e.askedAt
	}
	return time.Time{}
}

// view returns the statuses that are recent enough, and the engines that should not be chosen.
func (p *poller) view(now time.Time, placements map[string]config.Placement) (map[string]Status, map[string]bool) {
	statuses, bad := map[string]Status{}, map[string]bool{}
	for name, e := range p.engines {
		silent := !e.silentSince.IsZero()
		if !silent && now.Sub(e.readAt) < statusAge {
			statuses[name] = e.status
		}
		if e.failedAt.IsZero() && failed(e.status, placements[name]) {
			e.failedAt = now
		}
		if silent && now.Sub(e.silentSince) >= badAfter || !e.failedAt.IsZero() && now.Sub(e.failedAt) < badTime {
			bad[name] = true
		}
	}
	return statuses, bad
}

// failed reports whether a load of a chosen model failed.
func failed(status Status, placement config.Placement) bool {
	return slices.ContainsFunc(placement.Models, func(m config.PlacedModel) bool {
		s, ok := status.find(m.Model)
		return ok && !m.Ready && s.Loading == "" && s.Error != ""
	})
}
