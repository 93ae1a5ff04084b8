package poison

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Peers calls other routers.
type Peers interface {
	SendRecords(ctx context.Context, to member.Member, records []Record) error
	Reserve(ctx context.Context, owner member.Member, key string, a Attempt) (granted bool, err error)
	Release(ctx context.Context, owner member.Member, key string, a Attempt) error
}

// Guard is the task that owns a router's crash records and the reservations that it grants. Its methods are safe
// for concurrent use, wait until Run is called, and have no effect after Run has ended.
type Guard struct {
	// Log takes a line for each request that ran at an endpoint when it crashed; nil means none. It is set before Run.
	Log log.Interface

	view     member.View
	peers    Peers
	records  *RecordSet
	reserved *reservations
	vms      *vmStates
	// behind names the members that may lack records: new ones, and those that a push did not reach.
	behind   map[string]bool
	known    map[string]bool
	attempts uint64
	calls    chan func(now time.Time)
	stopped  chan struct{}
}

// NewGuard returns a Guard for the router that the view calls Self.
func NewGuard(view member.View, peers Peers) *Guard {
	return &Guard{
		view: view, peers: peers, records: NewRecordSet(), reserved: newReservations(budget.LongestRequest),
		vms:    newVMStates(),
		behind: map[string]bool{}, known: map[string]bool{},
		calls: make(chan func(time.Time)), stopped: make(chan struct{}),
	}
}

// maintainEvery is the period of expiry and of pushes to members that are behind.
const maintainEvery = time.Second

// Run serves the guard until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	var pushes conc.WaitGroup
	defer pushes.Wait()
	defer close(g.stopped) // first, because a push in progress calls do
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	sending := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-g.calls:
			call(time.Now())
		case now := <-ticker.C:
			g.maintain(ctx, now, &pushes, sending)
		}
	}
}

func (g *Guard) do(call func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case g.calls <- func(now time.Time) { call(now); close(done) }:
		<-done
		return true
	case <-g.stopped:
		return false
	}
}

// Status returns how the request must be treated. After Run has ended requests are clear.
func (g *Guard) Status(f Fingerprint) Status {
	status := Clear
	g.do(func(now time.Time) { status = g.records.Status(now, f) })
	return status
}

// Counts returns the number of requests that are suspects and that are stopped.
func (g *Guard) Counts() (suspects, stopped int) {
	g.do(func(now time.Time) { suspects, stopped = g.records.Counts(now) })
	return suspects, stopped
}

// StopFailure returns the failure for a stopped request. ran tells whether it was sent to an endpoint on behalf
// of the caller that gets the failure.
func StopFailure(ran bool) *outcome.Failure {
	const message = "the request was running at two endpoints when they failed and is not sent to another one"
	if ran {
		return outcome.Unknownf(outcome.ReasonCrashesEndpoints, 0, message)
	}
	return outcome.NotRunf(outcome.ReasonCrashesEndpoints, 0, message)
}

// ReportCrash records that the VM crashed while it ran the requests, which were sent at began, and returns once all other
// routers that can be reached have the record. No caller of these requests must be answered before. The end of ctx
// does not stop it, because the record matters to others even if the caller has gone. Requests that were sent to a VM
// that was dead already are not blamed.
func (g *Guard) ReportCrash(ctx context.Context, vm string, began time.Time, running []Fingerprint) {
	if g.vms.deadAt(began, vm) {
		return
	}
	var records []Record
	g.do(func(now time.Time) {
		g.vms.crash(now, vm)
		crash := Crash{VM: vm, Observer: g.view.Self().Instance, At: now.Truncate(time.Millisecond)}
		for _, f := range running {
			r := Record{Fingerprint: f, Crashes: []Crash{crash}}
			g.records.Merge(now, r)
			records = append(records, r)
		}
	})
	g.logCrash(vm, running)
	g.push(context.WithoutCancel(ctx), g.others(), records)
}

// ReportServed records that the VM has answered a request.
func (g *Guard) ReportServed(vm string) { g.vms.served(vm) }

func (g *Guard) logCrash(vm string, running []Fingerprint) {
	if g.Log == nil {
		return
	}
	for _, f := range running {
		g.Log.WithFields(log.Fields{
			"endpoint": vm, "organisation": f.Organisation, "body_hash": strconv.FormatUint(f.BodyHash, 16),
			"stopped": g.Status(f) == Stopped,
		}).Warn("endpoint crashed while it ran the request")
	}
}

// ReportCompleted clears a suspect that has run to its end. The others learn it in the background.
func (g *Guard) ReportCompleted(f Fingerprint) {
	g.do(func(now time.Time) {
		if g.records.Status(now, f) == Clear {
			return
		}
		g.records.Merge(now, Record{Fingerprint: f, Cleared: now.Truncate(time.Millisecond).Add(time.Millisecond)})
		for _, m := range g.others() {
			g.behind[m.Instance] = true
		}
	})
}

// Receive merges records from another router.
func (g *Guard) Receive(records []Record) {
	g.do(func(now time.Time) {
		for _, r := range records {
			if g.records.Merge(now, r) {
				g.noteCrashes(now, r)
			}
		}
	})
}

// noteCrashes takes over which VMs crashed a short time ago by another router's record.
func (g *Guard) noteCrashes(now time.Time, r Record) {
	for _, c := range r.Crashes {
		if now.Sub(c.At) < sameCrash && !g.vms.deadAt(now, c.VM) {
			g.vms.crash(now, c.VM)
		}
	}
}

// Grant answers another router's Reserve call.
func (g *Guard) Grant(key string, a Attempt) bool {
	granted := false
	g.do(func(now time.Time) { granted = g.reserved.reserve(now, key, a) })
	return granted
}

// Revoke answers another router's Release call.
func (g *Guard) Revoke(key string, a Attempt) {
	g.do(func(time.Time) { g.reserved.release(key, a) })
}

// others returns the members to which records are sent: all but this one and the failed ones.
func (g *Guard) others() []member.Member {
	var others []member.Member
	for _, m := range g.view.Members() {
		if m.Instance != g.view.Self().Instance && m.State != member.Failed {
			others = append(others, m)
		}
	}
	return others
}
