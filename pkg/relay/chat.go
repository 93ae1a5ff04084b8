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
	// tokensPerMessage is the bound for the template tokens that an engine adds to each message.
	tokensPerMessage = 4
	// eventBuffer lets the engine run a little ahead of a slow caller.
	eventBuffer = 8
	// retryAdvice is the advice given with failures that are expected to pass soon.
	retryAdvice = time.Second
	// maxAttempts bounds the endpoints that one request is sent to.
	maxAttempts = 4
	settleLimit = 10 * time.Second
)

// PromptBound returns the largest number of prompt tokens for the prompt and its messages.
func PromptBound(promptBytes, messages, bytesPerToken int) int {
	if bytesPerToken < 1 {
		bytesPerToken = 1
	}
	return (promptBytes+bytesPerToken-1)/bytesPerToken + messages*tokensPerMessage
}

// chatRun is the state of one chat completion. Its task owns it.
type chatRun struct {
	*Relay
	progress
	chat   Chat
	events chan Event
	// reserved is what the token pool holds for the request.
	reserved budget.Reservation
	usage    Usage
	finish   string
	// delivered counts the tokens passed on to the caller.
	delivered int
	// sent is set once a request may have reached an endpoint.
	sent    bool
	suspect bool
	// pauses counts the waits for an endpoint without another suspect.
	pauses int
	tried  []string
	// failures counts the endpoints that failed, and refused is set if one was full since the last wait.
	failures int
	refused  bool
	place    admission
	// dispatched and firstToken are the times of the first dispatch and of the first token.
	dispatched time.Time
	firstToken time.Time
}

// Chat runs a chat completion. The channel ends with one Event whose End is set. Cancelling ctx means that the
// caller has hung up: the request is cancelled at the engine and the tokens delivered so far are billed.
func (r *Relay) Chat(ctx context.Context, chat Chat) <-chan Event {
	run := &chatRun{
		Relay: r, chat: chat, events: make(chan Event, eventBuffer),
		progress: progress{machine: r.chart.Start(nil), log: r.Log, id: chat.ID},
	}
	go run.run(ctx)
	return run.events
}

func (c *chatRun) run(ctx context.Context) {
	defer close(c.events)
	c.Metrics.begin(c.chat.Class.Name)
	ctx, cancel := context.WithDeadline(ctx, c.deadline())
	defer cancel()
	end := c.execute(ctx)
	c.Metrics.end(c.chat.Class.Name, end, time.Since(c.chat.Arrived))
	c.events <- Event{End: &end}
}

func (c *chatRun) deadline() time.Time {
	if c.chat.Class.Target == config.TargetDeadline {
		return c.chat.Arrived.Add(c.chat.Class.Deadline())
	}
	return c.chat.Arrived.Add(budget.LongestRequest)
}

func (c *chatRun) execute(ctx context.Context) End {
	if failure := c.checkCrashes(); failure != nil {
		return End{Failure: c.fail(failure)}
	}
	upper := int64(PromptBound(c.chat.ContentBytes, c.chat.Messages, c.Selector.BytesPerToken(c.chat.Model)) + c.chat.MaxTokens)
	c.fire(eventAdmit)
	failure := c.enter(ctx, upper)
	if failure != nil {
		return End{Failure: c.fail(failure)}
	}
	defer func() { c.place.leave(c.admitUsage()) }()
	c.fire(eventReserve)
	if failure = c.reserve(ctx, upper); failure != nil {
		return End{Failure: c.fail(failure)}
	}
	c.fire(eventReserved)
	failure = c.attempts(ctx)
	return c.conclude(ctx, failure)
}

func (c *chatRun) reserve(ctx context.Context, upper int64) *outcome.Failure {
	reservation, err := c.TokenPool.Reserve(ctx, budget.Request{
		Budget: c.chat.Budget, IdempotencyKey: c.chat.IdempotencyKey, RequestID: c.chat.ID, UpperBound: upper,
	})
	if err != nil {
		return failureOf(err, outcome.ReasonGrantUnavailable)
	}
	c.reserved = reservation
	return nil
}

// failureOf returns the typed failure in err. An error without one is a NotRun failure with the given reason.
func failureOf(err error, reason outcome.Reason) *outcome.Failure {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.NotRunf(reason, retryAdvice, "%v", err)
}

// conclude bills a whole answer, and the tokens that were delivered to a caller that hung up. An answer that
// failed is not billed, because the caller's retry under the same key is.
func (c *chatRun) conclude(ctx context.Context, failure *outcome.Failure) End {
	hungUp := errors.Is(ctx.Err(), context.Canceled) && c.delivered > 0
	if failure != nil && !hungUp {
		c.TokenPool.Cancel(c.reserved)
		return End{Failure: c.fail(failure), Usage: c.usage}
	}
	if failure != nil {
		c.fire(eventCallerLeft)
	}
	used := c.used()
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	if err := c.TokenPool.Settle(settleCtx, c.reserved, used); err != nil {
		return End{Failure: c.fail(outcome.Unknownf(outcome.ReasonNotBilled, retryAdvice, "%v", err)), Usage: c.usage}
	}
	c.fire(eventSettled)
	return End{Failure: failure, Usage: c.usage, FinishReason: c.finish}
}

func (c *chatRun) used() int64 {
	if c.usage.TotalTokens > 0 {
		return int64(c.usage.TotalTokens)
	}
	prompt := PromptBound(c.chat.ContentBytes, c.chat.Messages, c.Selector.BytesPerToken(c.chat.Model))
	return int64(prompt + c.delivered)
}
