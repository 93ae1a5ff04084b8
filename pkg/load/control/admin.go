package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/admin/v1/adminv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
)

// ErrConflict means that the object had another revision.
var ErrConflict = errors.New("the object has another revision")

// Admin calls the admin API of the routers of a fleet.
type Admin struct {
	fleet fleet.Fleet
	http  *http.Client
}

// NewAdmin returns a client.
func NewAdmin(f fleet.Fleet) *Admin {
	return &Admin{fleet: f, http: &http.Client{Timeout: timeout}}
}

func (a *Admin) client(address string) adminv1connect.AdminServiceClient {
	addKey := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+a.fleet.OperatorKey)
			return next(ctx, req)
		}
	})
	return adminv1connect.NewAdminServiceClient(a.http, "http://"+address, connect.WithInterceptors(addKey))
}

// each calls do at the named router, or at one router after another until one succeeds.
func (a *Admin) each(via string, do func(adminv1connect.AdminServiceClient) error) error {
	err := fmt.Errorf("via: no router %q", via)
	for _, r := range a.fleet.Routers {
		if via != "" && r.VM != via {
			continue
		}
		if err = do(a.client(r.Admin)); err == nil || errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// Get returns the value and the revision of an object; revision 0 means that there is none.
func (a *Admin) Get(ctx context.Context, via string, kind config.Kind, name string) (json.RawMessage, uint64, error) {
	var value json.RawMessage
	var revision uint64
	err := a.each(via, func(c adminv1connect.AdminServiceClient) error {
		resp, err := c.GetObject(ctx, connect.NewRequest(&adminv1.GetObjectRequest{Kind: string(kind), Name: name}))
		if connect.CodeOf(err) == connect.CodeNotFound {
			return nil
		}
		if err != nil {
			return err
		}
		value, revision = resp.Msg.GetObject().GetValue(), resp.Msg.GetObject().GetRevision()
		return nil
	})
	return value, revision, err
}

// Put writes an object if it has the revision, and returns the new revision. It returns ErrConflict otherwise.
func (a *Admin) Put(ctx context.Context, via string, kind config.Kind, name string, value any, revision uint64) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	var accepted uint64
	err = a.each(via, func(c adminv1connect.AdminServiceClient) error {
		resp, err := c.PutObject(ctx, connect.NewRequest(&adminv1.PutObjectRequest{Object: &adminv1.Object{
			Kind: string(kind), Name: name, Revision: revision, Value: data,
		}}))
		switch connect.CodeOf(err) {
		case connect.CodeAborted, connect.CodeAlreadyExists, connect.CodeFailedPrecondition:
			return fmt.Errorf("%w: %w", ErrConflict, err)
		}
		if err != nil {
			return err
		}
		accepted = resp.Msg.GetObject().GetRevision()
		return nil
	})
	return accepted, err
}

// TopUp adds tokens to a budget once per id.
func (a *Admin) TopUp(ctx context.Context, via, organisation, budget, id string, tokens int64) error {
	return a.each(via, func(c adminv1connect.AdminServiceClient) error {
		_, err := c.TopUpBudget(ctx, connect.NewRequest(&adminv1.TopUpBudgetRequest{
			Organisation: organisation, Budget: budget, Id: id, Tokens: tokens,
		}))
		return err
	})
}

// Listed is an object in the configuration in force at a router.
type Listed struct {
	Name     string
	Revision uint64
}

// List returns the objects in force at one router.
func (a *Admin) List(ctx context.Context, router fleet.Router, kind config.Kind) ([]Listed, error) {
	resp, err := a.client(router.Admin).ListObjects(ctx, connect.NewRequest(&adminv1.ListObjectsRequest{Kind: string(kind)}))
	if err != nil {
		return nil, err
	}
	var all []Listed
	for _, o := range resp.Msg.GetObjects() {
		all = append(all, Listed{Name: o.GetName(), Revision: o.GetRevision()})
	}
	return all, nil
}
