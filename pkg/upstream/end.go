package upstream

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
)

// EndBasis is what shows that an answer that ended with its connection is whole.
type EndBasis string

// Bases of an end. EndNone means that the answer isn't known to be whole.
const (
	EndNone EndBasis = ""
	// EndSameRun means that the endpoint states the start time of the run that got the call.
	EndSameRun EndBasis = "same_run"
	// EndStartNotStated means that the endpoint accepts a connection and says nowhere when it was started.
	EndStartNotStated EndBasis = "start_not_stated"
	// EndWithoutRuns means that the endpoint accepts a connection and is of a kind that has no start time.
	EndWithoutRuns EndBasis = "without_runs"
	// EndLeaving means that the endpoint is leaving and refuses connections, and that the call can't be repeated.
	EndLeaving EndBasis = "leaving"
)

// ErrUnreached means that an endpoint accepted no connection after an answer that ended with its connection.
var ErrUnreached = errors.New("upstream: no connection after the answer")

// confirmEnd returns an error unless the endpoint still accepts connections after an answer that ended with its connection. The kernel
// closes the connections of a process that was killed in order, so the end alone doesn't show that the answer is whole.
func (e *exchange) confirmEnd() error {
	e.client.Stats.ConfirmedEnds.Add(1)
	basis, err := e.checkEnd()
	if ended := e.ctx.Err(); err != nil && ended != nil {
		err = errors.Join(ended, err)
	}
	if e.call.OnEnd != nil {
		e.call.OnEnd(basis, err)
	}
	return err
}

// checkEnd returns what the end rests on, or why the answer isn't known to be whole.
func (e *exchange) checkEnd() (EndBasis, error) {
	if !sleep.For(e.ctx, endSettleTime) {
		return EndNone, e.ctx.Err()
	}
	err := e.client.Connect(e.ctx, e.call.Address, dialTimeout)
	switch {
	case err != nil:
		isLeaving := e.ctx.Err() == nil && e.call.IsLeaving != nil && e.call.IsLeaving()
		return judgeUnreached(err, isLeaving, e.call.MayRepeat != nil && e.call.MayRepeat())
	case e.call.ConfirmRun == nil:
		return EndWithoutRuns, nil
	}
	return e.call.ConfirmRun(e.ctx)
}

// judgeUnreached decides on the answer of an endpoint that accepts no connection after it. One that stops by plan closes its listener
// before it completes its answers, and one that is killed at the end of its time closes both at once, so the answer isn't known to be
// whole. It is taken as whole only if the call can't be repeated, because there is no other answer to it. A connection that isn't refused
// shows neither: the link may be lost.
func judgeUnreached(err error, isLeaving, mayRepeat bool) (EndBasis, error) {
	if isLeaving && !mayRepeat && errors.Is(err, syscall.ECONNREFUSED) {
		return EndLeaving, nil
	}
	return EndNone, fmt.Errorf("%w: %w", ErrUnreached, err)
}
