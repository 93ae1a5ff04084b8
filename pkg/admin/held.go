package admin

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/apex/log"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/member"
)

// HeldInstances lists and closes instances whose tokens stay held.
type HeldInstances interface {
	// ListHeld returns the instances that are being closed.
	ListHeld(ctx context.Context) ([]HeldInstance, error)
	// Release closes an instance without the witnesses that do not answer. It returns an *instance.HeldError if the
	// ledger refuses to close it.
	Release(ctx context.Context, instance string) error
}

// HeldInstance is an instance that is being closed, with its grants.
type HeldInstance struct {
	instance.Record
	Grants []ledger.HolderGrant
}

var errInstanceRecordsUnavailable = connect.NewError(connect.CodeUnavailable, errors.New("this router can't read the instance records"))

// GetHeldInstances implements AdminService.
func (s *Server) GetHeldInstances(ctx context.Context, _ *connect.Request[adminv1.GetHeldInstancesRequest]) (*connect.Response[adminv1.GetHeldInstancesResponse], error) {
	held, err := s.listHeld(ctx)
	if err != nil {
		return nil, err
	}
	response := &adminv1.GetHeldInstancesResponse{}
	for _, h := range held {
		response.Instances = append(response.Instances, s.heldInstanceOf(h))
	}
	return connect.NewResponse(response), nil
}

// ReleaseInstance implements AdminService. It refuses instances that are not being closed and those that may still
// spend, because their tokens would be spent twice.
func (s *Server) ReleaseInstance(ctx context.Context, req *connect.Request[adminv1.ReleaseInstanceRequest]) (*connect.Response[adminv1.ReleaseInstanceResponse], error) {
	id := req.Msg.GetInstance()
	if !req.Msg.GetAcceptLoss() {
		return nil, invalidArgument("accept_loss: must be set, because bills that only an unreachable witness had are lost")
	}
	held, err := s.listHeld(ctx)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(held, func(h HeldInstance) bool { return h.Instance == id })
	if i < 0 {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("instance %s is not being closed", id))
	}
	h := held[i]
	if reason, certain := s.mayRunReason(h.Record); reason != "" && (certain || !req.Msg.GetStopped()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("instance %s is not released: %s", id, reason))
	}
	entry := s.deps.Log.WithFields(log.Fields{
		"action": "release_instance", "instance": id, "vm": h.VM, "zone": h.Zone, "reason": h.HeldReason, "tokens": totalTokens(h),
		"stopped_by_operator": req.Msg.GetStopped(),
	})
	if err := s.deps.HeldInstances.Release(ctx, id); err != nil {
		entry.WithError(err).Warn("failed to release an instance")
		var heldErr *instance.HeldError
		if errors.As(err, &heldErr) {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return nil, toConnectError(err)
	}
	entry.Warn("instance closed by an operator; bills that only an unreachable witness had are lost")
	return connect.NewResponse(&adminv1.ReleaseInstanceResponse{Instance: s.heldInstanceOf(h)}), nil
}

func (s *Server) listHeld(ctx context.Context) ([]HeldInstance, error) {
	if s.deps.HeldInstances == nil {
		return nil, errInstanceRecordsUnavailable
	}
	held, err := s.deps.HeldInstances.ListHeld(ctx)
	if err != nil {
		return nil, toConnectError(err)
	}
	return held, nil
}

// mayRunReason returns why the VM may still run the instance, or an empty reason if it can't. certain reports that the
// router does run, because it is an alive or leaving member; the request's field stopped does not override that.
func (s *Server) mayRunReason(r instance.Record) (reason string, certain bool) {
	for _, m := range s.deps.Members.Members() {
		if m.Instance == r.Router && (m.State == member.Alive || m.State == member.Leaving) {
			return "the router is " + string(m.State), true
		}
		if m.State == member.Alive && member.Supersedes(m.Instance, r.Router) {
			return "", false
		}
	}
	check := s.checkHolder(r.Instance)
	return check.reason, false
}

func (s *Server) heldInstanceOf(h HeldInstance) *adminv1.HeldInstance {
	out := &adminv1.HeldInstance{Instance: h.Instance, Vm: h.VM, Zone: h.Zone, Reason: h.HeldReason}
	out.MayRun, _ = s.mayRunReason(h.Record)
	for _, g := range h.Grants {
		out.Tokens = append(out.Tokens, &adminv1.HeldTokens{Organisation: g.Budget.Organisation, Budget: g.Budget.Budget, Tokens: g.Tokens})
	}
	return out
}

func totalTokens(h HeldInstance) int64 {
	var sum int64
	for _, g := range h.Grants {
		sum += g.Tokens
	}
	return sum
}
