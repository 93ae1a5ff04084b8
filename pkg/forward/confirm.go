package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// endLinesPerSecond limits the log lines on answers that ended with their connection.
const endLinesPerSecond = 50

// errRestarted means that the process which accepts connections at an address is not the one that sent an answer.
var errRestarted = errors.New("forward: the endpoint was restarted")

// endCheck is the check of an answer of one attempt that ended with its connection.
type endCheck struct {
	*exchange
	decision route.Decision
	inFlight *route.InFlightRequest
	// expected and stated are the start times of the run that got the request and of the one that accepts connections at its address, as
	// Unix times in ms, 0 if not known.
	expected, stated int64
}

func (c *endCheck) isLeaving() bool { return c.Placement.isLeaving(c.inFlight) }

// confirmRun returns an error if the model engine at the address is not in the run that got the request. Other endpoints don't say when
// they were started.
func (c *endCheck) confirmRun(ctx context.Context) (upstream.EndBasis, error) {
	if c.StartOf == nil || c.service.TokensPerEvent == 0 {
		return upstream.EndWithoutRuns, nil
	}
	stated, err := c.StartOf(ctx, c.decision.Address)
	if err != nil {
		return upstream.EndNone, err
	}
	c.expected, c.stated = c.Placement.endpointStarted(c.inFlight), stated
	switch {
	case c.stated == 0:
		return upstream.EndStartNotStated, nil
	case c.expected == 0:
		return upstream.EndStartNotKnown, nil
	case c.stated != c.expected:
		return upstream.EndNone, fmt.Errorf("%w at %d, before at %d", errRestarted, c.stated, c.expected)
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
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "failed_cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "failed_refused"
	case errors.Is(err, upstream.ErrUnreached):
		return "failed_unreached"
	}
	return "failed_no_report"
}
