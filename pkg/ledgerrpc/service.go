package ledgerrpc

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/ledger/v1/ledgerv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/claim"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// LocalLedger applies operations with this router's own writer; *ledgerwriter.Client implements it. Operations received
// from another router are never forwarded again, which rules out forwarding loops.
type LocalLedger interface {
	ApplyLocal(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error)
	ReadLocal(ctx context.Context, organisation string) ([]budget.Status, error)
}

// ClaimAnswerer answers queries about this router's claims; *claim.Manager implements it.
type ClaimAnswerer interface {
	Answer(ctx context.Context, organisation, key, claimID string) (claim.State, *budget.StoredResult, error)
}

type service struct {
	local  LocalLedger
	claims ClaimAnswerer
}

// NewHandler returns the path and the handler of the ledger service, for the mux of the peer API.
func NewHandler(local LocalLedger, claims ClaimAnswerer, opts ...connect.HandlerOption) (string, http.Handler) {
	return ledgerv1connect.NewLedgerServiceHandler(&service{local: local, claims: claims}, opts...)
}

// Apply implements ledgerv1connect.LedgerServiceHandler.
func (s *service) Apply(ctx context.Context, req *connect.Request[ledgerv1.ApplyRequest]) (*connect.Response[ledgerv1.ApplyResponse], error) {
	results, err := s.local.ApplyLocal(ctx, req.Msg.GetOrganisation(), mapAll(req.Msg.GetOps(), opFromWire))
	if err != nil {
		return nil, errorToWire(err)
	}
	return connect.NewResponse(&ledgerv1.ApplyResponse{Results: mapAll(results, resultToWire)}), nil
}

// Read implements ledgerv1connect.LedgerServiceHandler.
func (s *service) Read(ctx context.Context, req *connect.Request[ledgerv1.ReadRequest]) (*connect.Response[ledgerv1.ReadResponse], error) {
	statuses, err := s.local.ReadLocal(ctx, req.Msg.GetOrganisation())
	if err != nil {
		return nil, errorToWire(err)
	}
	return connect.NewResponse(&ledgerv1.ReadResponse{Statuses: mapAll(statuses, statusToWire)}), nil
}

// ClaimStatus implements ledgerv1connect.LedgerServiceHandler.
func (s *service) ClaimStatus(ctx context.Context, req *connect.Request[ledgerv1.ClaimStatusRequest]) (*connect.Response[ledgerv1.ClaimStatusResponse], error) {
	state, result, err := s.claims.Answer(ctx, req.Msg.GetOrganisation(), req.Msg.GetKey(), req.Msg.GetClaimId())
	if err != nil {
		return nil, errorToWire(err)
	}
	return connect.NewResponse(&ledgerv1.ClaimStatusResponse{
		State: ledgerv1.OwnerState(state), Result: storedResultToWire(result),
	}), nil
}

func errorToWire(err error) error {
	switch {
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, ledgerwriter.ErrClosed):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, ledgerwriter.ErrQueueFull):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, ledgerwriter.ErrTooManyOps):
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}
