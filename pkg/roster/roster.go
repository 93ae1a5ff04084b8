// Package roster determines which routers of the fleet are alive. Each router renews a record in the platform's store
// and lists the records of the others, so that the result does not depend on connections between routers.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

const (
	// recordKind is the kind of the routers' records in the store, the first part of their keys.
	recordKind = "routers"
	// ListInterval is the time between two lists of the records, and between two renewals in a fleet of at most
	// maxFullRateRouters. It varies by up to the fraction intervalJitter in both directions.
	ListInterval   = 2 * time.Second
	intervalJitter = 0.2
	// maxFullRateRouters is the number of routers up to which each renews its record in every ListInterval. In a larger
	// fleet each renews less often, so that the fleet's total rate of renewals stays the same.
	maxFullRateRouters = 16
	// missedRenewals is the number of renewal intervals without a renewal after which a router counts as dead. maxListAge,
	// the age that a list from the store may have, is added to them.
	missedRenewals = 2.5
	maxListAge     = 3 * time.Second
	// recordRetention is the time without a renewal after which a dead router's record is deleted.
	recordRetention = time.Minute
)

// State is a router's state as written in its record.
type State string

// States of routers.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// Record is a router's object in the store.
type Record struct {
	// Instance is unique for each start of a router.
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Address is the address for callers, Peer the one for other routers.
	Address string `json:"address"`
	Peer    string `json:"peer"`
	State   State  `json:"state"`
	// Capacity is the number of requests a second that the VM can carry, an estimate from its size. 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Renewal increases with each write.
	Renewal uint64 `json:"renewal"`
	// name is the router's name, the last part of the record's key.
	name string
}

// Store is the part of the platform's store that a Roster uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
	ListStale(ctx context.Context, prefix string) ([]platform.Object, error)
}

// member is another router, with the time at which its record was last seen to change.
type member struct {
	record    Record
	revision  uint64
	changedAt time.Time
}

// view is the deterministic part of a Roster, without I/O and clock. Its time advances with successful lists only, so
// that no member expires while the store can't be read.
type view struct {
	members map[string]member
	// elapsed is the time during which the store could be read, since firstListAt.
	elapsed     time.Duration
	lastListAt  time.Time
	firstListAt time.Time
	// largestCapacity is the largest capacity of the members and of this router, and primaryCount the number of primary
	// routers among them.
	largestCapacity float64
	primaryCount    int
}

// maxListGap bounds the time by which view.elapsed increases between two successful lists.
const maxListGap = 2 * ListInterval

// applyList replaces the members by the result of a list; self is this router's own record. A member whose revision has not increased keeps its previous
// record and time of change.
func (v *view) applyList(now time.Time, self Record, found map[string]member) {
	if v.lastListAt.IsZero() {
		v.firstListAt = now
	} else {
		v.elapsed += min(now.Sub(v.lastListAt), maxListGap)
	}
	v.lastListAt = now
	changedAt := v.firstListAt.Add(v.elapsed)
	next := make(map[string]member, len(found))
	for name, m := range found {
		m.changedAt = changedAt
		if old, ok := v.members[name]; ok && old.revision >= m.revision {
			m = old
		}
		next[name] = m
	}
	v.members = next
	records := []Record{self}
	for _, m := range next {
		records = append(records, m.record)
	}
	v.largestCapacity, v.primaryCount = maxCapacity(records), 0
	for _, r := range records {
		if r.isPrimary(v.largestCapacity) {
			v.primaryCount++
		}
	}
}

// isAlive reports whether the member has renewed its record recently.
func (v *view) isAlive(m member) bool {
	limit := maxListAge + time.Duration(missedRenewals*float64(v.renewalInterval(m.record)))
	return v.firstListAt.Add(v.elapsed).Sub(m.changedAt) < limit
}

// renewalInterval returns the time between two renewals of a router's record. Callers use the primary routers, so these
// renew their records as often as in a fleet that has no others.
func (v *view) renewalInterval(r Record) time.Duration {
	n := len(v.members) + 1
	if r.isPrimary(v.largestCapacity) {
		n = v.primaryCount
	}
	return ListInterval * time.Duration(max(1, (n-1+maxFullRateRouters)/maxFullRateRouters))
}

// isExpired reports whether the member's record is to be deleted.
func (v *view) isExpired(m member) bool {
	return v.firstListAt.Add(v.elapsed).Sub(m.changedAt) >= recordRetention
}

// Roster is a router's view of the fleet. It is safe for concurrent use.
type Roster struct {
	store            Store
	name             string
	log              log.Interface
	renewalRequested chan struct{}

	mu       sync.Mutex
	self     Record
	revision uint64
	view     view
	// storeFailing is set while renewals or lists fail.
	storeFailing bool
	// preferenceLists caches the results of PreferenceList until the next list or change of state, because the view does
	// not change in between.
	preferenceLists map[preferenceKey][]string
}

type preferenceKey struct {
	key string
	n   int
}

// New returns a Roster for the router with the given name and record.
func New(store Store, name string, self Record, logger log.Interface) *Roster {
	self.name = name
	return &Roster{store: store, name: name, self: self, log: logger, renewalRequested: make(chan struct{}, 1), view: view{members: map[string]member{}}, preferenceLists: map[preferenceKey][]string{}}
}

// SetState changes this router's state and renews its record at once.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	changed := r.self.State != s
	r.self.State = s
	clear(r.preferenceLists)
	r.mu.Unlock()
	if changed {
		r.log.WithField("state", string(s)).Info("router_state")
		r.requestRenewal()
	}
}

func (r *Roster) requestRenewal() {
	select {
	case r.renewalRequested <- struct{}{}:
	default:
	}
}

// Run renews this router's record and lists those of the others until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var lastRenewal time.Time
	renewalDue := true
	for ctx.Err() == nil {
		var err error
		if renewalDue || time.Since(lastRenewal) >= r.renewalInterval() {
			lastRenewal = time.Now()
			err = r.renew(ctx)
		}
		r.logStoreFailure(errors.Join(err, r.list(ctx)))
		renewalDue = err != nil
		pause := time.Duration(float64(ListInterval) * (1 + intervalJitter*(2*rand.Float64()-1)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-r.renewalRequested:
			renewalDue = true
		}
	}
}

func (r *Roster) renewalInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.renewalInterval(r.self) - ListInterval/2
}

func (r *Roster) logStoreFailure(err error) {
	r.mu.Lock()
	wasFailing := r.storeFailing
	r.storeFailing = err != nil
	r.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		r.log.WithError(err).Warn("roster_store_lost")
	case err == nil && wasFailing:
		r.log.Info("roster_store_regained")
	}
}

func (r *Roster) renew(ctx context.Context) error {
	r.mu.Lock()
	r.self.Renewal++
	self, revision := r.self, r.revision
	r.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("roster: encode record: %w", err)
	}
	key := recordKind + "/" + r.name
	object, err := r.store.Put(ctx, key, value, revision)
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrUncertain):
		// An earlier start of this router, or a write whose response was lost, has changed the record.
		current, getErr := r.store.Get(ctx, key)
		if getErr != nil && !errors.Is(getErr, platform.ErrNotFound) {
			return getErr
		}
		if object, err = r.store.Put(ctx, key, value, current.Revision); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	r.mu.Lock()
	r.revision = object.Revision
	r.mu.Unlock()
	return nil
}

func (r *Roster) list(ctx context.Context) error {
	objects, err := r.store.ListStale(ctx, recordKind+"/")
	if err != nil {
		return err
	}
	found := make(map[string]member, len(objects))
	for _, o := range objects {
		var record Record
		if err := json.Unmarshal(o.Value, &record); err != nil {
			r.log.WithField("key", o.Key).WithError(err).Warn("router_record_unreadable")
			continue
		}
		if name := o.Key[len(recordKind)+1:]; name != r.name {
			record.name = name
			found[name] = member{record: record, revision: o.Revision}
		}
	}
	r.mu.Lock()
	previous := r.view.members
	r.view.applyList(time.Now(), r.self, found)
	clear(r.preferenceLists)
	expired := map[string]uint64{}
	for name, m := range r.view.members {
		if r.view.isExpired(m) {
			expired[name] = m.revision
		}
		if old, ok := previous[name]; !ok || old.record.State != m.record.State || old.record.Instance != m.record.Instance {
			r.log.WithFields(log.Fields{"router": name, "state": string(m.record.State), "instance": m.record.Instance}).Info("router_seen")
		}
	}
	r.mu.Unlock()
	for name, revision := range expired {
		if err := r.store.Delete(ctx, recordKind+"/"+name, revision); err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// Count returns the number of routers that are alive, including this one.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, m := range r.view.members {
		if r.view.isAlive(m) {
			n++
		}
	}
	return n
}

// Peers returns the peer addresses of the other routers that are alive, by name.
func (r *Roster) Peers() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make(map[string]string, len(r.view.members))
	for name, m := range r.view.members {
		if m.record.Peer != "" && r.view.isAlive(m) {
			addresses[name] = m.record.Peer
		}
	}
	return addresses
}

// PreferenceList returns the names of at most n routers, ranked for the key by rendezvous hashing over the primary
// routers that are alive and not leaving, including this one. If all are leaving, it returns this one. The result must
// not be changed.
func (r *Roster) PreferenceList(key string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ranked, ok := r.preferenceLists[preferenceKey{key, n}]; ok {
		return ranked
	}
	records := r.aliveRecords(func(m Record) bool { return m.State != Leaving })
	if len(records) == 0 {
		records = []Record{r.self}
	}
	ranked := rendezvous.Rank(key, names(selectPrimaries(records)))
	ranked = ranked[:min(n, len(ranked))]
	r.preferenceLists[preferenceKey{key, n}] = ranked
	return ranked
}

// aliveRecords returns the records that match of the routers that are alive, including this one.
func (r *Roster) aliveRecords(match func(Record) bool) []Record {
	var records []Record
	if match(r.self) {
		records = append(records, r.self)
	}
	for _, m := range r.view.members {
		if match(m.record) && r.view.isAlive(m) {
			records = append(records, m.record)
		}
	}
	return records
}

func names(records []Record) []string {
	list := make([]string, len(records))
	for i, r := range records {
		list[i] = r.name
	}
	return list
}

// Leaders returns the peer addresses of the routers, at most n, that watch the store on behalf of the others in this
// availability zone: its largest ones, ranked by rendezvous hashing. It returns none if this router is one of them, or
// if the fleet has at most smallFleet routers.
func (r *Roster) Leaders(smallFleet, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.members)+1 <= smallFleet {
		return nil
	}
	records := r.aliveRecords(func(m Record) bool {
		return m.name == r.name || m.State == Ready && m.Zone == r.self.Zone
	})
	ranked := rendezvous.Rank("leaders/"+r.self.Zone, names(records))
	largest := maxCapacity(records)
	byName := make(map[string]Record, len(records))
	for _, m := range records {
		byName[m.name] = m
	}
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(rank(byName[a].isPrimary(largest)), rank(byName[b].isPrimary(largest)))
	})
	ranked = ranked[:min(n, len(ranked))]
	if slices.Contains(ranked, r.name) {
		return nil
	}
	var addresses []string
	for _, name := range ranked {
		addresses = append(addresses, byName[name].Peer)
	}
	return addresses
}

// rank orders primary routers before the others.
func rank(primary bool) int {
	if primary {
		return 0
	}
	return 1
}

// Addresses returns the caller addresses of at most limit ready primary routers, those in the given zone first. If no
// router is ready, it returns the addresses of those that are starting.
func (r *Roster) Addresses(zone string, limit int) []string {
	r.mu.Lock()
	records := r.aliveRecords(func(Record) bool { return true })
	r.mu.Unlock()
	if addresses := selectAddresses(records, Ready, zone, limit); len(addresses) > 0 {
		return addresses
	}
	return selectAddresses(records, Starting, zone, limit)
}
