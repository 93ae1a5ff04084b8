package observe

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

// configInterval is the time between two readings of a router's configuration.
const configInterval = 500 * time.Millisecond

// Configs polls the configuration in force at each router of a fleet.
type Configs struct {
	admin *control.Admin
	fleet fleet.Fleet

	mu       sync.Mutex
	readings []observation.Reading
}

// NewConfigs returns an observer of the routers of the fleet. Run starts the polling.
func NewConfigs(admin *control.Admin, f fleet.Fleet) *Configs {
	return &Configs{admin: admin, fleet: f}
}

// Run polls all routers until ctx ends.
func (c *Configs) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, r := range c.fleet.Routers {
		tasks.Go(func() { c.pollRouter(ctx, r) })
	}
	tasks.Wait()
}

// pollRouter records the first reading of each configuration object at one router, and each change of its revision.
func (c *Configs) pollRouter(ctx context.Context, router fleet.Router) {
	revisions := map[string]uint64{}
	for ctx.Err() == nil {
		for _, kind := range []config.Kind{config.KindClass, config.KindVM, config.KindOrganisation} {
			listed, err := c.admin.List(ctx, router, kind)
			if err != nil {
				break
			}
			now := time.Now()
			for _, o := range listed {
				object := config.KeyOf(kind, o.Name)
				if revisions[object] != o.Revision {
					revisions[object] = o.Revision
					c.addReading(observation.Reading{Router: router.VM, Object: object, Revision: o.Revision, At: now})
				}
			}
		}
		sleep.For(ctx, configInterval)
	}
}

func (c *Configs) addReading(r observation.Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings = append(c.readings, r)
}

// Fill sets the readings in the observations.
func (c *Configs) Fill(observations *observation.Observations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observations.Readings = c.readings
}
