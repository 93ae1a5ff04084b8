package ledgerwriter

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// health is a circuit breaker for the platform calls of a writer's tasks. While the platform is down, it allows one
// attempt (a probe) at a time, at growing intervals with jitter; everything else fails at once, so that callers can use
// another router. It is safe for concurrent use.
type health struct {
	mu          sync.Mutex
	down        bool
	probing     bool
	nextProbe   time.Time
	probeDelays *backoff.ExponentialBackOff
}

func newHealth() *health { return &health{probeDelays: newBackOff(minProbeDelay, maxProbeDelay)} }

// canAccept reports whether an operation may be queued: the platform is up, or a probe is due or running.
func (h *health) canAccept() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down || h.probing || !time.Now().Before(h.nextProbe)
}

// beginAttempt reports whether an attempt may be made. While the platform is down it allows one probe at a time.
func (h *health) beginAttempt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return true
	}
	if h.probing || time.Now().Before(h.nextProbe) {
		return false
	}
	h.probing = true
	return true
}

// isDown reports whether the platform counts as unavailable.
func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// recordSuccess records that the platform answered. It reports whether the platform was down before.
func (h *health) recordSuccess() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	recovered := h.down
	h.down, h.probing = false, false
	h.probeDelays.Reset()
	return recovered
}

// cancelAttempt ends an attempt that made no call.
func (h *health) cancelAttempt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
}

// recordFailure records that the platform was unavailable several times in succession, or for a probe. It has no effect
// if the platform is down already and no probe is running.
func (h *health) recordFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down && !h.probing {
		return
	}
	h.down, h.probing = true, false
	h.nextProbe = time.Now().Add(h.probeDelays.NextBackOff())
}
