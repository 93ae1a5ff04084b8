package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/task"
)

// Placement chooses endpoints. It owns the table of endpoints and is safe for concurrent use.
type Placement struct {
	owner *task.Owner[table]
}

type table struct {
	*route.Table
	rng *rand.Rand
}

// NewPlacement returns a Placement for a router in the availability zone; its methods wait until Run is called.
func NewPlacement(zone string, options route.Options) *Placement {
	return &Placement{owner: task.New(&table{
		Table: route.New(route.Location{Zone: zone}, options),
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})}
}

// Run serves the placement until ctx ends.
func (p *Placement) Run(ctx context.Context) { p.owner.Run(ctx) }

// Update replaces the endpoints.
func (p *Placement) Update(vms []platform.VM) {
	p.owner.Do(func(t *table) { t.Update(time.Now(), vms, nil) })
}

// Report takes an engine's report of its load that arrived now.
func (p *Placement) Report(vm string, r route.LoadReport) {
	p.owner.Post(func(t *table) { t.Report(time.Now(), vm, r) })
}

// begin chooses an endpoint and accounts for the request that is sent there. The flight is nil if there is none.
func (p *Placement) begin(r route.Request) (route.Decision, *route.InFlightRequest) {
	var d route.Decision
	var f *route.InFlightRequest
	p.owner.Do(func(t *table) {
		now := time.Now()
		if d = t.Choose(now, t.rng, r); d.OK() {
			f = t.Begin(now, d)
		}
	})
	return d, f
}

func (p *Placement) first(f *route.InFlightRequest) {
	p.owner.Post(func(t *table) { t.FirstToken(time.Now(), f) })
}

func (p *Placement) done(f *route.InFlightRequest, result route.Result, outputTokens int) {
	p.owner.Post(func(t *table) { t.Done(time.Now(), f, result, outputTokens) })
}
