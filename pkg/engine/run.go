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
	// ErrDisconnected means that the caller no longer takes the stream.
	ErrDisconnected = errors.New("engine: caller disconnected")
)

// RefusedError tells why a request was not run.
type RefusedError struct {
	// Status is the HTTP status.
	Status  int
	Message string
	// Fencing is the newest fencing number seen, if an older one is the reason.
	Fencing uint64
}

// Error implements error.
func (r *RefusedError) Error() string { return "engine: request refused: " + r.Message }

func refuse(status int, format string, args ...any) *RefusedError {
	return &RefusedError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// Origin tells on whose behalf a request came.
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
	// detach ends the run's dependence on the life of the engine.
	detach func() bool
	record *Record
	usage  Usage
	// next is the index of the next token; -1 before the prefill is done.
	next int
	// foreign holds frames of other requests that a fault puts into this stream.
	foreign []Chunk
	last    Chunk
}

// Admit checks a request and puts it into the queue. The caller must then call Run.
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
	if !e.orders.serves(request.Model) {
		return nil, refuse(http.StatusNotFound, "model: %q is not loaded", request.Model)
	}
	waiter := e.queue.enter(request.Priority)
	if waiter == nil {
		return nil, refuse(http.StatusTooManyRequests, "the queue is full")
	}
	if request.RequestID == "" {
		request.RequestID = fmt.Sprintf("engine-%d", e.records.next())
	}
	r := &Run{request: request, answer: answer, queue: e.queue, waiter: waiter, next: -1}
	r.blocks = PromptBlocks(request.Model, request.Messages)
	r.usage.PromptTokens = PromptTokens(request.Messages)
	r.record = e.records.add(origin, request, r.usage.PromptTokens, e.clock.Now())
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	life := e.life
	r.detach = context.AfterFunc(life, func() { r.cancel(context.Cause(life)) })
	e.runs[request.RequestID] = append(e.runs[request.RequestID], r)
	e.sampleLoad()
	return r, nil
}

// Run waits for a slot and generates the answer. It passes each chunk to emit, whose error ends the run. It returns
// the last chunk's usage and finish reason, or an error if the run was cut off.
func (e *Engine) Run(r *Run, emit func(Chunk) error) (Usage, string, error) {
	finish, err := e.generate(r, emit)
	if errors.Is(err, context.Canceled) {
		err = context.Cause(r.ctx)
	}
	if errors.Is(err, errCancelled) {
		finish, err = FinishCancelled, nil
	}
	usage := e.finish(r, finish, err)
	if err != nil {
		return usage, "", err
	}
	last := e.chunk(r, usage.CompletionTokens, "")
	last.Choices[0].FinishReason, last.Usage = &finish, &usage
	for _, chunk := range append(r.foreign, last) {
		if err := emit(chunk); err != nil {
			return usage, finish, err
		}
	}
	return usage, finish, nil
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
		if err := e.work(r.ctx, e.config.TokenTime); err != nil {
			return "", err
		}
		for _, chunk := range e.nextFrames(r, e.chunk(r, i, r.answer.Token(i))) {
			if err := emit(chunk); err != nil {
				return "", fmt.Errorf("%w: %w", ErrDisconnected, err)
			}
		}
	}
	return r.answer.Finish, nil
}

// prefill spends the time for the prompt tokens, and those before resume_from, that neither the prefix cache nor an
// imported KV cache holds.
func (e *Engine) prefill(r *Run) error {
	if e.poisoned(r) {
		e.crash()
		return errCrashed
	}
	e.mu.Lock()
	r.record.start(e.clock.Now())
	r.usage.PromptDetails.CachedTokens = min(e.cache.match(r.blocks)*BlockTokens, r.usage.PromptTokens)
	tokens := r.usage.PromptTokens - r.usage.PromptDetails.CachedTokens + r.request.ResumeFrom
	if held, ok := e.kv.take(r); ok {
		tokens = max(0, r.request.ResumeFrom-held)
	}
	r.record.PrefillTokens = tokens
	e.mu.Unlock()
	if err := e.work(r.ctx, e.config.PrefillTime*timeFactor(tokens)); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(r.blocks)
	r.next = r.request.ResumeFrom
	e.sampleLoad()
	return nil
}

func (e *Engine) poisoned(r *Run) bool {
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

// finish frees the slot and completes the record.
func (e *Engine) finish(r *Run, finish string, err error) Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.detach()
	r.cancel(nil)
	r.queue.leave(r.waiter)
	rest := e.runs[r.request.RequestID][:0:0]
	for _, other := range e.runs[r.request.RequestID] {
		if other != r {
			rest = append(rest, other)
		}
	}
	if e.runs[r.request.RequestID] = rest; len(rest) == 0 {
		delete(e.runs, r.request.RequestID)
	}
	r.usage.CompletionTokens = max(r.next, r.request.ResumeFrom)
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens
	r.record.end(endOf(finish, err), e.clock.Now())
	if r.queue == e.queue { // The engine was not restarted meanwhile.
		e.kv.finished(r)
		e.frames.ended(r)
		e.sampleLoad()
	}
	return r.usage
}

// Cancel ends the runs of a request and reports how many there were.
func (e *Engine) Cancel(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs[requestID] {
		r.cancel(errCancelled)
	}
	return len(e.runs[requestID])
}
