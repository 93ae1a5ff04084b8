package relay

import (
	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/chart"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Events of the request chart.
const (
	eventAdmit        = "admit"
	eventRefuse       = "refuse"
	eventReserve      = "reserve"
	eventReserved     = "reserved"
	eventDispatch     = "dispatch"
	eventNotSent      = "not_sent"
	eventEndpointLost = "endpoint_lost"
	eventResume       = "resume"
	eventAnswered     = "answered"
	eventSettled      = "settled"
	eventCallerLeft   = "caller_left"
	eventGiveUp       = "give_up"
)

// progress tracks a request's state in the request chart. The chart has no path from a dispatch that may have reached
// an endpoint to the final state not_run.
type progress struct {
	machine *chart.Machine
	log     log.Interface
	id      string
}

// fire applies an event and reports whether the chart allows it. An event that it doesn't allow is logged.
func (p *progress) fire(event string) bool {
	from := p.machine.State()
	if err := p.machine.Fire(event); err != nil {
		p.log.WithFields(log.Fields{"request_id": p.id, "state": from, "event": event}).Error("request chart does not allow the event")
		return false
	}
	return true
}

// startExchange fires the event for a first or a resumed exchange with an endpoint.
func (p *progress) startExchange() {
	if p.machine.Can(eventResume) {
		p.fire(eventResume)
		return
	}
	p.fire(eventDispatch)
}

// fail moves the chart to the final state of the failure and returns the failure. A NotRun failure becomes Unknown if
// the chart does not allow not_run.
func (p *progress) fail(failure *outcome.Failure) *outcome.Failure {
	if failure.Outcome == outcome.NotRun && p.fire(eventRefuse) {
		return failure
	}
	p.fire(eventGiveUp)
	if failure.Outcome == outcome.NotRun {
		return outcome.Unknownf(failure.Reason, failure.RetryAfter, "%s", failure.Message)
	}
	return failure
}
