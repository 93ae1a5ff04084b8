package admit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Guards against callers that wait for ever after a cancelled context, a missed deadline, a requeue or the end of
// Run, and against slots that stay in use after their requests have ended.
func TestGateReleasesEveryWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := NewGate(Options{})
		go g.Run(ctx)
		g.SetCapacity("p", 1)
		request := Request{Organisation: "a", Class: "c", Pool: "p", Target: config.TargetWhole}
		first, err := g.Enter(ctx, request)
		must.NoError(t, err)

		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = g.Enter(shortCtx, request)
		must.ErrorIs(t, err, context.DeadlineExceeded)

		deadlineRequest := request
		deadlineRequest.Target, deadlineRequest.Deadline = config.TargetDeadline, time.Now().Add(time.Second)
		longCtx, cancelLong := context.WithTimeout(ctx, time.Minute)
		defer cancelLong()
		_, err = g.Enter(longCtx, deadlineRequest)
		must.Eq(t, outcome.ReasonDeadline, reason(t, err))

		results := make(chan error, 2)
		go func() { _, err := g.Enter(ctx, request); results <- err }()
		synctest.Wait()
		go func() { results <- first.Requeue(ctx) }()
		synctest.Wait()
		must.Eq(t, 0, len(results))
		g.SetCapacity("p", 1)
		must.NoError(t, <-results)
		first.Done(Usage{Total: time.Second})
		must.NoError(t, <-results)

		go func() { _, err := g.Enter(t.Context(), request); results <- err }()
		synctest.Wait()
		stop()
		must.Eq(t, outcome.ReasonLeaving, reason(t, <-results))
		_, err = g.Enter(t.Context(), request)
		must.Eq(t, outcome.ReasonLeaving, reason(t, err))
		must.False(t, g.AllowRetry())
	})
}

func reason(t *testing.T, err error) outcome.Reason {
	t.Helper()
	var failure *outcome.Failure
	must.True(t, errors.As(err, &failure), must.Sprint(err))
	must.Eq(t, outcome.NotRun, failure.Outcome)
	return failure.Reason
}
