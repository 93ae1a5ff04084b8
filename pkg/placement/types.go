// Package placement loads a model on another engine when its last endpoint is about to leave. The holder of the
// placement lease decides and gives the orders; the result reaches all routers as configuration.
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
	// Loading names what is being loaded; empty if nothing is.
	Loading string `json:"loading"`
	// Error tells why the last load failed.
	Error string `json:"error"`
}

// Status is what an engine reports.
type Status struct {
	// Models are in the order of their first load; the engine displaces the first one.
	Models []ModelStatus `json:"models"`
	Role   string        `json:"role"`
	// Fencing is the newest fencing number that the engine has seen.
	Fencing uint64 `json:"fencing"`
	// MaxModels bounds the loaded models; 0 means that it is not known, which counts as no room.
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

func (s Status) loading() bool {
	for _, m := range s.Models {
		if m.Loading != "" {
			return true
		}
	}
	return false
}

// Input is what a plan is made from.
type Input struct {
	VMs []platform.VM
	// Marked reports an operator's leaving mark and its deadline, which is zero if none was given.
	Marked func(vm string) (time.Time, bool)
	// Placements are the stored objects by VM.
	Placements map[string]config.Placement
	// Statuses are the engines' recent statuses by VM.
	Statuses map[string]Status
	// Bad lists engines that failed to load a model or did not answer for some time.
	Bad map[string]bool
	// Fencing is the number of the lease, PreviousHolders the number of previous holders that may still give an order.
	Fencing         uint64
	PreviousHolders int
	// MaxLoads bounds the loads in progress of the whole fleet, because all share the weight store's rate.
	MaxLoads int
}

// Order is "the engine shall have the model in the version". It changes nothing at an engine that has it.
type Order struct {
	VM      string
	Model   string
	Version string
}

// Decision explains a choice for the log.
type Decision struct {
	Model      string
	Candidates []string
	// Chosen is empty if no engine was chosen.
	Chosen string
	Reason string
}

// Reasons of decisions.
const (
	ReasonRoom           = "engine has room"
	ReasonDisplace       = "no engine has room; a model with another endpoint is displaced"
	ReasonLimit          = "the limit of loads in progress is reached"
	ReasonNone           = "no engine can take the model"
	ReasonUnknown        = "no engine with room is known, and not all engines were asked"
	ReasonPreviousHolder = "a former lease holder is not known to be gone"
)

// Plan is what the lease holder does next.
type Plan struct {
	// Writes are the placements that must change; one without content is deleted.
	Writes []config.Placement
	// Introduce lists engines that must learn the fencing number before their status can be relied on.
	Introduce []string
	Orders    []Order
	Decisions []Decision
}
