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

// Request describes a request as far as the choice of an endpoint depends on it.
type Request struct {
	ID           string
	Organisation string
	Class        string
	Pool         Pool
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
	// PauseObjective is the longest pause between events with which streams like this are on time, 0 if unknown.
	PauseObjective time.Duration
	// Objective is the latency objective, 0 if there is none.
	Objective time.Duration
	// Blocks and BlockEnds are the prompt's indexed blocks as returned by Blocks.
	Blocks    []uint64
	BlockEnds []int
	// Exclude names the VMs that must not be chosen, for example those on which the request failed.
	Exclude []string
	// Suspect marks a request that may have crashed an endpoint. It is not sent to an endpoint that runs
	// another suspect.
	Suspect bool
	// WithSoftware restricts the choice to endpoints whose software has the version Software.
	WithSoftware bool
	Software     string
	// InRegions restricts the choice to endpoints in the Regions, which may be none.
	InRegions bool
	Regions   []string
}

// Reason is why an endpoint was chosen, or why none was.
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
	// ReasonEvacuated means that all endpoints that are not leaving are in zones that get nothing by an operator's order.
	ReasonEvacuated Reason = "zones_evacuated"
	// ReasonUnhealthy means that all endpoints that are neither leaving nor evacuated are excluded after failures or quarantined.
	ReasonUnhealthy Reason = "endpoints_unhealthy"
	// ReasonFull means that there are healthy endpoints, but all of them are at their limit.
	ReasonFull Reason = "endpoints_full"
	// ReasonAtLimit means that the endpoints that could take the request have named limits, which this router has used up.
	ReasonAtLimit Reason = "endpoints_at_limit"
	// ReasonBrittle means that the endpoints that could take the request are brittle, and this router knows of no room there.
	ReasonBrittle Reason = "endpoints_brittle"
	// ReasonCold means that the endpoints that could take the request are cold, and this router has sent them its part.
	ReasonCold Reason = "endpoints_cold"
	// ReasonPaused means that the endpoints that could take the request have asked for a time without any.
	ReasonPaused Reason = "endpoints_paused"
	// ReasonExcluded means that the request excludes all open endpoints, is a suspect and all others run one too, needs software
	// that none of them has, or may not run in their regions.
	ReasonExcluded Reason = "endpoints_excluded_by_request"
)

// Candidate is an endpoint that was scored. The parts of the score are in milliseconds.
type Candidate struct {
	VM string
	// Score is Load + RequestTime + Interference + Distance; the candidate with the lowest score is chosen.
	Score float64
	// Load is the estimated delay caused by requests that are already at the endpoint.
	Load float64
	// RequestTime is the estimated prefill time of the prompt tokens that are not cached at the endpoint, multiplied by
	// its weight. At a slow endpoint it includes the additional time for the output.
	RequestTime float64
	// Interference is the estimated cost for the streams in progress at the endpoint whose events the prefill of the request holds up.
	Interference float64
	// Distance is the round-trip time to the endpoint's availability zone or region.
	Distance float64
	// CachedTokens is the estimated number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int
}

// PassReason is why an endpoint that held more of a prompt was passed over for the one that was chosen: the part of its score that was
// larger by most.
type PassReason string

// Reasons why an endpoint was passed over.
const (
	PassedForLoad         PassReason = "load"
	PassedForInterference PassReason = "interference"
	PassedForSpeed        PassReason = "speed"
	PassedForDistance     PassReason = "distance"
)

// Decision is the result of a choice, with all values for its log line.
type Decision struct {
	RequestID    string
	Organisation string
	Class        string
	Pool         Pool
	// Candidates is the number of endpoints in the pool that could take work.
	Candidates int
	// Considered are the endpoints that were scored.
	Considered []Candidate
	// Chosen is the name of the chosen VM; it is empty if there was no usable endpoint.
	Chosen string
	// Address is the IP address and port of the chosen endpoint, and Software the version of its software.
	Address, Software string
	// Started is the start time of the chosen endpoint by its list entry, as a Unix time in ms, 0 if the platform doesn't report it.
	// Address and Software come from the same entry.
	Started int64
	Reason  Reason
	// RetryAfter is the retry delay for the caller if no endpoint was chosen.
	RetryAfter time.Duration
	// KVUse is the used share of the chosen endpoint's KV cache by its last report, 0 without one.
	KVUse float64

	endpoint     *endpoint
	request      Request
	cachedTokens int
}

// OK reports whether an endpoint was chosen.
func (d *Decision) OK() bool { return d.endpoint != nil }

// Cached returns the estimated number of prompt tokens in the chosen endpoint's prefix cache.
func (d *Decision) Cached() int { return d.cachedTokens }

// PassedOver returns the considered endpoint with most of the prompt in its cache and why it wasn't chosen, and false if none had more
// of it than the chosen one.
func (d *Decision) PassedOver() (vm string, reason PassReason, ok bool) {
	var chosen, passed *Candidate
	for i := range d.Considered {
		c := &d.Considered[i]
		if c.VM == d.Chosen {
			chosen = c
		}
		if passed == nil || c.CachedTokens > passed.CachedTokens {
			passed = c
		}
	}
	if chosen == nil || passed.CachedTokens <= chosen.CachedTokens {
		return "", "", false
	}
	reason, largest := PassedForLoad, passed.Load-chosen.Load
	for _, other := range []struct {
		reason PassReason
		excess float64
	}{
		{PassedForInterference, passed.Interference - chosen.Interference},
		{PassedForSpeed, passed.RequestTime - chosen.RequestTime},
		{PassedForDistance, passed.Distance - chosen.Distance},
	} {
		if other.excess > largest {
			reason, largest = other.reason, other.excess
		}
	}
	return passed.VM, reason, true
}

// Failure returns the failure for the caller if no endpoint was chosen, and nil otherwise.
func (d *Decision) Failure() *outcome.Failure {
	if d.OK() {
		return nil
	}
	reason := outcome.ReasonNoEndpoint
	switch d.Reason {
	case ReasonFull, ReasonAtLimit, ReasonBrittle, ReasonPaused, ReasonCold:
		reason = outcome.ReasonOverload
	}
	return outcome.NotRunf(reason, d.RetryAfter, "no endpoint of %s can take the request: %s", d.Pool, d.Reason)
}
