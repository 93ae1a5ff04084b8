package route

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// runID names one run of an endpoint: it differs after a restart, and if another endpoint has its name or address.
type runID struct {
	vm, address string
	started     int64
}

func runOf(vm platform.VM) runID { return runID{vm: vm.Name, address: vm.Address, started: vm.Started} }

// leavingRetention is how long the table remembers a run that leaves and is no longer listed. Entries that lapse come back
// within seconds, and endpoints leave within minutes.
const leavingRetention = 10 * time.Minute

// AnnounceLeaving records that an answer of the endpoint said that it leaves. It gets no further request in this run, whatever the
// platform's list says. It reports whether that is new.
//
// It answers a platform whose list lags or can't be read while an endpoint is already leaving.
func (t *Table) AnnounceLeaving(now time.Time, vm string) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || e.announcedLeaving {
		return false
	}
	for run, at := range t.leavingRuns {
		if now.Sub(at) > leavingRetention {
			delete(t.leavingRuns, run)
		}
	}
	t.leavingRuns[runOf(e.vm)] = now
	e.announcedLeaving = true
	t.refresh(now, e)
	return true
}

// Pause records that the endpoint has asked for a time without requests of this router. It reports whether the pause is new or
// longer than the one in force.
func (t *Table) Pause(now time.Time, vm string, d time.Duration) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || !now.Add(d).After(e.pausedUntil) {
		return false
	}
	e.pausedUntil = now.Add(d)
	return true
}
