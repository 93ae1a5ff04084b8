// Package service is a stand-in for a plain service. It echoes each call and counts the runs of each idempotency key,
// so that a load tool can find calls that ran twice.
package service

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// Headers that callers set, so that the records can be compared with the results that callers received.
const (
	HeaderOrganisation   = "X-LS-Organisation"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-LS-Request-Id"
)

// maxRecords is the largest number of records kept; the oldest ones are dropped.
const maxRecords = 200_000

// DefaultHang is how long FaultHang keeps a connection open if HangMS is 0.
const DefaultHang = time.Minute

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultFailBefore refuses a call before it runs.
	FaultFailBefore FaultKind = "fail_before"
	// FaultFailAfter answers with an error after the call has run.
	FaultFailAfter FaultKind = "fail_after"
	// FaultHang keeps the connection open for HangMS after the call has run and closes it without an answer.
	FaultHang FaultKind = "hang"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of calls that the fault affects.
	Count int `json:"count"`
	// HangMS is the duration of FaultHang in milliseconds; 0 means DefaultHang.
	HangMS int `json:"hang_ms,omitempty"`
}

// Record describes one run.
type Record struct {
	// N numbers the runs from 1.
	N              uint64    `json:"n"`
	RequestID      string    `json:"request_id"`
	Organisation   string    `json:"organisation"`
	IdempotencyKey string    `json:"idempotency_key"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartedAt      time.Time `json:"started_at"`
	// RanAt is when the call took effect; zero until then.
	RanAt time.Time `json:"ran_at,omitzero"`
}

// Records is the response body of GET /control/record.
type Records struct {
	Records []Record `json:"records"`
	// Runs counts the runs by organisation and idempotency key, <organisation>/<key>. Calls without a key are left
	// out.
	Runs map[string]int `json:"runs"`
	// Dropped is the number of oldest records that were dropped.
	Dropped uint64 `json:"dropped"`
}

// Echo is the response body of a call without a fault.
type Echo struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Body           string `json:"body"`
	// Run is the number of this run among those with the same organisation and idempotency key, from 1. Without a
	// key it is 1.
	Run int `json:"run"`
}

// Config holds the settings of a service.
type Config struct {
	// Latency is the time from the arrival of a call until it takes effect.
	Latency time.Duration `yaml:"latency" validate:"min=0"`
	// Clock is the source of time; nil means standin.SystemClock.
	Clock standin.Clock `yaml:"-"`
}

// Service is one endpoint of a plain service. It is safe for concurrent use.
type Service struct {
	clock standin.Clock

	mu      sync.Mutex
	latency time.Duration
	faults  []Fault
	records []*Record
	dropped uint64
	runs    map[string]int
}

// New returns a service without faults.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = standin.SystemClock{}
	}
	return &Service{clock: config.Clock, latency: config.Latency, runs: map[string]int{}}
}

// SetLatency sets the latency of later calls.
func (s *Service) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// Inject activates a fault for the next Count calls that no earlier fault affects. It returns an error that names the
// first invalid field.
func (s *Service) Inject(fault Fault) error {
	switch fault.Kind {
	case FaultFailBefore, FaultFailAfter, FaultHang:
	default:
		return fmt.Errorf("kind: unknown fault kind %q", fault.Kind)
	}
	if fault.Count <= 0 || fault.HangMS < 0 {
		return fmt.Errorf("count: must be positive, and hang_ms not negative")
	}
	if fault.HangMS == 0 {
		fault.HangMS = int(DefaultHang.Milliseconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fault)
	return nil
}

// ClearFaults ends all faults. Calls that already hang continue to hang.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// startCall returns the fault that affects this call, if any, the stored record and the latency. A call refused by
// FaultFailBefore is not recorded; its stored record is nil.
func (s *Service) startCall(record Record) (Fault, *Record, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fault Fault
	if len(s.faults) > 0 {
		fault = s.faults[0]
		s.faults[0].Count--
		if s.faults[0].Count == 0 {
			s.faults = slices.Delete(s.faults, 0, 1)
		}
	}
	if fault.Kind == FaultFailBefore {
		return fault, nil, s.latency
	}
	record.N = s.dropped + uint64(len(s.records)) + 1
	record.StartedAt = s.clock.Now()
	if len(s.records) >= maxRecords {
		s.records = slices.Delete(s.records, 0, 1)
		s.dropped++
	}
	s.records = append(s.records, &record)
	return fault, &record, s.latency
}

// completeCall records that the call has taken effect. It returns the number of runs with the same organisation and
// idempotency key, or 1 without a key.
func (s *Service) completeCall(record *Record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	record.RanAt = s.clock.Now()
	if record.IdempotencyKey == "" {
		return 1
	}
	key := record.Organisation + "/" + record.IdempotencyKey
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) sleep(d time.Duration) {
	_ = s.clock.Sleep(context.Background(), d)
}

// Records returns the records with numbers above after, and the counts of all runs.
func (s *Service) Records(after uint64) Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := Records{Records: []Record{}, Runs: map[string]int{}, Dropped: s.dropped}
	for _, record := range s.records {
		if record.N > after {
			response.Records = append(response.Records, *record)
		}
	}
	for key, n := range s.runs {
		response.Runs[key] = n
	}
	return response
}
