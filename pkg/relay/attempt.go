package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

// nextStep is the action that follows an attempt.
type nextStep int

const (
	// stepStop means that the request has ended.
	stepStop nextStep = iota
	// stepFailover means that another endpoint is tried.
	stepFailover
	// stepRequeue means that the endpoints are full and the request waits for admission again.
	stepRequeue
	// stepPause means that a suspect waits for an endpoint without another suspect.
	stepPause
)

// runAttempts sends the request to endpoints until the answer is complete or no further attempt is allowed.
func (c *chatRun) runAttempts(ctx context.Context) *outcome.Failure {
	for {
		failure, step := c.runAttempt(ctx)
		switch step {
		case stepStop:
			return failure
		case stepFailover:
			if ctx.Err() != nil || c.failedAttempts >= maxAttempts {
				return failure
			}
		case stepRequeue:
			if queueFailure := c.admission.requeue(ctx); queueFailure != nil {
				return c.unknownIfSent(queueFailure)
			}
			c.triedVMs, c.sawFullEndpoint = nil, false
		case stepPause:
			if !c.pauseSuspect(ctx) {
				return failure
			}
		}
	}
}

// unknownIfSent turns a NotRun failure into an Unknown one if an earlier attempt may have run the request.
func (c *chatRun) unknownIfSent(failure *outcome.Failure) *outcome.Failure {
	if !c.mayHaveRun || failure.Outcome != outcome.NotRun {
		return failure
	}
	return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAfter, "an endpoint failed and no other is available: %s", failure.Message)
}

// runAttempt runs the rest of the request at one endpoint.
func (c *chatRun) runAttempt(ctx context.Context) (*outcome.Failure, nextStep) {
	if failure := c.checkCrashRecords(); failure != nil {
		return failure, stepStop
	}
	target, failure := c.Selector.Choose(ChooseRequest{
		RequestID: c.chat.ID, Organisation: c.chat.Organisation.ID, Class: c.chat.Class, Model: c.chat.Model,
		Prompt: c.chat.Prompt, OutputTokens: c.chat.MaxTokens - c.deliveredTokens, Suspect: c.suspect, Exclude: c.triedVMs,
	})
	if failure != nil {
		return c.handleNoEndpoint(failure)
	}
	release, ok := c.isolate(ctx, target)
	if !ok {
		c.Selector.Done(target, Report{Cancelled: true})
		return c.unknownIfSent(outcome.NotRunf(outcome.ReasonNoEndpoint, retryAfter, "no endpoint is free for a request that may crash it")), stepPause
	}
	defer release()
	c.triedVMs = append(c.triedVMs, target.VM)
	return c.sendTo(ctx, target)
}

// sendTo sends the rest of the request to the endpoint and returns the failure, if any, and the next step.
func (c *chatRun) sendTo(ctx context.Context, target Target) (*outcome.Failure, nextStep) {
	start := time.Now()
	if c.dispatchedAt.IsZero() {
		c.dispatchedAt = start
	}
	deliveredBefore := c.deliveredTokens
	c.progress.startExchange()
	err := c.streamFrom(ctx, target, start)
	c.fireExchangeEvent(err)
	c.Selector.Done(target, c.selectorReport(ctx, err, deliveredBefore))
	switch {
	case err == nil:
		c.clearSuspect()
		return nil, stepStop
	case errors.Is(err, errEvacuated) && ctx.Err() == nil:
		return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAfter, "the endpoint is being withdrawn"), stepFailover
	case ctx.Err() != nil:
		c.client.cancelRequest(target.Address, c.chat.ID)
		return c.interruptionFailure(ctx), stepStop
	}
	return c.handleFailedAttempt(ctx, target, start, err)
}

// fireExchangeEvent fires the chart's event for the result of an exchange.
func (c *chatRun) fireExchangeEvent(err error) {
	switch {
	case err == nil:
		c.fire(eventAnswered)
	case c.mayHaveRun:
		c.fire(eventEndpointLost)
	default:
		c.fire(eventNotSent)
	}
}

func (c *chatRun) selectorReport(ctx context.Context, err error, deliveredBefore int) Report {
	cancelled := err != nil && (ctx.Err() != nil || errors.Is(err, errEvacuated))
	return Report{
		Cancelled: cancelled,
		Failed:    !cancelled && (errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent)),
		Tokens:    c.deliveredTokens - deliveredBefore,
	}
}

// handleNoEndpoint decides what to do when no endpoint can be chosen.
func (c *chatRun) handleNoEndpoint(failure *outcome.Failure) (*outcome.Failure, nextStep) {
	switch {
	case failure.Reason == outcome.ReasonOverload || c.sawFullEndpoint:
		return c.unknownIfSent(failure), stepRequeue
	case c.suspect:
		return c.unknownIfSent(failure), stepPause
	}
	return c.unknownIfSent(failure), stepStop
}

func (c *chatRun) interruptionFailure(ctx context.Context) *outcome.Failure {
	if !c.mayHaveRun {
		return outcome.NotRunf(outcome.ReasonDeadline, 0, "the request ended before it was sent to an endpoint")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Unknownf(outcome.ReasonEndpointTimeout, retryAfter, "the deadline passed while the request was running")
	}
	return outcome.Unknownf(outcome.ReasonEndpointFailed, retryAfter, "the caller disconnected")
}

// handleFailedAttempt records the failure and decides whether another endpoint may be tried. The retry budget covers
// full and silent endpoints, where retries would multiply an overload. A crashed or unreachable endpoint is
// exempt: it takes no part in an overload, and all its streams must be resumed at once.
func (c *chatRun) handleFailedAttempt(ctx context.Context, target Target, start time.Time, err error) (*outcome.Failure, nextStep) {
	failure := outcome.Unknownf(outcome.ReasonEndpointFailed, retryAfter, "%v", err)
	switch {
	case errors.Is(err, ErrRefused):
		c.sawFullEndpoint = true
		return c.unknownIfSent(outcome.NotRunf(outcome.ReasonOverload, retryAfter, "%v", err)), c.failoverOr(stepRequeue)
	case errors.Is(err, ErrRejected):
		return c.unknownIfSent(outcome.NotRunf(outcome.ReasonBadRequest, 0, "%v", err)), stepStop
	}
	c.failedAttempts++
	switch {
	case errors.Is(err, ErrNotSent):
		return c.unknownIfSent(outcome.NotRunf(outcome.ReasonNoEndpoint, retryAfter, "%v", err)), stepFailover
	case !errors.Is(err, ErrCrashed):
		c.client.cancelRequest(target.Address, c.chat.ID)
		return failure, c.failoverOr(stepStop)
	}
	c.client.streams.CloseIdleConnections()
	c.Crashes.ReportCrash(ctx, target.VM, start, []poison.Fingerprint{c.fingerprint()})
	return failure, stepFailover
}

// failoverOr takes a retry from the retry budget and returns stepFailover, or returns the alternative if none is left.
func (c *chatRun) failoverOr(alternative nextStep) nextStep {
	if c.Admitter.AllowRetry() {
		return stepFailover
	}
	return alternative
}
