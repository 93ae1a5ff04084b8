// Package evacuation decides which availability zones get nothing more because an operator has ordered it. It has no I/O and no
// clock: the store's objects and the present time are passed in.
package evacuation

import (
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// lostHold is how long an order stays in force that a store which came back from an older copy has lost. Without an answer of the
	// operator, who may not know of the loss, the order would end by mistake, or never: the end of an order that the store doesn't
	// have is no change there.
	lostHold = time.Minute
	// endedRetention is how long the end of an order is remembered. It exceeds the age of a copy from which the store is restored.
	endedRetention = time.Minute
)

// Order is an operator's order about one zone: that nothing more is sent there, or, if Ended is set, that this is over. Revision is the
// store's revision of the order; of an ended one it may be that of its last change.
type Order struct {
	Zone     string
	Revision uint64
	Ended    bool
}

// ChangeKind is what has changed for a zone.
type ChangeKind string

// Kinds of changes.
const (
	// Ordered means that a zone gets nothing more.
	Ordered ChangeKind = "zone_evacuated"
	// TakenBack means that the operator has ended the order.
	TakenBack ChangeKind = "zone_evacuation_ended"
	// Held means that the store has lost the order in a restore. It stays in force.
	Held ChangeKind = "zone_evacuation_lost"
	// Expired means that the order was held for lostHold and the operator hasn't repeated it.
	Expired ChangeKind = "zone_evacuation_expired"
	// Ignored means that a restore has brought an order back that had ended.
	Ignored ChangeKind = "zone_evacuation_ignored"
)

// Change is a change of the belief about a zone. Revision is that of the order.
type Change struct {
	Kind     ChangeKind
	Zone     string
	Revision uint64
}

// belief is what is known of a zone.
type belief struct {
	ordered bool
	// isCopy is set if the store has an order that had ended, because a restore has brought it back.
	isCopy bool
	// revision is that of the newest order, whether it is in force or has ended.
	revision uint64
	// until is the end of an order that the store has lost, zero for one that it has.
	until time.Time
	// past are the revisions of earlier orders and of those that have ended, for endedRetention.
	past []pastOrder
}

// pastOrder is an order that is no longer the newest one, or has ended.
type pastOrder struct {
	revision uint64
	at       time.Time
}

func (b belief) isHeld() bool { return b.ordered && !b.until.IsZero() }

// Set is the set of evacuated zones. It is not safe for concurrent use.
type Set struct {
	zones  map[string]belief
	loaded bool
	// era is the store's newest era, listedEra that of the last list.
	era, listedEra uint64
}

// New returns a Set that has read nothing.
func New() *Set { return &Set{zones: map[string]belief{}} }

// IsLoaded reports whether all orders have been read once.
func (s *Set) IsLoaded() bool { return s.loaded }

// Reach records that the store has reached a revision. It is called before the lists and changes of a new era, which may be empty.
func (s *Set) Reach(revision uint64) { s.era = max(s.era, platform.Era(revision)) }

// Replace applies a list of all orders in the store. An order that is missing has ended, unless the store has come back from an older
// copy since the last list.
func (s *Set) Replace(now time.Time, orders []Order) (changes []Change) {
	for _, o := range orders {
		s.Reach(o.Revision)
	}
	restored := s.loaded && s.era > s.listedEra
	s.loaded, s.listedEra = true, s.era
	listed := map[string]bool{}
	for _, o := range orders {
		listed[o.Zone] = true
		changes = append(changes, s.put(now, o, restored)...)
	}
	for _, zone := range s.names() {
		b := s.zones[zone]
		switch {
		case listed[zone]:
		case b.isCopy:
			s.endCopy(now, zone)
		case b.ordered && restored:
			b.until = now.Add(lostHold)
			s.zones[zone] = b
			changes = append(changes, Change{Held, zone, b.revision})
		case b.ordered && !b.isHeld():
			changes = append(changes, s.end(now, zone, TakenBack))
		}
	}
	return append(changes, s.Expire(now)...)
}

// Apply applies changes of orders that come after the last list, in their order.
func (s *Set) Apply(now time.Time, orders []Order) (changes []Change) {
	for _, o := range orders {
		b := s.zones[o.Zone]
		switch {
		case !o.Ended:
			changes = append(changes, s.put(now, o, false)...)
		case b.ordered:
			changes = append(changes, s.end(now, o.Zone, TakenBack))
		case b.isCopy:
			s.endCopy(now, o.Zone)
		}
	}
	return append(changes, s.Expire(now)...)
}

// put applies an order in the store; restored is set if it may be from an older copy. A copy keeps the numbers of the revisions that it
// has, so an order that comes back after its end has the same number.
func (s *Set) put(now time.Time, o Order, restored bool) []Change {
	b := s.zones[o.Zone]
	switch {
	case b.isCopy && b.revision == o.Revision:
		return nil
	case !b.ordered && restored && b.isPast(o.Revision):
		b.isCopy, b.revision = true, o.Revision
		s.zones[o.Zone] = b
		return []Change{{Ignored, o.Zone, o.Revision}}
	}
	wasOrdered := b.ordered
	if wasOrdered && b.revision != o.Revision {
		b.addPast(now)
	}
	b.ordered, b.isCopy, b.revision, b.until = true, false, o.Revision, time.Time{}
	s.zones[o.Zone] = b
	if wasOrdered {
		return nil
	}
	return []Change{{Ordered, o.Zone, o.Revision}}
}

// addPast records that the newest order has ended or isn't the newest any more.
func (b *belief) addPast(now time.Time) {
	b.past = slices.DeleteFunc(b.past, func(p pastOrder) bool { return now.Sub(p.at) >= endedRetention })
	b.past = append(b.past, pastOrder{b.revision, now})
}

func (b *belief) isPast(revision uint64) bool {
	return slices.ContainsFunc(b.past, func(p pastOrder) bool {
		return platform.RevisionNumber(p.revision) == platform.RevisionNumber(revision)
	})
}

// endCopy records that the store no longer has an order that a restore had brought back.
func (s *Set) endCopy(now time.Time, zone string) {
	b := s.zones[zone]
	b.isCopy = false
	b.addPast(now)
	s.zones[zone] = b
}

func (s *Set) end(now time.Time, zone string, kind ChangeKind) Change {
	b := s.zones[zone]
	b.ordered, b.until = false, time.Time{}
	b.addPast(now)
	s.zones[zone] = b
	return Change{kind, zone, b.revision}
}

// Expire ends the orders that were held for long enough after the store lost them, and forgets those that ended long ago.
func (s *Set) Expire(now time.Time) (changes []Change) {
	for _, zone := range s.names() {
		b := s.zones[zone]
		switch {
		case b.isHeld() && !now.Before(b.until):
			changes = append(changes, s.end(now, zone, Expired))
		case !b.ordered && !b.isCopy && now.Sub(b.past[len(b.past)-1].at) >= endedRetention:
			delete(s.zones, zone)
		}
	}
	return changes
}

// NextExpiry returns when the next held order expires, and false if there is none.
func (s *Set) NextExpiry() (next time.Time, ok bool) {
	for _, b := range s.zones {
		if b.isHeld() && (!ok || b.until.Before(next)) {
			next, ok = b.until, true
		}
	}
	return next, ok
}

// IsEvacuated reports whether nothing is sent to the zone.
func (s *Set) IsEvacuated(zone string) bool { return s.zones[zone].ordered }

// Zones returns the names of the evacuated zones, ordered.
func (s *Set) Zones() []string {
	return slices.DeleteFunc(s.names(), func(zone string) bool { return !s.zones[zone].ordered })
}

// names returns the names of all zones that something is known of, ordered.
func (s *Set) names() []string {
	names := make([]string, 0, len(s.zones))
	for zone := range s.zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}
