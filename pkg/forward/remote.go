package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Remote sends requests to endpoints through other routers.
//
// It answers a network partition between this VM and all endpoints, while callers and other routers still reach it: callers
// keep an address for seconds, and their requests can only be served by routers whose links are well.
type Remote interface {
	// IsNeeded reports whether this VM has lost its links to all endpoints.
	IsNeeded() bool
	// AwaitCheck waits until it is known whether IsNeeded is true, after own attempts have failed, and returns it.
	AwaitCheck(ctx context.Context) bool
	// IsRefusing reports whether, while IsNeeded is true, own connection attempts fail at once, so that they cost no time.
	IsRefusing() bool
	// Send sends the request to a router that reaches endpoints. Its errors wrap upstream.ErrNotSent or
	// upstream.ErrFailedAfterSend.
	Send(ctx context.Context, r RemoteRequest) (*RemoteResponse, error)
}

// RemoteRequest is a caller's request that another router sends to endpoints.
type RemoteRequest struct {
	Method, Target, Host string
	// Header contains the headers as the caller sent them.
	Header http.Header
	Body   []byte
	// TimeLeft is the time until the answer must be complete.
	TimeLeft time.Duration
	// ConfigVersion is the version of the configuration by which the request was admitted.
	ConfigVersion uint64
	// Attempts is the number of endpoints that have got the request already.
	Attempts int
	// LastEvent is the id of the last event that was relayed, empty for a new stream.
	LastEvent string
	// Begun is set if the stream has begun at an endpoint whose software has the version Software.
	Begun    bool
	Software string
	// Homes are the regions of the routers that may get the request.
	Homes catalog.Homes
	// Service is the service that is to continue a stream that has begun, empty from a router of an earlier build.
	Service string
}

// RemoteProgress tells how far another router has come with a request.
type RemoteProgress struct {
	// Attempts is the number of endpoints that have got the request.
	Attempts int
	// Endpoint is the last of them, and Software the version of its software. Unproven is set if that isn't known.
	Endpoint, Software string
	Unproven           bool
}

// RemoteResponse is the result of a request that another router has sent.
type RemoteResponse struct {
	// Response is the endpoint's answer. It is nil if Failure is set.
	Response *upstream.Response
	// Failure is the other router's reason for giving no answer.
	Failure *outcome.Failure
	// Router is the name of the other router.
	Router string
	// Progress returns how far the other router has come by what it has sent so far.
	Progress func() RemoteProgress
}

// messageCopies is how often the message to another router holds the body besides the request: encoded, and in the buffer of the
// connection. What it holds of the head is no more than what is counted of it already.
const messageCopies = 2

// needsRemote reports whether the next attempt is made by another router.
func (e *exchange) needsRemote() bool {
	return e.Remote != nil && !e.onBehalf && !e.remoteUnavailable && e.Remote.IsNeeded()
}

// mayBeSentRemotely reports, after own attempts could not be sent, whether the next one is made by another router. It waits for
// a check of the links.
func (e *exchange) mayBeSentRemotely(ctx context.Context) bool {
	return e.Remote != nil && !e.onBehalf && !e.remoteUnavailable && e.Remote.AwaitCheck(ctx)
}

// attemptRemotely has another router send the request. The failure is the other router's; it is final.
func (e *exchange) attemptRemotely(ctx context.Context, stream *eventStream) (attemptResult, *bufferedResponse, *outcome.Failure) {
	request := RemoteRequest{
		Method: e.request.Method, Target: e.request.Target, Host: e.request.Host, Header: e.request.Header, Body: e.request.Body,
		TimeLeft: time.Until(e.deadline), ConfigVersion: e.config.Version, Attempts: e.attempts, LastEvent: e.request.LastEvent,
		Begun: e.begun, Software: e.software, Service: e.service.Name, Homes: e.homes(),
	}
	if stream.lastID != noEvent {
		request.LastEvent = strconv.FormatInt(stream.lastID, 10)
	}
	e.beginAttempt(stream)
	copies := int64(messageCopies*len(request.Body)) + e.headHeld
	if err := e.held.Grow(copies); err != nil {
		return attemptNotSent, nil, outcome.NotRunf(outcome.ReasonNoMemory, shortRetryAfter, "no memory is left for the message to another router")
	}
	defer e.held.Shrink(copies)
	sentAt := time.Now()
	response, err := e.Remote.Send(ctx, request)
	e.attemptErr = err
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		e.Metrics.recordRemote(attemptNotSent.String())
		return attemptNotSent, nil, nil
	case err != nil:
		e.attempts++
		e.mayHaveRun = true
		e.Metrics.recordRemote(attemptFailed.String())
		return attemptFailed, nil, nil
	}
	e.throughRouter = response.Router
	defer func() { e.attempts = max(e.attempts, response.Progress().Attempts) }()
	progress := response.Progress()
	e.decision = &route.Decision{RequestID: e.request.ID, Chosen: progress.Endpoint, Software: progress.Software, Reason: ReasonRemote}
	e.process = remoteProcess(progress)
	if f := response.Failure; f != nil {
		e.mayHaveRun = e.mayHaveRun || f.Outcome != outcome.NotRun
		e.Metrics.recordRemote(string(f.Outcome))
		return attemptRejected, nil, f
	}
	e.answerBegun = true
	e.Placement.RecordAnswer(NewAnswer(e.Dialect, progress.Endpoint, sentAt, response.Response), e.Log)
	result, errorResponse := e.handleResponse(response.Response, nil, stream)
	_ = response.Response.Body.Close() // Ends the call; it reports no useful error.
	if result == attemptDelivered && !e.incomplete {
		e.recordAnswered()
		e.recordEnd()
	}
	e.Metrics.recordRemote(result.String())
	return result, errorResponse, nil
}

// ReasonRemote means that another router chose the endpoint.
const ReasonRemote route.Reason = "through_another_router"

// Errors of Server.AdmitRemote.
var (
	// ErrCannotForward means that this router can't send requests for others now.
	ErrCannotForward = errors.New("forward: can't send requests for other routers")
	// ErrOlderConfiguration means that the request was admitted by a later configuration than this router has.
	ErrOlderConfiguration = errors.New("forward: the configuration is older than that of the other router")
)

// RemoteExchange is a request of another router that this one has admitted.
type RemoteExchange struct{ e *exchange }

// CanForward reports whether this router can send requests for others.
func (s *Server) CanForward() bool {
	return !s.draining.Load() && (s.Remote == nil || !s.Remote.IsNeeded()) && s.Configuration.Current() != nil
}

// HoldActive counts a request of another router as active until the returned function is called, which must be after its last
// message was sent: a router that stops waits for it.
func (s *Server) HoldActive() (release func()) {
	s.active.Add(1)
	return func() { s.active.Add(-1) }
}

// AdmitRemote checks a request of another router. The request has not been sent and won't be if it returns an error, which wraps
// ErrCannotForward or ErrOlderConfiguration or says what is wrong with the request.
func (s *Server) AdmitRemote(ctx context.Context, r RemoteRequest) (*RemoteExchange, error) {
	if !s.CanForward() {
		return nil, ErrCannotForward
	}
	if s.Configuration.Current().Version < r.ConfigVersion {
		confirmed, err := s.Configuration.Confirm(ctx)
		if err != nil {
			return nil, errors.Join(ErrOlderConfiguration, err)
		}
		if confirmed.Version < r.ConfigVersion {
			return nil, ErrOlderConfiguration
		}
	}
	e := &exchange{Server: s, arrivedAt: time.Now(), onBehalf: true, peerBody: r.Body}
	admitted := false
	defer func() {
		if !admitted {
			e.release()
		}
	}()
	if failure := e.admit(r.httpRequest(ctx)); failure != nil {
		return nil, failure
	}
	e.deadline = e.arrivedAt.Add(r.TimeLeft)
	e.attempts, e.begun, e.software, e.request.LastEvent = r.Attempts, r.Begun, r.Software, r.LastEvent
	if failure := e.keepService(r); failure != nil {
		return nil, failure
	}
	if failure := e.checkContent(); failure != nil {
		return nil, failure
	}
	admitted = true
	return &RemoteExchange{e}, nil
}

// Close gives back what is held for the request. It must be called after Serve, or instead of it.
func (x *RemoteExchange) Close() { x.e.release() }

// keepService makes a stream that has begun go on at its service, which the route may not use any more by a later configuration.
func (e *exchange) keepService(r RemoteRequest) *outcome.Failure {
	if !r.Begun || r.Service == "" {
		return nil
	}
	service, ok := e.config.Service(r.Service)
	if !ok {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, longRetryAfter, "service %q is not configured any more", r.Service)
	}
	e.service = service
	return nil
}

// Serve sends the request to endpoints and writes an endpoint's answer to w. It returns nil after a whole answer, and otherwise
// the failure; an answer may have begun then.
func (x *RemoteExchange) Serve(ctx context.Context, w http.ResponseWriter) *outcome.Failure {
	e := x.e
	e.writer = w
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	e.Retries.RecordRequest(e.service.Name, time.Now())
	e.forward(ctx)
	if e.failure == nil && e.incomplete {
		e.failure = outcome.Unknownf(outcome.ReasonEndpointFailed, 0, "the answer broke off")
	}
	if e.failure != nil {
		e.status = e.failure.Status()
	}
	e.recordResult(ctx)
	return e.failure
}

// Unreached reports whether Serve could send the request to none of the endpoints that it tried, so that another router may do
// better.
func (x *RemoteExchange) Unreached() bool { return x.e.unreached && !x.e.mayHaveRun }

// Progress returns how far the request has come.
func (x *RemoteExchange) Progress() RemoteProgress {
	p := RemoteProgress{Attempts: x.e.attempts}
	if d := x.e.decision; d != nil {
		p.Endpoint, p.Software = d.Chosen, d.Software
	}
	if x.e.begun {
		p.Software, p.Unproven = x.e.software, x.e.unproven
	}
	return p
}

// remoteProcess returns what another router says of the process that sends an answer.
func remoteProcess(p RemoteProgress) process {
	if p.Unproven {
		return process{proof: notProven}
	}
	return process{software: p.Software, proof: provenByRouter}
}

// httpRequest returns the caller's request.
func (r *RemoteRequest) httpRequest(ctx context.Context) *http.Request {
	request := &http.Request{
		Method: r.Method, Host: r.Host, RequestURI: r.Target, URL: &url.URL{Opaque: r.Target}, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
	return request.WithContext(ctx)
}
