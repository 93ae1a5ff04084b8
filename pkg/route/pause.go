package route

import "time"

// AnnounceLeaving records that an answer of the endpoint said that it leaves. It reports whether that is new.
func (t *Table) AnnounceLeaving(_ time.Time, vm string) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || e.announcedLeaving {
		return false
	}
	e.announcedLeaving = true
	return true
}

// Pause records that the endpoint has asked for a time without requests of this router. It reports whether the pause is new or
// longer than the one in force.
func (t *Table) Pause(now time.Time, vm string, d time.Duration) (changed bool) {
	e := t.endpoints[vm]
	if e == nil || !now.Add(d).After(e.pausedUntil) {
		return false
	}
	e.pausedUntil = now.Add(d)
	return true
}
