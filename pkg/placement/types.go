// Package placement loads a model on another engine when its last endpoint is about to leave. The holder of the
// placement lease chooses the engine and sends it the order. The choice is stored as configuration, which all routers
// receive.
package placement

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// ModelStatus is the state of one model at an engine.
type ModelStatus struct {
	Model string `json:"model"`
	// Version is the version in use; empty during the first load.
	Version string `json:"version"`
	// Loading is the version being loaded; empty if no load is in progress.
	Loading string `json:"loading"`
	// Error is the reason why the last load failed.
	Error string `json:"error"`
}

// Status is an engine's report of its models and load.
type Status struct {
	// Models are in the order of their first load. To make room, the engine unloads the first one.
	Models []ModelStatus `json:"models"`
	Role   string        `json:"role"`
	// Fencing is the highest fencing number that the engine has received.
	Fencing uint64 `json:"fencing"`
	// MaxModels is the maximum number of loaded models. 0 means unknown, which counts as no room.
	MaxModels int `json:"max_models"`
	// Load is the number of running and queued requests.
	Load int `json:"-"`
}

func (s Status) find(model string) (ModelStatus, bool) {
	for _, m := range s.Models {
		if m.Model == model {
			return m, true
		}
	}
	return ModelStatus{}, false
}

// serves reports whether the model is loaded in the version; an empty version stands for any.
func (s Status) serves(model, version string) bool {
	m, ok := s.find(model)
	return ok && m.Version != "" && (version == "" || m.Version == version)
}

func (s Status) isLoading() bool {
	for _, m := range s.Models {
		if m.Loading != "" {
			return true
		}
	}
	return false
}

// Input holds the data from which Decide makes a plan.
type Input struct {
	VMs []platform.VM
	// LeavingMark reports whether an operator marked the VM as leaving, and the mark's deadline, which is zero if the
	// operator set none.
	LeavingMark func(vm string) (time.Time, bool)
	// Placements are the stored objects by VM.
	Placements map[string]config.Placement
	// Statuses are the engines' recent statuses by VM.
	Statuses map[string]Status
	// Unhealthy is the set of engines that recently failed to load a model or have not responded for unhealthyAfter.
	Unhealthy map[string]bool
	// Fencing is the lease's fencing number. PreviousHolders is the number of previous holders that may still send an
	// order.
	Fencing         uint64
	PreviousHolders int
	// MaxLoads is the maximum number of concurrent loads in the fleet, because all share the weight store's bandwidth.
	MaxLoads int
}

// Order makes an engine load a version of a model. It is idempotent: an engine that has this version changes nothing.
type Order struct {
	VM      string
	Model   string
	Version string
}

// Decision describes the choice of an engine for a model, for the log.
type Decision struct {
	Model      string
	Candidates []string
	// Chosen is empty if no engine was chosen.
	Chosen string
	Reason string
}

// Values of Decision.Reason.
const (
	ReasonRoom            = "engine has room"
	ReasonDisplace        = "no engine has room; a model with another endpoint is displaced"
	ReasonLoadLimit       = "the limit of loads in progress is reached"
	ReasonNoCandidate     = "no engine can take the model"
	ReasonStatusesMissing = "no engine with room is known, and not all engines were asked"
	ReasonPreviousHolder  = "a former lease holder is not known to be gone"
)

// Plan holds the writes and orders that the lease holder executes in one round.
type Plan struct {
	// Writes are the placements that must change. A placement without models and displaced models is deleted.
	Writes []config.Placement
	// FencingUpdates lists engines that must receive the fencing number before their status can be relied on.
	FencingUpdates []string
	Orders         []Order
	Decisions      []Decision
}
