package forward

import (
	"context"
	"errors"
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
	// maxUnsent bounds the endpoints that are tried when no byte of the request could be sent.
	maxUnsent = 3
	// maxAnswerBytes bounds an answer that is not a stream; it is held until it is complete.
	maxAnswerBytes = 4 << 20
	// minTimeLeft is the least time that an endpoint is given.
	minTimeLeft = 20 * time.Millisecond
	// relayBufferBytes holds a few events.
	relayBufferBytes = 4 << 10
)

// answer is a complete response of an endpoint that is not a stream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// result is what became of one attempt.
type result int

const (
	// delivered means that the caller has the answer, or as much of it as there will be.
	delivered result = iota
	// unsent means that no byte was sent.
	unsent
	// rejected means that the endpoint proved that it did not run the request.
	rejected
	// failed means that the endpoint may have run the request and gave no whole answer.
	failed
	// answered means that the endpoint answered with an error of its own.
	answered
)

// forward sends the request to endpoints until one answers or no further attempt is allowed.
func (e *exchange) forward(ctx context.Context) {
	var kept *answer
	var excluded []string
	stream := newFrames()
	unsentTries := 0
	for {
		if ctx.Err() != nil {
			e.timedOut(ctx)
			return
		}
		decision, inFlight := e.Placement.begin(e.placementRequest(excluded))
		if inFlight == nil {
			e.giveUp(kept, decision.Failure())
			return
		}
		e.decision = &decision
		got, final := e.attempt(ctx, decision, inFlight, stream)
		if got == delivered {
			return
		}
		excluded = append(excluded, decision.Chosen)
		if final != nil {
			kept = final
		}
		e.Log.WithFields(log.Fields{
			"request": e.request.ID, "endpoint": decision.Chosen, "attempt": e.attempts, "outcome": got.String(), "events": stream.count,
		}).Info("attempt_failed")
		if got == unsent {
			if unsentTries++; unsentTries < maxUnsent {
				continue
			}
		}
		if ctx.Err() != nil {
			e.timedOut(ctx)
			return
		}
		if !e.mayRepeat(got, stream) {
			e.giveUp(kept, nil)
			return
		}
		stream.restart()
	}
}

func (r result) String() string {
	return [...]string{"delivered", "unsent", "rejected", "failed", "answered"}[r]
}

func (e *exchange) placementRequest(excluded []string) route.Request {
	r := route.Request{ID: e.request.ID, Pool: route.Service(e.service.Name), Exclude: excluded}
	if p := e.request.Prompt; p != nil {
		r.PromptTokens, r.OutputTokens = int(p.Tokens), int(p.MaxOutput)
		r.Blocks, r.BlockEnds = p.blocks()
	}
	return r
}

// mayRepeat decides whether the request is sent to another endpoint.
func (e *exchange) mayRepeat(got result, stream *frames) bool {
	switch {
	case e.attempts >= e.route.MaxAttempts:
		return false
	case got == unsent:
		return false
	case got != rejected && e.route.Semantics != catalog.Idempotent:
		return false
	case e.route.Streaming && !e.route.Resumable && stream.count > 0:
		return false
	case time.Until(e.deadline) < 2*minTimeLeft:
		return false
	}
	if !e.Retries.Allow(e.service.Name, time.Now(), e.Routers()) {
		e.Metrics.deniedRetry()
		return false
	}
	return true
}

// giveUp ends the request with the best answer there is.
func (e *exchange) giveUp(kept *answer, failure *outcome.Failure) {
	switch {
	case e.begun:
		e.broken = true
	case kept != nil:
		e.deliver(kept)
	case e.sent:
		e.failure = outcome.Unknownf(outcome.ReasonEndpointFailed, 0, "the endpoint gave no whole answer")
	case failure != nil:
		e.failure = failure
	default:
		e.failure = outcome.NotRunf(outcome.ReasonOverload, shortRetry, "no endpoint took the request")
	}
}

// timedOut ends the request at its deadline, or when the caller has gone.
func (e *exchange) timedOut(ctx context.Context) {
	switch {
	case e.begun:
		e.broken = true
	case e.sent:
		e.failure = outcome.Unknownf(outcome.ReasonEndpointTimeout, 0, "no answer in time: %v", ctx.Err())
	default:
		e.failure = outcome.NotRunf(outcome.ReasonDeadline, shortRetry, "not sent in time: %v", ctx.Err())
	}
}

// attempt sends the request to one endpoint. It returns an error answer of the endpoint, if there is one.
func (e *exchange) attempt(ctx context.Context, d route.Decision, f *route.InFlightRequest, stream *frames) (result, *answer) {
	limit := e.attemptTime()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dispatch := Dispatch{Endpoint: d.Chosen, TimeLeft: limit, Priority: priority(e.route, e.org), LastEvent: e.request.LastEvent}
	if e.org != nil {
		dispatch.Organisation = e.org.Name
	}
	if stream.last >= 0 {
		dispatch.LastEvent = strconv.FormatInt(stream.last, 10)
	}
	before := stream.count
	response, err := e.Client.Send(ctx, upstream.Call{
		Address: d.Address, Method: e.request.Method, Target: e.request.Target, Host: e.request.Host,
		Header: e.Dialect.Encode(&e.request, dispatch), Body: e.request.Body, ID: e.request.ID, IDHeader: e.Dialect.IDHeader(),
	})
	if errors.Is(err, upstream.ErrNotSent) {
		e.Placement.done(f, e.blame(ctx), 0)
		return unsent, nil
	}
	e.attempts++
	if err != nil {
		e.sent = true
		e.Log.WithFields(log.Fields{"request": e.request.ID, "endpoint": d.Chosen}).WithError(err).Info("endpoint_failed")
		e.Placement.done(f, e.blame(ctx), 0)
		return failed, nil
	}
	got, final := e.receive(response, f, stream)
	_ = response.Body.Close() // Gives the connection back or closes it; it has no error to report.
	outputTokens := (stream.count - before) * max(1, e.service.TokensPerEvent)
	switch got {
	case delivered:
		e.Placement.done(f, route.Succeeded, outputTokens)
	case failed:
		e.Placement.done(f, e.blame(ctx), outputTokens)
	default:
		e.Placement.done(f, route.Cancelled, 0)
	}
	return got, final
}

// blame tells whether a broken exchange counts against the endpoint.
func (e *exchange) blame(ctx context.Context) route.Result {
	if ctx.Err() != nil {
		return route.Cancelled
	}
	return route.Failed
}

// attemptTime is the time given to the next endpoint. A short request that may run again leaves half of its time for
// another attempt, because an endpoint that hangs says nothing.
func (e *exchange) attemptTime() time.Duration {
	left := time.Until(e.deadline)
	if !e.route.Streaming && e.route.Semantics == catalog.Idempotent && e.attempts+1 < e.route.MaxAttempts {
		left /= 2
	}
	return max(minTimeLeft, left)
}

// receive handles an endpoint's response.
func (e *exchange) receive(r *upstream.Response, f *route.InFlightRequest, stream *frames) (result, *answer) {
	if e.Dialect.NotRun(r.Status, r.Header) {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, relayBufferBytes)) // Read only to keep the connection.
		return rejected, nil
	}
	e.sent = true
	if e.route.Streaming && r.Status == http.StatusOK {
		return e.relay(r, f, stream), nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		e.Log.WithFields(log.Fields{"request": e.request.ID, "status": r.Status, "bytes": len(body)}).WithError(err).Info("answer_incomplete")
		return failed, nil
	}
	a := &answer{status: r.Status, header: r.Header, body: body}
	if r.Status >= 500 || e.begun {
		return answered, a
	}
	e.deliver(a)
	return delivered, nil
}

// deliver gives the caller an endpoint's answer unchanged.
func (e *exchange) deliver(a *answer) {
	e.status = a.status
	if e.firstByte.IsZero() {
		e.firstByte = time.Now()
	}
	copyHeader(e.writer.Header(), a.header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.writer.WriteHeader(a.status)
	if e.request.Method != http.MethodHead {
		_, _ = e.writer.Write(a.body) // The caller has gone if this fails; its request ends here in either case.
	}
}

// relay passes whole events on as they arrive. The header is sent with the first event, so that an endpoint that fails
// before it can be replaced.
func (e *exchange) relay(r *upstream.Response, f *route.InFlightRequest, stream *frames) result {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := r.Body.Read(buffer)
		whole, sequence := stream.add(buffer[:n])
		if len(whole) > 0 {
			if e.firstByte.IsZero() {
				e.firstByte = time.Now()
			}
			e.Placement.first(f)
			e.begin(r)
			e.events = stream.count
			if !e.pass(whole) {
				e.broken = true
				return delivered
			}
		}
		if sequence != nil {
			e.Log.WithField("request", e.request.ID).WithError(sequence).Warn("stream_out_of_sequence")
			return failed
		}
		switch {
		case err == io.EOF:
			e.begin(r)
			e.pass(stream.partial)
			return delivered
		case err != nil:
			return failed
		}
	}
}

// begin sends the header of a stream once.
func (e *exchange) begin(r *upstream.Response) {
	if e.begun {
		return
	}
	e.begun, e.status = true, r.Status
	copyHeader(e.writer.Header(), r.Header)
	e.writer.WriteHeader(r.Status)
}

// pass writes bytes of a stream to the caller at once. It reports false if the caller has gone.
func (e *exchange) pass(data []byte) bool {
	if _, err := e.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(e.writer).Flush() == nil
}

// hopHeaders concern a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}

// CopyEndToEnd returns the headers without those that concern a single connection.
func CopyEndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	copyHeader(to, from)
	if to["Content-Type"] == nil {
		delete(to, "Content-Type")
	}
	return to
}
