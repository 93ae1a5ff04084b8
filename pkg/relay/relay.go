// Package relay runs accepted requests at endpoints: it pays for them, chooses endpoints, streams answers,
// resumes broken streams and tells truthfully whether a request ran.
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

// Request is what all kinds of requests have in common.
type Request struct {
	ID             string
	Organisation   config.Organisation
	Class          config.Class
	IdempotencyKey string
	// Fingerprint identifies the content of the request within the organisation.
	Fingerprint uint64
	Arrived     time.Time
}

// Chat is a chat completion. All its byte slices are owned by the relay.
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
	// Failure is nil if the whole answer was delivered and billed.
	Failure      *outcome.Failure
	Usage        Usage
	FinishReason string
}

// ChooseRequest describes a request to the endpoint selector.
type ChooseRequest struct {
	RequestID    string
	Organisation string
	Class        config.Class
	// Model or Service is set.
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
	// Ticket identifies the choice in calls of Selector.Done.
	Ticket uint64
	// Evacuate ends when streams must be moved away, because the VM is about to be switched off. It may be nil.
	Evacuate context.Context
}

// Report tells the selector how a request at an endpoint ended.
type Report struct {
	// Failed is set if the endpoint did not behave, and Cancelled if the caller or the deadline ended the request.
	Failed    bool
	Cancelled bool
	// Tokens is the number of tokens received from the endpoint.
	Tokens int
}

// Selector chooses endpoints and keeps account of the work sent to them.
type Selector interface {
	// Choose returns an endpoint and counts the request as in progress there, or a NotRun failure.
	Choose(c ChooseRequest) (Target, *outcome.Failure)
	// BytesPerToken returns the least bytes per token over the endpoints of the model; 1 if it is not known.
	BytesPerToken(model string) int
	// FirstToken reports the first token of the answer.
	FirstToken(t Target)
	// Done ends what Choose began.
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
	// Requeue gives the place back because all endpoints are full, and waits for the next one. The errors are those
	// of Enter; after an error the place is gone.
	Requeue(ctx context.Context) error
	// Done gives the place back.
	Done(u admit.Usage)
}

// Admission returns an Admitter that uses the gate.
func Admission(gate *admit.Gate) Admitter { return gateAdmitter{gate} }

type gateAdmitter struct{ *admit.Gate }

func (g gateAdmitter) Enter(ctx context.Context, r admit.Request) (AdmissionSlot, error) {
	ticket, err := g.Gate.Enter(ctx, r)
	return ticket, err
}

// CrashRecords stops requests that crash endpoints; *poison.Guard implements it.
type CrashRecords interface {
	// Status returns how the request must be treated.
	Status(f poison.Fingerprint) poison.Status
	// Isolate asks for the right to run a suspect at the VM. ok is false if another suspect runs there or the same
	// request runs elsewhere. release must be called at the end of the run.
	Isolate(ctx context.Context, f poison.Fingerprint, vm string) (release func(), ok bool)
	// ReportCrash records a crash under requests that were sent at began, and returns once the other routers know it.
	ReportCrash(ctx context.Context, vm string, began time.Time, running []poison.Fingerprint)
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

// New returns a relay. All fields of parts but TokenPool, Claims and Selector may be nil.
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
	r.chart = requestChart()
	r.client = newClient(r.FirstByteTimeout, r.IdleTimeout)
	return &r
}

// requestChart loads the embedded chart, which a test checks.
func requestChart() chart.Chart {
	c, err := chart.Load(chart.Request)
	if err != nil {
		panic("relay: " + err.Error())
	}
	return c
}

// Defaults of the timeouts.
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
