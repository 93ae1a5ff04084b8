package engine

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Kinds of orders.
const (
	// OrderLoad loads Model in Version and, if it is named, Adapter.
	OrderLoad = "load"
	// OrderRole changes the role to Role.
	OrderRole = "role"
)

// Values at the start of an engine.
const (
	InitialVersion = "1"
	InitialRole    = "serve"
)

// Order is the body of PathOrders. Orders name the wanted state; one that is given again changes nothing.
type Order struct {
	Kind  string `json:"kind"`
	Model string `json:"model,omitempty"`
	// Version is the wanted version; empty means the loaded one, or InitialVersion.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// ModelStatus is the state of one model.
type ModelStatus struct {
	Model string `json:"model"`
	// Version is the version in use; empty during the first load.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Loading names what is being loaded, <version> or <version>:<adapter>.
	Loading string `json:"loading,omitempty"`
	// Error tells why the last load failed.
	Error string `json:"error,omitempty"`
}

// Status answers PathStatus and PathOrders.
type Status struct {
	Models []ModelStatus `json:"models"`
	Role   string        `json:"role"`
	// Fencing is the newest fencing number seen.
	Fencing uint64 `json:"fencing"`
	// MaxModels bounds the loaded models; a load beyond it displaces the first of Models.
	MaxModels int `json:"max_models"`
}

// orderState holds what orders have set. Models are sorted by the time of their first load.
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

func (o *orderState) find(model string) *ModelStatus {
	for _, status := range o.models {
		if status.Model == model {
			return status
		}
	}
	return nil
}

// serves reports whether requests may name the model, or <model>:<adapter>.
func (o *orderState) serves(name string) bool {
	if status := o.find(name); status != nil {
		return status.Version != ""
	}
	model, adapter, ok := strings.Cut(name, ":")
	if !ok {
		return false
	}
	status := o.find(model)
	return status != nil && slices.Contains(status.Adapters, adapter)
}

// checkFencing refuses an old number if the engine enforces fencing, and keeps the newest number. Number 0 is none.
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
		shown := *model
		shown.Adapters = slices.Clone(model.Adapters)
		status.Models = append(status.Models, shown)
	}
	return status
}

// Status returns what orders have set.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.status(e.config.MaxModels)
}

// Order accepts or refuses an order. A load goes on in the background; Status shows when it is done.
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
		e.beginLoad(order)
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

// beginLoad starts to load what the order names, unless it is loaded or loading. The caller holds mu.
func (e *Engine) beginLoad(order Order) {
	model := e.orders.find(order.Model)
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
	// A later order replaces a load in progress, whose end then changes nothing.
	model.Loading, model.Error = "", ""
	if loaded {
		return
	}
	model.Loading = target
	life := e.life
	e.loading.Go(func() { e.load(life, model, order, target, bytes) })
}

func (e *Engine) load(life context.Context, model *ModelStatus, order Order, target string, bytes int) {
	var err error
	if e.config.FetchWeights != nil {
		err = e.config.FetchWeights(life, order.Model+"@"+target, bytes)
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
