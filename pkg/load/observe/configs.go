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

// Configs follows the configuration in force at each router.
type Configs struct {
	admin *control.Admin
	fleet fleet.Fleet

	mu       sync.Mutex
	readings []observation.Reading
}

// NewConfigs returns a follower.
func NewConfigs(admin *control.Admin, f fleet.Fleet) *Configs {
	return &Configs{admin: admin, fleet: f}
}

// Run reads until ctx ends.
func (c *Configs) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, r := range c.fleet.Routers {
		tasks.Go(func() { c.follow(ctx, r) })
	}
	tasks.Wait()
}

// follow records each change of a revision at one router.
func (c *Configs) follow(ctx context.Context, router fleet.Router) {
	seen := map[string]uint64{}
	for ctx.Err() == nil {
		for _, kind := range []config.Kind{config.KindClass, config.KindVM, config.KindOrganisation} {
			listed, err := c.admin.List(ctx, router, kind)
			if err != nil {
				break
			}
			now := time.Now()
			for _, o := range listed {
				object := config.KeyOf(kind, o.Name)
				if seen[object] != o.Revision {
					seen[object] = o.Revision
					c.add(observation.Reading{Router: router.VM, Object: object, Revision: o.Revision, At: now})
				}
			}
		}
		sleep.For(ctx, configInterval)
	}
}

func (c *Configs) add(r observation.Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings = append(c.readings, r)
}

// Fill puts what was seen into the observations.
func (c *Configs) Fill(e *observation.Observations) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Readings = c.readings
}
