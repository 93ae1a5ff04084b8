package journal

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/purse/v1/pursev1connect"
)

// Service serves the journal copies of a router instance to other routers. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	copies *Copies
}

var _ pursev1connect.JournalServiceHandler = (*Service)(nil)

// NewService returns the service of a router instance.
func NewService(router string) *Service { return &Service{copies: NewCopies(router)} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return pursev1connect.NewJournalServiceHandler(s, options...)
}

// Append implements JournalService.
func (s *Service) Append(_ context.Context, req *connect.Request[pursev1.AppendRequest]) (*connect.Response[pursev1.AppendResponse], error) {
	a := appendFromProto(req.Msg)
	if a.Instance == "" || a.Number == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("journal: append of instance %q has number %d", a.Instance, a.Number))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&pursev1.AppendResponse{Code: pursev1.Code(s.copies.Append(a))}), nil
}

// Close implements JournalService.
func (s *Service) Close(_ context.Context, req *connect.Request[pursev1.CloseRequest]) (*connect.Response[pursev1.CloseResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.copies.Close(req.Msg.GetInstance(), req.Msg.GetWitness())
	if !ok {
		return connect.NewResponse(&pursev1.CloseResponse{Code: pursev1.Code_CODE_NOT_WITNESS}), nil
	}
	return connect.NewResponse(&pursev1.CloseResponse{
		Code: pursev1.Code_CODE_CLOSED, Entries: entriesToProto(content.Entries), Marks: marksToProto(content.Marks),
	}), nil
}

// Forget implements JournalService.
func (s *Service) Forget(_ context.Context, req *connect.Request[pursev1.ForgetRequest]) (*connect.Response[pursev1.ForgetResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := pursev1.Code_CODE_CLOSED
	if !s.copies.Forget(req.Msg.GetInstance(), req.Msg.GetWitness()) {
		code = pursev1.Code_CODE_NOT_WITNESS
	}
	return connect.NewResponse(&pursev1.ForgetResponse{Code: code}), nil
}

// Instances returns the instances with content.
func (s *Service) Instances() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies.Instances()
}

// Size returns the number of journals with content and of the entries in them.
func (s *Service) Size() (journals, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies.Size()
}

// Prune drops the content of the given instances. The caller has listed them with Instances and found afterwards that
// their records are deleted.
func (s *Service) Prune(instances []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range instances {
		s.copies.Forget(instance, s.copies.router)
	}
}

// Client calls the journal services of witnesses. It is safe for concurrent use.
type Client struct {
	http    connect.HTTPClient
	options []connect.ClientOption
	mu      sync.Mutex
	clients map[string]pursev1connect.JournalServiceClient
}

// NewClient returns a client that uses the HTTP client of the peer API.
func NewClient(httpClient connect.HTTPClient, options ...connect.ClientOption) *Client {
	return &Client{http: httpClient, options: options, clients: map[string]pursev1connect.JournalServiceClient{}}
}

// maxClients bounds the cached clients; addresses change when VMs are replaced.
const maxClients = 1024

func (c *Client) clientFor(address string) pursev1connect.JournalServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		client = pursev1connect.NewJournalServiceClient(c.http, "http://"+address, c.options...)
		c.clients[address] = client
	}
	return client
}

// Append sends a message to the witness at a.Address. An error wraps ErrUnreachable.
func (c *Client) Append(ctx context.Context, a Append) (Code, error) {
	response, err := c.clientFor(a.Address).Append(ctx, connect.NewRequest(a.Request()))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrUnreachable, a.Witness, err)
	}
	return Code(response.Msg.GetCode()), nil
}

// Close closes the journal of an instance at a witness and returns its content. An error wraps ErrUnreachable or
// ErrNotWitness.
func (c *Client) Close(ctx context.Context, w Ref, instance string) (Copy, error) {
	response, err := c.clientFor(w.Address).Close(ctx, connect.NewRequest(&pursev1.CloseRequest{Instance: instance, Witness: w.Router}))
	if err != nil {
		return Copy{}, fmt.Errorf("%w: %s: %w", ErrUnreachable, w.Router, err)
	}
	if response.Msg.GetCode() != pursev1.Code_CODE_CLOSED {
		return Copy{}, fmt.Errorf("%w: %s", ErrNotWitness, w.Router)
	}
	return Copy{Entries: entriesFromProto(response.Msg.GetEntries()), Marks: marksFromProto(response.Msg.GetMarks())}, nil
}

// Forget drops the content of a closed journal at a witness. An error wraps ErrUnreachable.
func (c *Client) Forget(ctx context.Context, w Ref, instance string) error {
	_, err := c.clientFor(w.Address).Forget(ctx, connect.NewRequest(&pursev1.ForgetRequest{Instance: instance, Witness: w.Router}))
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, w.Router, err)
	}
	return nil
}
