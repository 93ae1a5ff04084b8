package engine

import (
	"context"
	"errors"
	"time"
)

// Values of Record.End: how a run ended.
const (
	EndDone         = "done"
	EndCancelled    = "cancelled"
	EndDisconnected = "disconnected"
	EndCrashed      = "crashed"
)

// maxRecords is the largest number of records kept; the oldest ones are dropped.
const maxRecords = 200_000

// Record describes one run and how it ended.
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
	// PrefillTokens is the number of tokens computed before the first output token.
	PrefillTokens int `json:"prefill_tokens"`
	// Tokens is the number of output tokens that this run generated.
	Tokens   int       `json:"tokens"`
	QueuedAt time.Time `json:"queued_at"`
	// StartedAt is when the run got its slot; zero if it never did.
	StartedAt time.Time `json:"started_at,omitzero"`
	// EndedAt is zero until the run has ended.
	EndedAt time.Time `json:"ended_at,omitzero"`
	// End is one of EndDone, EndCancelled, EndDisconnected and EndCrashed; empty until the run has ended.
	End string `json:"end,omitempty"`
}

// Records is the response body of GET /control/record.
type Records struct {
	Records []Record `json:"records"`
	// Dropped is the number of oldest records that were dropped.
	Dropped uint64 `json:"dropped"`
}

type records struct {
	kept    []*Record
	dropped uint64
}

// nextNumber returns the number of the next record.
func (r *records) nextNumber() uint64 { return r.dropped + uint64(len(r.kept)) + 1 }

func (r *records) add(origin Origin, request ChatRequest, promptTokens int, now time.Time) *Record {
	record := &Record{
		N: r.nextNumber(), RequestID: request.RequestID,
		Organisation: origin.Organisation, IdempotencyKey: origin.IdempotencyKey,
		Model: request.Model, Priority: request.Priority, ResumeFrom: request.ResumeFrom,
		PromptTokens: promptTokens, QueuedAt: now,
	}
	if len(r.kept) >= maxRecords {
		r.kept[0] = nil
		r.kept = r.kept[1:]
		r.dropped++
	}
	r.kept = append(r.kept, record)
	return record
}

func (r *Record) markStarted(now time.Time) { r.StartedAt = now }

func (r *Record) markEnded(end string, now time.Time) { r.End, r.EndedAt = end, now }

func endReason(finishReason string, err error) string {
	switch {
	case finishReason == FinishCancelled:
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
	response := Records{Records: []Record{}, Dropped: e.records.dropped}
	for _, record := range e.records.kept {
		if record.N > after {
			response.Records = append(response.Records, *record)
		}
	}
	return response
}
