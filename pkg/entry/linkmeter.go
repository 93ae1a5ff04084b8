package entry

import (
	"sync"
	"time"
)

const (
	// linkWindow is the time over which the use of the link is measured, in linkParts.
	linkWindow = 800 * time.Millisecond
	linkParts  = 8
	// busyLinkShare is the share of the link's bandwidth, and busyLinkDelay the delay of packets, above which both the link
	// is full.
	busyLinkShare = 0.7
	busyLinkDelay = 150 * time.Millisecond
	// packetOverheadBytes is what a read or write takes of the link beside its bytes: headers of its packet and of the
	// acknowledgement.
	packetOverheadBytes = 120
)

// linkMeter measures what callers' requests take of the VM's link. It is safe for concurrent use.
type linkMeter struct {
	// bytesPerSecond is the link's bandwidth in each direction.
	bytesPerSecond float64

	mu    sync.Mutex
	parts [linkParts]float64
	// newest is the number of the newest part, counted from started.
	newest  int64
	started time.Time
}

func newLinkMeter(bytesPerSecond float64, now time.Time) *linkMeter {
	return &linkMeter{bytesPerSecond: bytesPerSecond, started: now}
}

// record counts n bytes of a caller's connection. They pass the link in one direction between the caller and this VM and in
// the other one between this VM and the endpoint, so that each direction carries the sum.
func (m *linkMeter) record(now time.Time, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	m.parts[m.newest%linkParts] += float64(n + packetOverheadBytes)
}

// isFull reports whether the link is full: callers use most of it, and packets wait for the delay.
func (m *linkMeter) isFull(now time.Time, delay time.Duration) bool {
	if delay < busyLinkDelay {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	sum := 0.0
	for _, part := range m.parts {
		sum += part
	}
	return sum > busyLinkShare*m.bytesPerSecond*linkWindow.Seconds()
}

// expire clears the parts that are older than linkWindow. m.mu must be held.
func (m *linkMeter) expire(now time.Time) {
	newest := int64(now.Sub(m.started) / (linkWindow / linkParts))
	for i := max(m.newest+1, newest-linkParts+1); i <= newest; i++ {
		m.parts[i%linkParts] = 0
	}
	m.newest = max(m.newest, newest)
}
