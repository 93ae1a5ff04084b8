package router

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/placement"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// ErrSuperseded means that a later instance is running on this VM.
var ErrSuperseded = errors.New("router: superseded by a later instance on this VM")

// ErrInvariant means that an invariant is broken, so that the process must end.
var ErrInvariant = errors.New("router: broken invariant")

// membershipTimeout bounds the delivery of the VM list to the membership task.
const membershipTimeout = time.Second

// shardCountRetryInterval is the time between attempts to read the number of ledger shards.
const shardCountRetryInterval = 500 * time.Millisecond

// adminVMList returns the newest VM list for the admin API, including the models that placement loaded.
func (r *Router) adminVMList() admin.VMList {
	current := r.vms.Current()
	return admin.VMList{VMs: r.addPlacedModels(current.VMs), ReadAt: current.ReadAt}
}

// listedVMs returns the newest VM list as read from the platform, without the models that placement loaded.
func (r *Router) listedVMs() []platform.VM { return r.vms.Current().VMs }

// addPlacedModels returns the VMs with the models that placement loaded added.
func (r *Router) addPlacedModels(vms []platform.VM) []platform.VM {
	return placement.Apply(vms, r.config.Placements())
}

// updateVMs passes a newer VM list to the selector and to membership.
func (r *Router) updateVMs(vms []platform.VM) {
	r.selector.UpdateVMs(vms)
	removed := map[string]bool{}
	for _, vm := range vms {
		if vm.State == platform.VMGone {
			removed[vm.Name] = true
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	err := errors.Join(r.members.SetSeeds(ctx, r.seedsOf(vms)), r.members.SetRemovedVMs(ctx, removed))
	if err != nil {
		r.log.WithError(err).Warn("failed to pass the VM list to membership")
	}
}

// seeds returns the peer addresses from the settings and the newest VM list.
func (r *Router) seeds() []string { return r.seedsOf(r.vms.Current().VMs) }

// seedsOf returns the peer addresses from the settings and those of the other entry VMs in vms, except VMs
// whose state is VMGone.
func (r *Router) seedsOf(vms []platform.VM) []string {
	seeds := slices.Clone(r.settings.Peers)
	for _, vm := range vms {
		isOwn := vm.PeerAddress == r.self.PeerAddress
		if vm.Role == platform.RoleEntry && vm.State != platform.VMGone && vm.PeerAddress != "" && !isOwn {
			seeds = append(seeds, vm.PeerAddress)
		}
	}
	return seeds
}

// watchMarks reapplies the operators' marks of VMs to the selector whenever the configuration changes.
func (r *Router) watchMarks(ctx context.Context) {
	for {
		changed := r.config.Changed()
		r.selector.ReapplyMarks()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handleSuperseded ends the process because laterInstance runs on this VM. The process can't continue under a new
// instance id, because its present id is part of records at the platform.
func (r *Router) handleSuperseded(laterInstance string) {
	select {
	case r.failures <- fmt.Errorf("%w: %s", ErrSuperseded, laterInstance):
	default:
	}
}
