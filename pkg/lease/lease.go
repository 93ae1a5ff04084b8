// Package lease keeps a lease in a platform object by conditional updates.
//
// The fencing number of a holder is the revision of the object at its acquisition. Revisions only grow, so a later
// holder has a larger number. The number proves an order to be old only at an endpoint that has seen a larger one and
// that compares them: a new holder must make its number known to an endpoint before it relies on what the endpoint
// reports. Endpoints that ignore the number accept the order of a paused holder at any time. The record therefore
// lists the previous holders that are not known to be gone, and the holder must expect one late order from each.
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
	// TTL is the time after the last renewal that a router has seen, by its own clock, at which it may take over.
	TTL = 15 * time.Second
	// Interval is the mean time between two calls of a holder, which renews, or of a candidate, which reads.
	Interval = 5 * time.Second
	// retryInterval is the mean time to the next call after a failed one.
	retryInterval = time.Second
	// driftMargin ends the lease earlier for its holder than for the others. It covers clocks that run up to 10%
	// apart.
	driftMargin = TTL / 10
	// jitter is the largest part by which an interval is made shorter or longer.
	jitter = 0.2
)

// Options configure a Lease.
type Options struct {
	Store platform.Store
	Key   string
	// Self is the instance of this process.
	Self string
	// IsTerminated reports whether an instance is known to give no more orders. It may be nil.
	IsTerminated func(instance string) bool
	Rand         *rand.Rand
}

// Lease is this process's part of the lease. It is owned by one goroutine, which also gives the orders: an order is
// never on its way during Step, unless its outcome was reported by MarkUncertain.
type Lease struct {
	options Options
	// seen is the newest known version of the object; its revision is 0 if there is no object.
	seen     record
	revision uint64
	known    bool
	// changedAt is the time at which a new holder or sequence was first seen.
	changedAt time.Time
	// sequence and sentAt belong to the last own write that acquires or renews.
	sequence uint64
	sentAt   time.Time
	// provenAt is the send time of the last own write that is known to have taken effect.
	provenAt  time.Time
	fencing   uint64
	reread    bool
	uncertain bool
	next      time.Time
}

// New returns a lease that is not held.
func New(options Options) *Lease { return &Lease{options: options} }

// Valid returns the fencing number if this process holds the lease at now. The result can be wrong at the moment it is
// used, because the process can be paused after the check.
func (l *Lease) Valid(now time.Time) (uint64, bool) {
	held := l.holds() && !l.provenAt.IsZero() && now.Before(l.provenAt.Add(TTL-driftMargin))
	if !held {
		return 0, false
	}
	return l.fencing, true
}

// PreviousHolders returns the previous holders that may still give orders.
func (l *Lease) PreviousHolders() []string { return slices.Clone(l.seen.PreviousHolders) }

// MarkUncertain records that an order was sent whose outcome is not known. The endpoint may run it later, so this process
// then never declares itself free of orders.
func (l *Lease) MarkUncertain() { l.uncertain = true }

func (l *Lease) holds() bool {
	return l.known && l.seen.Holder == l.options.Self && !l.seen.Released && l.fencing > 0
}

// Step makes at most one platform call, if it is due. mayTry reports whether this process may take the lease; it is
// only asked when a call is due. A holder renews in any case. The clock is read again after a call, because the call
// may take long.
func (l *Lease) Step(ctx context.Context, mayTry func() bool) error {
	now := time.Now()
	if now.Before(l.next) {
		return nil
	}
	candidate := mayTry()
	if !candidate && !l.holds() && !l.reread && !l.mayRemoveSelf() {
		l.next = now.Add(l.jittered(Interval))
		return nil
	}
	err := l.call(ctx, now, candidate)
	pause := Interval
	switch {
	case err != nil || l.reread:
		pause = retryInterval
	case l.provenAt.IsZero() && l.holds(), candidate && l.mayTake(time.Now()), l.mayRemoveSelf():
		pause = 0
	}
	l.next = time.Now().Add(l.jittered(pause))
	return err
}

func (l *Lease) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*l.options.Rand.Float64()-1)))
}

func (l *Lease) call(ctx context.Context, now time.Time, candidate bool) error {
	switch {
	case l.holds() && !l.reread:
		renewed := l.seen
		renewed.Fencing = l.fencing
		renewed.PreviousHolders = without(renewed.PreviousHolders, l.isTerminated)
		return l.write(ctx, now, renewed)
	case candidate && l.mayTake(now):
		taken := record{Holder: l.options.Self, PreviousHolders: l.previousHoldersAfterTake()}
		return l.write(ctx, now, taken)
	case l.mayRemoveSelf():
		left := l.seen
		left.PreviousHolders = without(left.PreviousHolders, l.isSelf)
		return l.put(ctx, left)
	}
	return l.read(ctx)
}

// mayTake reports whether the lease is free as far as the last read shows. The write is conditional on that read.
func (l *Lease) mayTake(now time.Time) bool {
	if !l.known || l.reread || l.holds() {
		return false
	}
	return l.revision == 0 || l.seen.Released || !now.Before(l.changedAt.Add(TTL))
}

// mayRemoveSelf reports whether this process is listed as a previous holder although no order of it is on its way.
func (l *Lease) mayRemoveSelf() bool {
	return l.known && !l.reread && !l.uncertain && l.seen.Holder != l.options.Self && slices.Contains(l.seen.PreviousHolders, l.options.Self)
}

// previousHoldersAfterTake returns the previous holders after this process has taken the lease.
func (l *Lease) previousHoldersAfterTake() []string {
	former := slices.Clone(l.seen.PreviousHolders)
	if l.revision != 0 && !l.seen.Released && !slices.Contains(former, l.seen.Holder) {
		former = append(former, l.seen.Holder)
	}
	return without(former, func(instance string) bool {
		return l.isTerminated(instance) || l.isSelf(instance) && !l.uncertain
	})
}

func (l *Lease) isTerminated(instance string) bool {
	return l.options.IsTerminated != nil && l.options.IsTerminated(instance)
}

func (l *Lease) isSelf(instance string) bool { return instance == l.options.Self }

// write acquires or renews the lease.
func (l *Lease) write(ctx context.Context, now time.Time, r record) error {
	l.sequence = max(l.sequence, l.seen.Sequence) + 1
	l.sentAt = now
	r.Sequence, r.Released = l.sequence, false
	return l.put(ctx, r)
}

// put writes the record. After a lost response or a conflict, the next step reads the object, which shows by holder
// and sequence whether the write took effect.
func (l *Lease) put(ctx context.Context, r record) error {
	object, err := l.options.Store.Put(ctx, l.options.Key, r.encode(), l.revision)
	if err == nil {
		object.Value = r.encode()
		return l.see(object)
	}
	if errors.Is(err, platform.ErrUncertain) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		l.reread = true
	}
	return err
}

func (l *Lease) read(ctx context.Context) error {
	object, err := l.options.Store.Get(ctx, l.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		l.seen, l.revision, l.known, l.reread = record{}, 0, true, false
		l.fencing, l.provenAt = 0, time.Time{}
		return nil
	}
	if err != nil {
		return err
	}
	return l.see(object)
}

// see takes over a version of the object.
func (l *Lease) see(object platform.Object) error {
	r, err := decode(object.Value)
	if err != nil {
		return err
	}
	if !l.known || l.revision == 0 || r.Holder != l.seen.Holder || r.Sequence != l.seen.Sequence {
		l.changedAt = time.Now()
	}
	l.seen, l.revision, l.known, l.reread = r, object.Revision, true, false
	if r.Holder != l.options.Self || r.Released {
		l.fencing, l.provenAt = 0, time.Time{}
		return nil
	}
	if r.Sequence == l.sequence {
		l.provenAt = l.sentAt
	}
	if r.Fencing > 0 {
		l.fencing = r.Fencing
	} else {
		l.fencing = object.Revision
	}
	return nil
}

// Release gives the lease up, so that another router can take it at once. After an order with an unknown outcome,
// this process stays listed as a previous holder.
func (l *Lease) Release(ctx context.Context) error {
	if !l.holds() {
		return nil
	}
	released := l.seen
	released.Released, released.Fencing = true, l.fencing
	if l.uncertain && !slices.Contains(released.PreviousHolders, l.options.Self) {
		released.PreviousHolders = append(slices.Clone(released.PreviousHolders), l.options.Self)
	}
	l.fencing, l.provenAt = 0, time.Time{}
	return l.put(ctx, released)
}
