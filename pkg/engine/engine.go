// Package engine is the stand-in of a model engine: it batches continuously, caches prompt prefixes in limited
// memory and answers with text that depends only on the request.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// thawCheck is the interval at which frozen work checks whether the freeze was cleared.
const thawCheck = 50 * time.Millisecond

// Engine is one engine. It is safe for concurrent use.
type Engine struct {
	config Config
	clock  standin.Clock

	mu     sync.Mutex
	random *rand.Rand
	// life ends when the engine crashes.
	life    context.Context
	endLife context.CancelCauseFunc
	crashed bool
	queue   *queue
	runs    map[string][]*Run
	cache   *cache
	events  eventLog
	loads   []loadSample
	frames  frames
	faults  faults
	orders  orderState
	records records
	kv      kvStore

	// loading counts the loads of weights that go on in the background.
	loading conc.WaitGroup
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
	e.start()
	return e, nil
}

// start sets the state of a process that has just begun. The records stay, since the load tool compares them at the
// end. The caller holds mu, or nobody else knows the engine.
func (e *Engine) start() {
	e.life, e.endLife = context.WithCancelCause(context.Background())
	e.crashed = false
	e.queue = &queue{free: e.config.Slots, limit: e.config.QueueLimit}
	e.runs = map[string][]*Run{}
	e.cache = newCache(e.config.CacheBlocks, e.cacheEvent)
	e.events = eventLog{}
	e.loads = nil
	e.frames = frames{}
	e.orders = newOrderState(e.config.Models)
	e.kv = newKVStore()
	e.sampleLoad()
}

// Restart begins a new life after a crash: empty caches, no orders, the models of the configuration.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLife(errCrashed)
	e.start()
}

// crash ends the process, or all streams of this engine if there is no OnCrash.
func (e *Engine) crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	e.endLife(errCrashed)
}

// Close ends all streams and waits for background work.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endLife(errCrashed)
	e.mu.Unlock()
	e.loading.Wait()
}

// Crashed reports whether the engine crashed and was not restarted.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// scale returns the time that work of duration d takes now. The caller holds mu.
func (e *Engine) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.config.Speed * e.faults.slowFactor(e.clock.Now()))
}

// work waits for the time that work of duration d takes, and for the end of a freeze.
func (e *Engine) work(ctx context.Context, d time.Duration) error {
	e.mu.Lock()
	d = e.scale(d)
	e.mu.Unlock()
	if err := e.clock.Sleep(ctx, d); err != nil {
		return err
	}
	return e.thaw(ctx)
}

// thaw waits for the end of a freeze.
func (e *Engine) thaw(ctx context.Context) error {
	for {
		e.mu.Lock()
		left := e.faults.frozenUntil.Sub(e.clock.Now())
		e.mu.Unlock()
		if left <= 0 {
			return ctx.Err()
		}
		if err := e.clock.Sleep(ctx, min(left, thawCheck)); err != nil {
			return err
		}
	}
}
