package admin

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"github.com/apex/log"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// maxTopUpTokens is the largest top-up; with this limit, sums of top-ups stay within an int64.
const maxTopUpTokens = 1 << 50

// CreateBudget implements AdminService.
func (s *Server) CreateBudget(ctx context.Context, req *connect.Request[adminv1.CreateBudgetRequest]) (*connect.Response[adminv1.CreateBudgetResponse], error) {
	id, err := parseBudgetID(req.Msg.GetOrganisation(), req.Msg.GetBudget())
	if err != nil {
		return nil, err
	}
	preference, err := parsePreference(req.Msg.GetPreference())
	if err != nil {
		return nil, err
	}
	_, unique := NewKey()
	op := budget.Op{ID: "create/" + unique, Kind: budget.OpCreate, Budget: id, Preference: preference}
	if _, err := s.apply(ctx, op); err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.CreateBudgetResponse{}), nil
}

// TopUpBudget implements AdminService.
func (s *Server) TopUpBudget(ctx context.Context, req *connect.Request[adminv1.TopUpBudgetRequest]) (*connect.Response[adminv1.TopUpBudgetResponse], error) {
	id, err := parseBudgetID(req.Msg.GetOrganisation(), req.Msg.GetBudget())
	if err != nil {
		return nil, err
	}
	if req.Msg.GetTokens() < 1 || req.Msg.GetTokens() > maxTopUpTokens {
		return nil, invalidArgument("tokens: %d is out of range; allowed are 1 to %d", req.Msg.GetTokens(), int64(maxTopUpTokens))
	}
	if req.Msg.GetId() == "" || len(req.Msg.GetId()) > 128 {
		return nil, invalidArgument("id: must have 1 to 128 characters; it ensures that the tokens are added only once")
	}
	op := budget.Op{ID: "top-up/" + id.String() + "/" + req.Msg.GetId(), Kind: budget.OpTopUp, Budget: id, Tokens: req.Msg.GetTokens()}
	if _, err := s.apply(ctx, op); err != nil {
		return nil, err
	}
	status, err := s.readBudget(ctx, id)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.TopUpBudgetResponse{Budget: status}), nil
}

// PreferBudget implements AdminService.
func (s *Server) PreferBudget(ctx context.Context, req *connect.Request[adminv1.PreferBudgetRequest]) (*connect.Response[adminv1.PreferBudgetResponse], error) {
	id, err := parseBudgetID(req.Msg.GetOrganisation(), req.Msg.GetBudget())
	if err != nil {
		return nil, err
	}
	preference, err := parsePreference(req.Msg.GetPreference())
	if err != nil {
		return nil, err
	}
	_, unique := NewKey()
	op := budget.Op{ID: "prefer/" + unique, Kind: budget.OpPrefer, Budget: id, Preference: preference}
	if _, err := s.apply(ctx, op); err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.PreferBudgetResponse{}), nil
}

// GetBudgets implements AdminService.
func (s *Server) GetBudgets(ctx context.Context, req *connect.Request[adminv1.GetBudgetsRequest]) (*connect.Response[adminv1.GetBudgetsResponse], error) {
	statuses, err := s.deps.Ledger.Read(ctx, req.Msg.GetOrganisation())
	if err != nil {
		return nil, toConnectError(err)
	}
	response := &adminv1.GetBudgetsResponse{}
	for _, status := range statuses {
		if req.Msg.GetBudget() == "" || req.Msg.GetBudget() == status.ID.Budget {
			response.Budgets = append(response.Budgets, s.budgetOf(status))
		}
	}
	if req.Msg.GetBudget() != "" && len(response.Budgets) == 0 {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("budget %s/%s does not exist", req.Msg.GetOrganisation(), req.Msg.GetBudget()))
	}
	return connect.NewResponse(response), nil
}

// ReleaseGrants implements AdminService. It refuses to release the grants of holders that may still spend.
func (s *Server) ReleaseGrants(ctx context.Context, req *connect.Request[adminv1.ReleaseGrantsRequest]) (*connect.Response[adminv1.ReleaseGrantsResponse], error) {
	id, err := parseBudgetID(req.Msg.GetOrganisation(), req.Msg.GetBudget())
	if err != nil {
		return nil, err
	}
	if check := s.checkHolder(req.Msg.GetInstance()); !check.releasable {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("the tokens of %s are not released: %s", req.Msg.GetInstance(), check.reason))
	}
	if err := s.requireNoRecord(ctx, req.Msg.GetInstance()); err != nil {
		return nil, err
	}
	op := budget.Op{ID: "release/" + id.String() + "/" + req.Msg.GetInstance() + "/" + req.Msg.GetId(), Kind: budget.OpRelease, Budget: id, Holder: req.Msg.GetInstance()}
	if _, err := s.apply(ctx, op); err != nil {
		return nil, err
	}
	status, err := s.readBudget(ctx, id)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.ReleaseGrantsResponse{Budget: status}), nil
}

// requireNoRecord returns an error if the holder has an instance record: its journal may have bills that are not
// settled, and only closing the instance settles them.
func (s *Server) requireNoRecord(ctx context.Context, holder string) error {
	_, err := s.deps.Platform.Get(ctx, instance.Key(holder))
	switch {
	case err == nil:
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("%s has an instance record and may have unsettled bills; use budget release -instance %s", holder, holder))
	case errors.Is(err, platform.ErrNotFound):
		return nil
	}
	return toConnectError(err)
}

func (s *Server) apply(ctx context.Context, op budget.Op) (budget.Result, error) {
	results, err := s.deps.Ledger.Apply(ctx, op.Budget.Organisation, []budget.Op{op})
	if err == nil && len(results) != 1 {
		err = errors.New("the ledger returned no result")
	}
	entry := s.deps.Log.WithFields(log.Fields{"action": op.Kind, "budget": op.Budget.String(), "operation": op.ID})
	if err != nil {
		entry.WithError(err).Warn("budget change failed")
		return budget.Result{}, toConnectError(err)
	}
	entry.WithField("code", results[0].Code).Info("budget change processed")
	return results[0], resultError(op, results[0])
}

// resultError returns the connect error for the result of an operation, or nil if it succeeded.
func resultError(op budget.Op, result budget.Result) error {
	switch result.Code {
	case budget.CodeOK:
		return nil
	case budget.CodeExists:
		return connect.NewError(connect.CodeAlreadyExists, fmt.Errorf("budget %s exists already", op.Budget))
	case budget.CodeBudgetUnknown:
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("budget %s does not exist", op.Budget))
	case budget.CodeFull:
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("the ledger shard of %s is full: %s", op.Budget, result.Message))
	}
	return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%s: %s %s", op.Budget, result.Code, result.Message))
}

func (s *Server) readBudget(ctx context.Context, id budget.ID) (*adminv1.Budget, error) {
	statuses, err := s.deps.Ledger.Read(ctx, id.Organisation)
	if err != nil {
		return nil, toConnectError(err)
	}
	for _, status := range statuses {
		if status.ID == id {
			return s.budgetOf(status), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("budget %s does not exist", id))
}

func parseBudgetID(organisation, name string) (budget.ID, error) {
	if !config.ValidName(organisation) || !config.ValidName(name) {
		return budget.ID{}, invalidArgument("budget: %q is not allowed; allowed is <organisation>/<budget>", organisation+"/"+name)
	}
	return budget.ID{Organisation: organisation, Budget: name}, nil
}

func parsePreference(text string) (budget.Preference, error) {
	preference := budget.Preference(text)
	if preference != budget.AvoidOverspend && preference != budget.AvoidRefusal {
		return "", invalidArgument("preference: %q is not allowed; allowed are %s and %s", text, budget.AvoidOverspend, budget.AvoidRefusal)
	}
	return preference, nil
}

func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, args...))
}
