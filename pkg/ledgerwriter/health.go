package ledgerwriter

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// health keeps all tasks of a writer from calling a platform that is down. While it is down, one attempt is let
// through at jittered, growing intervals; everything else fails at once, so that callers can take another path.
type health struct {
	mu      sync.Mutex
	down    bool
	probing bool
	next    time.Time
	waits   *backoff.ExponentialBackOff
}

func newHealth() *health { return &health{waits: newBackOff(firstProbe, lastProbe)} }

// usable reports whether an operation may be queued: the platform is up or a probe is due.
func (h *health) usable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down || h.probing || !time.Now().Before(h.next)
}

// enter reports whether an attempt may be made. While the platform is down it allows one probe at a time.
func (h *health) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.down {
		return true
	}
	if h.probing || time.Now().Before(h.next) {
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

// up records that the platform answered. It reports whether the platform was down before.
func (h *health) up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	recovered := h.down
	h.down, h.probing = false, false
	h.waits.Reset()
	return recovered
}

// leave ends an attempt that made no call.
func (h *health) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
}

// fail records that the platform did not answer repeatedly, or did not answer a probe.
func (h *health) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down && !h.probing {
		return
	}
	h.down, h.probing = true, false
	h.next = time.Now().Add(h.waits.NextBackOff())
}
