package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

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
	// EndEarlyFailure means that the endpoint answered with a failure, of which the status counts, and ended the connection before it had
	// the whole request.
	EndEarlyFailure EndBasis = "early_failure"
)

// requestEndWait bounds the time after the end of an answer in which writing its request may end: an endpoint may answer before it has
// read a long body, and read on.
const requestEndWait = time.Second

// ErrRequestNotWritten means that an answer ended with its connection before the endpoint had the whole request. It isn't known to be whole:
// the kernel reports a reset once, and to the write if one is in progress, so that the read sees an orderly end.
var ErrRequestNotWritten = errors.New("upstream: the answer ended before the request was written")

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
	if err := e.awaitWritten(); err != nil {
		if e.status >= http.StatusBadRequest {
			return EndEarlyFailure, nil
		}
		return EndNone, fmt.Errorf("%w: %w", ErrRequestNotWritten, err)
	}
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

// awaitWritten returns the error with which writing the request ended. If it doesn't end within requestEndWait, the connection is closed.
func (e *exchange) awaitWritten() error {
	timer := time.NewTimer(requestEndWait)
	defer timer.Stop()
	select {
	case <-e.written:
	case <-e.ctx.Done():
		return e.ctx.Err()
	case <-timer.C:
		_ = e.conn.Close() // Ends the write, whose error counts.
		<-e.written
	}
	if e.writeErr != nil {
		return e.writeErr
	}
	return e.conn.pendingError()
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
