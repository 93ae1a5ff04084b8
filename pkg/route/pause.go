package route

import (
	"container/heap"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// runID names one run of an endpoint: it differs after a restart, and if another endpoint has its name or address.
type runID struct {
	vm, address string
	started     int64
}

func runOf(vm platform.VM) runID { return runID{vm: vm.Name, address: vm.Address, started: vm.Started} }

// announcement is what an endpoint said in its answers about the rest of one of its runs.
type announcement struct {
	// at is the time of the last answer that said something.
	at      time.Time
	leaving bool
	// pausedUntil is the end of the time for which it asked for no requests of this router.
	pausedUntil time.Time
	// coldUntil is the latest time until which it said that it is cold.
	coldUntil time.Time
}

func (a *announcement) isLeaving() bool { return a != nil && a.leaving }

func (a *announcement) isPaused(now time.Time) bool { return a != nil && now.Before(a.pausedUntil) }

// announcementRetention is how long the table remembers announcements of runs that are no longer listed. Entries that lapse come
// back within seconds, and endpoints leave within minutes.
const announcementRetention = 10 * time.Minute

// announce returns the announcement of the endpoint's present run, after a new answer.
func (t *Table) announce(now time.Time, e *endpoint) *announcement {
	if e.announced == nil {
		for run, a := range t.announcements {
			if now.Sub(a.at) > announcementRetention {
				delete(t.announcements, run)
			}
		}
		e.announced = &announcement{}
		t.announcements[runOf(e.vm)] = e.announced
	}
	e.announced.at = now
	return e.announced
}

// AnnounceLeaving records that an answer of the endpoint said that it leaves. It gets no further request in this run, whatever the
// platform's list says. It reports whether that is new.
//
// It answers a platform whose list lags or can't be read while an endpoint is already leaving.
func (t *Table) AnnounceLeaving(now time.Time, vm string) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || e.announced.isLeaving() {
		return false
	}
	t.announce(now, e).leaving = true
	t.refresh(now, e)
	return true
}

// Pause records that the endpoint has rejected a request and has asked for a time without others of this router. It gets none until
// then, also not as a last resort. It reports whether the pause is new or ends later than the one in force.
//
// It answers an endpoint that can't serve for some seconds: each request that it has to reject costs a retry of the shared budget.
func (t *Table) Pause(now time.Time, vm string, d time.Duration) (changed bool) {
	e := t.endpoints[vm]
	if e == nil {
		return false
	}
	a := t.announce(now, e)
	until := now.Add(d)
	if !until.After(a.pausedUntil) {
		return false
	}
	a.pausedUntil = until
	heap.Push(&t.rechecks, recheck{at: until, endpoint: e})
	t.refresh(now, e)
	return true
}

// statedWait returns the time until an endpoint takes a request again by what it has stated, and the reason. It returns false if
// the endpoint states nothing that keeps a request from it now.
func (t *Table) statedWait(now time.Time, e *endpoint) (time.Duration, Reason, bool) {
	longest, reason := time.Duration(0), Reason("")
	consider := func(wait time.Duration, r Reason) {
		if reason == "" || wait > longest {
			longest, reason = wait, r
		}
	}
	if e.announced.isPaused(now) {
		consider(e.announced.pausedUntil.Sub(now), ReasonPaused)
	}
	if e.isAtLimit(now) {
		wait, ok := e.limit.wait(now)
		if !ok {
			wait = retryAfter
		}
		consider(min(wait, retryAfter), ReasonAtLimit)
	}
	if wait, cold := t.coldWait(now, e); cold {
		consider(wait, ReasonCold)
	}
	if t.isBrittleClosed(now, e) {
		consider(max(brittleRecheckInterval, e.brittle.pausedUntil.Sub(now)), ReasonBrittle)
	}
	return longest, reason, reason != ""
}

// shortestStatedWait returns the shortest statedWait of the pool's endpoints that could serve otherwise, and false if none of them
// states anything.
func (t *Table) shortestStatedWait(now time.Time, p *pool) (shortest time.Duration, reason Reason, ok bool) {
	for _, e := range p.all {
		if e.isWithdrawn() || e.isUnhealthy(now) {
			continue
		}
		if wait, r, stated := t.statedWait(now, e); stated && (!ok || wait < shortest) {
			shortest, reason, ok = wait, r, true
		}
	}
	return shortest, reason, ok
}
