package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// RegistryKind is the kind of the routers' crash records in the store, the first part of their keys.
	RegistryKind = "crashrecords"
	// registryStopAfter is the number of crashes after which a part is stopped. Parts that only shared an engine with the
	// cause are rarely there at three crashes in a row without a completion in between.
	registryStopAfter = 3
	// stopRequestAfter is lower, because one request is at a second crash only if it was sent again, and few others are
	// refused by mistake with it.
	stopRequestAfter = 2
	// independentCrashes is the time within which crashes of several engines count as one.
	independentCrashes = 200 * time.Millisecond
	// reportsPerCrash is the number of requests with a fingerprint that one router reports for one crash. Two tell a part that
	// several requests have in common.
	reportsPerCrash = 2
	// publishDelay collects the records of one crash into one write.
	publishDelay = 20 * time.Millisecond
	// maxClearDelay is the upper bound of the random delay of a write that only clears fingerprints. Most routers find
	// within this time that another one has written the same.
	maxClearDelay = 400 * time.Millisecond
	// publishRetryDelay is the pause after a write that failed.
	publishRetryDelay = time.Second
	// maxRegistryRecords bounds the records of the fleet that a router holds. Each crash adds those of the parts that were there.
	maxRegistryRecords = 4096
	// maxPublishedRecords bounds the records in a router's object, the most recently changed first.
	maxPublishedRecords = 256
	// expiryInterval is the period at which records that no longer count are removed.
	expiryInterval = time.Minute
	// firstTrialDelay is the time after the last crash from which a stopped fingerprint may be tried again. Each crash
	// beyond registryStopAfter doubles it trialDoublings times, up to Retention, which maxTrialDoublings exceed.
	firstTrialDelay   = 15 * time.Second
	trialDoublings    = 2
	maxTrialDoublings = 8
)

// registryRules count the crash of one run of an endpoint once, however far the clocks of its observers differ.
var registryRules = Rules{StopAfter: registryStopAfter, StopRequestAfter: stopRequestAfter, Independent: independentCrashes}

// Feature is a property of a request that may crash endpoints. Depth and Name become the Depth and Label of its record.
type Feature struct {
	Fingerprint Fingerprint
	Depth       int
	Name        string
}

// DepthOfRequest is the Depth of a request as a whole.
const DepthOfRequest = 1 << 16

// RegistryStore is the part of the platform's store that a Registry uses.
type RegistryStore interface {
	platform.ObjectWriter
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

// RegistryOptions configures a Registry.
type RegistryOptions struct {
	Store RegistryStore
	// VM is this router's name.
	VM  string
	Log log.Interface
	// IsFirst reports whether this router is the first of those that are alive for the key. One router alone tries a
	// stopped fingerprint again and deletes an object that nobody needs any more.
	IsFirst func(key string) bool
}

// Registry holds the crash records of the fleet. Each router writes its own into one object of the store, from which the
// others get them by a feed; records merge without regard to order. A fingerprint is stopped after crashes of several
// endpoints between which no request with it completed at any router.
//
// It is safe for concurrent use.
type Registry struct {
	RegistryOptions
	object *platform.OwnedObject
	// The channels hold a value while records are to be published at once, or some time later.
	publishNow, publishLater chan struct{}

	mu sync.Mutex
	// known holds all records, shared only those that the store has.
	known, shared *RecordSet
	// authored holds the fingerprints whose records this router publishes.
	authored map[Fingerprint]bool
	// crashedRuns holds the time at which this router noticed the crash of a run, so that all its reports agree.
	crashedRuns map[string]time.Time
	// stopped holds the number of crashes of each stopped fingerprint. It is out of date while changed is set.
	stopped map[Fingerprint]int
	changed bool
	triedAt map[Fingerprint]time.Time
	// objects holds the revision and the newest record of each router's object.
	objects map[string]storedObject
	loaded  bool
}

type storedObject struct {
	revision uint64
	newest   time.Time
}

// NewRegistry returns a Registry without records.
func NewRegistry(o RegistryOptions) *Registry {
	return &Registry{
		RegistryOptions: o, object: &platform.OwnedObject{Store: o.Store, Key: RegistryKind + "/" + o.VM},
		publishNow: make(chan struct{}, 1), publishLater: make(chan struct{}, 1),
		known: newRegistrySet(), shared: newRegistrySet(),
		authored: map[Fingerprint]bool{}, crashedRuns: map[string]time.Time{}, stopped: map[Fingerprint]int{},
		triedAt: map[Fingerprint]time.Time{}, objects: map[string]storedObject{},
	}
}

// IsLoaded reports whether the records in the store have been read.
func (r *Registry) IsLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// IsEmpty reports whether there are no records at all.
func (r *Registry) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Len() == 0
}

// Find returns the first feature that is stopped. Now and then it lets one request with a stopped feature pass, to find
// out whether it still crashes endpoints.
func (r *Registry) Find(features []Feature) (Feature, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.updateStopped(now)
	for _, f := range features {
		if n := r.stopped[f.Fingerprint]; n > 0 && !r.tryAgain(now, f, n) {
			return f, true
		}
	}
	return Feature{}, false
}

// tryAgain reports whether a request with the stopped feature is sent as a trial. r.mu must be held.
func (r *Registry) tryAgain(now time.Time, f Feature, n int) bool {
	_, latest := r.known.Crashes(now, f.Fingerprint)
	delay := trialDelay(n)
	if now.Sub(latest) < delay || now.Sub(r.triedAt[f.Fingerprint]) < delay || !r.IsFirst(f.Fingerprint.key()) {
		return false
	}
	r.triedAt[f.Fingerprint] = now
	r.Log.WithFields(log.Fields{"feature": f.Name, "fingerprint": f.Fingerprint.key(), "crashes": n, "crashed_ago_ms": now.Sub(latest).Milliseconds()}).Info("stopped_content_tried")
	return true
}

// trialDelay returns the time after the last of n crashes from which a stopped fingerprint may be tried again. It answers
// both a fingerprint that was stopped wrongly and one that crashes endpoints for hours.
func trialDelay(n int) time.Duration {
	doublings := min(maxTrialDoublings, trialDoublings*max(0, n-registryStopAfter))
	return min(Retention, firstTrialDelay<<doublings)
}

// ReportCrash records that a run of an endpoint crashed while it had a request with the features, the last of which is the
// request as a whole. The run's name must differ between two starts of the endpoint. begun is the Begun of
// the crash.
func (r *Registry) ReportCrash(run string, features []Feature, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	at, seen := r.crashedRuns[run]
	if !seen {
		at = now.Truncate(time.Millisecond)
		r.crashedRuns[run] = at
		r.Log.WithField("run", run).Warn("endpoint_crashed")
	}
	request := features[len(features)-1].Fingerprint.BodyHash
	crash := Crash{VM: run, Observer: r.VM, At: at, Request: request, Begun: begun}
	for _, f := range features {
		if !begun && r.known.reports(f.Fingerprint, run, r.VM) >= reportsPerCrash {
			continue
		}
		if r.known.Merge(now, Record{Fingerprint: f.Fingerprint, Depth: f.Depth, Label: f.Name, Crashes: []Crash{crash}}) {
			r.authored[f.Fingerprint], r.changed = true, true
		}
	}
	signal(r.publishNow)
}

// ReportCompleted records that an endpoint answered a request with the features without a crash.
func (r *Registry) ReportCompleted(features []Feature) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, f := range features {
		if r.known.Status(now, f.Fingerprint) == Clear {
			continue
		}
		r.known.Merge(now, Record{Fingerprint: f.Fingerprint, ClearedAt: now.Truncate(time.Millisecond).Add(time.Millisecond)})
		r.changed = true
		r.shareClearing(now, f.Fingerprint)
	}
}

// shareClearing publishes that a fingerprint is clear if the other routers are about to stop it. Most crashes are
// the only ones at which a fingerprint was present, so that nobody has to write anything. r.mu must be held.
func (r *Registry) shareClearing(now time.Time, f Fingerprint) {
	if r.othersNeedClearing(now, f) {
		r.authored[f] = true
		signal(r.publishLater)
	}
}

// othersNeedClearing reports whether the other routers are about to stop a fingerprint that this one knows to be clear.
// r.mu must be held.
func (r *Registry) othersNeedClearing(now time.Time, f Fingerprint) bool {
	n, _ := r.shared.Crashes(now, f)
	return n >= registryStopAfter-1 && r.known.Status(now, f) == Clear
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateStopped finds the stopped fingerprints again after a change of the records. r.mu must be held.
func (r *Registry) updateStopped(now time.Time) {
	if !r.changed {
		return
	}
	r.changed = false
	previous := r.stopped
	r.stopped = findCulprits(now, r.known.all(), registryRules)
	for record := range r.known.all() {
		n, stopped := r.stopped[record.Fingerprint]
		if _, before := previous[record.Fingerprint]; before == stopped {
			continue
		}
		message := "content_cleared"
		if stopped {
			message = "content_stopped"
		}
		r.Log.WithFields(log.Fields{
			"feature": record.Label, "fingerprint": record.Fingerprint.key(), "crashes": n, "records": r.known.Len(),
			"newest_ago_ms": now.Sub(record.newest(time.Time{})).Milliseconds(),
		}).Warn(message)
	}
}

// key returns the fingerprint as text.
func (f Fingerprint) key() string { return f.Organisation + "/" + strconv.FormatUint(f.BodyHash, 16) }

// Run publishes this router's records and removes old ones until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		delay := publishDelay
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			r.expire(ctx)
			continue
		case <-r.publishLater:
			delay += rand.N(maxClearDelay)
		case <-r.publishNow:
		}
		if !sleep.For(ctx, delay) {
			return
		}
		if err := r.publish(ctx); err != nil {
			r.Log.WithError(err).Warn("crash_records_not_published")
			signal(r.publishNow)
			sleep.For(ctx, publishRetryDelay)
		}
	}
}

// publish writes this router's records unless the store has them all. It waits until the records in the store have been
// read, so that it doesn't lose those of an earlier process.
func (r *Registry) publish(ctx context.Context) error {
	value, err := r.unpublished()
	if err != nil || value == nil {
		return err
	}
	return r.object.Write(ctx, value)
}

func (r *Registry) unpublished() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return nil, errNotLoaded
	}
	now := time.Now()
	var records []Record
	changed := false
	for record := range r.known.all() {
		if !r.authored[record.Fingerprint] {
			continue
		}
		if len(records) == maxPublishedRecords {
			delete(r.authored, record.Fingerprint)
			continue
		}
		records = append(records, *record)
		changed = changed || r.shared.lacksCrash(now, *record) || r.othersNeedClearing(now, record.Fingerprint)
	}
	if !changed {
		return nil, nil
	}
	return encodeRecords(records)
}

// errNotLoaded is returned before the records in the store have been read.
var errNotLoaded = errors.New("poison: the crash records have not been read yet")

// expire removes the records that no longer count, and the objects of routers that hold no others.
func (r *Registry) expire(ctx context.Context) {
	r.mu.Lock()
	now := time.Now()
	r.known.Expire(now)
	r.shared.Expire(now)
	for f := range r.authored {
		if r.known.records[f] == nil {
			delete(r.authored, f)
		}
	}
	r.changed = true
	r.updateStopped(now)
	for f, at := range r.triedAt {
		if now.Sub(at) > Retention {
			delete(r.triedAt, f)
		}
	}
	for run, at := range r.crashedRuns {
		if now.Sub(at) > Retention {
			delete(r.crashedRuns, run)
		}
	}
	unneeded := map[string]uint64{}
	for key, o := range r.objects {
		if now.Sub(o.newest) > Retention+maxClockSkew && r.IsFirst("expired/"+key) {
			unneeded[key] = o.revision
		}
	}
	r.mu.Unlock()
	for key, revision := range unneeded {
		if err := r.Store.Delete(ctx, key, revision); err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			r.Log.WithField("key", key).WithError(err).Warn("crash_records_not_deleted")
			return
		}
	}
}

// ReplaceAll implements feed.Consumer. Records are only added to the known ones: what another router has written stays true. A
// store that comes back from an older copy lacks the latest ones, which are written again.
func (r *Registry) ReplaceAll(objects []platform.Object, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.objects)
	r.shared = newRegistrySet()
	r.apply(objects)
	r.loaded = true
	r.publishMissing(time.Now())
}

// publishMissing publishes the crashes that the store lacks. Those of a router that has stopped are published by the first one.
// r.mu must be held.
func (r *Registry) publishMissing(now time.Time) {
	for record := range r.known.all() {
		f := record.Fingerprint
		if !r.shared.lacksCrash(now, *record) || !r.authored[f] && !r.IsFirst(f.key()) {
			continue
		}
		r.authored[f] = true
		signal(r.publishNow)
	}
}

// newRegistrySet returns an empty set of a registry.
func newRegistrySet() *RecordSet {
	s := NewRecordSet(registryRules)
	s.limit = maxRegistryRecords
	return s
}

// ApplyChanges implements feed.Consumer.
func (r *Registry) ApplyChanges(objects []platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(objects)
}

// apply merges the records of the objects. r.mu must be held.
func (r *Registry) apply(objects []platform.Object) {
	now := time.Now()
	for _, o := range objects {
		if o.Deleted {
			delete(r.objects, o.Key)
			continue
		}
		records, err := decodeRecords(o.Value)
		if err != nil {
			r.Log.WithFields(log.Fields{"key": o.Key, "revision": platform.FormatRevision(o.Revision)}).WithError(err).Warn("crash_records_unreadable")
			continue
		}
		object := storedObject{revision: o.Revision}
		for _, record := range records {
			object.newest = record.newest(object.newest)
			r.shared.Merge(now, record)
			r.changed = r.known.Merge(now, record) || r.changed
			if o.Key == r.object.Key {
				r.authored[record.Fingerprint] = true
			}
			r.shareClearing(now, record.Fingerprint)
		}
		r.objects[o.Key] = object
	}
}
