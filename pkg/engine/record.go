package engine

import (
	"context"
	"errors"
	"time"
)

// How a run ended.
const (
	EndDone         = "done"
	EndCancelled    = "cancelled"
	EndDisconnected = "disconnected"
	EndCrashed      = "crashed"
)

// maxRecords bounds the runs that an engine remembers.
const maxRecords = 200_000

// Record tells what became of one run.
type Record struct {
	// N numbers the runs of this engine from 1.
	N              uint64 `json:"n"`
	RequestID      string `json:"request_id"`
	Organisation   string `json:"organisation"`
	IdempotencyKey string `json:"idempotency_key"`
	Model          string `json:"model"`
	Priority       int    `json:"priority"`
	ResumeFrom     int    `json:"resume_from"`
	PromptTokens   int    `json:"prompt_tokens"`
	// PrefillTokens is how many tokens were computed before the first output token.
	PrefillTokens int `json:"prefill_tokens"`
	// Tokens is the number of output tokens that this run generated.
	Tokens   int       `json:"tokens"`
	QueuedAt time.Time `json:"queued_at"`
	// StartedAt is when the run got its slot; zero if it never did.
	StartedAt time.Time `json:"started_at,omitzero"`
	// EndedAt is zero while the run goes on.
	EndedAt time.Time `json:"ended_at,omitzero"`
	// End is one of EndDone, EndCancelled, EndDisconnected and EndCrashed; empty while the run goes on.
	End string `json:"end,omitempty"`
}

// Records answers /control/record.
type Records struct {
	Records []Record `json:"records"`
	// Dropped is how many of the oldest records are gone.
	Dropped uint64 `json:"dropped"`
}

type records struct {
	all     []*Record
	dropped uint64
}

// next returns the number of the next record.
func (r *records) next() uint64 { return r.dropped + uint64(len(r.all)) + 1 }

func (r *records) add(origin Origin, request ChatRequest, promptTokens int, now time.Time) *Record {
	record := &Record{
		N: r.next(), RequestID: request.RequestID,
		Organisation: origin.Organisation, IdempotencyKey: origin.IdempotencyKey,
		Model: request.Model, Priority: request.Priority, ResumeFrom: request.ResumeFrom,
		PromptTokens: promptTokens, QueuedAt: now,
	}
	if len(r.all) >= maxRecords {
		r.all[0] = nil
		r.all = r.all[1:]
		r.dropped++
	}
	r.all = append(r.all, record)
	return record
}

func (r *Record) start(now time.Time) { r.StartedAt = now }

func (r *Record) end(end string, now time.Time) { r.End, r.EndedAt = end, now }

func endOf(finish string, err error) string {
	switch {
	case finish == FinishCancelled:
		return EndCancelled
	case err == nil:
		return EndDone
	case errors.Is(err, errCrashed):
		return EndCrashed
	case errors.Is(err, ErrDisconnected), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return EndDisconnected
	}
	return EndCrashed
}

// Records returns the records with numbers above after.
func (e *Engine) Records(after uint64) Records {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := Records{Records: []Record{}, Dropped: e.records.dropped}
	for _, record := range e.records.all {
		if record.N > after {
			answer.Records = append(answer.Records, *record)
		}
	}
	return answer
}
