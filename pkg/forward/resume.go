package forward

import (
	"context"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// findOrigin finds the version of the software at which a stream began that the caller takes up again, because only endpoints of
// that version can continue it. It returns a failure if the version isn't known.
func (e *exchange) findOrigin(ctx context.Context) *outcome.Failure {
	if e.Origins == nil || !e.route.Streaming || e.request.LastEvent == "" {
		return nil
	}
	software, source := e.Origins.Find(ctx, e.request.BeganAs, e.service.Name)
	e.Log.WithFields(log.Fields{
		"request": e.request.ID, "began_as": e.request.BeganAs, "after": e.request.LastEvent, "service": e.service.Name, "software": software, "source": string(source),
	}).Info("stream_taken_up")
	e.Metrics.recordTakenUp(string(source))
	if source == origin.SourceUnknown {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, longRetryAfter, "the software version at which the stream began is not known")
	}
	e.begun, e.software = true, software
	return nil
}

// recordBegin remembers at which version the stream began. Later calls do nothing.
func (e *exchange) recordBegin() {
	if e.Origins == nil || e.begun {
		return
	}
	e.begun, e.unproven, e.software = true, e.process.proof == notProven, e.process.software
	if e.process.proof == "" { // The service's endpoints can't be asked for their start time.
		e.software = e.decision.Software
	}
	switch {
	case e.onBehalf: // The router that the caller uses records it.
	case e.unproven:
		e.Origins.RecordUnproven(e.request.ID, e.service.Name, e.processRun())
	default:
		e.Origins.Record(e.request.ID, e.service.Name, e.software)
	}
}

// processRun names the process that got the latest attempt, the zero Run if it isn't known.
func (e *exchange) processRun() origin.Run {
	if !e.process.run.Known {
		return origin.Run{}
	}
	return origin.Run{Endpoint: e.decision.Chosen, Started: e.process.run.Started}
}

// findVersion reports whether the stream can be continued: its version is known, or a list entry of the process at which it began has
// arrived since.
func (e *exchange) findVersion() bool {
	if !e.begun || !e.unproven {
		return true
	}
	software, ok := e.Origins.SoftwareOf(e.processRun())
	if ok {
		e.unproven, e.software = false, software
	}
	return ok
}

// recordEnd forgets a stream that the caller has got to its end.
func (e *exchange) recordEnd() {
	if e.Origins == nil || !e.begun || e.incomplete || e.onBehalf {
		return
	}
	began := e.request.ID
	if e.request.LastEvent != "" {
		began = e.request.BeganAs
	}
	e.Origins.Forget(began)
}
