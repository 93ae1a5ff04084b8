package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/evacuation"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

const (
	// evacuationLeadersPerZone is the number of routers in an availability zone that watch the orders for the others in it. Orders are
	// few and every watch is a call; if this router fails, the others follow one of another zone at once.
	evacuationLeadersPerZone = 1
	// The store holds a watch of the orders for half of the bound, within these limits: the other half is for noticing that its
	// connection went silent, and for reading again.
	minEvacuationWatch = 250 * time.Millisecond
	maxEvacuationWatch = 10 * time.Second
	// evacuationAnswerTime is the time after the end of a watch in which its answer is with the followers, and above which they
	// follow another leader.
	evacuationAnswerTime = 700 * time.Millisecond
)

// evacuationWatch returns how long the store holds a watch of the orders without a change.
func evacuationWatch(bound time.Duration) time.Duration {
	return min(max(minEvacuationWatch, bound/2), maxEvacuationWatch)
}

// evacuations holds the operators' orders that nothing is sent to a zone. It is safe for concurrent use.
type evacuations struct {
	kind string
	log  log.Interface
	// publish is called with the evacuated zones. It isn't called by two goroutines at once.
	publish func(zones []string) route.EvacuatedState

	mu        sync.Mutex
	set       *evacuation.Set
	published bool
	// answeredAt is the time of the store's answer from which the orders are.
	answeredAt time.Time
	// changes counts the changes by kind.
	changes map[evacuation.ChangeKind]int64
}

func newEvacuations(kind string, logger log.Interface, publish func([]string) route.EvacuatedState) *evacuations {
	return &evacuations{kind: kind, log: logger, publish: publish, set: evacuation.New(), changes: map[evacuation.ChangeKind]int64{}}
}

// isLoaded reports whether the orders have been read once and are in force.
func (e *evacuations) isLoaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published
}

// isEvacuated reports whether nothing is sent to the zone.
func (e *evacuations) isEvacuated(zone string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.IsEvacuated(zone)
}

// contacted records the time of an answer of the store, from which the next list or changes are.
func (e *evacuations) contacted(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answeredAt = at
}

// reached records the first revision of the store, and the first one after each restore.
func (e *evacuations) reached(revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.Reach(revision)
}

// ReplaceAll implements feed.Consumer.
func (e *evacuations) ReplaceAll(objects []platform.Object, _ time.Duration) {
	e.change(func(now time.Time) []evacuation.Change { return e.set.Replace(now, e.orders(objects)) })
}

// ApplyChanges implements feed.Consumer.
func (e *evacuations) ApplyChanges(objects []platform.Object) {
	e.change(func(now time.Time) []evacuation.Change { return e.set.Apply(now, e.orders(objects)) })
}

// expire ends the orders that the store has lost and that were held for long enough.
func (e *evacuations) expire() { e.change(e.set.Expire) }

// orders returns the orders of objects. Only their names count, so that nothing which an operator writes beside is an obstacle.
func (e *evacuations) orders(objects []platform.Object) []evacuation.Order {
	var orders []evacuation.Order
	for _, o := range objects {
		zone, ok := strings.CutPrefix(o.Key, e.kind+"/")
		if !ok || zone == "" {
			e.log.WithField("key", o.Key).Warn("zone_evacuation_skipped")
			continue
		}
		orders = append(orders, evacuation.Order{Zone: zone, Revision: o.Revision, Ended: o.Deleted})
	}
	return orders
}

// change applies a change of the set, publishes and logs it. It calls itself again when the next order that is held expires.
func (e *evacuations) change(apply func(now time.Time) []evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	changes := apply(now)
	if len(changes) > 0 || !e.published {
		state := e.publish(e.set.Zones())
		e.published = true
		e.record(now, changes, state)
	}
	if next, ok := e.set.NextExpiry(); ok {
		time.AfterFunc(next.Sub(now)+time.Millisecond, e.expire)
	}
}

// record logs and counts changes. e.mu must be held.
func (e *evacuations) record(now time.Time, changes []evacuation.Change, state route.EvacuatedState) {
	for _, c := range changes {
		e.changes[c.Kind]++
		fields := log.Fields{
			"zone": c.Zone, "revision": platform.FormatRevision(c.Revision), "zones": len(e.set.Zones()), "endpoints": state.Endpoints, "in_flight": state.InFlight,
		}
		if !e.answeredAt.IsZero() {
			fields["age_ms"] = now.Sub(e.answeredAt).Milliseconds()
		}
		e.log.WithFields(fields).Info(string(c.Kind))
	}
}

// registerMetrics creates the instruments.
func (e *evacuations) registerMetrics(i *telemetry.Instruments) {
	i.Gauge("evacuated_zones", "{zone}", "Availability zones that get no requests by an operator's order.", telemetry.Value(func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return int64(len(e.set.Zones()))
	}))
	i.Counter("zone_evacuations", "{change}", "Changes of operators' orders that nothing is sent to a zone, by kind.", telemetry.ByLabel("kind", func() map[string]int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		counts := make(map[string]int64, len(e.changes))
		for kind, n := range e.changes {
			counts[string(kind)] = n
		}
		return counts
	}))
}
