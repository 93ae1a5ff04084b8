// Package observation defines what a run observes from outside the routers: the answers that callers received, what the
// stand-ins ran and what the platform stores. All counts are computed from it.
package observation

import "time"

// Kind is the kind of work that a request asks for.
type Kind string

// Kinds of requests.
const (
	// Chat is a chat completion, which is billed.
	Chat Kind = "chat"
	// Call is a call to a plain service.
	Call Kind = "call"
)

// Outcomes of attempts in addition to those of the caller API.
const (
	// NotSent means that the caller could not connect, so that nothing was sent.
	NotSent = "not_sent"
	// HungUp means that the caller closed the connection on purpose, as the scenario demands.
	HungUp = "hung_up"
	// ConnectionBroken means that the connection ended, or nothing arrived for too long, before an outcome.
	ConnectionBroken = "broken"
)

// Attempt is one try of a request at one router. It is written to the trace file as JSON.
type Attempt struct {
	// RequestID is empty if the answer has none.
	RequestID string
	Address   string
	Start     time.Time
	End       time.Time
	// Outcome is done, not_run or unknown as in the router's answer, or NotSent, HungUp or ConnectionBroken.
	Outcome string
	Reason  string
	// Detail is the message in the router's answer, or the transport error.
	Detail string
	// TimedOut is set if the caller itself ended the exchange, for example because nothing arrived for too long.
	TimedOut bool
	// Stored is set if the answer is the stored result of an earlier attempt.
	Stored     bool
	RetryAfter time.Duration
	FirstToken time.Time
}

// Match is the result of comparing the text that a caller received with the expected text.
type Match string

// Results of the comparison.
const (
	// MatchNone means that no text arrived.
	MatchNone Match = ""
	// MatchWhole means that the text is the expected one.
	MatchWhole Match = "whole"
	// MatchPart means that the text is a proper prefix of the expected one.
	MatchPart Match = "part"
	// MatchOther means that the text differs from the expected one.
	MatchOther Match = "other"
)

// Request is a request with all its attempts. It is written to the trace file as JSON.
type Request struct {
	Mix          string
	Class        string
	Organisation string
	Budget       string
	Key          string
	Kind         Kind
	// AtMostOnce is set for non-idempotent calls.
	AtMostOnce bool `json:"Once"`
	// Deadline is 0 for classes without a deadline, which promise the whole answer.
	Deadline time.Duration
	// IntendedStart is when the request should have been sent; latencies count from it.
	IntendedStart time.Time `json:"Intended"`
	End           time.Time
	// Outcome is done, not_run, unknown or HungUp, as it follows from all attempts.
	Outcome string
	Reason  string
	// UpperBound is the number of tokens that a router reserves, and WholeCharge the charge in tokens for the whole
	// answer. MaxCharge is the largest possible charge: if the caller hung up after a part of the answer, the prompt is
	// billed at its bound.
	UpperBound  int64
	WholeCharge int64 `json:"Whole"`
	MaxCharge   int64
	// Usage is the charge that the answer states, in tokens.
	Usage int64
	// Match is that of the last attempt with text. Crossed is set if the text of any attempt was not a prefix of the
	// expected one, or the answer of a service was not that to this call. Truncated is set if the router declared a part
	// of the expected text to be the whole answer in any attempt.
	Match     Match
	Crossed   bool
	Truncated bool
	Attempts  []Attempt
}

// Done reports whether the caller received what the router declared to be the whole answer.
func (r *Request) Done() bool { return r.Outcome == "done" }

// Run is one run of a request at an endpoint, as listed in the endpoint's record.
type Run struct {
	VM           string
	RequestID    string
	Organisation string
	Key          string
	// QueuedAt is when the endpoint accepted the request. StartedAt is when the run began, zero if it did not.
	QueuedAt  time.Time
	StartedAt time.Time
	EndedAt   time.Time
	// End is how the run ended, empty if unknown.
	End    string
	Tokens int
}

// Budget is a budget as stored at the platform, in tokens.
type Budget struct {
	Organisation string
	Name         string
	ToppedUp     int64
	Settled      int64
	Granted      int64
	// Holders is the number of instances with a grant.
	Holders int
	// Bills holds the hashes of (organisation, idempotency key) of all billed requests.
	Bills map[uint64]bool
}

// TopUp is a stored change of a budget's topped-up tokens.
type TopUp struct {
	Organisation string
	Budget       string
	At           time.Time
	// Total is the number of topped-up tokens after the change.
	Total int64
}

// Settlement is one stored version of a budget whose settled tokens grew.
type Settlement struct {
	Organisation string
	Budget       string
	// Tokens is the increase, and Bills holds the hashes of the bills that this version added.
	Tokens int64
	Bills  []uint64
}

// Departure is a planned stop of a VM.
type Departure struct {
	VM string
	// Address is the caller address of an entry VM or the address of an endpoint.
	Address   string
	IsEntryVM bool
	// MarkedAt is when the leaving mark was accepted, or when the stop signal was sent if the VM was not marked.
	MarkedAt time.Time
	// SignalledAt is when the stop signal was sent; zero if none was.
	SignalledAt time.Time
	// ExitedAt is when the end of the process was observed; zero if it was not.
	ExitedAt time.Time
	// CancelledAt is when the mark was removed; zero if it was not.
	CancelledAt time.Time
}

// Reading is one observation of a configuration object at one router.
type Reading struct {
	Router string
	// Instance distinguishes router processes on the same VM.
	Instance string
	Object   string
	Revision uint64
	At       time.Time
}

// Acceptance is a configuration change that a router has accepted.
type Acceptance struct {
	Object   string
	Revision uint64
	At       time.Time
}

// Observations holds everything that a run observed.
type Observations struct {
	Requests    []*Request
	EngineRuns  []Run
	ServiceRuns []Run
	// ServiceCounts holds the number of runs by <organisation>/<key>, over all services.
	ServiceCounts map[string]int
	Budgets       []Budget
	TopUps        []TopUp
	Settlements   []Settlement
	Departures    []Departure
	Readings      []Reading
	Acceptances   []Acceptance
	// Stopped holds the time of the kill or freeze for each entry VM that was killed or frozen.
	Stopped map[string]time.Time
	// End is when the observation ended.
	End time.Time
	// Unobserved describes what could not be observed, such as the records of an endpoint that crashed.
	Unobserved []string
}
