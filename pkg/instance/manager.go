package instance

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// TokenPool is the part of a token pool that a Manager uses.
type TokenPool interface {
	WitnessStatus(failing time.Duration) (journal.WitnessStatus, bool)
	ChangeWitnesses(instance string, set []journal.Ref)
	AbortWitnessChange()
	Drain(ctx context.Context) error
	Close(instance string)
}

// Copies are the journal copies that this router keeps.
type Copies interface {
	Instances() []string
	Prune(instances []string)
}

// Intervals holds the intervals of a Manager. Zero values stand for the defaults.
type Intervals struct {
	// Check is the time between two checks of the witnesses and of failed members.
	Check time.Duration
	// WitnessTimeout is the time without an answer after which a witness is replaced.
	WitnessTimeout time.Duration
	// ChangeTimeout is the time after which an unfinished change of witnesses is aborted.
	ChangeTimeout time.Duration
	// Sweep is the time between two checks of all records.
	Sweep time.Duration
	// MissingTimeout is the time for which a router must be failed or missing from the view before a sweep closes its
	// instances.
	MissingTimeout time.Duration
	// TurnLength is the time that each router has for closing a failed instance before the next in rank tries.
	TurnLength time.Duration
}

func (i Intervals) withDefaults() Intervals {
	for _, d := range []struct {
		interval     *time.Duration
		defaultValue time.Duration
	}{
		{&i.Check, time.Second}, {&i.WitnessTimeout, 3 * time.Second}, {&i.ChangeTimeout, 5 * time.Second},
		{&i.Sweep, 30 * time.Second}, {&i.MissingTimeout, time.Minute}, {&i.TurnLength, 10 * time.Second},
	} {
		if *d.interval == 0 {
			*d.interval = d.defaultValue
		}
	}
	return i
}

// closingTurns bounds the turns in which routers try to close a failed instance; later attempts are left to the sweep.
const closingTurns = 3

// sweeperCount is the number of routers that close instances in sweeps; it is fixed so that the load does not grow with
// the fleet.
const sweeperCount = 2

// Manager replaces the witnesses of this router's instance and closes instances that failed.
type Manager struct {
	store     platform.Store
	view      member.View
	tokenPool TokenPool
	copies    Copies
	closer    *Closer
	scopes    []Scope
	intervals Intervals

	changingSince time.Time
	nextSweep     time.Time
	// failedSince maps a router that has failed or is missing to the time when this was first seen.
	failedSince map[string]time.Time
}

// NewManager returns a manager, which is started by Run. An empty list of scopes stands for DefaultScopes.
func NewManager(store platform.Store, view member.View, p TokenPool, copies Copies, closer *Closer, scopes []Scope, intervals Intervals) *Manager {
	if len(scopes) == 0 {
		scopes = DefaultScopes
	}
	return &Manager{
		store: store, view: view, tokenPool: p, copies: copies, closer: closer, scopes: scopes,
		intervals: intervals.withDefaults(), failedSince: map[string]time.Time{},
	}
}

// Run checks the witnesses, failed routers and records at their intervals until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.intervals.Check)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.checkWitnesses(now)
			m.closeFailedRouters(ctx, now)
			m.sweep(ctx, now)
		}
	}
}

// checkWitnesses replaces witnesses that do not answer, that have restarted or whose router is leaving.
func (m *Manager) checkWitnesses(now time.Time) {
	w, ok := m.tokenPool.WitnessStatus(m.intervals.WitnessTimeout)
	if !ok || w.Closed {
		return
	}
	if w.Changing {
		if m.changingSince.IsZero() {
			m.changingSince = now
		} else if now.Sub(m.changingSince) >= m.intervals.ChangeTimeout {
			m.tokenPool.AbortWitnessChange()
			m.changingSince = time.Time{}
		}
		return
	}
	m.changingSince = time.Time{}
	states := m.memberStates()
	kept := slices.DeleteFunc(slices.Clone(w.Witnesses), func(r journal.Ref) bool {
		return slices.Contains(w.Failing, r) || states[r.Router] == member.Failed || states[r.Router] == member.Leaving
	})
	set := Choose(filteredView{m.view, w.Failing}, w.Instance, m.scopes, kept)
	if !sameWitnessSet(set, w.Witnesses) {
		m.tokenPool.ChangeWitnesses(w.Instance, set)
	}
}

// sameWitnessSet reports whether both lists name the same witnesses in any order. A change of the order alone is not
// written: without another router in the own zone, the order changes at each check, and an idle fleet of four routers
// would write two records per second.
func sameWitnessSet(a, b []journal.Ref) bool {
	if len(a) != len(b) {
		return false
	}
	for _, r := range a {
		if !slices.Contains(b, r) {
			return false
		}
	}
	return true
}

// filteredView is a membership view without the hidden routers, which do not answer.
type filteredView struct {
	member.View
	hidden []journal.Ref
}

func (w filteredView) Members() []member.Member {
	return slices.DeleteFunc(slices.Clone(w.View.Members()), func(m member.Member) bool {
		return slices.ContainsFunc(w.hidden, func(r journal.Ref) bool { return r.Router == m.Instance })
	})
}

func (m *Manager) memberStates() map[string]member.State {
	states := map[string]member.State{}
	for _, r := range m.view.Members() {
		states[r.Instance] = r.State
	}
	return states
}

// rank returns the position of this router among the alive ones in the rendezvous order for a task.
func (m *Manager) rank(task string) int {
	self := m.view.Self().Instance
	ids := []string{self}
	for _, r := range m.view.Members() {
		if r.State == member.Alive && r.Instance != self {
			ids = append(ids, r.Instance)
		}
	}
	return slices.Index(rendezvous.Rank(task, ids), self)
}

// closeFailedRouters closes the instances of routers that failed, if it is this router's turn.
func (m *Manager) closeFailedRouters(ctx context.Context, now time.Time) {
	states := m.memberStates()
	for router := range m.failedSince {
		if s, ok := states[router]; ok && s != member.Failed {
			delete(m.failedSince, router)
		}
	}
	for _, r := range m.view.Members() {
		if r.State != member.Failed {
			continue
		}
		if _, ok := m.failedSince[r.Instance]; !ok {
			m.failedSince[r.Instance] = now
		}
		// The rank is costly in a large fleet, so it is not computed once the turns are over.
		if now.Sub(m.failedSince[r.Instance]) > closingTurns*m.intervals.TurnLength {
			continue
		}
		turn := m.failedSince[r.Instance].Add(time.Duration(m.rank("close/"+r.Instance)) * m.intervals.TurnLength)
		// Later attempts are left to the sweep.
		if !now.Before(turn) && now.Sub(turn) < 2*m.intervals.Check {
			m.closeInstancesOf(ctx, r.Instance)
		}
	}
}

// closeInstancesOf closes all instances of a router.
func (m *Manager) closeInstancesOf(ctx context.Context, router string) {
	records, err := list(ctx, m.store, Key(router+"."))
	if err != nil {
		log.WithError(err).WithField("router", router).Warn("failed to list the instances of a failed router")
		return
	}
	for _, r := range records {
		m.close(ctx, r)
	}
}

func (m *Manager) close(ctx context.Context, r Record) {
	entry := log.WithFields(log.Fields{"instance": r.Instance, "vm": r.VM, "zone": r.Zone})
	var held *HeldError
	switch err := m.closer.Close(ctx, r.Instance); {
	case err == nil:
		entry.Info("instance closed")
	case errors.As(err, &held):
		entry.WithField("reason", held.Reason).Warn("tokens of an instance stay held")
	default:
		entry.WithError(err).Warn("failed to close an instance")
	}
}

// sweep drops journal copies of closed instances, resumes closings that any router has begun, and closes the instances
// of routers that are missing or have failed, and of earlier registrations of this router.
func (m *Manager) sweep(ctx context.Context, now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(m.intervals.Sweep)
	copied := m.copies.Instances()
	if len(copied) == 0 && m.rank("sweep") >= sweeperCount {
		return
	}
	records, err := list(ctx, m.store, Prefix)
	if err != nil {
		log.WithError(err).Warn("failed to list the instance records")
		return
	}
	m.prune(copied, records)
	if m.rank("sweep") >= sweeperCount {
		return
	}
	for _, r := range records {
		if m.shouldClose(now, r) {
			m.close(ctx, r)
		}
	}
}

// prune drops journal copies whose instance was closed. The copies must be listed before the records, so that a copy of
// an instance that registers in between is not dropped.
func (m *Manager) prune(copied []string, records []Record) {
	hasRecord := map[string]bool{}
	for _, r := range records {
		hasRecord[r.Instance] = true
	}
	m.copies.Prune(slices.DeleteFunc(copied, func(instance string) bool { return hasRecord[instance] }))
}

// shouldClose reports whether a sweep should close the instance of a record.
func (m *Manager) shouldClose(now time.Time, r Record) bool {
	state, known := m.memberStates()[r.Router]
	switch {
	case r.State == Closing:
		return true
	case r.Router == m.view.Self().Instance:
		// An earlier registration of this router has left the record.
		w, ok := m.tokenPool.WitnessStatus(m.intervals.WitnessTimeout)
		return ok && !w.Closed && w.Instance != r.Instance && isOlder(r.Instance, w.Instance)
	case known && state != member.Failed:
		delete(m.failedSince, r.Router)
		return false
	}
	since, ok := m.failedSince[r.Router]
	if !ok {
		m.failedSince[r.Router] = now
		return false
	}
	return now.Sub(since) >= m.intervals.MissingTimeout
}

// isOlder reports whether instance a of a router was registered before b.
func isOlder(a, b string) bool {
	a, b = a[strings.LastIndexByte(a, '.')+1:], b[strings.LastIndexByte(b, '.')+1:]
	return len(a) < len(b) || len(a) == len(b) && a < b
}

// Stop ends the instance at a graceful stop. It waits until the token pool is drained or ctx ends. If the pool is drained,
// it closes the instance, which also returns granted tokens that are missing in the pool. The witnesses are not needed,
// because the ledger has all bills and transfers and the pool spends no more tokens.
func (m *Manager) Stop(ctx context.Context) error {
	err := m.tokenPool.Drain(ctx)
	w, ok := m.tokenPool.WitnessStatus(m.intervals.WitnessTimeout)
	if err != nil || !ok || w.Closed {
		return err
	}
	m.tokenPool.Close(w.Instance)
	return m.closer.closeDrained(ctx, w.Instance)
}
