// Package remote sends requests to endpoints through other routers, for a VM that has lost its links to them.
package remote

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	forwardv1 "github.com/lavendershunt/lavendershunt/api/ls/forward/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/forward/v1/forwardv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// Service forwards requests of other routers.
type Service struct {
	forwardv1connect.UnimplementedForwardServiceHandler
	server *forward.Server
}

// NewService returns the service of the server.
func NewService(s *forward.Server) *Service { return &Service{server: s} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return forwardv1connect.NewForwardServiceHandler(s, options...)
}

// Check implements ForwardService.
func (s *Service) Check(context.Context, *connect.Request[forwardv1.CheckRequest]) (*connect.Response[forwardv1.CheckResponse], error) {
	return connect.NewResponse(&forwardv1.CheckResponse{CanForward: s.server.CanForward()}), nil
}

// Forward implements ForwardService.
func (s *Service) Forward(ctx context.Context, req *connect.Request[forwardv1.ForwardRequest], stream *connect.ServerStream[forwardv1.ForwardResponse]) error {
	defer s.server.HoldActive()()
	exchange, err := s.server.AdmitRemote(ctx, decodeRequest(req.Msg))
	failure := (*outcome.Failure)(nil)
	if err != nil && !errors.As(err, &failure) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	if exchange != nil {
		defer exchange.Close()
	}
	if err := stream.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Accepted{Accepted: &forwardv1.Accepted{}}}); err != nil {
		return err
	}
	attempts, unreached := int(req.Msg.GetAttempts()), false
	if failure == nil {
		failure = exchange.Serve(ctx, &responseWriter{stream: stream, progress: exchange.Progress, header: http.Header{}})
		attempts, unreached = exchange.Progress().Attempts, exchange.Unreached()
	}
	if failure != nil {
		encoded := encodeFailure(failure, attempts)
		encoded.Unreached = unreached
		return stream.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Failure{Failure: encoded}})
	}
	return stream.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_End{End: &forwardv1.End{}}})
}

// responseWriter sends an answer to the other router as it is written. It implements http.ResponseWriter.
type responseWriter struct {
	stream   *connect.ServerStream[forwardv1.ForwardResponse]
	progress func() forward.RemoteProgress
	header   http.Header
}

var _ http.ResponseWriter = (*responseWriter)(nil)

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	p := w.progress()
	// If the other router can't be reached, the next Write fails too.
	_ = w.stream.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Head{Head: &forwardv1.Head{
		Status: uint32(status), Headers: encodeHeader(w.header), Attempts: uint32(p.Attempts), Endpoint: p.Endpoint, Software: p.Software, SoftwareUnproven: p.Unproven,
	}}})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if err := w.stream.Send(&forwardv1.ForwardResponse{Part: &forwardv1.ForwardResponse_Data{Data: data}}); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Flush implements http.Flusher. Each part is flushed as it is sent.
func (w *responseWriter) Flush() {}

func encodeHeader(h http.Header) []*forwardv1.Header {
	headers := make([]*forwardv1.Header, 0, len(h))
	for name, values := range h {
		headers = append(headers, &forwardv1.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*forwardv1.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[header.GetName()] = header.GetValues()
	}
	return h
}

func encodeRequest(r forward.RemoteRequest) *forwardv1.ForwardRequest {
	return &forwardv1.ForwardRequest{
		Method: r.Method, Target: r.Target, Host: r.Host, Headers: encodeHeader(r.Header), Body: r.Body,
		TimeLeftMs: uint32(max(0, r.TimeLeft.Milliseconds())), ConfigVersion: r.ConfigVersion, Attempts: uint32(r.Attempts),
		LastEvent: r.LastEvent, Begun: r.Begun, Software: r.Software, Service: r.Service,
	}
}

func decodeRequest(m *forwardv1.ForwardRequest) forward.RemoteRequest {
	return forward.RemoteRequest{
		Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(), Header: decodeHeader(m.GetHeaders()), Body: m.GetBody(),
		TimeLeft: time.Duration(m.GetTimeLeftMs()) * time.Millisecond, ConfigVersion: m.GetConfigVersion(), Attempts: int(m.GetAttempts()),
		LastEvent: m.GetLastEvent(), Begun: m.GetBegun(), Software: m.GetSoftware(), Service: m.GetService(),
	}
}

func encodeFailure(f *outcome.Failure, attempts int) *forwardv1.Failure {
	return &forwardv1.Failure{
		Outcome: string(f.Outcome), Reason: string(f.Reason), Message: f.Message, RetryAfterMs: uint32(f.RetryAfter.Milliseconds()), Attempts: uint32(attempts),
	}
}

// decodeFailure returns the other router's failure. An outcome that this router doesn't know may mean that the request ran.
func decodeFailure(m *forwardv1.Failure) *outcome.Failure {
	f := &outcome.Failure{
		Outcome: outcome.Unknown, Reason: outcome.Reason(m.GetReason()), Message: m.GetMessage(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
	if outcome.Outcome(m.GetOutcome()) == outcome.NotRun {
		f.Outcome = outcome.NotRun
	}
	return f
}
