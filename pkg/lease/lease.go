// Package lease implements a lease that is stored in a platform object and changed only by conditional updates.
//
// The fencing number of a holder is the revision of the object at the acquisition. Revisions only grow, so a later
// holder has a larger number. An endpoint can reject an outdated order only if it compares fencing numbers and has
// already received a larger one. A new holder must therefore send its number to an endpoint before it relies on what
// the endpoint reports. Endpoints that ignore the number accept an order of a paused holder at any time. The record
// therefore lists the previous holders that are not known to be terminated, and the holder must expect one late order
// from each.
package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// TTL is the time after which a router may take the lease if it has observed no renewal. It runs from the moment
	// at which that router first observed the last renewal, by its own clock.
	TTL = 15 * time.Second
	// Interval is the mean time between two platform calls of a holder, which renews, or of a candidate, which reads.
	Interval = 5 * time.Second
	// retryInterval is the mean time from a failed platform call to the next call.
	retryInterval = time.Second
	// driftMargin is how much earlier the lease ends for its holder than for other routers. It covers clocks whose
	// rates differ by up to 10%.
	driftMargin = TTL / 10
	// jitter is the largest fraction by which an interval is shortened or lengthened.
	jitter = 0.2
)

// Options configure a Lease.
type Options struct {
	Store platform.Store
	// Key is the key of the lease object.
	Key string
	// Self is the instance of this process.
	Self string
	// IsTerminated reports whether an instance is known to send no more orders. If it is nil, none is.
	IsTerminated func(instance string) bool
	Rand         *rand.Rand
}

// Lease is this process's view of the lease. It is not safe for concurrent use. The goroutine that calls its methods
// must also send the orders, so that no order is in flight during Step or Release except those reported by
// MarkUncertain.
type Lease struct {
	options Options
	// current is the last version of the object that was read or written; revision is 0 if there is no object.
	current  record
	revision uint64
	hasRead  bool // current and revision are set
	// changedAt is the time at which the current holder and sequence were first observed.
	changedAt time.Time
	// ownSequence and sentAt belong to the last write of this process that acquires or renews.
	ownSequence uint64
	sentAt      time.Time
	// confirmedSentAt is the send time of the last such write that is known to have taken effect; zero means none. For
	// the holder the lease runs from this time, because no other router can observe the write earlier.
	confirmedSentAt   time.Time
	fencing           uint64
	mustRead          bool // the last write may have failed or conflicted, so current may be outdated
	hasUncertainOrder bool
	nextCallAt        time.Time
}

// New returns a lease that is not held.
func New(options Options) *Lease { return &Lease{options: options} }

// Valid returns the fencing number if this process holds the lease at now. The result may be outdated when it is used,
// because the process can be paused after the check.
func (l *Lease) Valid(now time.Time) (uint64, bool) {
	held := l.isHolder() && !l.confirmedSentAt.IsZero() && now.Before(l.confirmedSentAt.Add(TTL-driftMargin))
	if !held {
		return 0, false
	}
	return l.fencing, true
}

// PreviousHolders returns the previous holders that may still send orders.
func (l *Lease) PreviousHolders() []string { return slices.Clone(l.current.PreviousHolders) }

// MarkUncertain records that an order was sent whose outcome is unknown. The endpoint may execute it later, so from
// then on this process does not remove itself from the previous holders.
func (l *Lease) MarkUncertain() { l.hasUncertainOrder = true }

// isHolder reports whether the current record names this process as holder. The lease may have expired or been taken
// since that record was read or written.
func (l *Lease) isHolder() bool {
	return l.hasRead && l.current.Holder == l.options.Self && !l.current.Released && l.fencing > 0
}

// Step makes at most one platform call, if one is due, and returns its error. mayTry reports whether this process may
// take the lease; it is called only when a platform call is due. A holder renews whatever mayTry reports. The clock is
// read again after the platform call, because that call may take long.
func (l *Lease) Step(ctx context.Context, mayTry func() bool) error {
	now := time.Now()
	if now.Before(l.nextCallAt) {
		return nil
	}
	candidate := mayTry()
	if !candidate && !l.isHolder() && !l.mustRead && !l.mayRemoveSelf() {
		l.nextCallAt = now.Add(l.withJitter(Interval))
		return nil
	}
	err := l.call(ctx, now, candidate)
	pause := Interval
	switch {
	case err != nil || l.mustRead:
		pause = retryInterval
	case l.confirmedSentAt.IsZero() && l.isHolder(), candidate && l.mayTake(time.Now()), l.mayRemoveSelf():
		pause = 0
	}
	l.nextCallAt = time.Now().Add(l.withJitter(pause))
	return err
}

func (l *Lease) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*l.options.Rand.Float64()-1)))
}

func (l *Lease) call(ctx context.Context, now time.Time, candidate bool) error {
	switch {
	case l.isHolder() && !l.mustRead:
		renewal := l.current
		renewal.Fencing = l.fencing
		renewal.PreviousHolders = removeIf(renewal.PreviousHolders, l.isTerminated)
		return l.write(ctx, now, renewal)
	case candidate && l.mayTake(now):
		acquisition := record{Holder: l.options.Self, PreviousHolders: l.previousHoldersAfterTake()}
		return l.write(ctx, now, acquisition)
	case l.mayRemoveSelf():
		updated := l.current
		updated.PreviousHolders = removeIf(updated.PreviousHolders, l.isSelf)
		return l.put(ctx, updated)
	}
	return l.read(ctx)
}

// mayTake reports whether the lease is free at now according to the current record. The write that takes it is
// conditional on the revision of that record.
func (l *Lease) mayTake(now time.Time) bool {
	if !l.hasRead || l.mustRead || l.isHolder() {
		return false
	}
	return l.revision == 0 || l.current.Released || !now.Before(l.changedAt.Add(TTL))
}

// mayRemoveSelf reports whether this process is listed as a previous holder although no order of it is in flight.
func (l *Lease) mayRemoveSelf() bool {
	return l.hasRead && !l.mustRead && !l.hasUncertainOrder && l.current.Holder != l.options.Self && slices.Contains(l.current.PreviousHolders, l.options.Self)
}

// previousHoldersAfterTake returns the previous holders to record when this process takes the lease. They include the
// current holder unless it released the lease, and this process only if the outcome of one of its orders is unknown.
func (l *Lease) previousHoldersAfterTake() []string {
	holders := slices.Clone(l.current.PreviousHolders)
	if l.revision != 0 && !l.current.Released && !slices.Contains(holders, l.current.Holder) {
		holders = append(holders, l.current.Holder)
	}
	return removeIf(holders, func(instance string) bool {
		return l.isTerminated(instance) || l.isSelf(instance) && !l.hasUncertainOrder
	})
}

func (l *Lease) isTerminated(instance string) bool {
	return l.options.IsTerminated != nil && l.options.IsTerminated(instance)
}

func (l *Lease) isSelf(instance string) bool { return instance == l.options.Self }

// write acquires or renews the lease.
func (l *Lease) write(ctx context.Context, now time.Time, r record) error {
	l.ownSequence = max(l.ownSequence, l.current.Sequence) + 1
	l.sentAt = now
	r.Sequence, r.Released = l.ownSequence, false
	return l.put(ctx, r)
}

// put writes the record. After a lost response or a conflict, the next step reads the object; its holder and sequence
// show whether the write took effect.
func (l *Lease) put(ctx context.Context, r record) error {
	object, err := l.options.Store.Put(ctx, l.options.Key, r.encode(), l.revision)
	if err == nil {
		object.Value = r.encode()
		return l.setCurrent(object)
	}
	if errors.Is(err, platform.ErrUncertain) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		l.mustRead = true
	}
	return err
}

func (l *Lease) read(ctx context.Context) error {
	object, err := l.options.Store.Get(ctx, l.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		l.current, l.revision, l.hasRead, l.mustRead = record{}, 0, true, false
		l.fencing, l.confirmedSentAt = 0, time.Time{}
		return nil
	}
	if err != nil {
		return err
	}
	return l.setCurrent(object)
}

// setCurrent stores a version of the object that was read or written, and updates the fencing number and the confirmed
// send time.
func (l *Lease) setCurrent(object platform.Object) error {
	r, err := decode(object.Value)
	if err != nil {
		return err
	}
	if !l.hasRead || l.revision == 0 || r.Holder != l.current.Holder || r.Sequence != l.current.Sequence {
		l.changedAt = time.Now()
	}
	l.current, l.revision, l.hasRead, l.mustRead = r, object.Revision, true, false
	if r.Holder != l.options.Self || r.Released {
		l.fencing, l.confirmedSentAt = 0, time.Time{}
		return nil
	}
	if r.Sequence == l.ownSequence {
		l.confirmedSentAt = l.sentAt
	}
	if r.Fencing > 0 {
		l.fencing = r.Fencing
	} else {
		l.fencing = object.Revision
	}
	return nil
}

// Release gives up the lease, so that another router can take it at once. It does nothing if this process is not the
// holder. After an order with an unknown outcome, this process is listed as a previous holder.
func (l *Lease) Release(ctx context.Context) error {
	if !l.isHolder() {
		return nil
	}
	released := l.current
	released.Released, released.Fencing = true, l.fencing
	if l.hasUncertainOrder && !slices.Contains(released.PreviousHolders, l.options.Self) {
		released.PreviousHolders = append(slices.Clone(released.PreviousHolders), l.options.Self)
	}
	l.fencing, l.confirmedSentAt = 0, time.Time{}
	return l.put(ctx, released)
}
