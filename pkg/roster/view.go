package roster

import (
	"maps"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// view is the deterministic part of a Roster, without I/O and clock. Its time advances only while the records are up to
// date, so that no member expires while the store can't be read.
type view struct {
	members map[string]member
	// elapsed is the time during which the store could be read, since firstListAt.
	elapsed     time.Duration
	advancedAt  time.Time
	firstListAt time.Time
	// largestCapacity is the largest capacity of the members and of this router, and primaryCount the number of primary
	// routers among them.
	largestCapacity float64
	primaryCount    int
	// era is the store's newest era.
	era uint64
}

// maxListGap bounds the time by which view.elapsed increases at once.
const maxListGap = 2 * ListInterval

// advance moves the view's time to now.
func (v *view) advance(now time.Time) {
	if v.advancedAt.IsZero() {
		v.firstListAt = now
	} else {
		v.elapsed += min(now.Sub(v.advancedAt), maxListGap)
	}
	v.advancedAt = now
}

// applyList replaces the members by the result of a list; self is this router's own record. A member whose record
// is no later one keeps its previous record and time of change. It reports whether the store has come back from an older copy.
func (v *view) applyList(now time.Time, self Record, found map[string]member) (restored bool) {
	v.advance(now)
	changedAt := v.firstListAt.Add(v.elapsed)
	next := make(map[string]member, len(found))
	restored = v.beginEra(found)
	if restored {
		// A record that was written after the older copy was taken is missing until it is renewed.
		maps.Copy(next, v.members)
	}
	for name, m := range found {
		m.changedAt = changedAt
		if old, ok := v.members[name]; ok && !m.isAfter(old) {
			old.revision = max(old.revision, m.revision)
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
	return restored
}

// beginEra reports whether the records found are the first ones after the store has come back from an older copy.
func (v *view) beginEra(found map[string]member) bool {
	previous := v.era
	for _, m := range found {
		v.era = max(v.era, platform.Era(m.revision))
	}
	return v.era > previous && len(v.members) > 0
}

// isAfter reports whether the member's record was written after the other one. After the store has come back from an older copy,
// an earlier record of the same start has a later revision.
func (m member) isAfter(other member) bool {
	if m.record.Instance == other.record.Instance {
		if m.record.Renewal != other.record.Renewal {
			return m.record.Renewal > other.record.Renewal
		}
		if platform.Era(m.revision) != platform.Era(other.revision) {
			return false
		}
	}
	return m.revision > other.revision
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
	return v.firstListAt.Add(v.elapsed).Sub(m.changedAt) >= v.retention(m.record)
}

// retention returns the time without a renewal after which a router's record is deleted.
func (v *view) retention(r Record) time.Duration {
	return max(recordRetention, retainedRenewals*v.renewalInterval(r))
}
