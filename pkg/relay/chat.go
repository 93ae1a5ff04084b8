package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

const (
	// tokensPerMessage is the upper bound of the template tokens that an engine adds to each message.
	tokensPerMessage = 4
	// eventBufferSize is the number of events that an engine may be ahead of a slow caller.
	eventBufferSize = 8
	// retryAfter is the delay that callers are advised to wait after failures that are expected to pass soon.
	retryAfter = time.Second
	// maxAttempts bounds the failed attempts of one request.
	maxAttempts   = 4
	settleTimeout = 10 * time.Second
)

// PromptBound returns an upper bound of the prompt's tokens. A bytesPerToken below 1 counts as 1.
func PromptBound(promptBytes, messages, bytesPerToken int) int {
	if bytesPerToken < 1 {
		bytesPerToken = 1
	}
	return (promptBytes+bytesPerToken-1)/bytesPerToken + messages*tokensPerMessage
}

// chatRun is the state of one chat completion. Only the goroutine that runs the completion changes it.
type chatRun struct {
	*Relay
	progress
	chat   Chat
	events chan Event
	// reservation is the request's reservation in the token pool.
	reservation  budget.Reservation
	usage        Usage
	finishReason string
	// deliveredTokens counts the tokens passed on to the caller.
	deliveredTokens int
	// mayHaveRun is set once the request may have reached an endpoint.
	mayHaveRun bool
	suspect    bool
	// suspectPauses counts the waits for an endpoint without another suspect.
	suspectPauses int
	triedVMs      []string
	// failedAttempts counts the endpoints that failed, and sawFullEndpoint is set if one was full since the last wait
	// for admission.
	failedAttempts  int
	sawFullEndpoint bool
	admission       admission
	// dispatchedAt and firstTokenAt are the times of the first dispatch and of the first token.
	dispatchedAt time.Time
	firstTokenAt time.Time
}

// Chat runs a chat completion. The channel ends with one Event whose End is set. Cancelling ctx means that the
// caller has hung up: the request is cancelled at the engine and the tokens delivered so far are billed.
func (r *Relay) Chat(ctx context.Context, chat Chat) <-chan Event {
	run := &chatRun{
		Relay: r, chat: chat, events: make(chan Event, eventBufferSize),
		progress: progress{machine: r.chart.Start(nil), log: r.Log, id: chat.ID},
	}
	go run.run(ctx)
	return run.events
}

func (c *chatRun) run(ctx context.Context) {
	defer close(c.events)
	c.Metrics.beginRequest(c.chat.Class.Name)
	ctx, cancel := context.WithDeadline(ctx, c.deadline())
	defer cancel()
	end := c.execute(ctx)
	c.Metrics.endRequest(c.chat.Class.Name, end, time.Since(c.chat.Arrived))
	c.events <- Event{End: &end}
}

func (c *chatRun) deadline() time.Time {
	if c.chat.Class.Target == config.TargetDeadline {
		return c.chat.Arrived.Add(c.chat.Class.Deadline())
	}
	return c.chat.Arrived.Add(budget.LongestRequest)
}

func (c *chatRun) execute(ctx context.Context) End {
	if failure := c.checkCrashRecords(); failure != nil {
		return End{Failure: c.fail(failure)}
	}
	upperBound := int64(PromptBound(c.chat.ContentBytes, c.chat.Messages, c.Selector.BytesPerToken(c.chat.Model)) + c.chat.MaxTokens)
	c.fire(eventAdmit)
	failure := c.enterAdmission(ctx, upperBound)
	if failure != nil {
		return End{Failure: c.fail(failure)}
	}
	defer func() { c.admission.release(c.admissionUsage()) }()
	c.fire(eventReserve)
	if failure = c.reserve(ctx, upperBound); failure != nil {
		return End{Failure: c.fail(failure)}
	}
	c.fire(eventReserved)
	failure = c.runAttempts(ctx)
	return c.conclude(ctx, failure)
}

func (c *chatRun) reserve(ctx context.Context, upperBound int64) *outcome.Failure {
	reservation, err := c.TokenPool.Reserve(ctx, budget.Request{
		Budget: c.chat.Budget, IdempotencyKey: c.chat.IdempotencyKey, RequestID: c.chat.ID, UpperBound: upperBound,
	})
	if err != nil {
		return failureOf(err, outcome.ReasonGrantUnavailable)
	}
	c.reservation = reservation
	return nil
}

// failureOf returns the *outcome.Failure in err. An error without one becomes a NotRun failure with the given reason.
func failureOf(err error, reason outcome.Reason) *outcome.Failure {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.NotRunf(reason, retryAfter, "%v", err)
}

// conclude bills a complete answer, or the tokens that were delivered to a caller that hung up. A failed answer is not
// billed, because the caller's retry with the same idempotency key will be.
func (c *chatRun) conclude(ctx context.Context, failure *outcome.Failure) End {
	hungUp := errors.Is(ctx.Err(), context.Canceled) && c.deliveredTokens > 0
	if failure != nil && !hungUp {
		c.TokenPool.Cancel(c.reservation)
		return End{Failure: c.fail(failure), Usage: c.usage}
	}
	if failure != nil {
		c.fire(eventCallerLeft)
	}
	usedTokens := c.usedTokens()
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := c.TokenPool.Settle(settleCtx, c.reservation, usedTokens); err != nil {
		return End{Failure: c.fail(outcome.Unknownf(outcome.ReasonNotBilled, retryAfter, "%v", err)), Usage: c.usage}
	}
	c.fire(eventSettled)
	return End{Failure: failure, Usage: c.usage, FinishReason: c.finishReason}
}

func (c *chatRun) usedTokens() int64 {
	if c.usage.TotalTokens > 0 {
		return int64(c.usage.TotalTokens)
	}
	prompt := PromptBound(c.chat.ContentBytes, c.chat.Messages, c.Selector.BytesPerToken(c.chat.Model))
	return int64(prompt + c.deliveredTokens)
}
