// Package withdraw takes VMs out of service before they are switched off.
package withdraw

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Progress is the state of one VM's withdrawal.
type Progress struct {
	VM string
	// State is a state of the withdrawal chart.
	State string
	// Awaited describes the work that the withdrawal still waits for.
	Awaited []string
	// Remaining is the estimated time to the end of the withdrawal; negative if it is not known.
	Remaining time.Duration
	// Deadline is the time by which the VM must have no work left; zero if there is none.
	Deadline time.Time
	// BlockedBy lists the models and services that would have no endpoint left.
	BlockedBy []string
}

// LastEndpointOf returns the models and services that would lose their last endpoint if the VM were withdrawn, as
// "model <name>" or "service <name>", sorted. VMs that are not live, or that are marked as leaving, do not count as
// remaining endpoints.
func LastEndpointOf(vm string, vms []platform.VM, isMarked func(vm string) bool) []string {
	remaining := map[string]bool{}
	var served []string
	for _, v := range vms {
		if v.Name == vm {
			served = servedBy(v)
			continue
		}
		if v.State == platform.VMLive && !isMarked(v.Name) {
			for _, name := range servedBy(v) {
				remaining[name] = true
			}
		}
	}
	var blocked []string
	for _, name := range served {
		if !remaining[name] {
			blocked = append(blocked, name)
		}
	}
	slices.Sort(blocked)
	return blocked
}

// servedBy returns the models or the service of a VM, in the form of LastEndpointOf.
func servedBy(v platform.VM) []string {
	var names []string
	switch v.Role {
	case platform.RoleEngine:
		for _, m := range v.Models {
			names = append(names, "model "+m)
		}
	case platform.RoleService:
		names = append(names, "service "+v.Service)
	}
	return names
}
