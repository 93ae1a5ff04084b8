package selector

import (
	"context"
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
	// vms has an entry for each VM that a stream was sent to.
	vms map[string]evacuation
}

type evacuation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newEvacuations() evacuations { return evacuations{vms: map[string]evacuation{}} }

// context returns the VM's context, which ends when streams must move.
func (e *evacuations) context(vm string) context.Context {
	v, ok := e.vms[vm]
	if !ok {
		v.ctx, v.cancel = context.WithCancel(context.Background())
		e.vms[vm] = v
	}
	return v.ctx
}

// update ends the contexts of VMs whose time has come, and begins new ones for VMs that stay after all.
func (e *evacuations) update(now time.Time, vms []platform.VM, deadline func(platform.VM) (time.Time, bool)) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		at, leaving := deadline(vm)
		due := vm.State == platform.VMGone || leaving && !now.Before(at.Add(-evacuationMargin))
		e.set(vm.Name, due)
	}
	for vm, v := range e.vms {
		if !listed[vm] {
			v.cancel()
			delete(e.vms, vm)
		}
	}
}

func (e *evacuations) set(vm string, due bool) {
	v, ok := e.vms[vm]
	switch {
	case !ok:
	case due:
		v.cancel()
	case v.ctx.Err() != nil:
		delete(e.vms, vm)
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
