// Package config holds the configuration that operators declare while the system runs.
package config

import "time"

// TargetKind is the kind of target that a class promises to its callers.
type TargetKind string

// Kinds of targets.
const (
	// TargetWhole promises the whole answer, however long it takes.
	TargetWhole TargetKind = "whole"
	// TargetDeadline promises the whole reply within the class's deadline.
	TargetDeadline TargetKind = "deadline"
)

// Class is a class of requests with its target. It is stored at config/class/<name>.
type Class struct {
	Name   string     `json:"name"`
	Target TargetKind `json:"target"`
	// DeadlineMS is the time in ms from the arrival of a request to the last byte of its reply.
	// It is set if Target is TargetDeadline.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// MaxOutputTokens is the largest output limit of a request, and the limit of a request that names none.
	MaxOutputTokens int `json:"max_output_tokens"`
	// NonIdempotent marks calls to plain services that must not be repeated; a claim is stored before dispatch.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// Deadline returns the class's deadline, or 0 if it has none.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// Organisation is a customer. It is stored at config/organisation/<id>.
type Organisation struct {
	ID           string `json:"id"`
	DefaultClass string `json:"default_class"`
	// MaxInFlight limits the organisation's requests in progress at one router; 0 means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Key is a bearer key of a caller or an operator. It is stored at config/key/<SHA-256 in hex>.
type Key struct {
	SHA256       string `json:"sha256"`
	Organisation string `json:"organisation,omitempty"`
	// Budget is the default budget of the key's requests, without the organisation.
	Budget   string `json:"budget,omitempty"`
	Operator bool   `json:"operator,omitempty"`
}

// VMMark is an operator's declaration whether a VM is leaving. It is stored at config/vm/<name>.
type VMMark struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
	// Deadline is the time by which the VM must have no work left; nil if the operator gave none.
	Deadline *time.Time `json:"deadline,omitempty"`
}

// Placement lists how the models that an engine serves differ from those of the VM list. It is stored at
// config/placement/<vm> and written by the holder of the placement lease.
type Placement struct {
	VM string `json:"vm"`
	// Models lists models that the engine serves in addition to those of the VM list.
	Models []PlacedModel `json:"models,omitempty"`
	// Displaced lists models of the VM list that the engine does not serve.
	Displaced []string `json:"displaced,omitempty"`
}

// PlacedModel is a model for which an engine was chosen.
type PlacedModel struct {
	Model string `json:"model"`
	// Version is empty if any version is allowed.
	Version string `json:"version,omitempty"`
	// Ready reports that the engine's status showed the model as loaded. Until then it gets no requests.
	Ready bool `json:"ready,omitempty"`
}

// View is a read-only view of the configuration in force. Implementations return immutable values and are
// safe for concurrent use.
type View interface {
	// Loaded reports whether a complete configuration was received from the platform or a peer.
	Loaded() bool
	Class(name string) (Class, bool)
	Organisation(id string) (Organisation, bool)
	// Key returns the key whose text has the given SHA-256, in hex.
	Key(sha256Hex string) (Key, bool)
	// Leaving reports whether an operator marked the VM as leaving.
	Leaving(vm string) bool
}
