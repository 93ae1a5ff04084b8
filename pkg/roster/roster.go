// Package roster determines which routers of the fleet are alive. Each router renews a record in the platform's store
// and gets the records of the others from a feed, so that it doesn't depend on connections to all of them.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

const (
	// Kind is the kind of the routers' records in the store, the first part of their keys.
	Kind = "routers"
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
	// maxRestoredDelay spreads the renewals of all routers after the store has come back from an older copy.
	maxRestoredDelay = time.Second
	// recordRetention is the time without a renewal after which a dead router's record is deleted, and retainedRenewals the
	// least number of its renewal intervals: the records of a fleet of 500 are renewed in a minute.
	recordRetention  = time.Minute
	retainedRenewals = 4
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
	// NoLinks is set while the router's VM has lost its links to all endpoints. It serves through other routers then.
	NoLinks bool `json:"no_links,omitempty"`
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
}

// member is another router, with the time at which its record was last seen to change.
type member struct {
	record    Record
	revision  uint64
	changedAt time.Time
}

// Roster is a router's view of the fleet. It is safe for concurrent use.
type Roster struct {
	store            Store
	name             string
	log              log.Interface
	renewalRequested chan struct{}

	// record is this router's record in the store.
	record *platform.OwnedObject

	mu   sync.Mutex
	self Record
	view view
	// storeFailing is set while renewals or deletions fail.
	storeFailing bool
	// preferenceLists caches the results of PreferenceList until the next list or change of state, because the view does
	// not change in between.
	preferenceLists map[preferenceKey][]string
	// shareRanks caches the ranks of this router for Share in the same way, and tenure is what it knows about its own record.
	shareRanks map[string]int
	// primaries caches the result of PrimaryCount in the same way, 0 if there is none.
	primaries int
	tenure    tenure
}

type preferenceKey struct {
	key string
	n   int
}

// New returns a Roster for the router with the given name and record.
func New(store Store, name string, self Record, logger log.Interface) *Roster {
	self.name = name
	record := &platform.OwnedObject{Store: store, Key: Kind + "/" + name}
	return &Roster{store: store, record: record, name: name, self: self, log: logger, renewalRequested: make(chan struct{}, 1), view: view{members: map[string]member{}}, preferenceLists: map[preferenceKey][]string{}, shareRanks: map[string]int{}}
}

// SetState changes this router's state and renews its record at once.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	changed := r.self.State != s
	r.self.State = s
	r.clearCaches()
	r.mu.Unlock()
	if changed {
		r.log.WithField("state", string(s)).Info("router_state")
		r.requestRenewal()
	}
}

// SetLinksLost tells the other routers that this router's VM has lost its links to all endpoints, or has them back.
func (r *Roster) SetLinksLost(lost bool) {
	r.mu.Lock()
	changed := r.self.NoLinks != lost
	r.self.NoLinks = lost
	r.mu.Unlock()
	if changed {
		r.requestRenewal()
	}
}

func (r *Roster) requestRenewal() {
	select {
	case r.renewalRequested <- struct{}{}:
	default:
	}
}

// Run renews this router's record and deletes those of dead routers until ctx ends. age returns the age of the records
// that the roster's feed has passed on, and false if there are none yet.
func (r *Roster) Run(ctx context.Context, age func() (time.Duration, bool)) {
	var lastRenewal time.Time
	renewalDue := true
	for ctx.Err() == nil {
		var err error
		if renewalDue || time.Since(lastRenewal) >= r.renewalInterval() {
			lastRenewal = time.Now()
			err = r.renew(ctx)
		}
		if a, ok := age(); ok && a < maxListGap {
			err = errors.Join(err, r.deleteExpired(ctx, time.Now()))
		}
		r.logStoreFailure(err)
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

// deleteExpired advances the view's time and deletes the records of dead routers for which this router is the first of
// those that are alive.
func (r *Roster) deleteExpired(ctx context.Context, now time.Time) error {
	r.mu.Lock()
	r.view.advance(now)
	r.clearCaches()
	expired := map[string]uint64{}
	for name, m := range r.view.members {
		if r.view.isExpired(m) {
			expired[name] = m.revision
		}
	}
	r.mu.Unlock()
	for name, revision := range expired {
		if r.PreferenceList("expired/"+name, 1)[0] != r.name {
			continue
		}
		if err := r.store.Delete(ctx, Kind+"/"+name, revision); err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// clearCaches forgets what was derived from the view. r.mu must be held.
func (r *Roster) clearCaches() {
	clear(r.preferenceLists)
	clear(r.shareRanks)
	r.primaries = 0
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
	self := r.self
	r.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("roster: encode record: %w", err)
	}
	startedAt := time.Now()
	if err := r.record.Write(ctx, value); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tenure.acknowledged(time.Now(), startedAt, platform.Era(r.record.Revision()), r.view.retention(r.self))
	return nil
}

// ReplaceAll implements feed.Consumer.
func (r *Roster) ReplaceAll(objects []platform.Object, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(map[string]member{}, objects)
}

// ApplyChanges implements feed.Consumer.
func (r *Roster) ApplyChanges(objects []platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(maps.Clone(r.view.members), objects)
}

// apply adds the objects to found and makes the result the members of the view. r.mu must be held.
func (r *Roster) apply(found map[string]member, objects []platform.Object) {
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, Kind+"/")
		if name == r.name {
			continue
		}
		if o.Deleted {
			delete(found, name)
			continue
		}
		record := Record{}
		if err := json.Unmarshal(o.Value, &record); err != nil {
			r.log.WithFields(log.Fields{"key": o.Key, "revision": platform.FormatRevision(o.Revision)}).WithError(err).Warn("router_record_unreadable")
			continue
		}
		record.name = name
		found[name] = member{record: record, revision: o.Revision}
	}
	previous := r.view.members
	if r.view.applyList(time.Now(), r.self, found) {
		// The copy has an earlier record of this router, or none.
		time.AfterFunc(rand.N(maxRestoredDelay), r.requestRenewal)
	}
	r.clearCaches()
	var changed []string
	for name, m := range r.view.members {
		if old, ok := previous[name]; !ok || old.record.State != m.record.State || old.record.NoLinks != m.record.NoLinks || old.record.Instance != m.record.Instance {
			changed = append(changed, name+" "+string(m.record.State)+" "+m.record.Instance)
		}
	}
	if len(changed) > 0 {
		slices.Sort(changed)
		r.log.WithFields(log.Fields{"routers": len(r.view.members) + 1, "changed": len(changed), "first": changed[:min(maxLoggedChanges, len(changed))]}).Info("roster_changed")
	}
}

// maxLoggedChanges bounds the routers that one log line names.
const maxLoggedChanges = 8

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

// PrimaryCount returns the number of primary routers that are alive and not leaving, including this one.
func (r *Roster) PrimaryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.primaries == 0 {
		r.primaries = len(selectPrimaries(r.aliveRecords(func(m Record) bool { return m.State != Leaving })))
	}
	return r.primaries
}

// Peer is another router.
type Peer struct{ Name, Address, Zone string }

// PrimaryPeers returns the other primary routers that are alive and not leaving.
func (r *Roster) PrimaryPeers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.aliveRecords(func(m Record) bool { return m.State != Leaving && m.Peer != "" && m.name != r.name })
	var peers []Peer
	for _, m := range selectPrimaries(records) {
		peers = append(peers, Peer{Name: m.name, Address: m.Peer, Zone: m.Zone})
	}
	return peers
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

// Addresses returns the caller addresses of at most limit ready primary routers, those in the given zone first. Routers whose VMs
// have lost their links to the endpoints are left out while there are others. If no router is ready, it returns the addresses of
// those that are starting.
func (r *Roster) Addresses(zone string, limit int) []string {
	return r.AddressesIn(func(string) bool { return true }, zone, limit)
}

// AddressesIn is Addresses for the routers in the zones for which isAllowed returns true, or for all if none of these is ready.
func (r *Roster) AddressesIn(isAllowed func(zone string) bool, zone string, limit int) []string {
	r.mu.Lock()
	records := r.aliveRecords(func(Record) bool { return true })
	r.mu.Unlock()
	allowed := slices.DeleteFunc(slices.Clone(records), func(m Record) bool { return !isAllowed(m.Zone) })
	if slices.ContainsFunc(allowed, func(m Record) bool { return m.State == Ready && m.Address != "" }) {
		records = allowed
	}
	linked := slices.DeleteFunc(slices.Clone(records), func(m Record) bool { return m.NoLinks })
	for _, some := range [][]Record{linked, records} {
		if addresses := selectAddresses(some, Ready, zone, limit); len(addresses) > 0 {
			return addresses
		}
	}
	return selectAddresses(records, Starting, zone, limit)
}
