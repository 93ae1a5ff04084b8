// Package outcome defines the results of requests as they are reported to callers.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the whole response was delivered.
	Done Outcome = "done"
	// NotRun means that the request did not run at any endpoint.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason states why the outcome of a request is not Done.
type Reason string

// Reasons. Each has a fixed HTTP status; see Status.
const (
	ReasonBadRequest          Reason = "bad_request"
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonForbidden           Reason = "forbidden"
	ReasonNotFound            Reason = "not_found"
	ReasonTooLarge            Reason = "too_large"
	ReasonKeyReused           Reason = "idempotency_key_reused"
	ReasonBudgetExhausted     Reason = "budget_exhausted"
	ReasonBudgetUnknown       Reason = "budget_unknown"
	ReasonGrantUnavailable    Reason = "grant_not_obtainable_now"
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	ReasonNoWitness           Reason = "no_witness_reachable"
	ReasonOrgLimit            Reason = "organisation_limit"
	ReasonOverload            Reason = "overload"
	ReasonDeadline            Reason = "deadline_cannot_be_met"
	ReasonNoEndpoint          Reason = "no_endpoint"
	ReasonNotConfigured       Reason = "configuration_not_loaded"
	ReasonLeaving             Reason = "router_leaving"
	ReasonCrashesEndpoints    Reason = "request_crashes_endpoints"
	ReasonClaimUnavailable    Reason = "claim_not_obtainable_now"
	ReasonInProgress          Reason = "attempt_in_progress"
	ReasonEndpointFailed      Reason = "endpoint_failed"
	ReasonEndpointTimeout     Reason = "endpoint_timeout"
	ReasonNotBilled           Reason = "bill_not_durable"
	ReasonHeadTooLarge        Reason = "head_too_large"
	// ReasonNoMemory means that the router can't hold the request's body, and ReasonBodyLate that the body didn't come in time.
	ReasonNoMemory Reason = "memory_full"
	ReasonBodyLate Reason = "body_late"
)

var statusByReason = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonForbidden:        http.StatusForbidden,
	ReasonNotFound:         http.StatusNotFound,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonHeadTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	ReasonKeyReused:        http.StatusConflict,
	ReasonBudgetExhausted:  http.StatusPaymentRequired,
	ReasonBudgetUnknown:    http.StatusPaymentRequired,
	ReasonOrgLimit:         http.StatusTooManyRequests,
	ReasonOverload:         http.StatusTooManyRequests,
	ReasonEndpointTimeout:  http.StatusGatewayTimeout,
	ReasonEndpointFailed:   http.StatusBadGateway,
	ReasonNotBilled:        http.StatusBadGateway,
	ReasonInProgress:       http.StatusBadGateway,
	ReasonCrashesEndpoints: http.StatusBadGateway,
}

// Status returns the HTTP status of the reason. Reasons without a status of their own map to 503.
func (r Reason) Status() int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Failure is the result of a request whose outcome is not Done. Components return it, and the gateway writes it to the
// caller. It implements error so that it can be wrapped.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which the caller should retry; 0 means that a retry is not advised.
	RetryAfter time.Duration
	Message    string
}

// PromisesNotRun reports whether callers take the HTTP status as a promise that the request has not run and won't run later, so that
// they may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status of the failure. For a request that did not run, 503 replaces 502 and 504 whatever the
// reason, because these stand for an unknown outcome. For one that may have run, 502 replaces a status that promises that it
// did not.
func (f *Failure) Status() int {
	status := f.Reason.Status()
	switch {
	case f.Outcome == NotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	case f.Outcome != NotRun && PromisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Message)
}

// NotRunf returns a NotRun failure.
func NotRunf(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// Unknownf returns an Unknown failure.
func Unknownf(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{Outcome: Unknown, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
