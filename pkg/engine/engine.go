// Package engine is a stand-in for a model engine. It simulates continuous batching and a prefix cache of limited
// size, and answers with text that depends only on the request.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// thawCheckInterval is the interval at which frozen work checks whether the freeze was cleared.
const thawCheckInterval = 50 * time.Millisecond

// Engine simulates the process of one model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	clock  standin.Clock

	mu     sync.Mutex
	random *rand.Rand
	// processCtx ends when the simulated process ends: by a crash, Restart or Close.
	processCtx  context.Context
	endProcess  context.CancelCauseFunc
	crashed     bool
	queue       *queue
	runs        map[string][]*Run
	cache       *cache
	events      eventLog
	loadSamples []loadSample
	frames      frameFaults
	faults      faults
	orders      orderState
	records     records
	kv          kvStore

	// backgroundLoads holds the loads of weights that are in progress.
	backgroundLoads conc.WaitGroup
}

// New returns an idle engine with its models loaded.
func New(config Config) (*Engine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if config.Clock == nil {
		config.Clock = standin.SystemClock{}
	}
	if config.MaxModels == 0 {
		config.MaxModels = len(config.Models)
	}
	e := &Engine{config: config, clock: config.Clock, random: rand.New(rand.NewPCG(config.Seed, 1))}
	e.resetProcess()
	return e, nil
}

// resetProcess sets the state of a newly started process. The records stay, because the load tool compares them at the
// end. The caller holds mu, except in New, where the engine is not shared yet.
func (e *Engine) resetProcess() {
	e.processCtx, e.endProcess = context.WithCancelCause(context.Background())
	e.crashed = false
	e.queue = &queue{freeSlots: e.config.Slots, maxWaiting: e.config.QueueLimit}
	e.runs = map[string][]*Run{}
	e.cache = newCache(e.config.CacheBlocks, e.publishCacheEvent)
	e.events = eventLog{}
	e.loadSamples = nil
	e.frames = frameFaults{}
	e.orders = newOrderState(e.config.Models)
	e.kv = newKVStore()
	e.sampleLoad()
}

// Restart starts a new process, as after a crash: empty caches, no orders, the models of the configuration. It ends all
// streams that are still open.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endProcess(errCrashed)
	e.resetProcess()
}

// crash calls OnCrash. If there is none or it returns, crash ends all streams and marks the engine as crashed.
func (e *Engine) crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	e.endProcess(errCrashed)
}

// Close ends all streams and waits for the loads of weights in progress.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endProcess(errCrashed)
	e.mu.Unlock()
	e.backgroundLoads.Wait()
}

// Crashed reports whether the engine has crashed and has not been restarted.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// scaleDuration returns the time that work of duration d takes at the current speed. The caller holds mu.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.config.Speed * e.faults.slowFactor(e.clock.Now()))
}

// simulateWork waits for the scaled time of work of duration d and then for the end of a freeze.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) error {
	e.mu.Lock()
	d = e.scaleDuration(d)
	e.mu.Unlock()
	if err := e.clock.Sleep(ctx, d); err != nil {
		return err
	}
	return e.waitForThaw(ctx)
}

// waitForThaw waits until no freeze is in force or ctx ends, and returns the error of ctx.
func (e *Engine) waitForThaw(ctx context.Context) error {
	for {
		e.mu.Lock()
		remaining := e.faults.frozenUntil.Sub(e.clock.Now())
		e.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := e.clock.Sleep(ctx, min(remaining, thawCheckInterval)); err != nil {
			return err
		}
	}
}
