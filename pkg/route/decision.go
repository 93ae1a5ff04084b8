package route

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Pool is a set of endpoints that can run the same work: the engines of a model or the endpoints of a service.
type Pool string

// Model returns the pool of the engines that have the model.
func Model(name string) Pool { return Pool("model/" + name) }

// Service returns the pool of the endpoints of a plain service.
func Service(name string) Pool { return Pool("service/" + name) }

// Request is what a choice depends on.
type Request struct {
	ID           string
	Organisation string
	Class        string
	Pool         Pool
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks and BlockEnds are the prompt's indexed blocks as returned by Blocks.
	Blocks    []uint64
	BlockEnds []int
	// Exclude names the VMs that must not be chosen, for example those on which the request failed.
	Exclude []string
	// Suspect marks a request that may have crashed an endpoint. It is not sent to an endpoint that runs
	// another suspect.
	Suspect bool
}

// Reason tells why an endpoint was chosen or none was.
type Reason string

// Reasons of decisions.
const (
	ReasonLowestScore   Reason = "lowest_score"
	ReasonPrefix        Reason = "prefix_cache"
	ReasonOnlyCandidate Reason = "only_candidate"
	// ReasonLastResort means that all usable endpoints are unhealthy or at their limit, and the best of them is tried.
	ReasonLastResort Reason = "last_resort"
	// ReasonNoEndpoint means that the pool has no endpoint, or all are leaving.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonUnhealthy means that the endpoints that are not leaving are failed or quarantined.
	ReasonUnhealthy Reason = "endpoints_unhealthy"
	// ReasonFull means that at least one endpoint is healthy, but all of those are at their limit.
	ReasonFull Reason = "endpoints_full"
	// ReasonExcluded means that the request excludes all usable endpoints, or all of them run a suspect.
	ReasonExcluded Reason = "endpoints_excluded_by_request"
)

// Candidate is an endpoint that was compared. The parts of the score are in milliseconds.
type Candidate struct {
	VM string
	// Score is Load + Own + Distance; the candidate with the lowest one is chosen.
	Score float64
	// Load is the estimated delay by work that is already at the endpoint.
	Load float64
	// Own is the estimated time for the prompt tokens that are not cached at the endpoint, with its weight.
	Own float64
	// Distance is the round trip to the endpoint's availability zone.
	Distance float64
	// CachedTokens is the estimated number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int
}

// Decision is the result of a choice. It holds what the decision's log line needs.
type Decision struct {
	RequestID    string
	Organisation string
	Class        string
	Pool         Pool
	// Candidates is the number of endpoints in the pool that could take work.
	Candidates int
	// Considered are the endpoints that were scored.
	Considered []Candidate
	// Chosen names the VM; it is empty if there was no usable endpoint.
	Chosen string
	// Address is the IP address and port of the chosen endpoint.
	Address string
	Reason  Reason
	// RetryAfter is the advice to the caller if nothing was chosen.
	RetryAfter time.Duration

	endpoint *endpoint
	request  Request
	cached   int
}

// OK reports whether an endpoint was chosen.
func (d *Decision) OK() bool { return d.endpoint != nil }

// Cached returns the estimated number of prompt tokens in the chosen endpoint's prefix cache.
func (d *Decision) Cached() int { return d.cached }

// Failure returns the typed failure of a decision that chose no endpoint, and nil otherwise.
func (d *Decision) Failure() *outcome.Failure {
	if d.OK() {
		return nil
	}
	reason := outcome.ReasonNoEndpoint
	if d.Reason == ReasonFull {
		reason = outcome.ReasonOverload
	}
	return outcome.NotRunf(reason, d.RetryAfter, "no endpoint of %s can take the request: %s", d.Pool, d.Reason)
}
