package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/admit"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// requeuePause is the wait of a request that found all endpoints full, when no admission gate signals a free one.
const requeuePause = 100 * time.Millisecond

// admission holds the slot of one request; slot is nil while the request has none.
type admission struct{ slot AdmissionSlot }

// requeue releases the slot and waits for another. After a failure the request has no slot.
func (a *admission) requeue(ctx context.Context) *outcome.Failure {
	if err := a.slot.Requeue(ctx); err != nil {
		a.slot = nil
		return admissionFailure(ctx, err)
	}
	return nil
}

func (a *admission) release(u admit.Usage) {
	if a.slot != nil {
		a.slot.Done(u)
	}
}

// admissionFailure converts the error of a wait for admission to a failure.
func admissionFailure(ctx context.Context, err error) *outcome.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.Is(err, ctx.Err()) {
		return outcome.NotRunf(outcome.ReasonDeadline, retryAfter, "the deadline passed while the request was queued")
	}
	return failureOf(err, outcome.ReasonOverload)
}

// admissionRequest describes the request to the admitter.
func admissionRequest(r Request, pool route.Pool, tokens int64, maxOutput int) admit.Request {
	a := admit.Request{
		Organisation: r.Organisation.ID, Class: r.Class.Name, Pool: string(pool), Target: r.Class.Target,
		Tokens: tokens, MaxOutputTokens: maxOutput, OrganisationLimit: r.Organisation.MaxInFlight,
	}
	if r.Class.Target == config.TargetDeadline {
		a.Deadline = r.Arrived.Add(r.Class.Deadline())
	}
	return a
}

func (c *chatRun) enterAdmission(ctx context.Context, tokens int64) *outcome.Failure {
	slot, err := c.Admitter.Enter(ctx, admissionRequest(c.chat.Request, route.Model(c.chat.Model), tokens, c.chat.MaxTokens))
	if err != nil {
		return admissionFailure(ctx, err)
	}
	c.admission.slot = slot
	return nil
}

func (c *chatRun) recordFirstTokenTime() {
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = time.Now()
	}
}

// admissionUsage returns the times and output tokens of a complete answer, and the zero value for any other.
func (c *chatRun) admissionUsage() admit.Usage {
	if c.finishReason == "" || c.firstTokenAt.IsZero() {
		return admit.Usage{}
	}
	return admit.Usage{
		FirstToken: c.firstTokenAt.Sub(c.dispatchedAt), Total: time.Since(c.dispatchedAt), OutputTokens: c.deliveredTokens,
	}
}
