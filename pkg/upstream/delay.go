package upstream

import (
	"slices"
	"sync"
	"time"
)

const (
	// delaySamples is the number of connection attempts that the estimate of the link's delay covers, and delayMaxAge their
	// largest age.
	delaySamples = 16
	delayMaxAge  = time.Second
	// minDelaySamples is the number of samples without which there is no estimate.
	minDelaySamples = 4
)

type delaySample struct {
	at   time.Time
	took time.Duration
}

// delayMeter estimates how long packets wait in the VM's link, in both directions together, from the time that connection
// attempts take. It uses their median, because some endpoints may be dark or far. It is safe for concurrent use.
type delayMeter struct {
	mu      sync.Mutex
	samples [delaySamples]delaySample
	next    int
	paused  bool
}

// setPaused forgets the samples and ends or begins the recording of others.
func (m *delayMeter) setPaused(paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused, m.samples = paused, [delaySamples]delaySample{}
}

func (m *delayMeter) record(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused {
		return
	}
	m.samples[m.next] = delaySample{at: now, took: took}
	m.next = (m.next + 1) % delaySamples
}

// estimate returns the median of the recent samples, 0 if there are too few.
func (m *delayMeter) estimate(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var recent []time.Duration
	for _, s := range m.samples {
		if !s.at.IsZero() && now.Sub(s.at) <= delayMaxAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minDelaySamples {
		return 0
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2]
}
