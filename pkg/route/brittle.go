package route

import "time"

// brittleness is what an endpoint said about the rejections that it can bear.
type brittleness struct {
	// namedAt is the time of the latest answer that called the endpoint brittle, zero if there is none.
	namedAt       time.Time
	maxRejections float64
}

func (b *brittleness) isActive() bool { return !b.namedAt.IsZero() }

// BrittleNotice is what an answer to a request that was sent at SentAt said about the rejections that the endpoint can bear.
type BrittleNotice struct {
	VM      string
	SentAt  time.Time
	Brittle bool
	// MaxRejections is the number of requests that the endpoint can reject in a second, if Brittle is set.
	MaxRejections float64
}

// NameBrittle records the notice. It reports whether it says something new. An answer to a request from before the endpoint last
// called itself brittle doesn't end that.
func (t *Table) NameBrittle(now time.Time, n BrittleNotice) (changed bool) {
	e := t.endpoints[n.VM]
	if e == nil {
		return false
	}
	b := &e.brittle
	switch {
	case n.Brittle:
		changed = !b.isActive() || b.maxRejections != n.MaxRejections
		b.namedAt, b.maxRejections = now, n.MaxRejections
	case b.isActive() && n.SentAt.After(b.namedAt):
		changed, e.brittle = true, brittleness{}
	}
	if changed {
		t.refresh(now, e)
	}
	return changed
}
