package poison

import (
	"sync"
	"time"
)

// deadFor is the longest time for which a VM counts as dead after a crash. It covers a restart that loads a model.
const deadFor = time.Minute

// vmStates knows which VMs have crashed and have not served a request since. A request that is sent to such a VM
// fails like one that crashes it, and must not be blamed for that. It is safe for concurrent use.
type vmStates struct {
	mu sync.Mutex
	// crashed holds the time at which this router learnt of the latest crash.
	crashed map[string]time.Time
}

func newVMStates() *vmStates { return &vmStates{crashed: map[string]time.Time{}} }

// crash records a crash that became known now.
func (v *vmStates) crash(now time.Time, vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashed[vm] = now
}

// served records that the VM has answered.
func (v *vmStates) served(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.crashed, vm)
}

// deadAt reports whether the VM had crashed before the given time and has not served since.
func (v *vmStates) deadAt(at time.Time, vm string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	crashed, ok := v.crashed[vm]
	return ok && at.After(crashed) && at.Sub(crashed) < deadFor
}

// expire drops what no longer counts.
func (v *vmStates) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, crashed := range v.crashed {
		if now.Sub(crashed) >= deadFor {
			delete(v.crashed, vm)
		}
	}
}
