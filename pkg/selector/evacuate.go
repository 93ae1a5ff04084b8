package selector

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// evacuationMargin is the time before the deadline of a leaving VM at which its streams are moved to other endpoints. It
// leaves time for one failed attempt.
const evacuationMargin = 10 * time.Second

// evacuationCheckInterval is the time between two checks of the deadlines.
const evacuationCheckInterval = time.Second

// evacuations holds the contexts that signal streams to move to another VM.
type evacuations struct {
	// vms has an entry for each VM that a request was sent to.
	vms map[string]evacuation
}

type evacuation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newEvacuations() evacuations { return evacuations{vms: map[string]evacuation{}} }

// contextFor returns the VM's context, which is cancelled when its streams must move to other endpoints.
func (e *evacuations) contextFor(vm string) context.Context {
	v, ok := e.vms[vm]
	if !ok {
		v.ctx, v.cancel = context.WithCancel(context.Background())
		e.vms[vm] = v
	}
	return v.ctx
}

// update cancels the contexts of VMs that are gone, no longer listed, or within evacuationMargin of their deadline. If
// a VM with a cancelled context stays after all, such as after its mark was removed, update deletes that context, so
// that the next request gets a new one.
func (e *evacuations) update(now time.Time, vms []platform.VM, deadline func(platform.VM) (time.Time, bool)) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		vmDeadline, leaving := deadline(vm)
		due := vm.State == platform.VMGone || leaving && !now.Before(vmDeadline.Add(-evacuationMargin))
		e.setDue(vm.Name, due)
	}
	for vm, v := range e.vms {
		if !listed[vm] {
			v.cancel()
			delete(e.vms, vm)
		}
	}
}

func (e *evacuations) setDue(vm string, due bool) {
	v, ok := e.vms[vm]
	switch {
	case !ok:
	case due:
		v.cancel()
	case v.ctx.Err() != nil:
		delete(e.vms, vm)
	}
}

// deadlineOf returns the time by which a leaving VM must have no work, the earlier of the platform's and the operator's
// deadline. It returns false if the VM is not leaving or has no deadline.
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
