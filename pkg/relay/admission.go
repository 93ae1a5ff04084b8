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

// requeuePause is the wait of a request that found all endpoints full, where nothing tells when one is free.
const requeuePause = 100 * time.Millisecond

// admission holds the place of one request, or none.
type admission struct{ place AdmissionSlot }

// requeue waits for another place. After a failure the place is gone.
func (a *admission) requeue(ctx context.Context) *outcome.Failure {
	if err := a.place.Requeue(ctx); err != nil {
		a.place = nil
		return admissionFailure(ctx, err)
	}
	return nil
}

func (a *admission) leave(u admit.Usage) {
	if a.place != nil {
		a.place.Done(u)
	}
}

// admissionFailure returns the typed failure of a wait for admission.
func admissionFailure(ctx context.Context, err error) *outcome.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.Is(err, ctx.Err()) {
		return outcome.NotRunf(outcome.ReasonDeadline, retryAdvice, "the deadline passed while the request was queued")
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

func (c *chatRun) enter(ctx context.Context, tokens int64) *outcome.Failure {
	place, err := c.Admitter.Enter(ctx, admissionRequest(c.chat.Request, route.Model(c.chat.Model), tokens, c.chat.MaxTokens))
	if err != nil {
		return admissionFailure(ctx, err)
	}
	c.place.place = place
	return nil
}

func (c *chatRun) noteFirstToken() {
	if c.firstToken.IsZero() {
		c.firstToken = time.Now()
	}
}

// admitUsage tells the admitter what a whole answer took; it is zero for others.
func (c *chatRun) admitUsage() admit.Usage {
	if c.finish == "" || c.firstToken.IsZero() {
		return admit.Usage{}
	}
	return admit.Usage{
		FirstToken: c.firstToken.Sub(c.dispatched), Total: time.Since(c.dispatched), OutputTokens: c.delivered,
	}
}
