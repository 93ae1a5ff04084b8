package tokenpool

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func request(key string, tokens budget.Tokens) budget.Request {
	return budget.Request{
		Budget: budget.ID{Organisation: "velocar", Budget: "dispatch"}, IdempotencyKey: key,
		RequestID: "r-" + key, UpperBound: tokens,
	}
}

// startPool runs a token pool until the test ends.
func startPool(t *testing.T, ledger budget.Ledger) *Pool {
	p := New(Config{Registration: journal.Registration{Instance: "i1"}, Ledger: ledger})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return p
}

// Guards against billing a reservation twice, billing more than was reserved, and losing the tokens of a cancelled
// reservation.
func TestReserveSettleCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &fakeLedger{toppedUp: 1000, billed: map[string]bool{}}
		p := startPool(t, ledger)
		r, err := p.Reserve(t.Context(), request("k1", 400))
		must.NoError(t, err)
		must.NoError(t, p.Settle(t.Context(), r, 500))
		must.EqOp(t, 400, ledger.counters().settled)
		must.Error(t, p.Settle(t.Context(), r, 10))
		r, err = p.Reserve(t.Context(), request("k2", 600))
		must.NoError(t, err)
		p.Cancel(r)
		r, err = p.Reserve(t.Context(), request("k1", 600))
		must.NoError(t, err)
		must.NoError(t, p.Settle(t.Context(), r, 10))
		must.EqOp(t, 400, ledger.counters().settled)
	})
}

// slowRegistrar registers an instance, or fails, after a delay.
type slowRegistrar struct {
	journal.Registrar
	after time.Duration
	err   error
}

func (r slowRegistrar) Register(context.Context) (journal.Registration, error) {
	time.Sleep(r.after)
	return journal.Registration{Instance: "i1"}, r.err
}

// Guards against refusing requests that arrive while a newly started router registers its instance, and against making
// them wait longer than the first attempt if it fails.
func TestRequestsWaitForFirstRegistration(t *testing.T) {
	for _, registerErr := range []error{nil, platform.ErrUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			ledger := &fakeLedger{toppedUp: 1000, billed: map[string]bool{}}
			p := New(Config{Ledger: ledger, Registrar: slowRegistrar{after: 100 * time.Millisecond, err: registerErr}})
			ctx, cancel := context.WithCancel(t.Context())
			var tasks conc.WaitGroup
			tasks.Go(func() { p.Run(ctx) })
			shortCtx, cancelShort := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancelShort()
			_, err := p.Reserve(shortCtx, request("k0", 900))
			must.Error(t, err)
			start := time.Now()
			_, err = p.Reserve(ctx, request("k1", 900))
			if registerErr == nil {
				must.NoError(t, err)
			} else {
				must.EqOp(t, outcome.ReasonGrantUnavailable, failure(t, err).Reason)
			}
			must.LessEq(t, 200*time.Millisecond, time.Since(start))
			cancel()
			tasks.Wait()
		})
	}
}

func failure(t *testing.T, err error) *outcome.Failure {
	var f *outcome.Failure
	must.True(t, errors.As(err, &f))
	return f
}

// Guards against refusals without a type: the caller needs it to decide whether to retry.
func TestRefusalsAreTyped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &fakeLedger{toppedUp: 100, billed: map[string]bool{}}
		p := startPool(t, ledger)
		_, err := p.Reserve(t.Context(), request("k1", 101))
		must.EqOp(t, outcome.ReasonBudgetExhausted, failure(t, err).Reason)
		ledger.mu.Lock()
		ledger.err = fmt.Errorf("apply: %w", platform.ErrUnavailable)
		ledger.mu.Unlock()
		_, err = p.Reserve(t.Context(), request("k2", 101))
		must.EqOp(t, outcome.ReasonPlatformUnavailable, failure(t, err).Reason)
		must.EqOp(t, outcome.NotRun, failure(t, err).Outcome)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = p.Reserve(ctx, request("k3", 101))
		must.EqOp(t, outcome.NotRun, failure(t, err).Outcome)
	})
}

// Guards against one ledger call per request, and against overspend, when requests are concurrent.
func TestConcurrentRequestsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := &fakeLedger{toppedUp: 10_000, billed: map[string]bool{}}
		p := startPool(t, ledger)
		var served atomic.Int64
		var tasks conc.WaitGroup
		for i := range 150 {
			tasks.Go(func() {
				r, err := p.Reserve(t.Context(), request(fmt.Sprint(i), 100))
				if err != nil {
					return
				}
				if p.Settle(t.Context(), r, 100) == nil {
					served.Add(1)
				}
			})
		}
		tasks.Wait()
		must.EqOp(t, 100, served.Load())
		must.EqOp(t, 10_000, ledger.counters().settled)
		must.Less(t, 150, ledger.counters().calls)
	})
}
