package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/task"
)

// Placement chooses endpoints. It owns the table of endpoints and is safe for concurrent use.
type Placement struct {
	// LimitShare returns how many of the requests a second that the endpoint takes from all routers this one may send. Without
	// it the router may send none.
	LimitShare func(vm string, perSecond float64) float64
	// BrittleShare returns how many requests this router may have in progress at a brittle endpoint whose load it doesn't know, and
	// the number of routers that send to it. Without it the router may send one, as the only one.
	BrittleShare func(vm string) (share, routers int)

	owner *task.Owner[table]
	// invalidNotices limits the log lines for notices of endpoints that can't be read.
	invalidNotices *logging.Limiter
	// coldLog gets the lines on cold endpoints, coldLines limits them.
	coldLog   log.Interface
	coldLines *logging.Limiter
}

type table struct {
	*route.Table
	rng *rand.Rand
}

const invalidNoticeLinesPerSecond = 1

// NewPlacement returns a Placement for a router in the availability zone. Its methods block until Run is called.
func NewPlacement(zone string, options route.Options) *Placement {
	return &Placement{invalidNotices: logging.NewLimiter(invalidNoticeLinesPerSecond), coldLines: logging.NewLimiter(coldLinesPerSecond), owner: task.New(&table{
		Table: route.New(route.Location{Zone: zone}, options),
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})}
}

// Run executes the calls of the other methods until ctx ends.
func (p *Placement) Run(ctx context.Context) { p.owner.Run(ctx) }

// Update replaces the set of endpoints.
func (p *Placement) Update(vms []platform.VM) {
	p.owner.Do(func(t *table) {
		t.Update(time.Now(), vms, nil)
		p.logCold(t)
	})
}

// SetEvacuated replaces the set of zones whose endpoints get no requests by an operator's order.
func (p *Placement) SetEvacuated(zones []string) (state route.EvacuatedState) {
	p.owner.Do(func(t *table) { state = t.SetEvacuated(time.Now(), zones) })
	return state
}

// Report records an engine's load report as received now.
func (p *Placement) Report(vm string, r route.LoadReport) {
	p.owner.Post(func(t *table) {
		t.Report(time.Now(), vm, r)
		p.logCold(t)
	})
}

// OwnWork returns what this router has at the endpoints, for the other routers.
func (p *Placement) OwnWork() (work []route.SharedWork) {
	p.owner.Do(func(t *table) { work = t.OwnWork() })
	return work
}

// ApplyWork replaces what is known of the other routers' work.
func (p *Placement) ApplyWork(work []route.SharedWork) {
	p.owner.Post(func(t *table) { t.ApplyWork(time.Now(), work) })
}

// chooseEndpoint chooses an endpoint and counts the request as in flight there. The InFlightRequest is nil if no
// endpoint can be chosen; otherwise it must be passed to finish.
func (p *Placement) chooseEndpoint(r route.Request) (route.Decision, *route.InFlightRequest) {
	var decision route.Decision
	var inFlight *route.InFlightRequest
	p.owner.Do(func(t *table) {
		now := time.Now()
		if decision = t.Choose(now, t.rng, r); decision.OK() {
			inFlight = t.Begin(now, decision)
		}
		p.logCold(t)
	})
	return decision, inFlight
}

// StaleLimits returns the VMs of endpoints whose limit no answer has named for the given time.
func (p *Placement) StaleLimits(age time.Duration) (vms []string) {
	p.owner.Do(func(t *table) { vms = t.StaleLimits(time.Now(), age) })
	return vms
}

// ForgetLimits ends the limits that no answer has named for the given time.
func (p *Placement) ForgetLimits(age time.Duration) {
	p.owner.Post(func(t *table) { t.ForgetLimits(time.Now(), age) })
}

// ForgiveFailures ends the exclusions of endpoints that began at since or later, because this VM had lost its links.
func (p *Placement) ForgiveFailures(since time.Time) {
	p.owner.Post(func(t *table) { t.ForgiveFailures(time.Now(), since) })
}

// servingRun returns a name for the run of the request's endpoint, which differs after a restart; started is the start time that the
// process has stated, or 0. ok is false if the endpoint is leaving or no longer listed, so that its end is planned, or if its fall is
// explained otherwise.
func (p *Placement) servingRun(inFlight *route.InFlightRequest, started int64) (run string, ok bool) {
	p.owner.Do(func(t *table) {
		run, ok = inFlight.Run(started), t.Serves(inFlight) && !t.IsFallExplained(time.Now(), inFlight)
	})
	return run, ok
}

// isLeaving reports whether the request's endpoint is known to be leaving, so that its end is planned.
func (p *Placement) isLeaving(inFlight *route.InFlightRequest) (leaving bool) {
	p.owner.Do(func(t *table) { leaving = t.WasLeaving(inFlight) })
	return leaving
}

// endpointStarted returns the start time of the run of the request's endpoint as a Unix time in ms, 0 if it isn't known.
func (p *Placement) endpointStarted(inFlight *route.InFlightRequest) (started int64) {
	p.owner.Do(func(*table) { started = inFlight.EndpointStarted() })
	return started
}

// recordFirstToken records that the answer has begun. inFlight is nil if another router sent the request.
func (p *Placement) recordFirstToken(inFlight *route.InFlightRequest) {
	if inFlight == nil {
		return
	}
	p.owner.Post(func(t *table) { t.FirstToken(time.Now(), inFlight) })
}

func (p *Placement) finish(inFlight *route.InFlightRequest, result route.Result, outputTokens int) {
	p.owner.Post(func(t *table) { t.Done(time.Now(), inFlight, result, outputTokens) })
}
