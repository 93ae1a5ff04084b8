package admin

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

// GetStatus implements AdminService.
func (s *Server) GetStatus(context.Context, *connect.Request[adminv1.GetStatusRequest]) (*connect.Response[adminv1.GetStatusResponse], error) {
	summary := s.deps.Config.Summary()
	response := &adminv1.GetStatusResponse{
		Instance:       s.deps.Members.Self().Instance,
		ConfigLoaded:   summary.Loaded,
		ConfigRevision: summary.Floor,
		VmListAgeMs:    -1,
	}
	if s.deps.ConfigAge != nil {
		if age := s.deps.ConfigAge(); age >= 0 {
			milliseconds := age.Milliseconds()
			response.ConfigAgeMs = &milliseconds
		}
	}
	for _, m := range s.deps.Members.Members() {
		response.Routers = append(response.Routers, &adminv1.Router{
			Instance: m.Instance, Vm: m.VM, Region: m.Region, Zone: m.Zone,
			State: string(m.State), CallerAddress: m.CallerAddress,
		})
	}
	list := s.deps.VMs()
	if !list.ReadAt.IsZero() {
		response.VmListAgeMs = s.deps.Now().Sub(list.ReadAt).Milliseconds()
	}
	for _, vm := range list.VMs {
		response.Vms = append(response.Vms, &adminv1.VM{
			Name: vm.Name, Region: vm.Region, Zone: vm.Zone, Role: string(vm.Role), State: string(vm.State),
			Address: vm.Address, Models: vm.Models, Service: vm.Service, Marked: s.deps.Config.Leaving(vm.Name),
		})
	}
	for _, p := range s.drains(list.VMs) {
		response.Drains = append(response.Drains, drainOf(p))
	}
	s.addWitnesses(response)
	return connect.NewResponse(response), nil
}

func (s *Server) addWitnesses(response *adminv1.GetStatusResponse) {
	if s.deps.WitnessStatus == nil {
		return
	}
	w, ok := s.deps.WitnessStatus()
	if !ok || w.Closed {
		return
	}
	response.WitnessesChanging = w.Changing
	for _, ref := range w.Witnesses {
		response.Witnesses = append(response.Witnesses, &adminv1.Witness{
			Instance: ref.Router, Region: ref.Region, Zone: ref.Zone, Address: ref.Address,
			Failing: slices.Contains(w.Failing, ref),
		})
	}
}

// drains returns this router's own withdrawals, followed by the other VMs that are leaving according to the VM list or
// a mark.
func (s *Server) drains(vms []platform.VM) []withdraw.Progress {
	var all []withdraw.Progress
	own := map[string]bool{}
	if s.deps.Drains != nil {
		for _, p := range s.deps.Drains() {
			own[p.VM] = true
			all = append(all, p)
		}
	}
	for _, vm := range vms {
		marked := s.deps.Config.Leaving(vm.Name)
		if own[vm.Name] || vm.State == platform.VMGone || vm.State != platform.VMLeaving && !marked {
			continue
		}
		progress := withdraw.Progress{VM: vm.Name, State: string(platform.VMLeaving), Remaining: -1}
		progress.BlockedBy = withdraw.LastEndpointOf(vm.Name, vms, s.deps.Config.Leaving)
		if vm.Deadline != nil {
			progress.Deadline = *vm.Deadline
		}
		if mark, ok := s.deps.Config.Mark(vm.Name); ok && mark.Deadline != nil {
			progress.Deadline = *mark.Deadline
		}
		all = append(all, progress)
	}
	return all
}

func drainOf(p withdraw.Progress) *adminv1.Drain {
	drain := &adminv1.Drain{Vm: p.VM, State: p.State, Awaited: p.Awaited, RemainingMs: p.Remaining.Milliseconds(), BlockedBy: p.BlockedBy}
	if p.Remaining < 0 {
		drain.RemainingMs = -1
	}
	if !p.Deadline.IsZero() {
		drain.DeadlineUnixMs = p.Deadline.UnixMilli()
	}
	return drain
}

// holderCheck is the result of checkHolder.
type holderCheck struct {
	// state is the holder's membership state, or "unknown".
	state string
	// held is set if the holder's router has failed or is no member, so that its tokens stay held.
	held       bool
	releasable bool
	// reason is why the grant may not be released.
	reason string
}

// checkHolder decides whether the grant of a holder may be released. The VM must be absent from the platform's list or
// gone there, because a router that is disconnected or frozen may still spend. A holder's id begins with the instance id
// of its router.
func (s *Server) checkHolder(holder string) holderCheck {
	state := "unknown"
	instance := member.ProcessOf(holder)
	for _, m := range s.deps.Members.Members() {
		if m.Instance == member.ProcessOf(instance) {
			state = string(m.State)
		}
	}
	check := holderCheck{state: state, held: state == "unknown" || state == string(member.Failed)}
	if !check.held {
		check.reason = "the router is " + state
		return check
	}
	list := s.deps.VMs()
	if list.ReadAt.IsZero() {
		check.reason = "no VM list was received"
		return check
	}
	for _, vm := range list.VMs {
		if vm.Name == member.VMOf(instance) && vm.State != platform.VMGone {
			check.reason = "VM " + vm.Name + " is " + string(vm.State) + " in the VM list"
			return check
		}
	}
	check.releasable = true
	return check
}

func (s *Server) budgetOf(status budget.Status) *adminv1.Budget {
	b := &adminv1.Budget{
		Organisation: status.ID.Organisation, Budget: status.ID.Budget, Preference: string(status.Preference),
		ToppedUp: status.ToppedUp, Settled: status.Settled,
	}
	for _, g := range status.Grants {
		check := s.checkHolder(g.Instance)
		b.Granted += g.Tokens
		b.Grants = append(b.Grants, &adminv1.Grant{
			Instance: g.Instance, Vm: member.VMOf(g.Instance), Tokens: g.Tokens,
			State: check.state, Held: check.held, Releasable: check.releasable, Reason: check.reason,
		})
	}
	b.Unallocated = b.ToppedUp - b.Settled - b.Granted
	return b
}
