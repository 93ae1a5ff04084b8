package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

const (
	// tokensPerMessage is the bound for the template tokens that an engine adds to each message.
	tokensPerMessage = 4
	// eventBuffer lets the engine run a little ahead of a slow caller.
	eventBuffer = 32
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
	// reserved is what the purse holds for the request.
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
	reservation, err := c.Purse.Reserve(ctx, budget.Request{
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
	target, failure := c.Selector.Choose(Choosing{
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
	c.Selector.Done(target, c.report(ctx, err, before, start))
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

func (c *chatRun) report(ctx context.Context, err error, before int, start time.Time) Report {
	cancelled := err != nil && (ctx.Err() != nil || errors.Is(err, errMoved))
	return Report{
		Cancelled: cancelled,
		Failed:    !cancelled && (errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent)),
		Refused:   errors.Is(err, ErrRefused),
		Tokens:    c.delivered - before,
		Elapsed:   time.Since(start),
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
	c.Crashes.Crashed(ctx, target.VM, start, []poison.Fingerprint{c.fingerprint()})
	return failed, failover
}

// ifRetryAllowed returns failover if the retry budget allows it, and the alternative otherwise.
func (c *chatRun) ifRetryAllowed(otherwise next) next {
	if c.Admitter.AllowRetry() {
		return failover
	}
	return otherwise
}

// exchange streams from one endpoint, beginning with the first token that was not delivered yet.
func (c *chatRun) exchange(ctx context.Context, target Target, start time.Time) error {
	body, err := engineBody(c.chat, c.delivered)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	opened, err := c.open(ctx, target, body)
	if err != nil {
		return err
	}
	defer opened.Close()
	stop := context.AfterFunc(ctx, func() { c.client.cancel(target.Address, c.chat.ID) })
	defer stop()
	moved := c.moveAway(target)
	reader := newFrameReader(opened.body, c.chat.ID, c.delivered)
	err = c.copyTokens(ctx, reader, target, start)
	c.Metrics.dropped(reader.dropped)
	if moved() && err != nil {
		return fmt.Errorf("%w: %w", errMoved, err)
	}
	return err
}

// errMoved means that the stream was ended at an endpoint that is about to be switched off.
var errMoved = errors.New("relay: moved away from a leaving endpoint")

// moveAway cancels the request at the endpoint once its VM is about to be switched off, so that the rest is
// resumed elsewhere. The returned function ends the watch and reports whether that happened.
func (c *chatRun) moveAway(target Target) func() bool {
	if target.Evacuate == nil {
		return func() bool { return false }
	}
	ended, result := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-target.Evacuate:
			c.client.cancel(target.Address, c.chat.ID)
			result <- true
		case <-ended:
			result <- false
		}
	}()
	return func() bool {
		close(ended)
		return <-result
	}
}

func (c *chatRun) open(ctx context.Context, target Target, body []byte) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	opened, err := c.client.openStream(target.Address, c.chat.ID, c.chat.Organisation.ID, c.chat.IdempotencyKey, body)
	if err == nil || errors.Is(err, ErrBroken) {
		c.sent = true
	}
	return opened, err
}

func (c *chatRun) copyTokens(ctx context.Context, reader *frameReader, target Target, start time.Time) error {
	first := true
	for {
		p, err := reader.read()
		if err != nil {
			return err
		}
		if p.usage != nil {
			c.usage = *p.usage
		}
		if p.finish != "" {
			c.finish = p.finish
		}
		if p.token != nil {
			if first {
				first = false
				c.noteFirstToken()
				c.Selector.FirstToken(target)
				c.Crashes.Served(target.VM)
				c.Metrics.firstToken(c.chat.Class.Name, time.Since(start))
			}
			if err := c.deliver(ctx, *p.token); err != nil {
				return err
			}
		}
		if p.complete {
			return c.checkWhole()
		}
	}
}

func (c *chatRun) deliver(ctx context.Context, token Token) error {
	select {
	case c.events <- Event{Token: token}:
		c.delivered++
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
}

// finishCancelled is the engine's finish reason for a request that was cancelled.
const finishCancelled = "cancelled"

// checkWhole compares the engine's own count with the tokens that arrived. A cancelled answer has an end marker
// too, but is not whole.
func (c *chatRun) checkWhole() error {
	if c.finish == finishCancelled {
		return fmt.Errorf("%w: the engine cancelled the request", ErrBroken)
	}
	if c.usage.CompletionTokens != c.delivered {
		return fmt.Errorf("%w: engine counted %d tokens, %d arrived", ErrBroken, c.usage.CompletionTokens, c.delivered)
	}
	return nil
}

// conclude bills a whole answer, and the tokens that were delivered to a caller that hung up. An answer that
// failed is not billed, because the caller's retry under the same key is.
func (c *chatRun) conclude(ctx context.Context, failure *outcome.Failure) End {
	hungUp := errors.Is(ctx.Err(), context.Canceled) && c.delivered > 0
	if failure != nil && !hungUp {
		c.Purse.Cancel(c.reserved)
		return End{Failure: c.fail(failure), Usage: c.usage}
	}
	if failure != nil {
		c.fire(eventCallerLeft)
	}
	used := c.used()
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	if err := c.Purse.Settle(settleCtx, c.reserved, used); err != nil {
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
