package origin

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// seenRun is what a router has seen of a process of an endpoint.
type seenRun struct {
	software string
	// listed is set while the list has the entry of the process; it was last listed at the time at.
	listed bool
	at     time.Time
}

// runs maps processes of endpoints to their list entries of the last MaxStreamAge, because an entry may be replaced by one of an older
// copy of the store, or by that of the next process, while a stream of the process may still be taken up. It reads no clock.
type runs map[Run]seenRun

// update notes the listed endpoints and forgets old ones. Endpoints without a start time aren't noted.
func (r runs) update(now time.Time, vms []platform.VM) {
	for run, seen := range r {
		if seen.listed {
			r[run] = seenRun{software: seen.software, at: now}
		} else if now.Sub(seen.at) > MaxStreamAge {
			delete(r, run)
		}
	}
	for _, vm := range vms {
		if vm.Started != 0 {
			r[Run{Endpoint: vm.Name, Started: vm.Started}] = seenRun{software: vm.Software, listed: true, at: now}
		}
	}
}
