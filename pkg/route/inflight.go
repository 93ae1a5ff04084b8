package route

import (
	"strconv"
	"time"
)

// InFlightRequest is one request in progress at an endpoint. It stays valid when the endpoint is removed from the
// table.
type InFlightRequest struct {
	endpoint     *endpoint
	pool         *pool
	promptTokens int
	cachedTokens int
	started      time.Time
	firstToken   time.Time
	suspect      bool
	// pendingTokens are the uncached tokens at the endpoint at the start, of this request and of all others that were known.
	pendingTokens float64
	prefillDone   bool
	done          bool
	// coldReserved is what was counted for the request at a cold endpoint and has not been sent.
	coldReserved float64
}

// VM returns the name of the endpoint's VM.
func (f *InFlightRequest) VM() string { return f.endpoint.vm.Name }

// Run names the run of the request's endpoint with the start time that its process has stated, or that of its list entry if started is 0.
// The name differs after a restart.
func (f *InFlightRequest) Run(started int64) string {
	if started == 0 {
		started = f.endpoint.vm.Started
	}
	return f.endpoint.vm.Name + "@" + strconv.FormatInt(started, 10)
}

// WasLeaving reports whether the request's endpoint is leaving, or was when it was last listed. One that is no longer listed may have
// crashed.
func (t *Table) WasLeaving(f *InFlightRequest) bool { return f.endpoint.isLeaving() }

// EndpointStarted returns the start time of the endpoint's run as a Unix time in ms, 0 if the platform doesn't report it.
func (f *InFlightRequest) EndpointStarted() int64 { return f.endpoint.vm.Started }

// Started returns the time of Begin.
func (f *InFlightRequest) Started() time.Time { return f.started }

// Serves reports whether the request's endpoint is still listed and not leaving.
func (t *Table) Serves(f *InFlightRequest) bool {
	return !f.endpoint.removed && !f.endpoint.isLeaving()
}

func (f *InFlightRequest) uncachedTokens() int { return f.promptTokens - f.cachedTokens }

// Begin accounts for a request that is about to be sent to the chosen endpoint. Every Begin must be followed by one
// Done.
func (t *Table) Begin(now time.Time, d Decision) *InFlightRequest {
	const sampleWeight = 0.05
	e := d.endpoint
	f := &InFlightRequest{
		endpoint: e, pool: t.pools[d.Pool], suspect: d.request.Suspect,
		promptTokens: d.request.PromptTokens, cachedTokens: d.cachedTokens, started: now,
	}
	e.inFlight++
	e.countAgainstLimit(now)
	f.reserveCold(now)
	e.lastBegin = now
	e.prefillTokens += f.uncachedTokens()
	e.report.addChange(now, 1, t.options.StaleAfter)
	if f.suspect {
		e.suspects++
	}
	t.meanPrefillTokens.add(float64(f.uncachedTokens()), sampleWeight)
	f.pendingTokens = float64(e.prefillTokens) + t.peerPendingTokens(now, e)
	if !e.removed {
		t.notePrefixes(t.prefix.elapsed(now), e, d.request.Blocks)
		t.prefix.insert(t.prefix.elapsed(now), e, d.request.Blocks...)
	}
	t.refresh(now, e)
	return f
}

// FirstToken accounts for the first token of the answer, which ends the request's prefill.
func (t *Table) FirstToken(now time.Time, f *InFlightRequest) {
	if f.prefillDone || f.done {
		return
	}
	f.prefillDone, f.firstToken = true, now
	f.endpoint.prefillTokens -= f.uncachedTokens()
	t.recordPrefillTime(now, f)
}

// Result is how a request ended at an endpoint.
type Result int

// Results of requests.
const (
	// Succeeded means that the endpoint answered, with whatever result.
	Succeeded Result = iota
	// Cancelled means that this router ended the request, which says nothing about the endpoint.
	Cancelled
	// Failed means that the endpoint refused the connection, broke the stream or did not answer in time.
	Failed
)

// Done accounts for the end of a request that delivered the given number of output tokens. A second call for
// the same request has no effect.
func (t *Table) Done(now time.Time, f *InFlightRequest, result Result, outputTokens int) {
	if f.done {
		return
	}
	e := f.endpoint
	if !f.prefillDone {
		e.prefillTokens -= f.uncachedTokens()
	}
	f.done = true
	e.inFlight--
	e.report.addChange(now, -1, t.options.StaleAfter)
	if f.suspect {
		e.suspects--
	}
	switch result {
	case Succeeded:
		t.recordSuccess(now, f.started, e)
		t.recordTokenTime(now, f, outputTokens)
	case Failed:
		t.recordFailure(now, f.started, e)
	case Cancelled:
	}
	t.refresh(now, e)
}
