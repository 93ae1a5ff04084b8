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

// ErrConflict means that the object has another revision than the write expected.
var ErrConflict = errors.New("the object has another revision")

// Admin calls the admin APIs of the routers of a fleet. The parameter via of its methods is the VM of the router to
// call; if it is empty, any router may be called. It is safe for concurrent use.
type Admin struct {
	fleet fleet.Fleet
	http  *http.Client
}

// NewAdmin returns an Admin that authenticates with the operator key of the fleet.
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

// tryRouters makes the call at the router on the VM via or, if via is empty, at one router after another until a call
// succeeds or returns ErrConflict.
func (a *Admin) tryRouters(via string, call func(adminv1connect.AdminServiceClient) error) error {
	err := fmt.Errorf("via: no router %q", via)
	for _, r := range a.fleet.Routers {
		if via != "" && r.VM != via {
			continue
		}
		if err = call(a.client(r.Admin)); err == nil || errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// Get returns the value and the revision of an object, or revision 0 if the object does not exist.
func (a *Admin) Get(ctx context.Context, via string, kind config.Kind, name string) (json.RawMessage, uint64, error) {
	var value json.RawMessage
	var revision uint64
	err := a.tryRouters(via, func(c adminv1connect.AdminServiceClient) error {
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

// Put writes an object if its stored revision equals revision, and returns the new revision. Otherwise the error wraps
// ErrConflict.
func (a *Admin) Put(ctx context.Context, via string, kind config.Kind, name string, value any, revision uint64) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	var accepted uint64
	err = a.tryRouters(via, func(c adminv1connect.AdminServiceClient) error {
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

// TopUp adds tokens to a budget. Calls with the same id take effect once.
func (a *Admin) TopUp(ctx context.Context, via, organisation, budget, id string, tokens int64) error {
	return a.tryRouters(via, func(c adminv1connect.AdminServiceClient) error {
		_, err := c.TopUpBudget(ctx, connect.NewRequest(&adminv1.TopUpBudgetRequest{
			Organisation: organisation, Budget: budget, Id: id, Tokens: tokens,
		}))
		return err
	})
}

// ListedObject is an object of the configuration that is in force at a router.
type ListedObject struct {
	Name     string
	Revision uint64
}

// List returns the objects of a kind that are in force at one router.
func (a *Admin) List(ctx context.Context, router fleet.Router, kind config.Kind) ([]ListedObject, error) {
	resp, err := a.client(router.Admin).ListObjects(ctx, connect.NewRequest(&adminv1.ListObjectsRequest{Kind: string(kind)}))
	if err != nil {
		return nil, err
	}
	var all []ListedObject
	for _, o := range resp.Msg.GetObjects() {
		all = append(all, ListedObject{Name: o.GetName(), Revision: o.GetRevision()})
	}
	return all, nil
}
