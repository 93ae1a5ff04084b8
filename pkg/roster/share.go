package roster

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// A Share answers how many routers may use a right at the same time, when no router can ask the others: each decides for itself from its
// view of the records, and the views differ. docs/design/cold-endpoints.md has the argument for these times.
const (
	// maxShareViewAge is the age of the records above which a router uses no share. Lists come every 2.4 s at most.
	maxShareViewAge = 4 * time.Second
	// shareDelays bounds what a list takes from the store to this router, also through another router.
	shareDelays = 1750 * time.Millisecond
	// shareWindow is the time within which all uses of a right are counted together, with the delay of one use.
	shareWindow = 1250 * time.Millisecond
	// shareSettleTime is the time from the acknowledgement of a router's first record to its first use of a share: all routers that use
	// one know the record by then, and those that it displaces have used theirs for the last time.
	shareSettleTime = maxShareViewAge + maxListAge + shareDelays + shareWindow
	// shareRetention is the part of the time until its record may be deleted for which a router uses shares without a renewal.
	shareRetention = 0.5
	// shareCapacityExponent makes routers with a large capacity the first sharers, because most requests come to them, and leaves those
	// with about the same capacity equal.
	shareCapacityExponent = 4
)

// tenure is what a router knows about its own record in the store.
type tenure struct {
	// era is the store's era in which the router has written its record, since the time at which the first such write was acknowledged.
	era   uint64
	since time.Time
	// renewedAt is the start of the last acknowledged write.
	renewedAt time.Time
}

// acknowledged records that a write in the era, begun at startedAt, was acknowledged. The time begins anew if other routers may not know the
// record: after the store has come back from an older copy, and after a time in which they may have deleted it.
func (t *tenure) acknowledged(now, startedAt time.Time, era uint64, retention time.Duration) {
	if t.since.IsZero() || era > t.era || t.isLapsed(startedAt, retention) {
		t.era, t.since = era, now
	}
	t.renewedAt = startedAt
}

// isLapsed reports whether the record has not been renewed for so long that it may be deleted soon.
func (t *tenure) isLapsed(now time.Time, retention time.Duration) bool {
	return now.Sub(t.renewedAt) >= time.Duration(shareRetention*float64(retention))
}

// isSettled reports whether all routers with a current view know this router's record.
func (t *tenure) isSettled(now time.Time, viewEra uint64, retention time.Duration) bool {
	return !t.since.IsZero() && t.era >= viewEra && now.Sub(t.since) >= shareSettleTime && !t.isLapsed(now, retention)
}

// Share reports whether this router is one of the first n routers for the key, and how many of them there are at least in the views of all
// others that are. age is the age of the records, and known is set if there are any.
//
// No more than n routers use the right of a key within any second: the ranking includes routers that are dead, so that only newcomers
// change it, and a newcomer waits until all others that use shares know it. A router whose view may miss one uses none.
func (r *Roster) Share(key string, n int, age time.Duration, known bool) (sharers int, ok bool) {
	return r.shareAt(time.Now(), key, n, age, known)
}

func (r *Roster) shareAt(now time.Time, key string, n int, age time.Duration, known bool) (sharers int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known || age > maxShareViewAge || !r.tenure.isSettled(now, r.view.era, r.view.retention(r.self)) {
		return 0, false
	}
	rank, ok := r.shareRanks[key]
	if !ok {
		rank = r.view.shareRank(key, r.self)
		r.shareRanks[key] = rank
	}
	return min(n, len(r.view.members)+1), rank < n
}

// shareRank returns how many members come before the router in the ranking for the key. It depends on each pair of records alone, so that
// two routers that know each other agree on their order whatever else they know.
func (v *view) shareRank(key string, self Record) int {
	own, rank := shareScore(key, self), 0
	for _, m := range v.members {
		if score := shareScore(key, m.record); score > own || score == own && m.record.name < self.name {
			rank++
		}
	}
	return rank
}

func shareScore(key string, r Record) float64 {
	weight := 1.0
	for range shareCapacityExponent {
		weight *= max(1, r.Capacity)
	}
	return rendezvous.Score(key, r.name, weight)
}
