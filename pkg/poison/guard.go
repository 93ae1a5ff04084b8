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

// Guard holds a router's crash records and the reservations that it grants; only the goroutine of Run accesses them.
// Its other methods are safe for concurrent use. Those that need records or reservations wait until Run is called and
// do not change them after Run has returned.
type Guard struct {
	// Log gets a warning for each request that was running at an endpoint when it crashed; nil means no warnings. It
	// must be set before Run.
	Log log.Interface

	view         member.View
	peers        Peers
	records      *RecordSet
	reservations *reservations
	crashedVMs   *crashedVMs
	// needsPush holds the instances that may be missing records because a push did not reach them or a suspect was
	// cleared.
	needsPush map[string]bool
	// pushedOnce holds the instances to which a push of all records was started; other members are new.
	pushedOnce  map[string]bool
	lastAttempt uint64
	calls       chan func(now time.Time)
	stopped     chan struct{}
}

// NewGuard returns a Guard for the router that view.Self returns.
func NewGuard(view member.View, peers Peers) *Guard {
	return &Guard{
		view: view, peers: peers, records: NewRecordSet(isolatingRules), reservations: newReservations(budget.LongestRequest),
		crashedVMs: newCrashedVMs(),
		needsPush:  map[string]bool{}, pushedOnce: map[string]bool{},
		calls: make(chan func(time.Time)), stopped: make(chan struct{}),
	}
}

// maintainInterval is the period of expiry and of pushes to members that may be missing records.
const maintainInterval = time.Second

// Run processes the calls and maintains the records until ctx is done. It returns after the pushes in progress have
// ended.
func (g *Guard) Run(ctx context.Context) {
	var pushes conc.WaitGroup
	defer pushes.Wait()
	defer close(g.stopped) // before pushes.Wait, because a push in progress calls do
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	pushSlot := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-g.calls:
			call(time.Now())
		case now := <-ticker.C:
			g.maintain(ctx, now, &pushes, pushSlot)
		}
	}
}

// do runs the call in the goroutine of Run and waits for it. It returns false, without running the call, once Run has
// returned.
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

// Status returns how the request must be treated. After Run has returned, it is Clear for all requests.
func (g *Guard) Status(f Fingerprint) Status {
	status := Clear
	g.do(func(now time.Time) { status = g.records.Status(now, f) })
	return status
}

// Counts returns the number of suspects and the number of stopped requests.
func (g *Guard) Counts() (suspects, stopped int) {
	g.do(func(now time.Time) { suspects, stopped = g.records.Counts(now) })
	return suspects, stopped
}

// StopFailure returns the failure for a stopped request. sent reports whether the request was sent to an endpoint on
// behalf of the caller that gets the failure; the outcome is then unknown instead of not run.
func StopFailure(sent bool) *outcome.Failure {
	const message = "the request was running at several endpoints when they failed and is not sent to another one"
	if sent {
		return outcome.Unknownf(outcome.ReasonCrashesEndpoints, 0, message)
	}
	return outcome.NotRunf(outcome.ReasonCrashesEndpoints, 0, message)
}

// ReportCrash records that the VM crashed while it ran the requests, which were sent at sentAt, and returns when all
// other routers that can be reached have the record. Callers of these requests must not be answered before it returns.
// The end of ctx does not stop it, because other routers need the record even if the caller has disconnected. If the VM
// was already down when the requests were sent, nothing is recorded, so that they do not become suspects.
func (g *Guard) ReportCrash(ctx context.Context, vm string, sentAt time.Time, running []Fingerprint) {
	if g.crashedVMs.isDown(sentAt, vm) {
		return
	}
	var records []Record
	g.do(func(now time.Time) {
		g.crashedVMs.recordCrash(now, vm)
		crash := Crash{VM: vm, Observer: g.view.Self().Instance, At: now.Truncate(time.Millisecond)}
		for _, f := range running {
			r := Record{Fingerprint: f, Crashes: []Crash{crash}}
			g.records.Merge(now, r)
			records = append(records, r)
		}
	})
	g.logCrash(vm, running)
	g.push(context.WithoutCancel(ctx), g.otherMembers(), records)
}

// ReportServed records that the VM has answered a request.
func (g *Guard) ReportServed(vm string) { g.crashedVMs.recordServed(vm) }

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

// ReportCompleted clears a suspect that has completed. The other routers get the record in the background.
func (g *Guard) ReportCompleted(f Fingerprint) {
	g.do(func(now time.Time) {
		if g.records.Status(now, f) == Clear {
			return
		}
		g.records.Merge(now, Record{Fingerprint: f, ClearedAt: now.Truncate(time.Millisecond).Add(time.Millisecond)})
		for _, m := range g.otherMembers() {
			g.needsPush[m.Instance] = true
		}
	})
}

// Receive merges records from another router and marks the VMs of new crashes as down.
func (g *Guard) Receive(records []Record) {
	g.do(func(now time.Time) {
		for _, r := range records {
			if g.records.Merge(now, r) {
				g.markCrashedVMs(now, r)
			}
		}
	})
}

// markCrashedVMs marks the VMs as down that crashed within sameCrashWindow according to another router's record.
func (g *Guard) markCrashedVMs(now time.Time, r Record) {
	for _, c := range r.Crashes {
		if now.Sub(c.At) < sameCrashWindow && !g.crashedVMs.isDown(now, c.VM) {
			g.crashedVMs.recordCrash(now, c.VM)
		}
	}
}

// Grant handles a Reserve call and reports whether the reservation was granted.
func (g *Guard) Grant(key string, a Attempt) bool {
	granted := false
	g.do(func(now time.Time) { granted = g.reservations.reserve(now, key, a) })
	return granted
}

// Revoke handles a Release call.
func (g *Guard) Revoke(key string, a Attempt) {
	g.do(func(time.Time) { g.reservations.release(key, a) })
}

// otherMembers returns the members to which records are sent: all except this router and failed members.
func (g *Guard) otherMembers() []member.Member {
	var others []member.Member
	for _, m := range g.view.Members() {
		if m.Instance != g.view.Self().Instance && m.State != member.Failed {
			others = append(others, m)
		}
	}
	return others
}
