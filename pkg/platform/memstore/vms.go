package memstore

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxVMLists bounds the kept versions of the VM list. Older versions than these become visible at once.
const maxVMLists = 1024

// vmList is one version of the VM list.
type vmList struct {
	number int
	at     time.Time
	vms    []platform.VM
}

// SetVMs replaces the VM list. The first list is visible at once, later ones after the lag.
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

// CheckVM returns an error that names the wrong field of a VM.
func CheckVM(vm platform.VM) error {
	if vm.Name == "" {
		return fmt.Errorf("name: is missing")
	}
	switch vm.Role {
	case platform.RoleEntry, platform.RoleEngine, platform.RoleService:
	default:
		return fmt.Errorf("role: VM %s has the unknown role %q", vm.Name, vm.Role)
	}
	return checkState(vm.State)
}

func checkState(state platform.VMState) error {
	switch state {
	case platform.VMLive, platform.VMLeaving, platform.VMGone:
		return nil
	}
	return fmt.Errorf("state: unknown VM state %q", state)
}

// SetVMState changes the state and the deadline of a VM in the list.
func (s *Store) SetVMState(name string, state platform.VMState, deadline *time.Time) error {
	if err := checkState(state); err != nil {
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

// newestVMs returns a copy of the newest list. The caller holds mu.
func (s *Store) newestVMs() []platform.VM {
	if len(s.vmLists) == 0 {
		return nil
	}
	return slices.Clone(s.vmLists[len(s.vmLists)-1].vms)
}

// addVMs appends a version of the list. The caller holds mu.
func (s *Store) addVMs(vms []platform.VM) {
	list := vmList{at: s.clock.Now(), vms: vms}
	if n := len(s.vmLists); n > 0 {
		list.number = s.vmLists[n-1].number + 1
	}
	s.vmLists = append(s.vmLists, list)
	if len(s.vmLists) > maxVMLists {
		s.vmLists = slices.Delete(s.vmLists, 0, 1)
	}
}

// visibleVMs returns the newest list that is older than the lag. A client never sees a list older than one that it
// has already seen, even if the lag grows.
func (s *Store) visibleVMs(client string) []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.vmLists) == 0 {
		return nil
	}
	limit := s.clock.Now().Add(-max(s.lag, s.delay(FaultVMLag, client)))
	visible := s.vmLists[0]
	for _, list := range s.vmLists[1:] {
		if !list.at.After(limit) || list.number <= s.vmSeen[client] {
			visible = list
		}
	}
	s.vmSeen[client] = visible.number
	return slices.Clone(visible.vms)
}
