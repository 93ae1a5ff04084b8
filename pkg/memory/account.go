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

	mu        sync.Mutex
	used      int64
	peak      int64
	addresses map[netip.Addr]int64
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

// Holding is what is held for one request or connection. It is safe for concurrent use. A nil Holding counts nothing.
type Holding struct {
	account      *Account
	address      netip.Addr
	organisation string
	bytes        int64
	since        time.Time
	end          func()
}

// Open returns an empty holding for a caller. The address may be invalid if there is none, and the organisation empty; neither has a
// share then. Close must be called.
func (a *Account) Open(address netip.Addr, organisation string) *Holding {
	return &Holding{account: a, address: address.Unmap(), organisation: organisation}
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
	u := usage{total: a.used, address: noShare, organisation: noShare, holding: h.bytes}
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

// Close gives all bytes back. Later calls do nothing.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.arriving, h)
	h.add(-h.bytes)
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

// evict ends a holding after h was refused with cause. Of those that still arrive it is the one with the fewest bytes a second; for
// ErrShare one of the same caller. mu must be held.
func (a *Account) evict(h *Holding, cause error) {
	now := a.now()
	if now.Sub(a.evictedAt) < evictInterval {
		return
	}
	var slowest *Holding
	slowestPace := 0.0
	for other := range a.arriving {
		age := now.Sub(other.since)
		if other == h || age < evictAfter || cause == ErrShare && !other.isOf(h) {
			continue
		}
		// The pace of one that has stopped falls with its age, however much it holds.
		if pace := float64(other.bytes) / age.Seconds(); slowest == nil || pace < slowestPace {
			slowest, slowestPace = other, pace
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

// isOf reports whether the holding counts against a share of h.
func (h *Holding) isOf(other *Holding) bool {
	return shared(h.bytes) > 0 && (h.address == other.address || h.organisation != "" && h.organisation == other.organisation)
}

// Stats are the account's gauges in bytes, and the number of holdings that were ended for others since the start.
type Stats struct{ Used, Peak, Total, Evicted int64 }

// Stats returns the present state.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Used: a.used, Peak: a.peak, Total: a.limits.Total, Evicted: a.evicted}
}
