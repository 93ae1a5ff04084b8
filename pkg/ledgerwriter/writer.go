// Package ledgerwriter applies ledger operations to the shards stored at the platform. One task per active shard
// owns the cached shard, collects queued operations and writes them in one conditional update. The written object, the
// head, holds the changes since a base; the base is replaced from time to time and is stored in separate objects
// unless it is small. Safety depends only on the conditional update of the head: any number of routers may write the
// same shard at the same time.
package ledgerwriter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Errors of the writer. Errors of the platform are returned wrapped.
var (
	// ErrQueueFull means that too many calls are queued for the shard. Nothing was changed.
	ErrQueueFull = errors.New("ledgerwriter: queue is full")
	// ErrClosed means that the writer was closed. The operations may have taken effect.
	ErrClosed = errors.New("ledgerwriter: writer is closed")
	// ErrTooManyOps means that one call has more than MaxOps operations. Nothing was changed.
	ErrTooManyOps = errors.New("ledgerwriter: too many operations in one call")
)

// Limits of the writer.
const (
	// MaxOps is the largest number of operations in one call, and of one issuer in one write. It is half of the number
	// of results that a shard keeps per issuer, so that a write that is repeated after a lost response finds the
	// results of all its operations.
	MaxOps = 256
	// maxBatch is the largest number of operations in one write.
	maxBatch = 4096
	// maxQueue is the largest number of calls queued for one shard in each class.
	maxQueue = 4096
	// callTimeout limits a call to the platform. The outcome of a write that exceeds it is uncertain.
	callTimeout = 2 * time.Second
	// idleTimeout is how long a shard without operations stays cached.
	idleTimeout = time.Minute
	// unavailableThreshold is the number of consecutive attempts to store a batch that fail with
	// platform.ErrUnavailable, after which the platform counts as unavailable.
	unavailableThreshold = 3
)

// Delays between attempts to store a batch, and between probes of an unavailable platform.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = 5 * time.Second
)

// Options configure a Writer.
type Options struct {
	Store platform.Store
	// Rate returns the platform calls per second that this writer may make; nil means no limit.
	Rate func() float64
	// Burst is the number of calls that may be made at once after a time without calls.
	Burst int
}

// Writer writes shards. It is safe for concurrent use.
type Writer struct {
	store   platform.Store
	limiter *limiter
	health  *health
	calls   callCounters
	sizes   sizeLimits
	ctx     context.Context
	cancel  context.CancelFunc
	// wg counts running tasks. It is not a conc.WaitGroup, because that delays a panic until Wait: a broken invariant
	// must stop the process at once.
	wg sync.WaitGroup

	mu     sync.Mutex
	tasks  map[int]*task
	closed bool
}

// New returns a Writer. Close must be called to stop its tasks.
func New(opts Options) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		store: opts.Store, limiter: newLimiter(opts.Rate, opts.Burst), health: newHealth(), sizes: defaultSizeLimits(),
		ctx: ctx, cancel: cancel, tasks: map[int]*task{},
	}
}

// Close stops the writer and waits for its tasks. Queued calls return ErrClosed.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.wg.Wait()
}

// Apply applies the operations in order to the shard and returns their results once they are stored. After an error the
// operations may have taken effect; applying them again is safe. While the platform counts as unavailable and no probe
// is due or running, Apply returns platform.ErrUnavailable at once.
func (w *Writer) Apply(ctx context.Context, shard int, ops []budget.Op) ([]budget.Result, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	if len(ops) > MaxOps {
		return nil, fmt.Errorf("%w: %d", ErrTooManyOps, len(ops))
	}
	if !w.health.canAccept() {
		return nil, fmt.Errorf("ledgerwriter: %w", platform.ErrUnavailable)
	}
	s := newSubmission(ctx, ops)
	if err := w.submit(shard, s); err != nil {
		return nil, err
	}
	select {
	case r := <-s.done:
		return r.results, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("ledgerwriter: wait for shard %d: %w", shard, ctx.Err())
	}
}

func (w *Writer) submit(shard int, s *submission) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return ErrClosed
	}
	t := w.tasks[shard]
	if t == nil {
		t = &task{writer: w, shard: shard, wake: make(chan struct{}, 1), unusedObjects: map[string]uint64{}}
		w.tasks[shard] = t
		w.wg.Go(t.run)
	}
	return t.enqueue(s)
}

// Read returns the stored status of the organisation's budgets.
func (w *Writer) Read(ctx context.Context, shard int, organisation string) ([]budget.Status, error) {
	if err := w.limiter.wait(ctx, classOther); err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s, err := w.load(ctx, shard)
	if err != nil {
		return nil, err
	}
	return s.shard.Read(organisation), nil
}

// GrantsOf returns the grants that a shard records for each of the holders. Holders without grants are left out.
func (w *Writer) GrantsOf(ctx context.Context, shard int, holders []string) (map[string][]ledger.HolderGrant, error) {
	if err := w.limiter.wait(ctx, classOther); err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s, err := w.load(ctx, shard)
	if err != nil {
		return nil, err
	}
	grants := map[string][]ledger.HolderGrant{}
	for _, holder := range holders {
		if g := s.shard.GrantsOf(holder); len(g) > 0 {
			grants[holder] = g
		}
	}
	return grants, nil
}

// recordAnswer records that the platform answered, and starts slowly if it was unavailable before.
func (w *Writer) recordAnswer() {
	if w.health.recordSuccess() {
		w.limiter.startSlowly()
	}
}

// newBackOff returns delays that grow exponentially from initial to longest, with jitter.
func newBackOff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = initial, longest, 2, 0.5
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
