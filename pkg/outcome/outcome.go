// Package outcome defines the typed results that callers are told.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the whole answer was delivered.
	Done Outcome = "done"
	// NotRun means that the request did not run at any endpoint.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason tells why a request was not done.
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
)

var statuses = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonForbidden:        http.StatusForbidden,
	ReasonNotFound:         http.StatusNotFound,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
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
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Failure is a request result other than Done. It is a value that components return and that the gateway
// writes to the caller; it implements error so that it can be wrapped.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter advises the caller when to retry; 0 means that a retry is not advised.
	RetryAfter time.Duration
	Message    string
}

// Status returns the HTTP status of the failure. A request that did not run is never told with a status that stands
// for an unknown outcome, whatever its reason.
func (f *Failure) Status() int {
	status := f.Reason.Status()
	if f.Outcome == NotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
		return http.StatusServiceUnavailable
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
