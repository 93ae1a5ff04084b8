// Package observation defines what a run has seen from outside the routers: what callers were told, what the stand-ins
// ran and what the platform stores. All counts are made from it.
package observation

import "time"

// Kind tells what a request asks for.
type Kind string

// Kinds of requests.
const (
	// Chat is a chat completion, which is billed.
	Chat Kind = "chat"
	// Call is a call to a plain service.
	Call Kind = "call"
)

// Outcomes of attempts beside those of the caller API.
const (
	// NotSent means that the caller could not connect, so that nothing was sent.
	NotSent = "not_sent"
	// HungUp means that the caller ended the exchange by plan.
	HungUp = "hung_up"
	// Broken means that the connection ended, or nothing arrived for too long, without an outcome.
	Broken = "broken"
)

// Attempt is one try of a request at one router.
type Attempt struct {
	// RequestID is empty if the router told none.
	RequestID string
	Address   string
	Start     time.Time
	End       time.Time
	// Outcome is done, not_run or unknown as told by the router, or NotSent, HungUp or Broken.
	Outcome string
	Reason  string
	// Detail is the message or the transport error.
	Detail string
	// TimedOut is set if the caller gave up on a silent connection.
	TimedOut bool
	// Stored is set if the answer is a recorded result.
	Stored     bool
	RetryAfter time.Duration
	FirstToken time.Time
}

// Match compares the text that a caller got with the expected one.
type Match string

// Matches.
const (
	MatchNone  Match = ""
	MatchWhole Match = "whole"
	// MatchPart means that the text is a beginning of the expected one.
	MatchPart Match = "part"
	// MatchOther means that the text differs from the expected one.
	MatchOther Match = "other"
)

// Request is a request with all its attempts.
type Request struct {
	Mix          string
	Class        string
	Organisation string
	Budget       string
	Key          string
	Kind         Kind
	// Once is set for non-idempotent calls.
	Once bool
	// Deadline is 0 for classes that promise the whole answer.
	Deadline time.Duration
	// Intended is when the request should have been sent; latencies count from it.
	Intended time.Time
	End      time.Time
	// Outcome is done, not_run, unknown or HungUp: what the caller knows in the end.
	Outcome string
	Reason  string
	// UpperBound is what a router reserves in tokens, and Whole the charge of the whole answer. MaxCharge is the
	// largest charge: of a part that was sent to a caller that hung up, the prompt is billed at its bound.
	UpperBound int64
	Whole      int64
	MaxCharge  int64
	// Usage is the charge that the answer named.
	Usage int64
	// Match is that of the last attempt that brought text; Crossed and Truncated hold for any attempt.
	Match     Match
	Crossed   bool
	Truncated bool
	Attempts  []Attempt
}

// Done reports whether the caller was told that it has the whole answer.
func (r *Request) Done() bool { return r.Outcome == "done" }

// Run is one run at an endpoint, from the endpoint's record.
type Run struct {
	VM           string
	RequestID    string
	Organisation string
	Key          string
	// Queued is when the endpoint took the request, Started when it began to run; zero if it never did.
	Queued  time.Time
	Started time.Time
	Ended   time.Time
	// End tells how the run ended; empty if that is not known.
	End    string
	Tokens int
}

// Budget is a budget as stored at the platform.
type Budget struct {
	Organisation string
	Name         string
	ToppedUp     int64
	Settled      int64
	Granted      int64
	// Holders is the number of instances with a grant.
	Holders int
	// Bills holds the hashes of (organisation, idempotency key).
	Bills map[uint64]bool
}

// TopUp is the change of a budget's topped-up tokens that the platform stored.
type TopUp struct {
	Organisation string
	Budget       string
	At           time.Time
	// Total is the sum after the change.
	Total int64
}

// Settlement is one stored version of a budget whose settled tokens grew.
type Settlement struct {
	Organisation string
	Budget       string
	// Tokens is the growth, and Bills holds the hashes of the bills that appeared with it.
	Tokens int64
	Bills  []uint64
}

// Departure is a planned stop of a VM.
type Departure struct {
	VM string
	// Address is the caller address of an entry VM or the address of an endpoint.
	Address string
	Entry   bool
	// Marked is when the mark was accepted, or the stop signal was sent if there was no mark.
	Marked time.Time
	// Signalled is when the stop signal was sent; zero if none was.
	Signalled time.Time
	// Exited is when the process was seen to have ended; zero if it was not.
	Exited time.Time
	// Cancelled is when the mark was taken back; zero if it was not.
	Cancelled time.Time
}

// Reading is one observation of a configuration object at one router.
type Reading struct {
	Router string
	// Instance tells router processes on the same VM apart.
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

// Observations is all that a run has seen.
type Observations struct {
	Requests    []*Request
	EngineRuns  []Run
	ServiceRuns []Run
	// ServiceCounts holds the runs by <organisation>/<key>, over all services.
	ServiceCounts map[string]int
	Budgets       []Budget
	TopUps        []TopUp
	Settlements   []Settlement
	Departures    []Departure
	Readings      []Reading
	Acceptances   []Acceptance
	// Stopped holds the entry VMs that were killed or frozen, and when.
	Stopped map[string]time.Time
	// End is when the observation ended.
	End time.Time
	// Lost tells what could not be observed, such as records of an endpoint that crashed.
	Lost []string
}
