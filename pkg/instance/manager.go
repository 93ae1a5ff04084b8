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

// TokenPool is what a Manager needs of a token pool.
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

// Intervals of a Manager. Zero values are replaced by the defaults.
type Intervals struct {
	// Check is the time between two looks at the witnesses and at failed members.
	Check time.Duration
	// Failing is the time without an answer after which a witness is replaced.
	Failing time.Duration
	// Change is the time after which a change of witnesses that does not go on is given up.
	Change time.Duration
	// Sweep is the time between two looks at all records.
	Sweep time.Duration
	// Unknown is the time for which a router must be missing from the view before its instances are closed.
	Unknown time.Duration
	// Turn is the time that a router leaves to each router that comes before it for closing an instance.
	Turn time.Duration
}

func (i Intervals) withDefaults() Intervals {
	for _, d := range []struct {
		value *time.Duration
		unset time.Duration
	}{
		{&i.Check, time.Second}, {&i.Failing, 3 * time.Second}, {&i.Change, 5 * time.Second},
		{&i.Sweep, 30 * time.Second}, {&i.Unknown, time.Minute}, {&i.Turn, 10 * time.Second},
	} {
		if *d.value == 0 {
			*d.value = d.unset
		}
	}
	return i
}

// closingTurns is the number of routers that try to close a failed instance in turn; later attempts are left to the
// sweep.
const closingTurns = 3

// sweepers is the number of routers that look at all records, so that the load does not grow with the fleet.
const sweepers = 2

// Manager replaces the witnesses of this router's instance and closes instances that failed.
type Manager struct {
	store     platform.Store
	view      member.View
	tokenPool TokenPool
	copies    Copies
	closer    *Closer
	scopes    []Scope
	intervals Intervals

	changeSince time.Time
	sweepAt     time.Time
	// failedSince is the time since which a router has been failed or missing.
	failedSince map[string]time.Time
}

// NewManager returns a manager. Run must be called.
func NewManager(store platform.Store, view member.View, p TokenPool, copies Copies, closer *Closer, scopes []Scope, intervals Intervals) *Manager {
	if len(scopes) == 0 {
		scopes = DefaultScopes
	}
	return &Manager{
		store: store, view: view, tokenPool: p, copies: copies, closer: closer, scopes: scopes,
		intervals: intervals.withDefaults(), failedSince: map[string]time.Time{},
	}
}

// Run works until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.intervals.Check)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.checkWitnesses(now)
			m.checkFailed(ctx, now)
			m.sweep(ctx, now)
		}
	}
}

// checkWitnesses replaces witnesses that do not answer, that have restarted or whose router is leaving.
func (m *Manager) checkWitnesses(now time.Time) {
	w, ok := m.tokenPool.WitnessStatus(m.intervals.Failing)
	if !ok || w.Closed {
		return
	}
	if w.Changing {
		if m.changeSince.IsZero() {
			m.changeSince = now
		} else if now.Sub(m.changeSince) >= m.intervals.Change {
			m.tokenPool.AbortWitnessChange()
			m.changeSince = time.Time{}
		}
		return
	}
	m.changeSince = time.Time{}
	alive := m.states()
	keep := slices.DeleteFunc(slices.Clone(w.Witnesses), func(r journal.Ref) bool {
		return slices.Contains(w.Failing, r) || alive[r.Router] == member.Failed || alive[r.Router] == member.Leaving
	})
	set := Choose(without{m.view, w.Failing}, w.Instance, m.scopes, keep)
	if !sameSet(set, w.Witnesses) {
		m.tokenPool.ChangeWitnesses(w.Instance, set)
	}
}

// sameSet reports whether both lists name the same witnesses. A change of their order alone is not worth a write: with
// no router in the own zone, the order changed at each check, and an idle fleet of four wrote two records a second.
func sameSet(a, b []journal.Ref) bool {
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

// without hides routers that do not answer.
type without struct {
	member.View
	hidden []journal.Ref
}

func (w without) Members() []member.Member {
	return slices.DeleteFunc(slices.Clone(w.View.Members()), func(m member.Member) bool {
		return slices.ContainsFunc(w.hidden, func(r journal.Ref) bool { return r.Router == m.Instance })
	})
}

func (m *Manager) states() map[string]member.State {
	states := map[string]member.State{}
	for _, r := range m.view.Members() {
		states[r.Instance] = r.State
	}
	return states
}

// rank returns the position of this router among the alive ones for a task.
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

// checkFailed closes the instances of routers that failed, if it is this router's turn.
func (m *Manager) checkFailed(ctx context.Context, now time.Time) {
	states := m.states()
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
		// The rank is costly in a large fleet, so it is not asked for once the turns of the first routers are over.
		if now.Sub(m.failedSince[r.Instance]) > closingTurns*m.intervals.Turn {
			continue
		}
		turn := m.failedSince[r.Instance].Add(time.Duration(m.rank("close/"+r.Instance)) * m.intervals.Turn)
		// Later attempts are left to the sweep.
		if !now.Before(turn) && now.Sub(turn) < 2*m.intervals.Check {
			m.closeRouter(ctx, r.Instance)
		}
	}
}

// closeRouter closes all instances of a router.
func (m *Manager) closeRouter(ctx context.Context, router string) {
	records, err := list(ctx, m.store, Key(router+"."))
	if err != nil {
		log.WithError(err).WithField("router", router).Warn("instances of a failed router are not listed")
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
		entry.WithError(err).Warn("instance not closed")
	}
}

// sweep goes on with closings that others have begun, and closes the instances of routers that nobody knows.
func (m *Manager) sweep(ctx context.Context, now time.Time) {
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(m.intervals.Sweep)
	kept := m.copies.Instances()
	if len(kept) == 0 && m.rank("sweep") >= sweepers {
		return
	}
	records, err := list(ctx, m.store, Prefix)
	if err != nil {
		log.WithError(err).Warn("instance records are not listed")
		return
	}
	m.prune(kept, records)
	if m.rank("sweep") >= sweepers {
		return
	}
	for _, r := range records {
		if m.abandoned(now, r) {
			m.close(ctx, r)
		}
	}
}

// prune drops journal copies whose instance was closed. The copies were listed before the records, so an instance
// that registered meanwhile is not among them.
func (m *Manager) prune(kept []string, records []Record) {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Instance] = true
	}
	m.copies.Prune(slices.DeleteFunc(kept, func(instance string) bool { return present[instance] }))
}

// abandoned reports whether a record is to be closed by a sweep.
func (m *Manager) abandoned(now time.Time, r Record) bool {
	state, known := m.states()[r.Router]
	switch {
	case r.State == Closing:
		return true
	case r.Router == m.view.Self().Instance:
		// A record that an earlier registration of this router has left.
		w, ok := m.tokenPool.WitnessStatus(m.intervals.Failing)
		return ok && !w.Closed && w.Instance != r.Instance && older(r.Instance, w.Instance)
	case known && state != member.Failed:
		delete(m.failedSince, r.Router)
		return false
	}
	since, ok := m.failedSince[r.Router]
	if !ok {
		m.failedSince[r.Router] = now
		return false
	}
	return now.Sub(since) >= m.intervals.Unknown
}

// older reports whether instance a of a router was registered before b.
func older(a, b string) bool {
	a, b = a[strings.LastIndexByte(a, '.')+1:], b[strings.LastIndexByte(b, '.')+1:]
	return len(a) < len(b) || len(a) == len(b) && a < b
}

// Stop ends the instance at a graceful stop: it waits until the token pool is drained or ctx ends, and then closes the
// instance, which also returns what the token pool does not know of. The witnesses are not needed, because the ledger has
// everything and the token pool spends no more.
func (m *Manager) Stop(ctx context.Context) error {
	err := m.tokenPool.Drain(ctx)
	w, ok := m.tokenPool.WitnessStatus(m.intervals.Failing)
	if err != nil || !ok || w.Closed {
		return err
	}
	m.tokenPool.Close(w.Instance)
	return m.closer.closeDrained(ctx, w.Instance)
}
