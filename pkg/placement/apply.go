package placement

import (
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Apply returns the VM list with each engine's models replaced by those that it serves according to the placements. It
// does not modify vms.
func Apply(vms []platform.VM, placements map[string]config.Placement) []platform.VM {
	if len(placements) == 0 {
		return vms
	}
	applied := slices.Clone(vms)
	for i := range applied {
		if p, ok := placements[applied[i].Name]; ok && applied[i].Role == platform.RoleEngine {
			applied[i].Models = servedModels(applied[i], p)
		}
	}
	return applied
}

func servedModels(vm platform.VM, p config.Placement) []string {
	var models []string
	for _, m := range vm.Models {
		if !slices.Contains(p.Displaced, m) {
			models = append(models, m)
		}
	}
	for _, m := range p.Models {
		if m.Ready && !slices.Contains(models, m.Model) {
			models = append(models, m.Model)
		}
	}
	return models
}
