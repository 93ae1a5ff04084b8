package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Errors that end a run.
var (
	errCrashed   = errors.New("engine: crashed")
	errCancelled = errors.New("engine: request cancelled")
	// ErrDisconnected means that the caller has closed the stream.
	ErrDisconnected = errors.New("engine: caller disconnected")
)

// RefusedError is the error of a request to the engine, such as a chat request or an order, that was refused and had no
// effect.
type RefusedError struct {
	// Status is the HTTP status code.
	Status  int
	Message string
	// Fencing is the highest fencing number received, if the request was refused for a lower one.
	Fencing uint64
}

// Error implements error.
func (r *RefusedError) Error() string { return "engine: request refused: " + r.Message }

func refuse(status int, format string, args ...any) *RefusedError {
	return &RefusedError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// Origin identifies the caller of a request in the records.
type Origin struct {
	Organisation   string
	IdempotencyKey string
}

// Run is one admitted request.
type Run struct {
	request ChatRequest
	answer  Answer
	blocks  []uint64
	queue   *queue
	waiter  *waiter
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// detach removes the hook that cancels the run when the engine's process ends.
	detach func() bool
	record *Record
	usage  Usage
	// nextToken is the index of the next output token; -1 before the prefill is done.
	nextToken int
	// foreignFrames are frames of other requests that a fault inserts into this stream.
	foreignFrames []Chunk
	lastFrame     Chunk
}

// Admit checks a request and adds it to the queue. It returns a *RefusedError, or another error if the engine has
// crashed. The caller must then call Run.
func (e *Engine) Admit(ctx context.Context, origin Origin, request ChatRequest) (*Run, error) {
	answer := AnswerTo(request)
	if len(request.Messages) == 0 {
		return nil, refuse(http.StatusBadRequest, "messages: at least one is needed")
	}
	if request.ResumeFrom < 0 || request.ResumeFrom > answer.Tokens {
		return nil, refuse(http.StatusBadRequest, "resume_from: the answer has %d tokens", answer.Tokens)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, errCrashed
	}
	if refused := e.orders.checkFencing(e.config.Fencing, request.Fencing); refused != nil {
		return nil, refused
	}
	if !e.orders.isLoaded(request.Model) {
		return nil, refuse(http.StatusNotFound, "model: %q is not loaded", request.Model)
	}
	waiter := e.queue.enqueue(request.Priority)
	if waiter == nil {
		return nil, refuse(http.StatusTooManyRequests, "the queue is full")
	}
	if request.RequestID == "" {
		request.RequestID = fmt.Sprintf("engine-%d", e.records.nextNumber())
	}
	r := &Run{request: request, answer: answer, queue: e.queue, waiter: waiter, nextToken: -1}
	r.blocks = PromptBlocks(request.Model, request.Messages)
	r.usage.PromptTokens = PromptTokens(request.Messages)
	r.record = e.records.add(origin, request, r.usage.PromptTokens, e.clock.Now())
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	processCtx := e.processCtx
	r.detach = context.AfterFunc(processCtx, func() { r.cancel(context.Cause(processCtx)) })
	e.runs[request.RequestID] = append(e.runs[request.RequestID], r)
	e.sampleLoad()
	return r, nil
}

// Run waits for a slot and generates the answer. It passes each chunk to emit; an error of emit ends the run. It
// returns the usage and the finish reason, or an error if the run did not finish.
func (e *Engine) Run(r *Run, emit func(Chunk) error) (Usage, string, error) {
	finishReason, err := e.generate(r, emit)
	if errors.Is(err, context.Canceled) {
		err = context.Cause(r.ctx)
	}
	if errors.Is(err, errCancelled) {
		finishReason, err = FinishCancelled, nil
	}
	usage := e.finish(r, finishReason, err)
	if err != nil {
		return usage, "", err
	}
	lastChunk := e.newChunk(r, usage.CompletionTokens, "")
	lastChunk.Choices[0].FinishReason, lastChunk.Usage = &finishReason, &usage
	for _, chunk := range append(r.foreignFrames, lastChunk) {
		if err := emit(chunk); err != nil {
			return usage, finishReason, err
		}
	}
	return usage, finishReason, nil
}

func (e *Engine) generate(r *Run, emit func(Chunk) error) (string, error) {
	select {
	case <-r.waiter.granted:
	case <-r.ctx.Done():
		return "", r.ctx.Err()
	}
	if err := e.prefill(r); err != nil {
		return "", err
	}
	for i := r.request.ResumeFrom; i < r.answer.Tokens; i++ {
		if err := e.simulateWork(r.ctx, e.config.TokenTime); err != nil {
			return "", err
		}
		for _, chunk := range e.nextFrames(r, e.newChunk(r, i, r.answer.Token(i))) {
			if err := emit(chunk); err != nil {
				return "", fmt.Errorf("%w: %w", ErrDisconnected, err)
			}
		}
	}
	return r.answer.Finish, nil
}

// prefill simulates the work for the prompt tokens and the output tokens before resume_from, except those in the prefix
// cache or in an imported KV cache. A poison request crashes the engine instead.
func (e *Engine) prefill(r *Run) error {
	if e.isPoisoned(r) {
		e.crash()
		return errCrashed
	}
	e.mu.Lock()
	r.record.markStarted(e.clock.Now())
	r.usage.PromptDetails.CachedTokens = min(e.cache.match(r.blocks)*BlockTokens, r.usage.PromptTokens)
	tokens := r.usage.PromptTokens - r.usage.PromptDetails.CachedTokens + r.request.ResumeFrom
	if coveredTokens, ok := e.kv.consumeImported(r); ok {
		tokens = max(0, r.request.ResumeFrom-coveredTokens)
	}
	r.record.PrefillTokens = tokens
	e.mu.Unlock()
	if err := e.simulateWork(r.ctx, e.config.PrefillTime*timeFactor(tokens)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(r.blocks)
	r.nextToken = r.request.ResumeFrom
	e.sampleLoad()
	return nil
}

func (e *Engine) isPoisoned(r *Run) bool {
	if e.config.PoisonMarker == "" {
		return false
	}
	for _, message := range r.request.Messages {
		if strings.Contains(message.Content, e.config.PoisonMarker) {
			return true
		}
	}
	return false
}

// finish releases the slot, completes the record and returns the usage.
func (e *Engine) finish(r *Run, finishReason string, err error) Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.detach()
	r.cancel(nil)
	r.queue.release(r.waiter)
	remaining := e.runs[r.request.RequestID][:0:0]
	for _, other := range e.runs[r.request.RequestID] {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	if e.runs[r.request.RequestID] = remaining; len(remaining) == 0 {
		delete(e.runs, r.request.RequestID)
	}
	r.usage.CompletionTokens = max(r.nextToken, r.request.ResumeFrom)
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens
	r.record.markEnded(endReason(finishReason, err), e.clock.Now())
	if r.queue == e.queue { // The engine has not been restarted since Admit.
		e.kv.addEnded(r)
		e.frames.keepLast(r)
		e.sampleLoad()
	}
	return r.usage
}

// Cancel cancels the runs of a request, queued or running, and returns their number.
func (e *Engine) Cancel(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs[requestID] {
		r.cancel(errCancelled)
	}
	return len(e.runs[requestID])
}
