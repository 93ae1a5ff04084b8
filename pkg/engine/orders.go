package engine

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Values of Order.Kind.
const (
	// OrderLoad loads Version of Model and, if set, Adapter.
	OrderLoad = "load"
	// OrderRole changes the role to Role.
	OrderRole = "role"
)

// Version and role of a newly started engine.
const (
	InitialVersion = "1"
	InitialRole    = "serve"
)

// Order is the request body of PathOrders. It states the wanted configuration; repeating an order has no effect.
type Order struct {
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	// Version is the wanted version; empty means the loaded one, or InitialVersion if none is loaded.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// ModelStatus is the state of one model and its adapters.
type ModelStatus struct {
	Model string `json:"model"`
	// Version is the version in use; empty during the first load.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Loading is the load in progress, <version> or <version>:<adapter>; empty if there is none.
	Loading string `json:"loading,omitempty"`
	// Error is the error of the last load; empty if it succeeded.
	Error string `json:"error,omitempty"`
}

// Status is the response body of PathStatus and PathOrders.
type Status struct {
	Models []ModelStatus `json:"models"`
	Role   string        `json:"role"`
	// Fencing is the highest fencing number received.
	Fencing uint64 `json:"fencing"`
	// MaxModels is the largest number of loaded models; a load beyond it displaces the first of Models.
	MaxModels int `json:"max_models"`
}

// orderState is the configuration set by orders. Models are sorted by the time of their first load.
type orderState struct {
	models  []*ModelStatus
	role    string
	fencing uint64
}

func newOrderState(models []string) orderState {
	state := orderState{role: InitialRole}
	for _, model := range models {
		state.models = append(state.models, &ModelStatus{Model: model, Version: InitialVersion})
	}
	return state
}

func (o *orderState) findModel(model string) *ModelStatus {
	for _, status := range o.models {
		if status.Model == model {
			return status
		}
	}
	return nil
}

// isLoaded reports whether name, <model> or <model>:<adapter>, is loaded.
func (o *orderState) isLoaded(name string) bool {
	if status := o.findModel(name); status != nil {
		return status.Version != ""
	}
	model, adapter, ok := strings.Cut(name, ":")
	if !ok {
		return false
	}
	status := o.findModel(model)
	return status != nil && slices.Contains(status.Adapters, adapter)
}

// checkFencing records the highest fencing number received. With FencingEnforced it refuses a lower one. 0 means that
// the sender has no fencing number.
func (o *orderState) checkFencing(fencing platform.Fencing, number uint64) *RefusedError {
	if fencing == platform.FencingEnforced && number > 0 && number < o.fencing {
		refused := refuse(http.StatusConflict, "fencing: %d is older than %d", number, o.fencing)
		refused.Fencing = o.fencing
		return refused
	}
	o.fencing = max(o.fencing, number)
	return nil
}

func (o *orderState) status(maxModels int) Status {
	status := Status{Models: []ModelStatus{}, Role: o.role, Fencing: o.fencing, MaxModels: maxModels}
	for _, model := range o.models {
		modelCopy := *model
		modelCopy.Adapters = slices.Clone(model.Adapters)
		status.Models = append(status.Models, modelCopy)
	}
	return status
}

// Status returns the models, role and fencing number.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.status(e.config.MaxModels)
}

// Order carries out an order or returns a *RefusedError. A load continues in the background; Status shows when it is
// done.
func (e *Engine) Order(order Order) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := order.validate(); err != nil {
		return Status{}, err
	}
	if refused := e.orders.checkFencing(e.config.Fencing, order.Fencing); refused != nil {
		return Status{}, refused
	}
	if order.Kind == OrderRole {
		e.orders.role = order.Role
	} else {
		e.startLoad(order)
	}
	return e.orders.status(e.config.MaxModels), nil
}

func (o Order) validate() error {
	switch {
	case o.Kind == OrderRole && o.Role == "":
		return refuse(http.StatusBadRequest, "role: is missing")
	case o.Kind == OrderLoad && (o.Model == "" || strings.Contains(o.Model, ":")):
		return refuse(http.StatusBadRequest, "model: must be a name without a colon")
	case o.Kind != OrderRole && o.Kind != OrderLoad:
		return refuse(http.StatusBadRequest, "kind: unknown order kind %q", o.Kind)
	}
	return nil
}

// startLoad starts the load that the order asks for, unless it is done or in progress. The caller holds mu.
func (e *Engine) startLoad(order Order) {
	model := e.orders.findModel(order.Model)
	if model == nil {
		if len(e.orders.models) >= e.config.MaxModels {
			e.orders.models = slices.Delete(e.orders.models, 0, 1)
		}
		model = &ModelStatus{Model: order.Model}
		e.orders.models = append(e.orders.models, model)
	}
	if order.Version == "" {
		order.Version = model.Version
	}
	if order.Version == "" {
		order.Version = InitialVersion
	}
	target, bytes := order.Version, 0
	if model.Version != order.Version {
		bytes = e.config.ModelBytes
	}
	if order.Adapter != "" && (bytes > 0 || !slices.Contains(model.Adapters, order.Adapter)) {
		target += ":" + order.Adapter
		bytes += e.config.AdapterBytes
	}
	loaded := model.Version == order.Version && (order.Adapter == "" || slices.Contains(model.Adapters, order.Adapter))
	if model.Loading == target {
		return
	}
	// A later order replaces a load in progress, whose result is then ignored.
	model.Loading, model.Error = "", ""
	if loaded {
		return
	}
	model.Loading = target
	processCtx := e.processCtx
	e.backgroundLoads.Go(func() { e.runLoad(processCtx, model, order, target, bytes) })
}

func (e *Engine) runLoad(processCtx context.Context, model *ModelStatus, order Order, target string, bytes int) {
	var err error
	if e.config.FetchWeights != nil {
		err = e.config.FetchWeights(processCtx, order.Model+"@"+target, bytes)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if model.Loading != target {
		return
	}
	model.Loading = ""
	if err != nil {
		model.Error = err.Error()
		return
	}
	if model.Version != order.Version {
		model.Version, model.Adapters = order.Version, nil
	}
	if order.Adapter != "" && !slices.Contains(model.Adapters, order.Adapter) {
		model.Adapters = append(model.Adapters, order.Adapter)
	}
}
