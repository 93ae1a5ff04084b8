// Package ledgerwriter applies ledger operations to the shards stored at the platform. One task per active shard
// owns the shard's cached state, collects the operations that wait and writes all of them in one conditional update.
// The object that is written holds the changes since a base, which is stored in objects of its own now and then.
// Safety depends only on that update: any number of routers may write the same shard at the same time.
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

// Errors of the writer. Those of the platform are returned wrapped.
var (
	// ErrQueueFull means that too many operations wait for the shard. Nothing was changed.
	ErrQueueFull = errors.New("ledgerwriter: queue of the shard is full")
	// ErrClosed means that the writer was closed.
	ErrClosed = errors.New("ledgerwriter: writer is closed")
	// ErrTooManyOps means that one call has more than MaxOps operations. Nothing was changed.
	ErrTooManyOps = errors.New("ledgerwriter: too many operations in one call")
)

// Bounds of the writer.
const (
	// MaxOps is the largest number of operations in one call, and of one issuer in one write. It is half of the
	// history of the shard, so that a write that is repeated after a lost response finds all its operations.
	MaxOps = 256
	// maxBatch is the largest number of operations in one write.
	maxBatch = 4096
	// maxQueue bounds the calls that wait for one shard in each class.
	maxQueue = 4096
	// callTimeout ends a call to the platform; the outcome of a write is then uncertain.
	callTimeout = 2 * time.Second
	// idleTime is how long the state of a shard without operations stays cached.
	idleTime = time.Minute
	// unavailableAfter is the number of failed calls in a row after which the platform counts as unavailable.
	unavailableAfter = 3
)

// Bounds of the waiting times between attempts.
const (
	firstRetry = 20 * time.Millisecond
	lastRetry  = time.Second
	firstProbe = 200 * time.Millisecond
	lastProbe  = 5 * time.Second
)

// Options of a Writer.
type Options struct {
	Store platform.Store
	// Rate returns the platform calls per second that this writer may make; nil means no limit.
	Rate func() float64
	// Burst is the number of calls that may be made at once after a quiet time.
	Burst int
}

// Writer writes shards. It is safe for concurrent use.
type Writer struct {
	store   platform.Store
	limiter *limiter
	health  *health
	calls   calls
	sizes   sizes
	ctx     context.Context
	cancel  context.CancelFunc
	// tasks is not a conc.WaitGroup, because that holds a panic back until Wait: a broken invariant must stop the
	// process at once.
	tasks sync.WaitGroup

	mu     sync.Mutex
	shards map[int]*task
	closed bool
}

// New returns a Writer. Close ends its tasks.
func New(opts Options) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		store: opts.Store, limiter: newLimiter(opts.Rate, opts.Burst), health: newHealth(), sizes: defaultSizes(),
		ctx: ctx, cancel: cancel, shards: map[int]*task{},
	}
}

// Close ends the writer. Calls that wait return ErrClosed.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.cancel()
	w.tasks.Wait()
}

// Apply applies the operations in order to the shard and returns their results once they are stored. On error the
// operations may have taken effect; applying them again is safe. While the platform is unavailable it fails at once.
func (w *Writer) Apply(ctx context.Context, shard int, ops []budget.Op) ([]budget.Result, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	if len(ops) > MaxOps {
		return nil, fmt.Errorf("%w: %d", ErrTooManyOps, len(ops))
	}
	if !w.health.usable() {
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
	t := w.shards[shard]
	if t == nil {
		t = &task{w: w, shard: shard, wake: make(chan struct{}, 1), unused: map[string]uint64{}}
		w.shards[shard] = t
		w.tasks.Go(t.run)
	}
	return t.push(s)
}

// Read returns the stored status of the organisation's budgets.
func (w *Writer) Read(ctx context.Context, shard int, organisation string) ([]budget.Status, error) {
	if err := w.limiter.take(ctx, classRest); err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s, err := w.load(ctx, shard)
	if err != nil {
		return nil, err
	}
	return s.state.Read(organisation), nil
}

// GrantsOf returns the tokens that a shard records for each of the holders.
func (w *Writer) GrantsOf(ctx context.Context, shard int, holders []string) (map[string][]ledger.HolderGrant, error) {
	if err := w.limiter.take(ctx, classRest); err != nil {
		return nil, fmt.Errorf("ledgerwriter: read shard %d: %w", shard, err)
	}
	s, err := w.load(ctx, shard)
	if err != nil {
		return nil, err
	}
	grants := map[string][]ledger.HolderGrant{}
	for _, holder := range holders {
		if g := s.state.GrantsOf(holder); len(g) > 0 {
			grants[holder] = g
		}
	}
	return grants, nil
}

// answered records that the platform answered.
func (w *Writer) answered() {
	if w.health.up() {
		w.limiter.slow()
	}
}

// newBackOff returns jittered, exponentially growing waiting times.
func newBackOff(first, last time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = first, last, 2, 0.5
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
