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
	// Awaited lists what the withdrawal still waits for.
	Awaited []string
	// Remaining is the estimated time to the end; negative if it is not known.
	Remaining time.Duration
	// Deadline is the time by which the VM must be free of work; zero if none is known.
	Deadline time.Time
	// BlockedBy lists the models and services that would have no endpoint left.
	BlockedBy []string
}

// LastEndpointOf returns what would lose its last endpoint if the VM were withdrawn, as "model <name>" or
// "service <name>", sorted. VMs that are gone, leaving or marked do not count as remaining endpoints.
func LastEndpointOf(vm string, vms []platform.VM, marked func(vm string) bool) []string {
	remaining := map[string]bool{}
	var offered []string
	for _, v := range vms {
		if v.Name == vm {
			offered = offers(v)
			continue
		}
		if v.State == platform.VMLive && !marked(v.Name) {
			for _, o := range offers(v) {
				remaining[o] = true
			}
		}
	}
	var blocked []string
	for _, o := range offered {
		if !remaining[o] {
			blocked = append(blocked, o)
		}
	}
	slices.Sort(blocked)
	return blocked
}

func offers(v platform.VM) []string {
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
