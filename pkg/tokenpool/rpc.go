package tokenpool

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	pursev1 "github.com/lavendershunt/lavendershunt/api/ls/purse/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/purse/v1/pursev1connect"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
)

// ErrUnknownRouter means that a router is not in the membership view.
var ErrUnknownRouter = errors.New("tokenpool: unknown router")

// Service answers recalls and transfers of other routers.
type Service struct {
	pool *Pool
}

var _ pursev1connect.PurseServiceHandler = (*Service)(nil)

// NewService returns the peer API of a token pool.
func NewService(p *Pool) *Service { return &Service{pool: p} }

// Handler returns the path and the handler for the peer API.
func (s *Service) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return pursev1connect.NewPurseServiceHandler(s, options...)
}

// Recall implements PurseService.
func (s *Service) Recall(ctx context.Context, req *connect.Request[pursev1.RecallRequest]) (*connect.Response[pursev1.RecallResponse], error) {
	id := budget.ID{Organisation: req.Msg.GetOrganisation(), Budget: req.Msg.GetBudget()}
	answer, err := s.pool.Recall(ctx, req.Msg.GetHolder(), id, req.Msg.GetNeed())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pursev1.RecallResponse{
		Returned: answer.Returned, Reserved: answer.Reserved, NotHolder: answer.NotHolder,
	}), nil
}

// Transfer implements PurseService.
func (s *Service) Transfer(ctx context.Context, req *connect.Request[pursev1.TransferRequest]) (*connect.Response[pursev1.TransferResponse], error) {
	id := budget.ID{Organisation: req.Msg.GetOrganisation(), Budget: req.Msg.GetBudget()}
	answer, err := s.pool.TransferOut(ctx, req.Msg.GetTo(), id, req.Msg.GetNeed(), req.Msg.GetWant())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pursev1.TransferResponse{Id: answer.ID, From: answer.From, Tokens: answer.Tokens}), nil
}

// RemotePeers implements Peers with RPCs to the peer addresses in the membership view. It is safe for concurrent use.
type RemotePeers struct {
	view    member.View
	journal *journal.Client
	http    connect.HTTPClient
	options []connect.ClientOption
}

var _ Peers = (*RemotePeers)(nil)

// NewRemotePeers returns peers that are called with the given HTTP client of the peer API.
func NewRemotePeers(view member.View, journal *journal.Client, http connect.HTTPClient, options ...connect.ClientOption) *RemotePeers {
	return &RemotePeers{view: view, journal: journal, http: http, options: options}
}

// Append implements Peers.
func (r *RemotePeers) Append(ctx context.Context, a journal.Append) (journal.Code, error) {
	return r.journal.Append(ctx, a)
}

func (r *RemotePeers) clientFor(router string) (pursev1connect.PurseServiceClient, error) {
	for _, m := range r.view.Members() {
		if m.Instance == router {
			return pursev1connect.NewPurseServiceClient(r.http, "http://"+m.PeerAddress, r.options...), nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownRouter, router)
}

// Recall implements Peers.
func (r *RemotePeers) Recall(ctx context.Context, from, holder string, id budget.ID, need budget.Tokens) (RecallAnswer, error) {
	client, err := r.clientFor(member.ProcessOf(holder))
	if err != nil {
		return RecallAnswer{}, err
	}
	response, err := client.Recall(ctx, connect.NewRequest(&pursev1.RecallRequest{
		Organisation: id.Organisation, Budget: id.Budget, Need: need, From: from, Holder: holder,
	}))
	if err != nil {
		return RecallAnswer{}, fmt.Errorf("tokenpool: recall from %s: %w", holder, err)
	}
	return RecallAnswer{
		Returned: response.Msg.GetReturned(), Reserved: response.Msg.GetReserved(), NotHolder: response.Msg.GetNotHolder(),
	}, nil
}

// Transfer implements Peers.
func (r *RemotePeers) Transfer(ctx context.Context, to, router string, id budget.ID, need, want budget.Tokens) (TransferAnswer, error) {
	client, err := r.clientFor(router)
	if err != nil {
		return TransferAnswer{}, err
	}
	response, err := client.Transfer(ctx, connect.NewRequest(&pursev1.TransferRequest{
		Organisation: id.Organisation, Budget: id.Budget, Need: need, Want: want, To: to,
	}))
	if err != nil {
		return TransferAnswer{}, fmt.Errorf("tokenpool: transfer from %s: %w", router, err)
	}
	return TransferAnswer{ID: response.Msg.GetId(), From: response.Msg.GetFrom(), Tokens: response.Msg.GetTokens()}, nil
}

// Routers implements Peers. It returns the other routers that are alive.
func (r *RemotePeers) Routers() []string {
	self := r.view.Self().Instance
	var out []string
	for _, m := range r.view.Members() {
		if m.State == member.Alive && m.Instance != self {
			out = append(out, m.Instance)
		}
	}
	return out
}
