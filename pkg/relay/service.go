package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/admit"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// Call is a request to a plain service. All its byte slices are owned by the relay.
type Call struct {
	Request
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Answer is the answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Stored is set if the answer is the recorded result of an earlier attempt.
	Stored bool
}

const (
	// callTimeout ends a call to a plain service whose class has no deadline.
	callTimeout = 30 * time.Second
	// maxStoredResultBytes is the largest answer that is kept for repeated attempts.
	maxStoredResultBytes = 4 << 10
	// finishTimeout bounds the wait until a result is recorded; after that, recording is retried in the background.
	finishTimeout = 2 * time.Second
)

// Call runs a request at a plain service. A call of a non-idempotent class runs at most once for its
// (organisation, idempotency key); a repeated attempt gets the recorded answer.
func (r *Relay) Call(ctx context.Context, call Call) (Answer, *outcome.Failure) {
	r.Metrics.beginRequest(call.Class.Name)
	ctx, cancel := context.WithDeadline(ctx, callDeadline(call))
	defer cancel()
	answer, failure := r.call(ctx, call)
	r.Metrics.endRequest(call.Class.Name, End{Failure: failure}, time.Since(call.Arrived))
	return answer, failure
}

func callDeadline(call Call) time.Time {
	if call.Class.Target == config.TargetDeadline {
		return call.Arrived.Add(call.Class.Deadline())
	}
	return call.Arrived.Add(callTimeout)
}

func (r *Relay) call(ctx context.Context, call Call) (Answer, *outcome.Failure) {
	slot, err := r.Admitter.Enter(ctx, admissionRequest(call.Request, route.Service(call.Service), 1, 0))
	if err != nil {
		return Answer{}, admissionFailure(ctx, err)
	}
	start := time.Now()
	defer func() { slot.Done(admit.Usage{FirstToken: time.Since(start), Total: time.Since(start)}) }()
	if call.Class.NonIdempotent {
		return r.callAtMostOnce(ctx, call)
	}
	return r.callIdempotent(ctx, call)
}

// callIdempotent tries further endpoints when one fails.
func (r *Relay) callIdempotent(ctx context.Context, call Call) (Answer, *outcome.Failure) {
	var triedVMs []string
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, vm, err := r.callEndpoint(ctx, call, triedVMs)
		if err == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || errors.Is(err, ErrBroken)
		triedVMs = append(triedVMs, vm)
		if vm == "" || ctx.Err() != nil || attempt == maxAttempts || !r.Admitter.AllowRetry() {
			return Answer{}, callFailure(err, mayHaveRun)
		}
	}
}

// callAtMostOnce stores a claim before it dispatches the call.
func (r *Relay) callAtMostOnce(ctx context.Context, call Call) (Answer, *outcome.Failure) {
	claim, err := r.Claims.Claim(ctx, budget.CallRequest{
		Organisation: call.Organisation.ID, IdempotencyKey: call.IdempotencyKey,
		RequestID: call.ID, BodyHash: call.Fingerprint,
	})
	if err != nil {
		return Answer{}, failureOf(err, outcome.ReasonClaimUnavailable)
	}
	if claim.Stored != nil {
		return storedAnswer(*claim.Stored)
	}
	return r.dispatchClaimed(ctx, call, claim)
}

func storedAnswer(s budget.StoredResult) (Answer, *outcome.Failure) {
	if s.Truncated {
		return Answer{}, outcome.Unknownf(outcome.ReasonInProgress, 0, "the call ran with status %d; its answer was too large to keep", s.Status)
	}
	return Answer{Status: s.Status, ContentType: s.ContentType, Body: s.Body, Stored: true}, nil
}

// dispatchClaimed tries endpoints until one may have received the call. After that it tries no other.
func (r *Relay) dispatchClaimed(ctx context.Context, call Call, claim budget.Claim) (Answer, *outcome.Failure) {
	var triedVMs []string
	for attempt := 1; ; attempt++ {
		answer, vm, err := r.callEndpoint(ctx, call, triedVMs)
		if err == nil {
			r.recordResult(ctx, claim, answer)
			return answer, nil
		}
		if errors.Is(err, ErrBroken) {
			return Answer{}, callFailure(err, true)
		}
		triedVMs = append(triedVMs, vm)
		if vm == "" || ctx.Err() != nil || attempt == maxAttempts {
			r.Claims.Release(claim)
			return Answer{}, callFailure(err, false)
		}
	}
}

// recordResult stores the result for repeated attempts. The answer is delivered even if that fails: a repeated
// attempt then gets the outcome unknown and does not run.
func (r *Relay) recordResult(ctx context.Context, claim budget.Claim, answer Answer) {
	result := budget.StoredResult{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body) > maxStoredResultBytes {
		result.Body, result.Truncated = nil, true
	}
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := r.Claims.Finish(finishCtx, claim, result); err != nil {
		r.Metrics.countUnrecordedResult()
	}
}

func callFailure(err error, mayHaveRun bool) *outcome.Failure {
	if !mayHaveRun {
		return failureOf(err, outcome.ReasonNoEndpoint)
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return outcome.Unknownf(outcome.ReasonEndpointTimeout, 0, "%v", err)
	}
	return outcome.Unknownf(outcome.ReasonEndpointFailed, 0, "%v", err)
}

// callEndpoint sends the call to one endpoint and returns the VM it chose. The error wraps ErrNotSent,
// ErrRefused, ErrBroken or an *outcome.Failure if no endpoint could be chosen.
func (r *Relay) callEndpoint(ctx context.Context, call Call, triedVMs []string) (Answer, string, error) {
	target, failure := r.Selector.Choose(ChooseRequest{
		RequestID: call.ID, Organisation: call.Organisation.ID, Class: call.Class, Service: call.Service, Exclude: triedVMs,
	})
	if failure != nil {
		return Answer{}, "", failure
	}
	answer, err := r.client.call(ctx, target.Address, call)
	r.Selector.Done(target, Report{Failed: errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent)})
	return answer, target.VM, err
}

// call sends one call and returns the complete answer.
func (c *client) call(ctx context.Context, address string, call Call) (Answer, error) {
	deadline, _ := ctx.Deadline()
	if err := ctx.Err(); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	setHeaders(req, "http://"+address+"/"+call.Path, call.ID, call.Organisation.ID, call.IdempotencyKey)
	req.Header.SetMethod(call.Method)
	req.Header.SetContentType(call.ContentType)
	req.URI().SetQueryString(call.Query)
	req.SetBody(call.Body)
	connections := c.calls
	if call.Class.NonIdempotent {
		connections = c.singleUse
		req.SetConnectionClose()
	}
	if err := connections.DoDeadline(req, resp, deadline); err != nil {
		return Answer{}, classifyTransportError(err)
	}
	return checkAnswer(call, resp)
}

// checkAnswer copies the answer out of the pooled response. An endpoint that names another request id has
// mixed up two answers.
func checkAnswer(call Call, resp *fasthttp.Response) (Answer, error) {
	if id := resp.Header.Peek(HeaderRequestID); len(id) > 0 && string(id) != call.ID {
		return Answer{}, fmt.Errorf("%w: answer to request %s", ErrBroken, id)
	}
	if isRefusalStatus(resp.StatusCode()) {
		return Answer{}, fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode())
	}
	return Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}
