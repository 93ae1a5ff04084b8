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
	if !list.Read.IsZero() {
		response.VmListAgeMs = s.deps.Now().Sub(list.Read).Milliseconds()
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

// drains returns the withdrawals known here: this router's own ones and the leaving VMs of the list and the marks.
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

// holderEvidence tells what this router knows about the holder of a grant.
type holderEvidence struct {
	state      string
	held       bool
	releasable bool
	reason     string
}

// evidence decides whether the grant of an instance may be released. The VM must be gone from the platform's list,
// because a router that is cut off or frozen may still spend. Holders are named after their router.
func (s *Server) evidence(holder string) holderEvidence {
	state := "unknown"
	instance := member.ProcessOf(holder)
	for _, m := range s.deps.Members.Members() {
		if m.Instance == member.ProcessOf(instance) {
			state = string(m.State)
		}
	}
	e := holderEvidence{state: state, held: state == "unknown" || state == string(member.Failed)}
	if !e.held {
		e.reason = "the router is " + state
		return e
	}
	list := s.deps.VMs()
	if list.Read.IsZero() {
		e.reason = "no VM list was received"
		return e
	}
	for _, vm := range list.VMs {
		if vm.Name == member.VMOf(instance) && vm.State != platform.VMGone {
			e.reason = "VM " + vm.Name + " is " + string(vm.State) + " in the VM list"
			return e
		}
	}
	e.releasable = true
	return e
}

func (s *Server) budgetOf(status budget.Status) *adminv1.Budget {
	b := &adminv1.Budget{
		Organisation: status.ID.Organisation, Budget: status.ID.Budget, Preference: string(status.Preference),
		ToppedUp: status.ToppedUp, Settled: status.Settled,
	}
	for _, g := range status.Grants {
		e := s.evidence(g.Instance)
		b.Granted += g.Tokens
		b.Grants = append(b.Grants, &adminv1.Grant{
			Instance: g.Instance, Vm: member.VMOf(g.Instance), Tokens: g.Tokens,
			State: e.state, Held: e.held, Releasable: e.releasable, Reason: e.reason,
		})
	}
	b.Unallocated = b.ToppedUp - b.Settled - b.Granted
	return b
}
