package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

// next tells what to do after an attempt.
type next int

const (
	// stop means that the request has ended.
	stop next = iota
	// failover means that another endpoint is tried.
	failover
	// requeue means that the endpoints are full and the request has to wait.
	requeue
	// pause means that a suspect has to wait for an endpoint without another suspect.
	pause
)

// attempts sends the request to endpoints until the answer is whole, or no further attempt is allowed.
func (c *chatRun) attempts(ctx context.Context) *outcome.Failure {
	for {
		failure, next := c.attempt(ctx)
		switch next {
		case stop:
			return failure
		case failover:
			if ctx.Err() != nil || c.failures >= maxAttempts {
				return failure
			}
		case requeue:
			if full := c.place.requeue(ctx); full != nil {
				return c.truthful(full)
			}
			c.tried, c.refused = nil, false
		case pause:
			if !c.pauseSuspect(ctx) {
				return failure
			}
		}
	}
}

// truthful turns a NotRun failure into an Unknown one if an earlier attempt may have run the request.
func (c *chatRun) truthful(failure *outcome.Failure) *outcome.Failure {
	if !c.sent || failure.Outcome != outcome.NotRun {
		return failure
	}
	return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAdvice, "an endpoint failed and no other is available: %s", failure.Message)
}

// attempt runs the rest of the request at one endpoint.
func (c *chatRun) attempt(ctx context.Context) (*outcome.Failure, next) {
	if failure := c.checkCrashes(); failure != nil {
		return failure, stop
	}
	target, failure := c.Selector.Choose(ChooseRequest{
		RequestID: c.chat.ID, Organisation: c.chat.Organisation.ID, Class: c.chat.Class, Model: c.chat.Model,
		Prompt: c.chat.Prompt, OutputTokens: c.chat.MaxTokens - c.delivered, Suspect: c.suspect, Exclude: c.tried,
	})
	if failure != nil {
		return c.withoutEndpoint(failure)
	}
	release, ok := c.isolate(ctx, target)
	if !ok {
		c.Selector.Done(target, Report{Cancelled: true})
		return c.truthful(outcome.NotRunf(outcome.ReasonNoEndpoint, retryAdvice, "no endpoint is free for a request that may crash it")), pause
	}
	defer release()
	c.tried = append(c.tried, target.VM)
	return c.send(ctx, target)
}

// send sends the rest of the request to the endpoint and interprets how that ended.
func (c *chatRun) send(ctx context.Context, target Target) (*outcome.Failure, next) {
	start := time.Now()
	if c.dispatched.IsZero() {
		c.dispatched = start
	}
	before := c.delivered
	c.progress.send()
	err := c.exchange(ctx, target, start)
	c.exchanged(err)
	c.Selector.Done(target, c.report(ctx, err, before))
	switch {
	case err == nil:
		c.completed()
		return nil, stop
	case errors.Is(err, errMoved) && ctx.Err() == nil:
		return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAdvice, "the endpoint is being withdrawn"), failover
	case ctx.Err() != nil:
		c.client.cancel(target.Address, c.chat.ID)
		return c.interrupted(ctx), stop
	}
	return c.failedAttempt(ctx, target, start, err)
}

// exchanged moves the chart on after an exchange.
func (c *chatRun) exchanged(err error) {
	switch {
	case err == nil:
		c.fire(eventAnswered)
	case c.sent:
		c.fire(eventEndpointLost)
	default:
		c.fire(eventNotSent)
	}
}

func (c *chatRun) report(ctx context.Context, err error, before int) Report {
	cancelled := err != nil && (ctx.Err() != nil || errors.Is(err, errMoved))
	return Report{
		Cancelled: cancelled,
		Failed:    !cancelled && (errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent)),
		Tokens:    c.delivered - before,
	}
}

// withoutEndpoint decides what to do when no endpoint can be chosen.
func (c *chatRun) withoutEndpoint(failure *outcome.Failure) (*outcome.Failure, next) {
	switch {
	case failure.Reason == outcome.ReasonOverload || c.refused:
		return c.truthful(failure), requeue
	case c.suspect:
		return c.truthful(failure), pause
	}
	return c.truthful(failure), stop
}

func (c *chatRun) interrupted(ctx context.Context) *outcome.Failure {
	if !c.sent {
		return outcome.NotRunf(outcome.ReasonDeadline, 0, "the request ended before it was sent to an endpoint")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Unknownf(outcome.ReasonEndpointTimeout, retryAdvice, "the deadline passed while the request was running")
	}
	return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAdvice, "the caller disconnected")
}

// failedAttempt records the failure and decides whether another endpoint may be tried. The retry budget covers full
// and silent endpoints, where retries would multiply an overload. An endpoint that died does not take part in it,
// and all its streams must be resumed at once.
func (c *chatRun) failedAttempt(ctx context.Context, target Target, start time.Time, err error) (*outcome.Failure, next) {
	failed := outcome.Unknownf(outcome.ReasonEndpointFailed, retryAdvice, "%v", err)
	switch {
	case errors.Is(err, ErrRefused):
		c.refused = true
		return c.truthful(outcome.NotRunf(outcome.ReasonOverload, retryAdvice, "%v", err)), c.ifRetryAllowed(requeue)
	case errors.Is(err, ErrRejected):
		return c.truthful(outcome.NotRunf(outcome.ReasonBadRequest, 0, "%v", err)), stop
	}
	c.failures++
	switch {
	case errors.Is(err, ErrNotSent):
		return c.truthful(outcome.NotRunf(outcome.ReasonNoEndpoint, retryAdvice, "%v", err)), failover
	case !errors.Is(err, ErrCrashed):
		c.client.cancel(target.Address, c.chat.ID)
		return failed, c.ifRetryAllowed(stop)
	}
	c.client.streams.CloseIdleConnections()
	c.Crashes.ReportCrash(ctx, target.VM, start, []poison.Fingerprint{c.fingerprint()})
	return failed, failover
}

// ifRetryAllowed returns failover if the retry budget allows it, and the alternative otherwise.
func (c *chatRun) ifRetryAllowed(otherwise next) next {
	if c.Admitter.AllowRetry() {
		return failover
	}
	return otherwise
}
