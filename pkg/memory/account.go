package memory

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// evictAfter is the age from which a holding whose bytes still arrive can be ended for others. A caller on a poor link has sent a
	// usual request by then.
	evictAfter = time.Second
	// evictInterval is the least time between two holdings that are ended, so that the search stays cheap when many are refused. The
	// connection of one is closed by then.
	evictInterval = 10 * time.Millisecond
)

// Account is the sum of what is held for callers. It is safe for concurrent use.
type Account struct {
	limits Limits
	now    func() time.Time

	mu   sync.Mutex
	used int64
	peak int64
	// connections is what open connections take besides their requests. It isn't part of used.
	connections int64
	addresses   map[netip.Addr]int64
	// organisations holds the sums by name. Requests without an organisation have the empty name and no share.
	organisations map[string]int64
	// arriving are the holdings whose bytes still come in.
	arriving  map[*Holding]struct{}
	evictedAt time.Time
	evicted   int64
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, now: time.Now, addresses: map[netip.Addr]int64{}, organisations: map[string]int64{}, arriving: map[*Holding]struct{}{}}
}

// Holding is what is held for one request, or for the connection itself. It is safe for concurrent use. A nil Holding counts nothing.
type Holding struct {
	account      *Account
	address      netip.Addr
	organisation string
	bytes        int64
	// isConnection is set for what a connection takes besides its requests.
	isConnection bool
	// since is when the bytes began to arrive, and grownAt when the holding had last doubled, to grownTo bytes.
	since, grownAt time.Time
	grownTo        int64
	end            func()
}

// Open returns an empty holding for a caller. The address may be invalid if there is none, and the organisation empty; neither has a
// share then. Close must be called.
func (a *Account) Open(address netip.Addr, organisation string) *Holding {
	return &Holding{account: a, address: address.Unmap(), organisation: organisation}
}

// OpenConnection returns an empty holding for what a connection takes besides its requests. Close must be called.
func (a *Account) OpenConnection() *Holding { return &Holding{account: a, isConnection: true} }

// HasRoomForConnection reports whether a connection that takes n bytes besides its requests could be opened.
func (a *Account) HasRoomForConnection(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.check(usage{total: a.used, connections: a.connections, isConnection: true}, n) == nil
}

// Assign counts the holding against the share of an organisation, once that is known. On ErrShare, which means that the organisation
// holds too much with it, it is counted all the same.
func (h *Holding) Assign(organisation string) error {
	if h == nil || organisation == "" {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	bytes := h.bytes
	h.add(-bytes)
	h.organisation = organisation
	h.add(bytes)
	if shared(bytes) > 0 && h.account.limits.Total > 0 && h.account.organisations[organisation] > h.account.limits.Caller {
		return ErrShare
	}
	return nil
}

// Grow counts n more bytes before they are allocated. On an error, ErrFull or ErrShare, nothing is counted, and the slowest of the
// holdings that still arrive may be ended to make room for a later try.
func (h *Holding) Grow(n int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	u := usage{total: a.used, connections: a.connections, address: noShare, organisation: noShare, holding: h.bytes, isConnection: h.isConnection}
	if h.address.IsValid() {
		u.address = a.addresses[h.address]
	}
	if h.organisation != "" {
		u.organisation = a.organisations[h.organisation]
	}
	err := a.limits.check(u, n)
	if err != nil {
		a.evict(h, err)
		return err
	}
	h.add(n)
	if h.bytes >= 2*h.grownTo {
		h.grownAt, h.grownTo = a.now(), h.bytes
	}
	return nil
}

// Shrink gives n bytes back.
func (h *Holding) Shrink(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(-min(n, h.bytes))
}

// Size returns the number of bytes that are counted.
func (h *Holding) Size() int64 {
	if h == nil {
		return 0
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// ShrinkTo gives back what exceeds n bytes.
func (h *Holding) ShrinkTo(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.add(min(0, n-h.bytes))
}

// Close gives all bytes back, and the holding counts against no organisation any more. It can be used for another request then.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.arriving, h)
	h.add(-h.bytes)
	h.organisation, h.grownTo = "", 0
}

// Arrive marks the bytes of the holding as still coming in. end is called, at most once and never after Arrived has returned, if others
// need the room; it must make Arrived or Close be called soon, and must not block nor use the account.
func (h *Holding) Arrive(end func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.since, h.end = h.account.now(), end
	h.grownAt, h.grownTo = h.since, h.bytes
	h.account.arriving[h] = struct{}{}
}

// Arrived ends what Arrive began.
func (h *Holding) Arrived() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.arriving, h)
}

// add changes the size of the holding. The account's mu must be held.
func (h *Holding) add(n int64) {
	a := h.account
	if h.isConnection {
		h.bytes += n
		a.connections += n
		return
	}
	before := shared(h.bytes)
	h.bytes += n
	a.used += n
	a.peak = max(a.peak, a.used)
	change := shared(h.bytes) - before
	if change == 0 {
		return
	}
	if h.address.IsValid() {
		addTo(a.addresses, h.address, change)
	}
	if h.organisation != "" {
		addTo(a.organisations, h.organisation, change)
	}
}

// shared returns how many bytes of a holding count against the shares.
func shared(n int64) int64 {
	if n <= SmallBytes {
		return 0
	}
	return n
}

// addTo changes a sum and leaves none that is 0, so that callers who have gone take no memory.
func addTo[K comparable](sums map[K]int64, key K, n int64) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}

// evict ends a holding after h was refused with cause. Of those that still arrive it is the one that has not doubled for longest, and the
// smallest of several; for ErrShare one of the same caller. The bytes a second since its beginning would protect a large body that has
// stalled, and end small ones on poor links. mu must be held.
func (a *Account) evict(h *Holding, cause error) {
	now := a.now()
	if now.Sub(a.evictedAt) < evictInterval {
		return
	}
	var slowest *Holding
	for other := range a.arriving {
		if other == h || now.Sub(other.since) < evictAfter || cause == ErrShare && !other.isOf(h) {
			continue
		}
		if slowest == nil || other.isSlowerThan(slowest) {
			slowest = other
		}
	}
	if slowest == nil {
		return
	}
	a.evictedAt = now
	a.evicted++
	delete(a.arriving, slowest)
	slowest.end()
}

// isSlowerThan reports whether the holding is ended before another.
func (h *Holding) isSlowerThan(other *Holding) bool {
	if !h.grownAt.Equal(other.grownAt) {
		return h.grownAt.Before(other.grownAt)
	}
	return h.bytes < other.bytes
}

// isOf reports whether the holding counts against a share of h.
func (h *Holding) isOf(other *Holding) bool {
	return shared(h.bytes) > 0 && (h.address == other.address || h.organisation != "" && h.organisation == other.organisation)
}

// Stats are the account's gauges in bytes, and the number of holdings that were ended for others since the start.
type Stats struct{ Used, Peak, Total, Connections, Evicted int64 }

// Stats returns the present state.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Used: a.used, Peak: a.peak, Total: a.limits.Total, Connections: a.connections, Evicted: a.evicted}
}
