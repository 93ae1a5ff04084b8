package route

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// endpoint is one VM that runs work.
type endpoint struct {
	vm       platform.VM
	distance float64
	// marked is an operator's leaving mark.
	marked  bool
	removed bool
	pools   []membership

	// Own work in progress.
	inflight int
	suspects int
	prefill  int
	output   int
}

func (e *endpoint) leaving() bool { return e.marked || e.vm.State == platform.VMLeaving }

func (e *endpoint) full() bool { return e.vm.MaxInFlight > 0 && e.inflight >= e.vm.MaxInFlight }

// refresh moves the endpoint into or out of the open lists after a change of its state.
func (t *Table) refresh(_ time.Time, e *endpoint) {
	if e.removed {
		return
	}
	if e.leaving() || e.full() {
		e.closePools()
		return
	}
	e.openPools()
}

// Flight is one request in progress at an endpoint. It stays valid when the endpoint leaves the table.
type Flight struct {
	endpoint *endpoint
	prefill  int
	output   int
	started  time.Time
	suspect  bool
	begun    bool
	done     bool
}

// VM returns the name of the endpoint's VM.
func (f *Flight) VM() string { return f.endpoint.vm.Name }

// Begin accounts for a request that is about to be sent to the chosen endpoint. Every Begin is followed by
// one Done.
func (t *Table) Begin(now time.Time, d Decision) *Flight {
	e := d.endpoint
	f := &Flight{
		endpoint: e, started: now, suspect: d.request.Suspect,
		prefill: max(0, d.request.PromptTokens-d.cached), output: d.request.OutputTokens,
	}
	e.inflight++
	e.prefill += f.prefill
	e.output += f.output
	if f.suspect {
		e.suspects++
	}
	t.refresh(now, e)
	return f
}

// FirstToken accounts for the first token of the answer, which ends the request's prefill.
func (t *Table) FirstToken(_ time.Time, f *Flight) {
	if f.begun || f.done {
		return
	}
	f.begun = true
	f.endpoint.prefill -= f.prefill
}

// Result tells how a request ended at an endpoint.
type Result int

// Results of requests.
const (
	// Succeeded means that the endpoint answered, whatever the answer.
	Succeeded Result = iota
	// Cancelled means that this router ended the request, which says nothing about the endpoint.
	Cancelled
	// Failed means that the endpoint refused the connection, broke the stream or did not answer in time.
	Failed
)

// Done accounts for the end of a request. A second call for the same request has no effect.
func (t *Table) Done(now time.Time, f *Flight, _ Result) {
	if f.done {
		return
	}
	e := f.endpoint
	if !f.begun {
		e.prefill -= f.prefill
	}
	f.done = true
	e.inflight--
	e.output -= f.output
	if f.suspect {
		e.suspects--
	}
	t.refresh(now, e)
}
