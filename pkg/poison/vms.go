package poison

import (
	"sync"
	"time"
)

// maxDownTime is the longest time for which a VM counts as down after a crash. It covers a restart that loads a model.
const maxDownTime = time.Minute

// crashedVMs holds the VMs that have crashed and have not served a request since. A request that is sent to such a VM
// fails in the same way as one that crashes it, and must not become a suspect. It is safe for concurrent use.
type crashedVMs struct {
	mu sync.Mutex
	// crashedAt holds the time at which this router recorded or received the latest crash, by VM.
	crashedAt map[string]time.Time
}

func newCrashedVMs() *crashedVMs { return &crashedVMs{crashedAt: map[string]time.Time{}} }

// recordCrash marks the VM as down from now on.
func (v *crashedVMs) recordCrash(now time.Time, vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashedAt[vm] = now
}

// recordServed marks the VM as up because it has answered a request.
func (v *crashedVMs) recordServed(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.crashedAt, vm)
}

// isDown reports whether the VM crashed before the given time, by less than maxDownTime, and has not served since.
func (v *crashedVMs) isDown(at time.Time, vm string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	crashedAt, ok := v.crashedAt[vm]
	return ok && at.After(crashedAt) && at.Sub(crashedAt) < maxDownTime
}

// expire removes the VMs that crashed maxDownTime ago or earlier.
func (v *crashedVMs) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for vm, crashedAt := range v.crashedAt {
		if now.Sub(crashedAt) >= maxDownTime {
			delete(v.crashedAt, vm)
		}
	}
}
