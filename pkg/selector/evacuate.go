package selector

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// evacuationMargin is the time before the deadline of a leaving VM at which its streams are moved away. It leaves
// room for one failed attempt at another endpoint.
const evacuationMargin = 10 * time.Second

// evacuationCheck is the time between two looks at the deadlines.
const evacuationCheck = time.Second

// evacuations tells streams when they must leave their VM.
type evacuations struct {
	// channels has an entry for each VM that a stream was sent to; it is closed when streams must move.
	channels map[string]chan struct{}
	closed   map[string]bool
}

func newEvacuations() evacuations {
	return evacuations{channels: map[string]chan struct{}{}, closed: map[string]bool{}}
}

// channel returns the VM's channel.
func (e *evacuations) channel(vm string) <-chan struct{} {
	c, ok := e.channels[vm]
	if !ok {
		c = make(chan struct{})
		e.channels[vm] = c
	}
	return c
}

// update closes the channels of VMs whose time has come, and opens those of VMs that stay after all.
func (e *evacuations) update(now time.Time, vms []platform.VM, deadline func(platform.VM) (time.Time, bool)) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		at, leaving := deadline(vm)
		due := vm.State == platform.VMGone || leaving && !now.Before(at.Add(-evacuationMargin))
		e.set(vm.Name, due)
	}
	for vm := range e.channels {
		if !listed[vm] {
			e.set(vm, true)
			delete(e.channels, vm)
			delete(e.closed, vm)
		}
	}
}

func (e *evacuations) set(vm string, due bool) {
	c, ok := e.channels[vm]
	switch {
	case due && ok && !e.closed[vm]:
		close(c)
		e.closed[vm] = true
	case !due && e.closed[vm]:
		delete(e.channels, vm)
		delete(e.closed, vm)
	}
}

// deadlineOf returns the time by which a leaving VM must be free of work, the earlier one of the platform's and the
// operator's. It reports false if the VM is not leaving or no time is known.
func (s *Selector) deadlineOf(vm platform.VM) (time.Time, bool) {
	var deadline time.Time
	if vm.State == platform.VMLeaving && vm.Deadline != nil {
		deadline = *vm.Deadline
	}
	if s.Mark != nil {
		mark, ok := s.Mark(vm.Name)
		if ok && mark.Leaving && mark.Deadline != nil && (deadline.IsZero() || mark.Deadline.Before(deadline)) {
			deadline = *mark.Deadline
		}
	}
	return deadline, !deadline.IsZero()
}
