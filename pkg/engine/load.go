package engine

import "time"

// maxLoadSamples is the largest number of samples kept for delayed load reports.
const maxLoadSamples = 4096

type loadSample struct {
	sampledAt time.Time
	running   int
	queued    int
	kvUse     float64
}

// sampleLoad records the current load. The caller holds mu.
func (e *Engine) sampleLoad() {
	sample := loadSample{
		sampledAt: e.clock.Now(), running: e.config.Slots - e.queue.freeSlots, queued: len(e.queue.waiting),
		kvUse: e.cache.utilisation(),
	}
	e.loadSamples = append(e.loadSamples, sample)
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = append([]loadSample(nil), e.loadSamples[len(e.loadSamples)-maxLoadSamples/2:]...)
	}
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := e.clock.Now().Add(-e.config.LoadLag)
	latest := e.loadSamples[0]
	for _, sample := range e.loadSamples {
		if sample.sampledAt.After(cutoff) {
			break
		}
		latest = sample
	}
	return Load{Running: latest.running, Queued: latest.queued, KVUse: latest.kvUse, AgeMS: e.config.LoadLag.Milliseconds()}
}
