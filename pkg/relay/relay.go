// Package relay runs accepted requests at endpoints: it reserves and bills their tokens, chooses endpoints, streams
// answers, resumes broken streams and reports whether a request may have run.
package relay

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/admit"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/chart"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

// Request holds the fields that all kinds of requests have in common.
type Request struct {
	ID             string
	Organisation   config.Organisation
	Class          config.Class
	IdempotencyKey string
	// Fingerprint identifies the content of the request within the organisation.
	Fingerprint uint64
	Arrived     time.Time
}

// Chat is a chat completion request. The relay owns its byte slices.
type Chat struct {
	Request
	Budget budget.ID
	Model  string
	// Prompt is the text of all messages as route.PromptText returns it, used for prefix affinity.
	Prompt []byte
	// ContentBytes is the size of the contents of all messages, used for the prompt bound.
	ContentBytes int
	Messages     int
	// MaxTokens is the output limit in tokens that is passed to the engine.
	MaxTokens int
	// Body is the caller's JSON body.
	Body []byte
}

// Token is one output token of a chat completion.
type Token struct {
	Index int
	Text  string
}

// Usage counts the tokens of a finished chat completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Event is one step of a chat completion: a token, or the end.
type Event struct {
	Token Token
	// End is set on the last event.
	End *End
}

// End is the result of a chat completion.
type End struct {
	// Failure is nil if the complete answer was delivered and billed.
	Failure      *outcome.Failure
	Usage        Usage
	FinishReason string
}

// ChooseRequest describes a request to the endpoint selector.
type ChooseRequest struct {
	RequestID    string
	Organisation string
	Class        config.Class
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	Prompt  []byte
	// OutputTokens is the number of tokens still to be generated.
	OutputTokens int
	// Suspect marks a request that was running on an endpoint that crashed.
	Suspect bool
	// Exclude lists VMs that were tried already.
	Exclude []string
}

// Target is a chosen endpoint.
type Target struct {
	VM      string
	Address string
	// Ticket identifies the choice in calls of Selector.ReportFirstToken and Selector.Done.
	Ticket uint64
	// Evacuation ends when streams must be resumed at other endpoints because the VM is about to be switched off.
	// It may be nil.
	Evacuation context.Context
}

// Report describes to the selector how a request at an endpoint ended.
type Report struct {
	// Failed is set if the endpoint could not be reached or the exchange with it broke.
	Failed bool
	// Cancelled is set if the caller, the deadline or an evacuation ended the request, or if it was a suspect that
	// could not be isolated.
	Cancelled bool
	// Tokens is the number of tokens received from the endpoint.
	Tokens int
}

// Selector chooses endpoints and counts the requests in progress at them.
type Selector interface {
	// Choose returns an endpoint and counts the request as in progress there, or a NotRun failure.
	Choose(c ChooseRequest) (Target, *outcome.Failure)
	// BytesPerToken returns the lowest number of bytes per token among the endpoints of the model, or 1 if it is
	// unknown.
	BytesPerToken(model string) int
	// ReportFirstToken records that the first token of the answer has arrived.
	ReportFirstToken(t Target)
	// Done records the end of a request that Choose counted as in progress.
	Done(t Target, r Report)
}

// Admitter bounds queues and shares capacity between organisations.
type Admitter interface {
	// Enter waits until the request may be dispatched. It returns an *outcome.Failure, or ctx.Err() if ctx ends.
	Enter(ctx context.Context, r admit.Request) (AdmissionSlot, error)
	// AllowRetry takes one retry from the retry budget, or reports that none is left.
	AllowRetry() bool
}

// AdmissionSlot is the admission of one request.
type AdmissionSlot interface {
	// Requeue releases the slot because all endpoints are full, and waits for a new one. Its errors are those of
	// Enter; after an error the request has no slot.
	Requeue(ctx context.Context) error
	// Done releases the slot.
	Done(u admit.Usage)
}

// NewAdmitter returns an Admitter that uses the gate.
func NewAdmitter(gate *admit.Gate) Admitter { return gateAdmitter{gate} }

type gateAdmitter struct{ *admit.Gate }

func (g gateAdmitter) Enter(ctx context.Context, r admit.Request) (AdmissionSlot, error) {
	ticket, err := g.Gate.Enter(ctx, r)
	return ticket, err
}

// CrashRecords identifies and stops requests that crash endpoints; *poison.Guard implements it.
type CrashRecords interface {
	// Status returns how the request must be treated.
	Status(f poison.Fingerprint) poison.Status
	// Isolate acquires the right to run a suspect at the VM. ok is false if another suspect runs there or the same
	// request runs elsewhere. release must be called at the end of the run.
	Isolate(ctx context.Context, f poison.Fingerprint, vm string) (release func(), ok bool)
	// ReportCrash records that the VM crashed while it ran the requests, which were sent at sentAt. It returns once
	// the other routers that can be reached have the record.
	ReportCrash(ctx context.Context, vm string, sentAt time.Time, running []poison.Fingerprint)
	// ReportServed records that the VM has answered.
	ReportServed(vm string)
	// ReportCompleted clears a suspect that has run to its end.
	ReportCompleted(f poison.Fingerprint)
}

// Relay runs requests. Its methods are safe for concurrent use.
type Relay struct {
	TokenPool budget.TokenPool
	Claims    budget.Claims
	Selector  Selector
	Admitter  Admitter
	Crashes   CrashRecords
	Metrics   *Metrics
	// FirstByteTimeout is the longest wait for an engine's first byte. It covers the engine's own queue.
	FirstByteTimeout time.Duration
	// IdleTimeout is the longest silence within an engine's answer.
	IdleTimeout time.Duration

	// Log takes errors of the relay itself; nil discards them.
	Log log.Interface

	client *client
	chart  chart.Chart
}

// New returns a relay. All fields of parts but TokenPool, Claims and Selector may be nil or zero.
func New(parts Relay) *Relay {
	r := parts
	if r.FirstByteTimeout == 0 {
		r.FirstByteTimeout = DefaultFirstByteTimeout
	}
	if r.IdleTimeout == 0 {
		r.IdleTimeout = DefaultIdleTimeout
	}
	if r.Admitter == nil {
		r.Admitter = openAdmission{}
	}
	if r.Crashes == nil {
		r.Crashes = noCrashRecords{}
	}
	if r.Metrics == nil {
		r.Metrics = NewMetrics(nil)
	}
	if r.Log == nil {
		r.Log = &log.Logger{Handler: discard.New()}
	}
	r.chart = loadRequestChart()
	r.client = newClient(r.FirstByteTimeout, r.IdleTimeout)
	return &r
}

// loadRequestChart loads the embedded request chart and panics if it is invalid; a test checks that it is valid.
func loadRequestChart() chart.Chart {
	c, err := chart.Load(chart.Request)
	if err != nil {
		panic("relay: " + err.Error())
	}
	return c
}

// Default timeouts.
const (
	DefaultFirstByteTimeout = 30 * time.Second
	DefaultIdleTimeout      = 5 * time.Second
)

// openAdmission admits every request.
type openAdmission struct{}

func (openAdmission) Enter(context.Context, admit.Request) (AdmissionSlot, error) {
	return openSlot{}, nil
}
func (openAdmission) AllowRetry() bool { return true }

type openSlot struct{}

func (openSlot) Requeue(ctx context.Context) error {
	sleep.For(ctx, requeuePause)
	return ctx.Err()
}

func (openSlot) Done(admit.Usage) {}

// noCrashRecords treats every request as harmless.
type noCrashRecords struct{}

func (noCrashRecords) Status(poison.Fingerprint) poison.Status { return poison.Clear }
func (noCrashRecords) Isolate(context.Context, poison.Fingerprint, string) (func(), bool) {
	return func() {}, true
}
func (noCrashRecords) ReportCrash(context.Context, string, time.Time, []poison.Fingerprint) {}
func (noCrashRecords) ReportServed(string)                                                  {}
func (noCrashRecords) ReportCompleted(poison.Fingerprint)                                   {}
