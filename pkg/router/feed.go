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

// ErrSuperseded means that a later instance runs on this VM.
var ErrSuperseded = errors.New("router: superseded by a later instance on this VM")

// ErrInvariant means that an invariant was broken and the process must not go on.
var ErrInvariant = errors.New("router: broken invariant")

// memberTimeout bounds a message to the membership task.
const memberTimeout = time.Second

// retryInterval is the pause after a failed platform call.
const retryInterval = 500 * time.Millisecond

// vmList returns the newest VM list for the admin API, with the placed models.
func (r *Router) vmList() admin.VMList {
	list := r.vms.Current()
	return admin.VMList{VMs: r.placed(list.VMs), ReadAt: list.ReadAt}
}

// listedVMs returns the newest VM list as the platform gave it.
func (r *Router) listedVMs() []platform.VM { return r.vms.Current().VMs }

// placed adds the models that placement loaded.
func (r *Router) placed(vms []platform.VM) []platform.VM {
	return placement.Apply(vms, r.config.Placements())
}

// updateVMs passes a newer VM list to the parts that use it.
func (r *Router) updateVMs(vms []platform.VM) {
	r.selector.UpdateVMs(vms)
	gone := map[string]bool{}
	for _, vm := range vms {
		if vm.State == platform.VMGone {
			gone[vm.Name] = true
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberTimeout)
	defer cancel()
	err := errors.Join(r.members.SetSeeds(ctx, r.seedsOf(vms)), r.members.SetRemovedVMs(ctx, gone))
	if err != nil {
		r.log.WithError(err).Warn("membership did not take the VM list")
	}
}

// seeds returns peer addresses that may belong to routers.
func (r *Router) seeds() []string { return r.seedsOf(r.vms.Current().VMs) }

func (r *Router) seedsOf(vms []platform.VM) []string {
	seeds := slices.Clone(r.settings.Peers)
	for _, vm := range vms {
		own := vm.PeerAddress == r.self.PeerAddress
		if vm.Role == platform.RoleEntry && vm.State != platform.VMGone && vm.PeerAddress != "" && !own {
			seeds = append(seeds, vm.PeerAddress)
		}
	}
	return seeds
}

// watchMarks applies operators' marks as soon as the configuration changes.
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

// superseded ends the process when a later instance runs on this VM. Its id is in records at the platform, so it
// can't go on under another one.
func (r *Router) superseded(by string) {
	select {
	case r.failed <- fmt.Errorf("%w: %s", ErrSuperseded, by):
	default:
	}
}
