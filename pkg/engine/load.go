package engine

import "time"

// maxLoadSamples bounds the samples that lagged load reports are made from.
const maxLoadSamples = 4096

type loadSample struct {
	at      time.Time
	running int
	queued  int
	kvUse   float64
}

// sampleLoad notes the present load. The caller holds mu.
func (e *Engine) sampleLoad() {
	sample := loadSample{
		at: e.clock.Now(), running: e.config.Slots - e.queue.free, queued: len(e.queue.waiting), kvUse: e.cache.use(),
	}
	e.loads = append(e.loads, sample)
	if len(e.loads) > maxLoadSamples {
		e.loads = append([]loadSample(nil), e.loads[len(e.loads)-maxLoadSamples/2:]...)
	}
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.clock.Now().Add(-e.config.LoadLag)
	seen := e.loads[0]
	for _, sample := range e.loads {
		if sample.at.After(limit) {
			break
		}
		seen = sample
	}
	return Load{Running: seen.running, Queued: seen.queued, KVUse: seen.kvUse, AgeMS: e.config.LoadLag.Milliseconds()}
}
