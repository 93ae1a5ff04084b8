package ledgerrpc

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/ledger/v1/ledgerv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/claim"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// ErrOwnerUnknown means that the owner of a claim is not in the membership view.
var ErrOwnerUnknown = errors.New("ledgerrpc: unknown claim owner")

// Peers calls the ledger services of other routers. It implements ledgerwriter.Remote and claim.OwnerClient.
type Peers struct {
	http connect.HTTPClient
	view member.View
}

// NewPeers returns Peers that use the given HTTP client, which must support unencrypted HTTP/2.
func NewPeers(client connect.HTTPClient, view member.View) *Peers {
	return &Peers{http: client, view: view}
}

func (p *Peers) client(address string) ledgerv1connect.LedgerServiceClient {
	return ledgerv1connect.NewLedgerServiceClient(p.http, "http://"+address)
}

// Apply implements ledgerwriter.Remote.
func (p *Peers) Apply(ctx context.Context, address, organisation string, ops []budget.Op) ([]budget.Result, error) {
	r, err := p.client(address).Apply(ctx, connect.NewRequest(&ledgerv1.ApplyRequest{
		Organisation: organisation, Ops: mapAll(ops, opToWire),
	}))
	if err != nil {
		return nil, errorFromWire(address, err)
	}
	return mapAll(r.Msg.GetResults(), resultFromWire), nil
}

// Read implements ledgerwriter.Remote.
func (p *Peers) Read(ctx context.Context, address, organisation string) ([]budget.Status, error) {
	r, err := p.client(address).Read(ctx, connect.NewRequest(&ledgerv1.ReadRequest{Organisation: organisation}))
	if err != nil {
		return nil, errorFromWire(address, err)
	}
	return mapAll(r.Msg.GetStatuses(), statusFromWire), nil
}

// Query implements claim.OwnerClient. It also calls owners that the membership view lists as failed, because they may
// still answer.
func (p *Peers) Query(ctx context.Context, owner, organisation, key, claimID string) (claim.State, *budget.StoredResult, error) {
	for _, m := range p.view.Members() {
		if m.Instance != owner {
			continue
		}
		r, err := p.client(m.PeerAddress).ClaimStatus(ctx, connect.NewRequest(&ledgerv1.ClaimStatusRequest{
			Organisation: organisation, Key: key, ClaimId: claimID,
		}))
		if err != nil {
			return claim.Unknown, nil, errorFromWire(m.PeerAddress, err)
		}
		return claim.State(r.Msg.GetState()), storedResultFromWire(r.Msg.GetResult()), nil
	}
	return claim.Unknown, nil, fmt.Errorf("%w: %s", ErrOwnerUnknown, owner)
}

// errorFromWire wraps the sentinel error that corresponds to the Connect code. Any failure that another path could
// avoid wraps platform.ErrUnavailable.
func errorFromWire(address string, err error) error {
	var sentinel error
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		sentinel = ledgerwriter.ErrQueueFull
	case connect.CodeInvalidArgument:
		sentinel = ledgerwriter.ErrTooManyOps
	case connect.CodeCanceled:
		sentinel = context.Canceled
	default:
		sentinel = platform.ErrUnavailable
	}
	return fmt.Errorf("ledgerrpc: router %s: %w: %w", address, sentinel, err)
}
