package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/lease"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

const (
	// LeaseKey is the platform key of the lease.
	LeaseKey = "lease/placement"
	// DefaultMaxLoads bounds the loads in progress of the whole fleet.
	DefaultMaxLoads = 2
	// candidates is the number of routers that may take the lease, chosen by rendezvous hash. It bounds the platform
	// calls whatever the size of the fleet.
	candidates    = 3
	roundInterval = time.Second
	// writeTimeout bounds a platform call, so that the renewal of the lease does not wait for long.
	writeTimeout   = 3 * time.Second
	releaseTimeout = 2 * time.Second
)

// EngineClient talks to engines. Errors of orders wrap the ErrX values of this package.
type EngineClient interface {
	Status(address string) (Status, error)
	Load(address string, order Order, fencing uint64) error
	Introduce(address, role string, fencing uint64) error
}

// Options configure a Task.
type Options struct {
	Platform platform.Store
	Config   *config.Store
	// Publish spreads accepted configuration changes.
	Publish func([]config.Entry)
	Members member.View
	// VMs returns the platform's VM list without the placements; it is empty while no list is known.
	VMs     func() []platform.VM
	Engines EngineClient
	// MaxLoads is the limit of loads in progress; 0 means DefaultMaxLoads.
	MaxLoads int
	Rand     *rand.Rand
	Log      log.Interface
}

// Task keeps models served while their endpoints leave. Only the holder of the lease gives orders.
type Task struct {
	options Options
	lease   *lease.Lease
	writer  *config.Writer
	poller  *poller
	// fencing is the number for which the stored placements were read; 0 if the lease is not held.
	fencing uint64
	// logged is the last decision that was logged of each model.
	logged map[string]string
}

// New returns a task. Run must be called.
func New(options Options) *Task {
	if options.MaxLoads == 0 {
		options.MaxLoads = DefaultMaxLoads
	}
	t := &Task{
		options: options, writer: config.NewWriter(options.Platform, options.Config, options.Publish),
		poller: newPoller(options.Engines), logged: map[string]string{},
	}
	t.lease = lease.New(lease.Options{
		Store: options.Platform, Key: LeaseKey, Self: options.Members.Self().Instance, IsTerminated: t.isTerminated, Rand: options.Rand,
	})
	return t
}

// Run works until ctx ends and then releases the lease.
func (t *Task) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			if err := t.lease.Release(release); err != nil {
				t.options.Log.WithError(err).Debug("placement lease not released")
			}
			return
		case <-ticker.C:
			t.round(ctx)
		}
	}
}

// round keeps the lease and, if it is held, makes and carries out a plan.
func (t *Task) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*writeTimeout)
	defer cancel()
	if err := t.step(ctx); err != nil {
		t.options.Log.WithError(err).Debug("placement lease: platform call failed")
	}
	fencing, held := t.lease.Valid(time.Now())
	if !held {
		t.fencing = 0
		return
	}
	vms := t.options.VMs()
	if len(vms) == 0 || !t.options.Config.Loaded() || !t.begin(ctx, fencing) {
		return
	}
	in := t.input(vms)
	t.poller.poll(time.Now(), in)
	in.Statuses, in.Bad = t.poller.view(time.Now(), in.Placements)
	plan := Decide(in)
	t.log(plan.Decisions)
	t.carryOut(ctx, in, plan)
}

func (t *Task) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return t.lease.Step(ctx, t.candidate)
}

// begin reads the stored placements from the platform once after each acquisition. The spreading could deliver the
// previous holder's last choices too late, and their loads would not be counted.
func (t *Task) begin(ctx context.Context, fencing uint64) bool {
	if t.fencing == fencing {
		return true
	}
	objects, _, err := t.options.Platform.List(ctx, config.PlacementPrefix)
	if err != nil {
		t.options.Log.WithError(err).Warn("placements not read")
		return false
	}
	entries := make([]config.Entry, len(objects))
	for i, o := range objects {
		entries[i] = config.Entry{Key: o.Key, Revision: o.Revision, Value: o.Value}
	}
	t.options.Config.Merge(entries)
	t.poller.reset()
	t.fencing, t.logged = fencing, map[string]string{}
	t.options.Log.WithFields(log.Fields{"fencing": fencing, "former": t.lease.PreviousHolders()}).Info("placement lease acquired")
	return true
}

func (t *Task) input(vms []platform.VM) Input {
	in := Input{
		VMs: vms, Marked: t.marked, Placements: t.options.Config.Placements(),
		Fencing: t.fencing, PreviousHolders: len(t.lease.PreviousHolders()), MaxLoads: t.options.MaxLoads,
	}
	in.Statuses, in.Bad = t.poller.view(time.Now(), in.Placements)
	return in
}

func (t *Task) marked(vm string) (time.Time, bool) {
	mark, ok := t.options.Config.Mark(vm)
	if !ok || !mark.Leaving {
		return time.Time{}, false
	}
	if mark.Deadline != nil {
		return *mark.Deadline, true
	}
	return time.Time{}, true
}

// candidate reports whether this router is one of those that may take the lease.
func (t *Task) candidate() bool {
	self := t.options.Members.Self()
	var alive []string
	for _, m := range t.options.Members.Members() {
		if m.State == member.Alive && m.Instance != self.Instance {
			alive = append(alive, m.Instance)
		}
	}
	ranked := rendezvous.Rank(LeaseKey, append(alive, self.Instance))
	for _, instance := range ranked[:min(candidates, len(ranked))] {
		if instance == self.Instance {
			return self.State != member.Leaving
		}
	}
	return false
}

// isTerminated reports whether a previous holder is known to give no more orders: its member state is failed and its VM
// is isTerminated from the list. Neither alone is enough, because a cut-off router looks failed and the list can be
// wrong.
func (t *Task) isTerminated(instance string) bool {
	failed := slices.ContainsFunc(t.options.Members.Members(), func(m member.Member) bool {
		return m.Instance == instance && m.State == member.Failed
	})
	if !failed {
		return false
	}
	vms := t.options.VMs()
	for _, vm := range vms {
		if vm.Name == member.VMOf(instance) && vm.State != platform.VMGone {
			return false
		}
	}
	return len(vms) > 0
}

// carryOut stores the choices and gives the orders. The lease is checked before each step; what a pause after the
// check can do is limited by the conditional write, the fencing number and the room that is kept free.
func (t *Task) carryOut(ctx context.Context, in Input, plan Plan) {
	for _, placement := range plan.Writes {
		if err := t.write(ctx, placement); err != nil {
			t.options.Log.WithError(err).WithField("vm", placement.VM).Warn("placement not stored")
		}
	}
	addresses := map[string]string{}
	for _, vm := range in.VMs {
		addresses[vm.Name] = vm.Address
	}
	for _, vm := range plan.Introduce {
		t.give(vm, "fencing number introduced", func(fencing uint64) error {
			return t.options.Engines.Introduce(addresses[vm], in.Statuses[vm].Role, fencing)
		})
	}
	for _, order := range plan.Orders {
		t.poller.ordered(order.VM)
		what := fmt.Sprintf("load of model %s ordered", order.Model)
		t.give(order.VM, what, func(fencing uint64) error { return t.options.Engines.Load(addresses[order.VM], order, fencing) })
	}
}

// give sends one order if the lease is still held.
func (t *Task) give(vm, what string, send func(fencing uint64) error) {
	fencing, held := t.lease.Valid(time.Now())
	if !held || fencing != t.fencing {
		return
	}
	err := send(fencing)
	if errors.Is(err, ErrUncertain) {
		t.lease.MarkUncertain()
	}
	entry := t.options.Log.WithFields(log.Fields{"vm": vm, "fencing": fencing})
	if err != nil {
		entry.WithError(err).Warn(what)
		return
	}
	entry.Info(what)
}

func (t *Task) write(ctx context.Context, placement config.Placement) error {
	if fencing, held := t.lease.Valid(time.Now()); !held || fencing != t.fencing {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := config.KeyOf(config.KindPlacement, placement.VM)
	var revision uint64
	if current, ok := t.options.Config.Lookup(key); ok && !current.Deleted {
		revision = current.Revision
	}
	if len(placement.Models) == 0 && len(placement.Displaced) == 0 {
		return t.writer.Delete(ctx, key, revision)
	}
	value, err := json.Marshal(placement)
	if err != nil {
		return err
	}
	_, err = t.writer.Put(ctx, key, value, revision)
	return err
}

// log writes a line for each decision that differs from the model's last one.
func (t *Task) log(decisions []Decision) {
	for _, d := range decisions {
		text := d.Chosen + "\n" + d.Reason
		if t.logged[d.Model] == text {
			continue
		}
		t.logged[d.Model] = text
		t.options.Log.WithFields(log.Fields{
			"model": d.Model, "candidates": d.Candidates, "chosen": d.Chosen, "reason": d.Reason,
		}).Info("placement decision")
	}
}
