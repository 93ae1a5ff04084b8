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

// progress follows the request chart. The chart allows no way from a dispatch that may have reached an endpoint to the
// end "not run".
type progress struct {
	machine *chart.Machine
	log     log.Interface
	id      string
}

// fire runs an event and reports whether the chart allows it.
func (p *progress) fire(event string) bool {
	from := p.machine.State()
	if err := p.machine.Fire(event); err != nil {
		p.log.WithFields(log.Fields{"request_id": p.id, "state": from, "event": event}).Error("request chart does not allow the event")
		return false
	}
	return true
}

// send begins an exchange with an endpoint.
func (p *progress) send() {
	if p.machine.Can(eventResume) {
		p.fire(eventResume)
		return
	}
	p.fire(eventDispatch)
}

// fail ends the chart with a failure and returns it, or an Unknown failure if the chart does not allow what it tells.
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
