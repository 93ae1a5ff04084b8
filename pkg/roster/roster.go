// Package roster knows which routers of the fleet are alive. Each router renews a record in the platform's store and
// lists the records of the others, so that the view does not depend on connections between routers.
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
	// kind is the kind of the store's objects.
	kind = "routers"
	// Interval is the period of renewals and of lists; each interval varies by up to jitter.
	Interval = 2 * time.Second
	jitter   = 0.2
	// fullRate is the number of routers up to which each renews its record in every interval; in a larger fleet each
	// renews less often, so that the calls of the fleet stay the same.
	fullRate = 16
	// missedRenewals is the number of renewals after which a router is taken for dead, on top of listAge, the age that a
	// list may have.
	missedRenewals = 2.5
	listAge        = 3 * time.Second
	// forgetAfter is the time after which the record of a dead router is deleted.
	forgetAfter = time.Minute
)

// State is what a router says of itself.
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
	// Address is where callers connect, Peer where other routers do.
	Address string `json:"address"`
	Peer    string `json:"peer"`
	State   State  `json:"state"`
	// Renewal increases with each write.
	Renewal uint64 `json:"renewal"`
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
	record   Record
	revision uint64
	changed  time.Time
}

// view is the pure part of a Roster. Times are those of successful lists only: while the store can't be read, nobody
// ages.
type view struct {
	members map[string]member
	// clock is the time spent with a readable store.
	clock    time.Duration
	lastList time.Time
	origin   time.Time
}

// maxListGap bounds the time that counts between two successful lists.
const maxListGap = 2 * Interval

// listed takes the result of a list. An older revision than the one known is ignored.
func (v *view) listed(now time.Time, found map[string]member) {
	if v.lastList.IsZero() {
		v.origin = now
	} else {
		v.clock += min(now.Sub(v.lastList), maxListGap)
	}
	v.lastList = now
	at := v.origin.Add(v.clock)
	next := make(map[string]member, len(found))
	for name, m := range found {
		m.changed = at
		if old, ok := v.members[name]; ok && old.revision >= m.revision {
			m = old
		}
		next[name] = m
	}
	v.members = next
}

// alive reports whether the member has renewed its record recently.
func (v *view) alive(m member) bool {
	limit := listAge + time.Duration(missedRenewals*float64(v.renewalInterval()))
	return v.origin.Add(v.clock).Sub(m.changed) < limit
}

// renewalInterval is the time between two renewals of a router's record.
func (v *view) renewalInterval() time.Duration {
	return Interval * time.Duration(max(1, (len(v.members)+fullRate)/fullRate))
}

func (v *view) old(m member) bool { return v.origin.Add(v.clock).Sub(m.changed) >= forgetAfter }

// Roster is a router's view of the fleet. It is safe for concurrent use.
type Roster struct {
	store Store
	name  string
	log   log.Interface
	wake  chan struct{}

	mu       sync.Mutex
	self     Record
	revision uint64
	view     view
	lost     bool
	// preferenceLists are the results of PreferenceList since the last list; the view doesn't change in between.
	preferenceLists map[preferenceKey][]string
}

type preferenceKey struct {
	key string
	n   int
}

// New returns a Roster for the router with the given name and record.
func New(store Store, name string, self Record, logger log.Interface) *Roster {
	return &Roster{store: store, name: name, self: self, log: logger, wake: make(chan struct{}, 1), view: view{members: map[string]member{}}, preferenceLists: map[preferenceKey][]string{}}
}

// SetState changes what the router says of itself and renews its record at once.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	changed := r.self.State != s
	r.self.State = s
	clear(r.preferenceLists)
	r.mu.Unlock()
	if changed {
		r.log.WithField("state", string(s)).Info("router_state")
		r.wakeUp()
	}
}

func (r *Roster) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run renews the record and lists the others until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var renewed time.Time
	woken := true
	for ctx.Err() == nil {
		var err error
		if woken || time.Since(renewed) >= r.renewalInterval() {
			renewed = time.Now()
			err = r.renew(ctx)
		}
		r.noteResult(errors.Join(err, r.list(ctx)))
		woken = err != nil
		pause := time.Duration(float64(Interval) * (1 + jitter*(2*rand.Float64()-1)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-r.wake:
			woken = true
		}
	}
}

func (r *Roster) renewalInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.renewalInterval() - Interval/2
}

func (r *Roster) noteResult(err error) {
	r.mu.Lock()
	was := r.lost
	r.lost = err != nil
	r.mu.Unlock()
	switch {
	case err != nil && !was:
		r.log.WithError(err).Warn("roster_store_lost")
	case err == nil && was:
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
		return fmt.Errorf("roster: %w", err)
	}
	key := kind + "/" + r.name
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
	objects, err := r.store.ListStale(ctx, kind+"/")
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
		if name := o.Key[len(kind)+1:]; name != r.name {
			found[name] = member{record: record, revision: o.Revision}
		}
	}
	r.mu.Lock()
	before := r.view.members
	r.view.listed(time.Now(), found)
	clear(r.preferenceLists)
	stale := map[string]uint64{}
	for name, m := range r.view.members {
		if r.view.old(m) {
			stale[name] = m.revision
		}
		if old, ok := before[name]; !ok || old.record.State != m.record.State || old.record.Instance != m.record.Instance {
			r.log.WithFields(log.Fields{"router": name, "state": string(m.record.State), "instance": m.record.Instance}).Info("router_seen")
		}
	}
	r.mu.Unlock()
	for name, revision := range stale {
		if err := r.store.Delete(ctx, kind+"/"+name, revision); err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// Count returns the number of routers that are taken for alive, this one included.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, m := range r.view.members {
		if r.view.alive(m) {
			n++
		}
	}
	return n
}

// Peers returns the peer addresses of the other routers that are taken for alive, by name.
func (r *Roster) Peers() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make(map[string]string, len(r.view.members))
	for name, m := range r.view.members {
		if m.record.Peer != "" && r.view.alive(m) {
			addresses[name] = m.record.Peer
		}
	}
	return addresses
}

// PreferenceList returns the names of at most n routers, ranked by rendezvous hashing of the key over those that are
// alive and don't leave, this one among them. If all are leaving, it returns this one. The result must not be changed.
func (r *Roster) PreferenceList(key string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ranked, ok := r.preferenceLists[preferenceKey{key, n}]; ok {
		return ranked
	}
	var names []string
	for name, m := range r.view.members {
		if m.record.State != Leaving && r.view.alive(m) {
			names = append(names, name)
		}
	}
	if r.self.State != Leaving || len(names) == 0 {
		names = append(names, r.name)
	}
	ranked := rendezvous.Rank(key, names)
	ranked = ranked[:min(n, len(ranked))]
	r.preferenceLists[preferenceKey{key, n}] = ranked
	return ranked
}

// Leaders returns the peer addresses of the routers of this availability zone that watch the store for the others of it,
// at most n. It returns none if this router is one of them, or if the fleet has at most small routers.
func (r *Roster) Leaders(small, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.view.members)+1 <= small {
		return nil
	}
	names := []string{r.name}
	for name, m := range r.view.members {
		if m.record.State == Ready && m.record.Zone == r.self.Zone && r.view.alive(m) {
			names = append(names, name)
		}
	}
	ranked := rendezvous.Rank("leaders/"+r.self.Zone, names)
	ranked = ranked[:min(n, len(ranked))]
	if slices.Contains(ranked, r.name) {
		return nil
	}
	var addresses []string
	for _, name := range ranked {
		addresses = append(addresses, r.view.members[name].record.Peer)
	}
	return addresses
}

// Addresses returns the caller addresses of the ready routers, those of the caller's zone first, at most limit. If no
// router is known to be ready, it returns those that are starting.
func (r *Roster) Addresses(zone string, limit int) []string {
	r.mu.Lock()
	records := []Record{r.self}
	for _, m := range r.view.members {
		if r.view.alive(m) {
			records = append(records, m.record)
		}
	}
	r.mu.Unlock()
	if addresses := pick(records, Ready, zone, limit); len(addresses) > 0 {
		return addresses
	}
	return pick(records, Starting, zone, limit)
}

func pick(records []Record, state State, zone string, limit int) []string {
	var chosen []Record
	for _, r := range records {
		if r.State == state && r.Address != "" {
			chosen = append(chosen, r)
		}
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	slices.SortStableFunc(chosen, func(a, b Record) int { return cmp.Compare(distance(a, zone), distance(b, zone)) })
	addresses := make([]string, 0, min(limit, len(chosen)))
	for _, r := range chosen[:min(limit, len(chosen))] {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

func distance(r Record, zone string) int {
	if r.Zone == zone {
		return 0
	}
	return 1
}
