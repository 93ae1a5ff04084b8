package memstore

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxVMLists bounds the number of stored versions of the VM list. When the oldest version is removed, the next one
// becomes visible even if the lag has not passed.
const maxVMLists = 1024

// vmList is one version of the VM list.
type vmList struct {
	version   int
	changedAt time.Time
	vms       []platform.VM
}

// SetVMs replaces the VM list. The first list is visible immediately, later ones after the lag.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addVMs(slices.Clone(vms))
}

// PutVM adds a VM to the list or replaces the VM of the same name.
func (s *Store) PutVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := s.newestVMs()
	if i := slices.IndexFunc(vms, func(v platform.VM) bool { return v.Name == vm.Name }); i >= 0 {
		vms[i] = vm
	} else {
		vms = append(vms, vm)
	}
	s.addVMs(vms)
}

// CheckVM returns an error that names the invalid field of a VM.
func CheckVM(vm platform.VM) error {
	if vm.Name == "" {
		return fmt.Errorf("name: is missing")
	}
	switch vm.Role {
	case platform.RoleEntry, platform.RoleEngine, platform.RoleService:
	default:
		return fmt.Errorf("role: VM %s has the unknown role %q", vm.Name, vm.Role)
	}
	return checkVMState(vm.State)
}

func checkVMState(state platform.VMState) error {
	switch state {
	case platform.VMLive, platform.VMLeaving, platform.VMGone:
		return nil
	}
	return fmt.Errorf("state: unknown VM state %q", state)
}

// SetVMState changes the state and the deadline of a VM in the list.
func (s *Store) SetVMState(name string, state platform.VMState, deadline *time.Time) error {
	if err := checkVMState(state); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := s.newestVMs()
	i := slices.IndexFunc(vms, func(v platform.VM) bool { return v.Name == name })
	if i < 0 {
		return fmt.Errorf("name: no VM %q in the list", name)
	}
	vms[i].State = state
	vms[i].Deadline = deadline
	s.addVMs(vms)
	return nil
}

// newestVMs returns a copy of the newest VM list. The caller holds mu.
func (s *Store) newestVMs() []platform.VM {
	if len(s.vmLists) == 0 {
		return nil
	}
	return slices.Clone(s.vmLists[len(s.vmLists)-1].vms)
}

// addVMs appends a version of the VM list. The caller holds mu.
func (s *Store) addVMs(vms []platform.VM) {
	list := vmList{changedAt: s.clock.Now(), vms: vms}
	if n := len(s.vmLists); n > 0 {
		list.version = s.vmLists[n-1].version + 1
	}
	s.vmLists = append(s.vmLists, list)
	if len(s.vmLists) > maxVMLists {
		s.vmLists = slices.Delete(s.vmLists, 0, 1)
	}
}

// visibleVMs returns the newest list that is at least as old as the lag. A client never receives a list older than one
// that it has already received, even if the lag grows.
func (s *Store) visibleVMs(client string) []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.vmLists) == 0 {
		return nil
	}
	cutoff := s.clock.Now().Add(-max(s.vmLag, s.longestDelay(FaultVMLag, client)))
	visible := s.vmLists[0]
	for _, list := range s.vmLists[1:] {
		if !list.changedAt.After(cutoff) || list.version <= s.lastVMVersion[client] {
			visible = list
		}
	}
	s.lastVMVersion[client] = visible.version
	return slices.Clone(visible.vms)
}
