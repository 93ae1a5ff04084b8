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

// world simulates a platform, in-process engines and routers that run only the placement task.
type world struct {
	t       *testing.T
	store   *memstore.Store
	engines map[string]*engine.Engine
	vms     []platform.VM
	members []member.Member
	mu      sync.Mutex
	counts  counts
}

// counts holds the number of loads in progress, its maximum so far and the total number of loads.
type counts struct{ loads, maxLoads, total int }

func (w *world) loadCounts() counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

type router struct {
	*Task
	world  *world
	self   string
	logged *memory.Handler
	// resume, if not nil, pauses the router at the next load order, or at the next status request to the engine pauseAt,
	// until it is closed. atPause is closed when the router has reached that point.
	resume, atPause chan struct{}
	pauseAt         string
	// loseResponse drops the responses to load orders.
	loseResponse bool
	refused      int
}

func newWorld(t *testing.T) *world {
	return &world{t: t, store: memstore.New(memstore.Options{Seed: 1}), engines: map[string]*engine.Engine{}}
}

// fetchWeights simulates the weight store, where each load takes 3 s.
func (w *world) fetchWeights(ctx context.Context, _ string, _ int) error {
	w.mu.Lock()
	w.counts.loads, w.counts.total = w.counts.loads+1, w.counts.total+1
	w.counts.maxLoads = max(w.counts.maxLoads, w.counts.loads)
	w.mu.Unlock()
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	w.counts.loads--
	w.mu.Unlock()
	return ctx.Err()
}

func (w *world) addEngine(name string, fencing platform.Fencing, maxModels int, models ...string) {
	c := engine.DefaultConfig(models...)
	c.Fencing, c.MaxModels, c.FetchWeights = fencing, maxModels, w.fetchWeights
	e, err := engine.New(c)
	must.NoError(w.t, err)
	w.engines[name] = e
	w.vms = append(w.vms, platform.VM{
		Name: name, Region: "r", Role: platform.RoleEngine, State: platform.VMLive, Address: name, Models: models, Fencing: fencing,
	})
}

func (w *world) addRouter(name string) *router {
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

func (r *router) pauseIfRequested() {
	if resume := r.resume; resume != nil {
		r.resume = nil
		close(r.atPause)
		<-resume
	}
}

func (r *router) Status(address string) (Status, error) {
	if address == r.pauseAt {
		r.pauseIfRequested()
	}
	data, err := json.Marshal(r.world.engines[address].Status())
	must.NoError(r.world.t, err)
	var status Status
	return status, json.Unmarshal(data, &status)
}

func (r *router) SendFencing(address, role string, fencing uint64) error {
	return r.applyOrder(address, engine.Order{Kind: engine.OrderRole, Role: role, Fencing: fencing})
}

func (r *router) Load(address string, order Order, fencing uint64) error {
	r.pauseIfRequested()
	err := r.applyOrder(address, engine.Order{Kind: engine.OrderLoad, Model: order.Model, Version: order.Version, Fencing: fencing})
	if r.loseResponse {
		return ErrUncertain
	}
	return err
}

func (r *router) applyOrder(address string, order engine.Order) error {
	if _, err := r.world.engines[address].Order(order); err != nil {
		r.refused++
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// setLeavingMark sets or clears a leaving mark in the store and at the given routers.
func (w *world) setLeavingMark(vm string, leaving bool, routers ...*router) {
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

// loadedModels returns the names of the engine's models in the order of their loads.
func (w *world) loadedModels(vm string) []string {
	var names []string
	for _, m := range w.engines[vm].Status().Models {
		names = append(names, m.Model)
	}
	return names
}

// servingEngines returns the engines that would get requests for the model, according to this router's configuration.
func (r *router) servingEngines(model string) []string {
	var names []string
	for _, vm := range Apply(r.world.vms, r.options.Config.Placements()) {
		if vm.Role == platform.RoleEngine && !r.options.Config.Leaving(vm.Name) && slices.Contains(vm.Models, model) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// runRounds runs n rounds of the routers, one per roundInterval.
func (w *world) runRounds(n int, routers ...*router) {
	for range n {
		for _, r := range routers {
			r.runRound(w.t.Context())
		}
		time.Sleep(roundInterval)
		synctest.Wait()
	}
}

func (r *router) decisionLog() []string {
	var lines []string
	for _, e := range r.logged.Entries {
		if e.Message == "placement decision" {
			lines = append(lines, fmt.Sprintf("%v %v -> %v: %v", e.Fields["model"], e.Fields["candidates"], e.Fields["chosen"], e.Fields["reason"]))
		}
	}
	return lines
}
