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
	// DefaultMaxLoads is the default of Options.MaxLoads.
	DefaultMaxLoads = 2
	// candidateRouters is the number of routers that may acquire the lease, chosen by rendezvous hashing. It bounds the
	// number of platform calls for any fleet size.
	candidateRouters = 3
	roundInterval    = time.Second
	// platformCallTimeout keeps a slow platform call from delaying the renewal of the lease for long.
	platformCallTimeout = 3 * time.Second
	releaseTimeout      = 2 * time.Second
)

// EngineClient requests statuses from engines and sends them orders. Errors of Load and SendFencing wrap ErrRefused,
// ErrNotSent or ErrUncertain.
type EngineClient interface {
	Status(address string) (Status, error)
	Load(address string, order Order, fencing uint64) error
	SendFencing(address, role string, fencing uint64) error
}

// Options configure a Task.
type Options struct {
	Platform platform.Store
	Config   *config.Store
	// Publish sends accepted configuration changes to the other routers.
	Publish func([]config.Entry)
	Members member.View
	// VMs returns the platform's VM list without the placements; empty until a list has been read.
	VMs     func() []platform.VM
	Engines EngineClient
	// MaxLoads is the maximum number of concurrent loads in the fleet; 0 means DefaultMaxLoads.
	MaxLoads int
	Rand     *rand.Rand
	Log      log.Interface
}

// Task loads models on other engines before their last endpoints leave. Only the lease holder sends orders.
type Task struct {
	options Options
	lease   *lease.Lease
	writer  *config.Writer
	poller  *poller
	// fencing is the fencing number for which the stored placements were read; 0 if the lease is not held.
	fencing uint64
	// loggedDecisions holds each model's last logged decision.
	loggedDecisions map[string]string
}

// New returns a task, which does nothing until Run is called.
func New(options Options) *Task {
	if options.MaxLoads == 0 {
		options.MaxLoads = DefaultMaxLoads
	}
	t := &Task{
		options: options, writer: config.NewWriter(options.Platform, options.Config, options.Publish),
		poller: newPoller(options.Engines), loggedDecisions: map[string]string{},
	}
	t.lease = lease.New(lease.Options{
		Store: options.Platform, Key: LeaseKey, Self: options.Members.Self().Instance, IsTerminated: t.isTerminated, Rand: options.Rand,
	})
	return t
}

// Run executes one round per roundInterval until ctx ends, and then releases the lease.
func (t *Task) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			if err := t.lease.Release(release); err != nil {
				t.options.Log.WithError(err).Debug("failed to release placement lease")
			}
			return
		case <-ticker.C:
			t.runRound(ctx)
		}
	}
}

// runRound acquires or renews the lease and, if it is held, makes and executes a plan.
func (t *Task) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformCallTimeout)
	defer cancel()
	if err := t.stepLease(ctx); err != nil {
		t.options.Log.WithError(err).Debug("placement lease: platform call failed")
	}
	fencing, held := t.lease.Valid(time.Now())
	if !held {
		t.fencing = 0
		return
	}
	vms := t.options.VMs()
	if len(vms) == 0 || !t.options.Config.Loaded() || !t.loadStoredPlacements(ctx, fencing) {
		return
	}
	in := t.newInput(vms)
	t.poller.poll(time.Now(), in)
	in.Statuses, in.Unhealthy = t.poller.snapshot(time.Now(), in.Placements)
	plan := Decide(in)
	t.logDecisions(plan.Decisions)
	t.executePlan(ctx, in, plan)
}

func (t *Task) stepLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	return t.lease.Step(ctx, t.isCandidate)
}

// loadStoredPlacements reads the stored placements from the platform once after each acquisition of the lease. The
// propagation between routers could deliver the previous holder's last choices too late, and their loads would not be
// counted.
func (t *Task) loadStoredPlacements(ctx context.Context, fencing uint64) bool {
	if t.fencing == fencing {
		return true
	}
	objects, _, err := t.options.Platform.List(ctx, config.PlacementPrefix)
	if err != nil {
		t.options.Log.WithError(err).Warn("failed to read placements")
		return false
	}
	entries := make([]config.Entry, len(objects))
	for i, o := range objects {
		entries[i] = config.Entry{Key: o.Key, Revision: o.Revision, Value: o.Value}
	}
	t.options.Config.Merge(entries)
	t.poller.reset()
	t.fencing, t.loggedDecisions = fencing, map[string]string{}
	t.options.Log.WithFields(log.Fields{"fencing": fencing, "former": t.lease.PreviousHolders()}).Info("placement lease acquired")
	return true
}

func (t *Task) newInput(vms []platform.VM) Input {
	in := Input{
		VMs: vms, LeavingMark: t.leavingMark, Placements: t.options.Config.Placements(),
		Fencing: t.fencing, PreviousHolders: len(t.lease.PreviousHolders()), MaxLoads: t.options.MaxLoads,
	}
	in.Statuses, in.Unhealthy = t.poller.snapshot(time.Now(), in.Placements)
	return in
}

func (t *Task) leavingMark(vm string) (time.Time, bool) {
	mark, ok := t.options.Config.Mark(vm)
	if !ok || !mark.Leaving {
		return time.Time{}, false
	}
	if mark.Deadline != nil {
		return *mark.Deadline, true
	}
	return time.Time{}, true
}

// isCandidate reports whether this router is one of those that may acquire the lease.
func (t *Task) isCandidate() bool {
	self := t.options.Members.Self()
	var alive []string
	for _, m := range t.options.Members.Members() {
		if m.State == member.Alive && m.Instance != self.Instance {
			alive = append(alive, m.Instance)
		}
	}
	ranked := rendezvous.Rank(LeaseKey, append(alive, self.Instance))
	for _, instance := range ranked[:min(candidateRouters, len(ranked))] {
		if instance == self.Instance {
			return self.State != member.Leaving
		}
	}
	return false
}

// isTerminated reports whether a previous holder certainly sends no more orders: its member state is failed and its VM
// is gone or not in the VM list. Neither alone is enough, because a router without network connection also has the
// state failed, and the list can be wrong.
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

// executePlan stores the choices and sends the orders. The lease is checked before each write and order. If the process
// is paused after a check and another router takes the lease, the conditional write, the fencing number and the room
// kept free for previous holders limit the effect.
func (t *Task) executePlan(ctx context.Context, in Input, plan Plan) {
	for _, placement := range plan.Writes {
		if err := t.writePlacement(ctx, placement); err != nil {
			t.options.Log.WithError(err).WithField("vm", placement.VM).Warn("failed to store placement")
		}
	}
	addresses := map[string]string{}
	for _, vm := range in.VMs {
		addresses[vm.Name] = vm.Address
	}
	for _, vm := range plan.FencingUpdates {
		t.sendOrder(vm, "fencing number order", func(fencing uint64) error {
			return t.options.Engines.SendFencing(addresses[vm], in.Statuses[vm].Role, fencing)
		})
	}
	for _, order := range plan.Orders {
		t.poller.clearLoadFailure(order.VM)
		message := fmt.Sprintf("load order for model %s", order.Model)
		t.sendOrder(order.VM, message, func(fencing uint64) error { return t.options.Engines.Load(addresses[order.VM], order, fencing) })
	}
}

// sendOrder sends one order if the lease is still held, and logs message with the outcome.
func (t *Task) sendOrder(vm, message string, send func(fencing uint64) error) {
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
		entry.WithError(err).Warn(message)
		return
	}
	entry.Info(message)
}

func (t *Task) writePlacement(ctx context.Context, placement config.Placement) error {
	if fencing, held := t.lease.Valid(time.Now()); !held || fencing != t.fencing {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
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

// logDecisions logs each decision that differs from the model's last logged one.
func (t *Task) logDecisions(decisions []Decision) {
	for _, d := range decisions {
		text := d.Chosen + "\n" + d.Reason
		if t.loggedDecisions[d.Model] == text {
			continue
		}
		t.loggedDecisions[d.Model] = text
		t.options.Log.WithFields(log.Fields{
			"model": d.Model, "candidates": d.Candidates, "chosen": d.Chosen, "reason": d.Reason,
		}).Info("placement decision")
	}
}
