package memory

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// refusalPeriod is the least time between two log lines on one caller's address.
	refusalPeriod = 10 * time.Second
	// maxRefused is the number of addresses of which refusals are remembered; others share one line.
	maxRefused = 256
)

// Refusals counts refused callers by reason and decides which refusals are logged: one for an address in refusalPeriod. It is safe for
// concurrent use.
type Refusals struct {
	mu       sync.Mutex
	byReason map[string]int64
	callers  map[netip.Addr]*refused
}

// refused is what an address was refused since its last line.
type refused struct {
	loggedAt time.Time
	count    int
}

// Record counts a refusal. If it is to be logged, count is the number of refusals of the address since its last line, and ok is true.
func (r *Refusals) Record(address netip.Addr, reason string, now time.Time) (count int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callers == nil {
		r.byReason, r.callers = map[string]int64{}, map[netip.Addr]*refused{}
	}
	r.byReason[reason]++
	c := r.callers[address]
	if c == nil {
		if len(r.callers) >= maxRefused {
			r.forget(now)
		}
		if len(r.callers) >= maxRefused {
			address = netip.Addr{}
		}
		if c = r.callers[address]; c == nil {
			c = &refused{}
			r.callers[address] = c
		}
	}
	c.count++
	if now.Sub(c.loggedAt) < refusalPeriod {
		return 0, false
	}
	count, c.count, c.loggedAt = c.count, 0, now
	return count, true
}

// forget removes the addresses whose period has passed. mu must be held.
func (r *Refusals) forget(now time.Time) {
	for address, c := range r.callers {
		if now.Sub(c.loggedAt) >= refusalPeriod {
			delete(r.callers, address)
		}
	}
}

// ByReason returns the number of refusals by reason since the start.
func (r *Refusals) ByReason() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.byReason))
	for reason, n := range r.byReason {
		counts[reason] = n
	}
	return counts
}
