package route

import "time"

// requestLimit is the number of requests a second that an endpoint takes from all routers together.
type requestLimit struct {
	perSecond float64
	// namedAt is the time of the latest answer that named the limit, zero if there is none.
	namedAt time.Time
}

// NameLimit records that an answer named the endpoint's limit. It reports whether the limit is new or has changed.
func (t *Table) NameLimit(now time.Time, f *InFlightRequest, perSecond float64) (changed bool) {
	l := &f.endpoint.limit
	changed = l.namedAt.IsZero() || l.perSecond != perSecond
	l.perSecond, l.namedAt = perSecond, now
	return changed
}

// NameNoLimit records that an answer named no limit, which ends an earlier one. It reports whether there was one. An answer to
// a request that was sent before the limit was last named says nothing about it.
func (t *Table) NameNoLimit(f *InFlightRequest) (changed bool) {
	l := &f.endpoint.limit
	if l.namedAt.IsZero() || !f.started.After(l.namedAt) {
		return false
	}
	*l = requestLimit{}
	return true
}
