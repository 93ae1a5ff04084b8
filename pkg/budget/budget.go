// Package budget defines the interfaces for paying requests from prepaid budgets and for claiming non-idempotent calls.
// The tokenpool and ledger packages implement its interfaces; the relay uses them.
package budget

import (
	"context"
	"time"
)

// ID identifies a budget of an organisation.
type ID struct {
	Organisation string
	Budget       string
}

// String returns <organisation>/<budget>.
func (id ID) String() string { return id.Organisation + "/" + id.Budget }

// Tokens is a number of model tokens.
type Tokens = int64

// Request describes a request for which tokens are reserved.
type Request struct {
	Budget ID
	// IdempotencyKey identifies the caller's request across retries; the bill belongs to
	// (organisation, idempotency key).
	IdempotencyKey string
	RequestID      string
	// UpperBound is the largest number of tokens that the request can use: prompt bound plus output limit.
	UpperBound Tokens
}

// Reservation holds the tokens that one request may use, Request.UpperBound of them.
type Reservation struct {
	Request Request
	// ID is unique within the instance that made the reservation.
	ID uint64
}

// TokenPool pays for requests from budgets. Errors are of type *outcome.Failure.
type TokenPool interface {
	// Reserve reserves the request's upper bound and returns once a witness has recorded the reservation.
	// A request must not be dispatched before Reserve has returned without error.
	Reserve(ctx context.Context, req Request) (Reservation, error)
	// Settle bills the tokens used, at most the reserved ones, frees the rest, and returns once the bill is durable.
	// The last byte of the response must not be sent before Settle has returned without error.
	Settle(ctx context.Context, r Reservation, used Tokens) error
	// Cancel frees the reservation without a bill. It must be called only if nothing was delivered to the caller.
	Cancel(r Reservation)
}

// CallRequest identifies a non-idempotent call.
type CallRequest struct {
	Organisation   string
	IdempotencyKey string
	RequestID      string
	// BodyHash is a hash of the request body; a call with the same key and another hash is refused.
	BodyHash uint64
}

// StoredResult is the recorded response of a non-idempotent call.
type StoredResult struct {
	Status      int
	ContentType string
	// Body is at most 4 KB; Truncated reports that the response was larger and was not kept.
	Body      []byte
	Truncated bool
}

// Claim is the right to dispatch a non-idempotent call once.
type Claim struct {
	Call CallRequest
	ID   string
	// Stored is set if an earlier attempt has finished; the call must then not be dispatched.
	Stored *StoredResult
}

// Claims makes non-idempotent calls run at most once. Errors are of type *outcome.Failure.
type Claims interface {
	// Claim stores a claim durably and returns it. It returns a NotRun failure if no claim can be stored, and
	// an Unknown failure if another attempt owns the claim and its result is not known.
	Claim(ctx context.Context, call CallRequest) (Claim, error)
	// Finish records the result and returns once it is durable. If ctx ends first, Finish returns and recording is
	// retried in the background.
	Finish(ctx context.Context, c Claim, result StoredResult) error
	// Release removes the claim. It must be called only if nothing was sent to an endpoint.
	Release(c Claim)
}

// BillRetention is how long bills are kept to detect retries. It is longer than LongestRequest, so that no request can
// still be running when its bill is dropped.
const BillRetention = 15 * time.Minute

// LongestRequest is the maximum duration of a request; one that runs longer is ended.
const LongestRequest = 10 * time.Minute
