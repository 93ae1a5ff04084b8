package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// endLinesPerSecond limits the log lines on answers that ended with their connection.
const endLinesPerSecond = 50

// Errors of a check of an end.
var (
	// errRestarted means that the process which accepts connections at an address is not the one that sent an answer.
	errRestarted = errors.New("forward: the endpoint was restarted")
	// errStartNotStated means that this process doesn't say when it was started, although the run that got the request did.
	errStartNotStated = errors.New("forward: the endpoint doesn't state its start")
	// errStartNotKnown means that it does, although the run that got the request didn't.
	errStartNotKnown = errors.New("forward: the start of the run that got the request isn't known")
)

// endCheck is the check of an answer of one attempt that ended with its connection.
type endCheck struct {
	*exchange
	decision route.Decision
	inFlight *route.InFlightRequest
	stream   *eventStream
	// expected and stated are the start times of the run that got the request and of the one that accepts connections at its address, as
	// Unix times in ms, 0 if not known.
	expected, stated int64
}

func (c *endCheck) isLeaving() bool { return c.Placement.isLeaving(c.inFlight) }

func (c *endCheck) mayRepeat() bool { return mayRepeat(c.route, c.stream.count) }

// mayRepeat reports whether a request that an endpoint has run may be sent to another one, after the number of events that the caller has.
func mayRepeat(r catalog.Route, events int) bool {
	return r.Semantics == catalog.Idempotent && (!r.Streaming || r.Resumable || events == 0)
}

// confirmRun returns an error if the model engine at the address is not in the run that got the request. Other endpoints don't say when
// they were started.
func (c *endCheck) confirmRun(ctx context.Context) (upstream.EndBasis, error) {
	if c.StartOf == nil || c.service.TokensPerEvent == 0 {
		return upstream.EndWithoutRuns, nil
	}
	if err := c.awaitCold(ctx); err != nil {
		return upstream.EndNone, err
	}
	stated, err := c.StartOf(ctx, c.decision.Address)
	if err != nil {
		return upstream.EndNone, err
	}
	c.expected, c.stated = c.Placement.endpointStarted(c.inFlight), stated
	if c.process.run.Started != 0 {
		c.expected = c.process.run.Started // By the connection that carried the request, whatever the entry says.
	}
	return judgeRun(c.expected, c.stated)
}

// judgeRun compares the start time of the run that got a request with the one that its endpoint states now. An endpoint states it in all
// that it says of itself or nowhere, so one that is stated on one side only doesn't show that the run is the same.
func judgeRun(expected, stated int64) (upstream.EndBasis, error) {
	switch {
	case stated == 0 && expected == 0:
		return upstream.EndStartNotStated, nil
	case stated == 0:
		return upstream.EndNone, fmt.Errorf("%w, before at %d", errStartNotStated, expected)
	case expected == 0:
		return upstream.EndNone, fmt.Errorf("%w, now %d", errStartNotKnown, stated)
	case stated != expected:
		return upstream.EndNone, fmt.Errorf("%w at %d, before at %d", errRestarted, stated, expected)
	}
	return upstream.EndSameRun, nil
}

// record counts and logs the result of the check.
func (c *endCheck) record(basis upstream.EndBasis, err error) {
	result := endResult(basis, err)
	c.Metrics.recordEndCheck(result)
	suppressed, ok := c.endLimiter.Allow(time.Now())
	if !ok {
		return
	}
	line := c.Log.WithFields(log.Fields{
		"request": c.request.ID, "attempt": c.attempts, "endpoint": c.decision.Chosen, "result": result, "expected_start": c.expected, "stated_start": c.stated,
		"lines_left_out": suppressed,
	})
	if err != nil {
		line = line.WithField("cause", err.Error())
	}
	line.Info("end_checked")
}

// endResult names the result of the check of an end, for logs and metrics.
func endResult(basis upstream.EndBasis, err error) string {
	switch {
	case err == nil:
		return string(basis)
	case errors.Is(err, errRestarted):
		return "failed_restarted"
	case errors.Is(err, errStartNotStated):
		return "failed_start_not_stated"
	case errors.Is(err, errStartNotKnown):
		return "failed_start_not_known"
	case errors.Is(err, upstream.ErrRequestNotWritten):
		return "failed_request_not_written"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "failed_cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "failed_refused"
	case errors.Is(err, upstream.ErrUnreached):
		return "failed_unreached"
	}
	return "failed_no_report"
}
