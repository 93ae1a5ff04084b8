package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// maxUnsentAttempts is the number of endpoints to which sending may fail before any byte of the request is sent.
	// These attempts don't count towards the route's MaxAttempts.
	maxUnsentAttempts = 3
	// maxRefusedAttempts is the number of endpoints that may say that they are processes which can't continue the stream, or that may turn
	// out to be cold. Nothing of the request is sent to them either.
	maxRefusedAttempts = 8
	// minAttemptTime is the lower bound of an attempt's timeout.
	minAttemptTime = 20 * time.Millisecond
	// linksRetryAfter is the Retry-After while this VM has lost its links to all endpoints. Other VMs may be well.
	linksRetryAfter = 500 * time.Millisecond
	// relayBufferBytes is the read buffer of a stream, enough for a few events.
	relayBufferBytes = 4 << 10
	// slowWrite is the time of a write from which the caller counts as slow: the read from the endpoint stops meanwhile, and endpoints
	// cut off answers that stay unread for some seconds.
	slowWrite = time.Second
	// readGrace is how long after the deadline of a request its caller may still read an answer that is held whole.
	readGrace = 10 * time.Second
)

// bufferedResponse is a complete non-streaming response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// attemptDelivered means that the response was written to the caller, or as much of it as could be.
	attemptDelivered attemptResult = iota
	// attemptNotSent means that no byte was sent.
	attemptNotSent
	// attemptRejected means that the endpoint's response proves that it did not run the request.
	attemptRejected
	// attemptFailed means that the endpoint may have run the request and returned no complete response of its own.
	attemptFailed
	// attemptErrorResponse means that the endpoint returned a complete 5xx response, a status that promises falsely that the request
	// did not run, or any complete non-streaming response after part of a stream had been relayed.
	attemptErrorResponse
)

// forward sends the request to endpoints until one responds or no further attempt is allowed.
func (e *exchange) forward(ctx context.Context) {
	var lastErrorResponse *bufferedResponse
	var excluded []string
	stream := newEventStream(e.request.lastEventID())
	defer func() { e.lastEvent = stream.lastID }()
	unsentAttempts, refusedAttempts := 0, 0
	for {
		if ctx.Err() != nil {
			e.finishCancelled(ctx)
			return
		}
		remotely := e.needsRemote()
		result, errorResponse, failure := e.nextAttempt(ctx, remotely, excluded, stream)
		if failure != nil {
			if !remotely && len(excluded) > 0 && e.mayBeSentRemotely(ctx) {
				continue
			}
			e.finishFailed(lastErrorResponse, failure)
			return
		}
		if result == attemptDelivered {
			return
		}
		if errorResponse != nil {
			lastErrorResponse = errorResponse
		}
		e.logFailedAttempt(result, stream)
		if remotely && result == attemptNotSent {
			e.remoteUnavailable = true
			if !e.Remote.IsRefusing() {
				e.finishFailed(lastErrorResponse, outcome.NotRunf(outcome.ReasonNoEndpoint, linksRetryAfter, "this router reaches no endpoint, and no other router takes the request"))
				return
			}
			continue
		}
		if e.decision != nil {
			excluded = append(excluded, e.decision.Chosen)
		}
		if result == attemptNotSent {
			e.refusedProcess = e.refusedProcess || errors.Is(e.attemptErr, upstream.ErrRefused)
			if errors.Is(e.attemptErr, errOtherVersion) && e.process.run.Known || errors.Is(e.attemptErr, errCold) {
				refusedAttempts++
			} else {
				unsentAttempts++
			}
			if unsentAttempts < maxUnsentAttempts && refusedAttempts < maxRefusedAttempts || e.mayBeSentRemotely(ctx) {
				continue
			}
			e.unreached = !e.refusedProcess
		}
		if ctx.Err() != nil {
			e.finishCancelled(ctx)
			return
		}
		if failure := e.checkContent(); failure != nil {
			e.finishFailed(lastErrorResponse, failure)
			return
		}
		if !e.canRetry(result, stream) {
			e.finishFailed(lastErrorResponse, nil)
			return
		}
		stream.resume()
	}
}

// nextAttempt sends the request to one endpoint, or remotely through another router. It returns a failure if no endpoint can be
// chosen, or the final one of the other router.
func (e *exchange) nextAttempt(ctx context.Context, remotely bool, excluded []string, stream *eventStream) (attemptResult, *bufferedResponse, *outcome.Failure) {
	if remotely {
		return e.attemptRemotely(ctx, stream)
	}
	decision, inFlight := e.Placement.chooseEndpoint(e.placementRequest(excluded))
	if inFlight == nil {
		return attemptNotSent, nil, decision.Failure()
	}
	e.decision = &decision
	if _, reason, ok := decision.PassedOver(); ok {
		e.Metrics.recordPassedOver(e.route.Name, reason)
	}
	result, errorResponse := e.attempt(ctx, decision, inFlight, stream)
	return result, errorResponse, nil
}

// logFailedAttempt writes what distinguishes an endpoint that failed by itself, under its load, or by the content of a request.
func (e *exchange) logFailedAttempt(result attemptResult, stream *eventStream) {
	fields := log.Fields{
		"request": e.request.ID, "attempt": e.attempts, "outcome": result.String(), "events": stream.count, "answer_begun": e.answerBegun,
	}
	if e.route.Streaming {
		fields["last_event"], fields["ends_with_connection"] = stream.lastID, e.endsWithConnection
	}
	if d := e.decision; d != nil {
		fields["endpoint"], fields["kv_use"], fields["software"] = d.Chosen, d.KVUse, d.Software
	}
	e.addProcessFields(fields)
	if e.throughRouter != "" {
		fields["through_router"] = e.throughRouter
	}
	if p := e.request.Prompt; p != nil {
		fields["prompt_tokens"], fields["parts"] = p.Tokens, p.loggedPartIDs()
	}
	if e.attemptErr != nil {
		fields["cause"] = e.attemptErr.Error()
	}
	e.Log.WithFields(fields).Info("attempt_failed")
}

func (r attemptResult) String() string {
	return [...]string{"delivered", "unsent", "rejected", "failed", "answered"}[r]
}

func (e *exchange) placementRequest(excluded []string) route.Request {
	r := route.Request{ID: e.request.ID, Objective: e.route.Objective, Pool: route.Service(e.service.Name), Exclude: excluded, WithSoftware: e.begun, Software: e.software, PauseObjective: e.route.PauseObjective}
	homes := e.homes()
	r.InRegions, r.Regions = homes.Restricted, homes.Regions
	if p := e.request.Prompt; p != nil {
		r.PromptTokens, r.OutputTokens = int(p.Tokens), int(p.MaxOutput)
		r.Blocks, r.BlockEnds = p.sharedPrefixes()
	}
	return r
}

// homes returns the regions in which the request may run.
func (e *exchange) homes() catalog.Homes { return catalog.HomesOf(e.route, e.org) }

// canRetry reports whether the request may be sent to another endpoint. A request that an endpoint may have run is sent
// again only if it is idempotent, and a stream of which the caller has events only if it is resumable. If canRetry
// returns true, it has counted a retry against the shared budget.
func (e *exchange) canRetry(result attemptResult, stream *eventStream) bool {
	switch {
	case e.attempts >= e.route.MaxAttempts:
		return false
	case result == attemptNotSent:
		return false
	case errors.Is(e.attemptErr, errBuffersFull):
		return false // There is no memory for another endpoint's answer either.
	case result != attemptRejected && e.route.Semantics != catalog.Idempotent:
		return false
	case e.route.Streaming && !e.route.Resumable && stream.count > 0:
		return false
	case !e.findVersion():
		return false
	case time.Until(e.deadline) < 2*minAttemptTime:
		return false
	}
	if !e.Retries.Allow(e.service.Name, time.Now(), e.Routers()) {
		e.Metrics.recordDeniedRetry()
		return false
	}
	return true
}

// finishFailed ends a request that is not sent to another endpoint. It writes the last error response of an endpoint if
// there is one, and sets the failure otherwise. A stream that has begun is left incomplete.
func (e *exchange) finishFailed(lastErrorResponse *bufferedResponse, failure *outcome.Failure) {
	switch {
	case e.headerSent:
		e.incomplete = true
	case lastErrorResponse != nil:
		e.writeResponse(lastErrorResponse)
	case e.mayHaveRun:
		e.failure = outcome.Unknownf(outcome.ReasonEndpointFailed, 0, "the endpoint gave no whole answer")
	case failure != nil:
		e.failure = failure
	default:
		e.failure = outcome.NotRunf(outcome.ReasonOverload, shortRetryAfter, "no endpoint took the request")
	}
}

// finishCancelled ends the request at its deadline, or after the caller has disconnected.
func (e *exchange) finishCancelled(ctx context.Context) {
	switch {
	case e.headerSent:
		e.incomplete = true
	case e.mayHaveRun:
		e.failure = outcome.Unknownf(outcome.ReasonEndpointTimeout, 0, "no answer in time: %v", ctx.Err())
	default:
		e.failure = outcome.NotRunf(outcome.ReasonDeadline, shortRetryAfter, "not sent in time: %v", ctx.Err())
	}
}

// beginAttempt resets what is known of the latest attempt.
func (e *exchange) beginAttempt(stream *eventStream) {
	e.eventsBefore, e.answerBegun, e.attemptAnswered, e.endsWithConnection, e.attemptErr = stream.count, false, false, false, nil
	e.process = process{}
}

// attempt sends the request to one endpoint. The response is nil unless the result is attemptErrorResponse and it may be passed on.
func (e *exchange) attempt(ctx context.Context, decision route.Decision, inFlight *route.InFlightRequest, stream *eventStream) (attemptResult, *bufferedResponse) {
	end := attemptEnd{result: route.Cancelled}
	defer func() { e.Placement.finish(inFlight, end.result, end.outputTokens) }() // Also if writing the answer panics.
	timeout := e.attemptTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dispatch := Dispatch{Endpoint: decision.Chosen, TimeLeft: timeout, Priority: priority(e.route, e.org), LastEvent: e.request.LastEvent}
	if e.org != nil {
		dispatch.Organisation = e.org.Name
	}
	if stream.lastID != noEvent {
		dispatch.LastEvent = strconv.FormatInt(stream.lastID, 10)
	}
	e.beginAttempt(stream)
	e.sentAt = time.Now()
	check := &endCheck{exchange: e, decision: decision, inFlight: inFlight, stream: stream}
	call := upstream.Call{
		Address: decision.Address, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Header: e.Dialect.Encode(&e.request, dispatch), Body: e.request.Body, ID: e.request.ID, IDHeader: e.Dialect.IDHeader(),
		IsLeaving: check.isLeaving, MayRepeat: check.mayRepeat, ConfirmRun: check.confirmRun, OnEnd: check.record,
	}
	if e.statesStart() {
		call.Identify = func(ctx context.Context, send upstream.SendFunc) (int64, error) {
			return e.identify(ctx, &decision, inFlight, send)
		}
		call.Accept = func(run upstream.Run) error { return e.acceptProcess(&decision, run) }
	}
	e.gateCold(&call, inFlight)
	response, err := e.Client.Send(ctx, call)
	e.attemptErr = err
	if errors.Is(err, upstream.ErrNotSent) {
		if !errors.Is(err, upstream.ErrTooManyConns) && !errors.Is(err, upstream.ErrRefused) { // These are no failures of the endpoint.
			end.result = e.failureResult(ctx)
		}
		return attemptNotSent, nil
	}
	e.attempts++
	if err != nil {
		e.mayHaveRun = true
		end.result = e.reportFailure(ctx, decision, inFlight)
		return attemptFailed, nil
	}
	e.answerBegun = true
	e.Placement.RecordAnswer(NewAnswer(e.Dialect, decision.Chosen, inFlight.Started(), response), e.Log)
	result, errorResponse := e.handleResponse(response, inFlight, stream)
	_ = response.Body.Close() // Returns the connection to the pool or closes it; Close reports no useful error.
	outputTokens := (stream.count - e.eventsBefore) * max(1, e.service.TokensPerEvent)
	switch result {
	case attemptDelivered:
		if !e.incomplete {
			e.recordAnswered()
			e.recordEnd()
		}
		end = attemptEnd{route.Succeeded, outputTokens}
	case attemptFailed:
		end = attemptEnd{e.reportFailure(ctx, decision, inFlight), outputTokens}
	}
	return result, errorResponse
}

// attemptEnd is what the placement learns of an attempt.
type attemptEnd struct {
	result       route.Result
	outputTokens int
}

// reportFailure reports an attempt that the endpoint didn't complete, and returns whether it counts against the endpoint.
func (e *exchange) reportFailure(ctx context.Context, decision route.Decision, inFlight *route.InFlightRequest) route.Result {
	result := e.failureResult(ctx)
	if result == route.Failed {
		if e.OnBroken != nil {
			e.OnBroken()
		}
		e.reportBroken(decision.Address, inFlight)
	}
	return result
}

// failureResult returns whether a failed attempt counts against the endpoint: it doesn't if ctx has ended, if this router had no memory
// for the answer, or if its caller read so slowly that the endpoint may have cut it off.
func (e *exchange) failureResult(ctx context.Context) route.Result {
	if ctx.Err() != nil || errors.Is(e.attemptErr, errBuffersFull) || e.slowCaller {
		return route.Cancelled
	}
	return route.Failed
}

// attemptTimeout returns the timeout of the next attempt. A non-streaming idempotent request uses at most half of its
// remaining time while another attempt is allowed, because an endpoint that hangs is noticed only by the timeout.
func (e *exchange) attemptTimeout() time.Duration {
	remaining := time.Until(e.deadline)
	if !e.route.Streaming && e.route.Semantics == catalog.Idempotent && e.attempts+1 < e.route.MaxAttempts {
		remaining /= 2
	}
	return max(minAttemptTime, remaining)
}

// handleResponse relays or buffers an endpoint's response. The returned response is nil unless the result is
// attemptErrorResponse and it may be passed on.
func (e *exchange) handleResponse(response *upstream.Response, inFlight *route.InFlightRequest, stream *eventStream) (attemptResult, *bufferedResponse) {
	e.endsWithConnection = response.EndsWithConnection
	verdict, err := judge(e.Dialect, e.route.Streaming, response.Status, response.Header)
	e.attemptErr = err
	e.mayHaveRun = e.mayHaveRun || verdict != verdictNotRun
	switch verdict {
	case verdictNotRun:
		discardBody(response)
		return attemptRejected, nil
	case verdictWithheld:
		discardBody(response)
		return attemptErrorResponse, nil
	case verdictInvalid:
		return attemptFailed, nil
	case verdictStream:
		return e.relayStream(response, inFlight, stream), nil
	}
	body, reserved, err := e.buffers.readAll(response.Body, e.held)
	e.bufferedBytes += reserved
	if err != nil {
		e.attemptErr = err
		e.Log.WithFields(log.Fields{"request": e.request.ID, "status": response.Status, "bytes": reserved}).WithError(err).Info("answer_incomplete")
		return attemptFailed, nil
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= 500 || e.headerSent {
		return attemptErrorResponse, buffered
	}
	e.writeResponse(buffered)
	return attemptDelivered, nil
}

// discardBody reads a short body that isn't used, so that the connection can be reused.
func discardBody(response *upstream.Response) {
	if !response.EndsWithConnection {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, relayBufferBytes)) // After an error the connection is closed.
	}
}

// writeResponse writes an endpoint's response to the caller, without its hop-by-hop headers.
func (e *exchange) writeResponse(r *bufferedResponse) {
	e.status, e.delivered = r.status, true
	if e.firstByteAt.IsZero() {
		e.firstByteAt = time.Now()
	}
	copyHeader(e.writer.Header(), r.header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	// A writer for another router has no deadline: that router's caller has one.
	_ = http.NewResponseController(e.writer).SetWriteDeadline(e.deadline.Add(readGrace))
	e.writer.WriteHeader(r.status)
	if e.request.Method != http.MethodHead {
		_, _ = e.writer.Write(r.body) // An error means that the caller has disconnected; the request ends here in either case.
	}
}

// relayStream writes complete events to the caller as they arrive. The header is sent with the first event, so that the
// request can still go to another endpoint if this one fails before its first event.
func (e *exchange) relayStream(response *upstream.Response, inFlight *route.InFlightRequest, stream *eventStream) attemptResult {
	buffer := make([]byte, relayBufferBytes)
	waitingSince := time.Now()
	for {
		n, err := response.Body.Read(buffer)
		if full := e.countEvent(len(stream.partial) + n); full != nil {
			e.attemptErr = full
			return attemptFailed
		}
		events, invalid := stream.add(buffer[:n])
		if len(events) > 0 {
			e.notePause(waitingSince)
			if e.firstByteAt.IsZero() {
				e.firstByteAt = time.Now()
			}
			e.Placement.recordFirstToken(inFlight)
			if stream.count > 0 {
				e.recordBegin()
			}
			e.writeStreamHeader(response)
			e.relayedEvents = stream.count
			if stream.count-e.eventsBefore >= answeredEvents {
				e.recordAnswered()
			}
			if !e.writeStreamData(events) {
				e.incomplete = true
				return attemptDelivered
			}
			waitingSince = time.Now()
		}
		switch {
		case invalid != nil:
			e.reportIrregular(stream, invalid)
			return attemptFailed
		case err == io.EOF && !stream.endsWhole(!response.EndsWithConnection):
			e.reportIrregular(stream, errEndedEarly)
			return attemptFailed
		case err == io.EOF:
			e.writeStreamHeader(response)
			return attemptDelivered
		case err != nil:
			e.attemptErr = err
			return attemptFailed
		}
	}
}

// countEvent counts a stream's event that is still incomplete at the size in bytes, before its buffer grows.
func (e *exchange) countEvent(size int) error {
	if size <= max(e.eventBytes, relayBufferBytes) {
		return nil
	}
	const growth = 2 // The buffer may grow to twice the size, and the events before are still written from the one before.
	if err := e.held.Grow(int64(growth * (size - e.eventBytes))); err != nil {
		return fmt.Errorf("%w: %w", errBuffersFull, err)
	}
	e.eventBytes = size
	return nil
}

// notePause keeps the longest wait for events of a stream that has begun. The time to write the events before isn't part of it, because
// that is the caller's.
func (e *exchange) notePause(since time.Time) {
	if now := time.Now(); e.headerSent && now.Sub(since) > e.longestPause {
		e.longestPause, e.pauseEndedAt = now.Sub(since), now
	}
}

// reportIrregular logs and counts a stream that an endpoint sent out of order, not as events, or not to its end.
func (e *exchange) reportIrregular(stream *eventStream, cause error) {
	e.Metrics.recordIrregular(cause)
	fields := log.Fields{
		"request": e.request.ID, "attempt": e.attempts, "asked_after": stream.after, "began_with": stream.first, "last_event": stream.lastID,
		"events": stream.count, "partial_bytes": len(stream.partial), "ends_with_connection": e.endsWithConnection,
	}
	if e.decision != nil {
		fields["endpoint"], fields["software"] = e.decision.Chosen, e.decision.Software
	}
	e.Log.WithFields(fields).WithError(cause).Warn("stream_irregular")
}

// writeStreamHeader sends the header of a stream. Later calls do nothing.
func (e *exchange) writeStreamHeader(response *upstream.Response) {
	if e.headerSent {
		return
	}
	e.headerSent, e.delivered, e.status = true, true, response.Status
	copyHeader(e.writer.Header(), response.Header)
	e.writer.WriteHeader(response.Status)
}

// writeStreamData writes data to the caller and flushes it. It returns false if the caller has disconnected.
func (e *exchange) writeStreamData(data []byte) bool {
	started := time.Now()
	defer func() { e.slowCaller = e.slowCaller || time.Since(started) >= slowWrite }()
	if _, err := e.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(e.writer).Flush() == nil
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is set separately.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies the headers without the hop-by-hop headers and those listed in Connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from detecting one from the body.
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}

// CopyEndToEnd returns a copy of the headers without the hop-by-hop headers.
func CopyEndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	copyHeader(to, from)
	if to["Content-Type"] == nil {
		delete(to, "Content-Type")
	}
	return to
}
