package memstore

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// VMStateChange is the body of POST /control/vms/state.
type VMStateChange struct {
	Name     string           `json:"name"`
	State    platform.VMState `json:"state"`
	Deadline *time.Time       `json:"deadline,omitempty"`
}

// handleControl handles the requests by which tests and the load tool inject faults, change the VM list and read the
// counters.
func (s *Server) handleControl(ctx *fasthttp.RequestCtx) (any, error) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /control/faults":
		var fault Fault
		if err := decodeBody(ctx, &fault); err != nil {
			return nil, err
		}
		id, err := s.store.Inject(fault)
		if err != nil {
			return nil, badRequest(err.Error())
		}
		return map[string]int{"id": id}, nil
	case "GET /control/faults":
		return map[string][]Fault{"faults": s.store.Faults()}, nil
	case "DELETE /control/faults":
		s.store.Clear(ctx.QueryArgs().GetUintOrZero("id"))
		return struct{}{}, nil
	case "GET /control/counters":
		return s.store.Counters(), nil
	case "POST /control/vms/state":
		var change VMStateChange
		if err := decodeBody(ctx, &change); err != nil {
			return nil, err
		}
		if err := s.store.SetVMState(change.Name, change.State, change.Deadline); err != nil {
			return nil, badRequest(err.Error())
		}
		return struct{}{}, nil
	case "PUT /control/vms":
		var vm platform.VM
		if err := decodeBody(ctx, &vm); err != nil {
			return nil, err
		}
		if err := CheckVM(vm); err != nil {
			return nil, badRequest(err.Error())
		}
		s.store.PutVM(vm)
		return struct{}{}, nil
	}
	return nil, badRequest(fmt.Sprintf("no handler for %s %s", ctx.Method(), ctx.Path()))
}

func decodeBody(ctx *fasthttp.RequestCtx, value any) error {
	if err := standin.DecodeJSON(ctx.PostBody(), value); err != nil {
		return badRequest(err.Error())
	}
	return nil
}
