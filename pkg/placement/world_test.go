package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// world is a platform, engines in process and routers that run only the placement task.
type world struct {
	t       *testing.T
	store   *memstore.Store
	engines map[string]*engine.Engine
	vms     []platform.VM
	members []member.Member
	mu      sync.Mutex
	counts  counts
}

// counts has the number of loads in progress, the largest number so far and the number of all loads.
type counts struct{ loads, most, total int }

func (w *world) weights() counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

type router struct {
	*Task
	world  *world
	self   string
	logged *memory.Handler
	// paused holds up the router at the next load order, or at the next status of the engine pauseAt, until it is
	// closed; arrived is closed when that point is reached.
	paused, arrived chan struct{}
	pauseAt         string
	// loseAnswer loses the answers to load orders.
	loseAnswer bool
	refused    int
}

func newWorld(t *testing.T) *world {
	return &world{t: t, store: memstore.New(memstore.Options{Seed: 1}), engines: map[string]*engine.Engine{}}
}

// fetch is the weight store: each load takes 3 s.
func (w *world) fetch(ctx context.Context, _ string, _ int) error {
	w.mu.Lock()
	w.counts.loads, w.counts.total = w.counts.loads+1, w.counts.total+1
	w.counts.most = max(w.counts.most, w.counts.loads)
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	w.counts.loads--
	w.mu.Unlock()
	return ctx.Err()
}

func (w *world) engine(name string, fencing platform.Fencing, maxModels int, models ...string) {
	c := engine.DefaultConfig(models...)
	c.Fencing, c.MaxModels, c.FetchWeights = fencing, maxModels, w.fetch
	e, err := engine.New(c)
	must.NoError(w.t, err)
	w.engines[name] = e
	w.vms = append(w.vms, platform.VM{
		Name: name, Region: "r", Role: platform.RoleEngine, State: platform.VMLive, Address: name, Models: models, Fencing: fencing,
	})
}

func (w *world) router(name string) *router {
	self := name + "@1-0"
	w.members = append(w.members, member.Member{Instance: self, VM: name, State: member.Alive})
	w.vms = append(w.vms, platform.VM{Name: name, Role: platform.RoleEntry, State: platform.VMLive})
	r := &router{world: w, self: self, logged: memory.New()}
	store := config.NewStore()
	store.MergeComplete(nil, 0)
	r.Task = New(Options{
		Platform: w.store.Client(name), Config: store, Members: r, VMs: func() []platform.VM { return w.vms }, Engines: r,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: &log.Logger{Handler: r.logged, Level: log.InfoLevel},
	})
	return r
}

func (r *router) Self() member.Member { return member.Member{Instance: r.self, State: member.Alive} }

func (r *router) Members() []member.Member { return r.world.members }

func (r *router) pause() {
	if paused := r.paused; paused != nil {
		r.paused = nil
		close(r.arrived)
		<-paused
	}
}

func (r *router) Status(address string) (Status, error) {
	if address == r.pauseAt {
		r.pause()
	}
	data, err := json.Marshal(r.world.engines[address].Status())
	must.NoError(r.world.t, err)
	var status Status
	return status, json.Unmarshal(data, &status)
}

func (r *router) Introduce(address, role string, fencing uint64) error {
	return r.give(address, engine.Order{Kind: engine.OrderRole, Role: role, Fencing: fencing})
}

func (r *router) Load(address string, order Order, fencing uint64) error {
	r.pause()
	err := r.give(address, engine.Order{Kind: engine.OrderLoad, Model: order.Model, Version: order.Version, Fencing: fencing})
	if r.loseAnswer {
		return ErrUncertain
	}
	return err
}

func (r *router) give(address string, order engine.Order) error {
	if _, err := r.world.engines[address].Order(order); err != nil {
		r.refused++
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// mark sets or clears a leaving mark at all given routers.
func (w *world) mark(vm string, leaving bool, routers ...*router) {
	value, err := json.Marshal(config.VMMark{VM: vm, Leaving: leaving})
	must.NoError(w.t, err)
	key := config.VMPrefix + vm
	var revision uint64
	if current, err := w.store.Client("operator").Get(w.t.Context(), key); err == nil {
		revision = current.Revision
	}
	object, err := w.store.Client("operator").Put(w.t.Context(), key, value, revision)
	must.NoError(w.t, err)
	for _, r := range routers {
		r.options.Config.Merge([]config.Entry{{Key: key, Revision: object.Revision, Value: value}})
	}
}

// models returns the names of the engine's models in the order of their loads.
func (w *world) models(vm string) []string {
	var names []string
	for _, m := range w.engines[vm].Status().Models {
		names = append(names, m.Model)
	}
	return names
}

// served returns the engines that routers would use for the model, according to a router's configuration.
func (r *router) served(model string) []string {
	var names []string
	for _, vm := range Apply(r.world.vms, r.options.Config.Placements()) {
		if vm.Role == platform.RoleEngine && !r.options.Config.Leaving(vm.Name) && slices.Contains(vm.Models, model) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// rounds runs n rounds of the routers, one each second.
func (w *world) rounds(n int, routers ...*router) {
	for range n {
		for _, r := range routers {
			r.round(w.t.Context())
		}
		time.Sleep(roundInterval)
		synctest.Wait()
	}
}

func (r *router) decisions() []string {
	var lines []string
	for _, e := range r.logged.Entries {
		if e.Message == "placement decision" {
			lines = append(lines, fmt.Sprintf("%v %v -> %v: %v", e.Fields["model"], e.Fields["candidates"], e.Fields["chosen"], e.Fields["reason"]))
		}
	}
	return lines
}
