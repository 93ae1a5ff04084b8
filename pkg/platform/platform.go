// Package platform defines the interface, errors and wire types of the platform's object API and VM list.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest object value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors returned by a Store. Callers test them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the object's revision differs from the expected one. Nothing was written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable means that the platform was not reached or refused the call before running it. Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled means that the call exceeded the platform's rate limit. Nothing was written.
	ErrThrottled = errors.New("platform: rate limit exceeded")
	// ErrUncertain means that the response to a write was lost. The write may have taken effect.
	ErrUncertain = errors.New("platform: outcome of the write is uncertain")
	// ErrGap means that the watch can't continue from the given revision and the caller must list again.
	ErrGap = errors.New("platform: watch history does not reach back that far")
	// ErrTooLarge means that a value exceeds MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("platform: value is too large")
)

// Object is one version of a stored object. Revisions are unique and increase across the whole store.
type Object struct {
	Key      string
	Revision uint64
	Value    []byte
	// Deleted marks a tombstone in a watch; Value is then empty.
	Deleted bool
}

// Store is the platform's object API and VM list. Each call counts against the platform's rate limits.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's revision is ifRevision; 0 means that the object must not exist.
	// It returns the new object, or ErrConflict, ErrUncertain or another error of this package. With ErrConflict the
	// object is the stored one if the platform returns it, and the zero value otherwise.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (Object, error)
	// Delete removes the object if its revision is ifRevision. The errors are those of Put.
	Delete(ctx context.Context, key string, ifRevision uint64) error
	// List returns all objects whose key begins with prefix, sorted by key, and the store's revision.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Poll returns the changes below prefix after the given revision, in order, and the revision up to which
	// the result is complete. If there is none, it waits up to wait for the first change; after that it returns an
	// empty slice.
	// It returns ErrGap if the history no longer contains all changes since that revision.
	Poll(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// VMs returns the platform's list of VMs, which lags behind the actual state.
	VMs(ctx context.Context) ([]VM, error)
}

// Role is the kind of program that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// Fencing states whether an endpoint rejects orders with an outdated fencing number.
type Fencing string

// Fencing behaviours.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name   string  `json:"name"`
	Region string  `json:"region"`
	Zone   string  `json:"zone"`
	Role   Role    `json:"role"`
	State  VMState `json:"state"`
	// Address is the IP address and port of the endpoint, or of the caller API of an entry VM.
	Address string `json:"address"`
	// PeerAddress is the IP address and port of the peer API of an entry VM.
	PeerAddress string `json:"peer_address,omitempty"`
	// Models lists the models of an engine.
	Models []string `json:"models,omitempty"`
	// BytesPerToken is the minimum number of prompt bytes in one token of the engine's tokenizer; 0 means 1.
	BytesPerToken int `json:"bytes_per_token,omitempty"`
	// Service names the plain service of a service endpoint.
	Service string  `json:"service,omitempty"`
	Fencing Fencing `json:"fencing,omitempty"`
	// Software is the version of the endpoint's software, empty if the platform doesn't report it. Streams of two versions of a
	// service don't fit together.
	Software string `json:"software,omitempty"`
	// MaxInFlight is the number of requests that the endpoint accepts concurrently; 0 means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Started is the start time as a Unix time in ms, 0 if the platform doesn't report it. It distinguishes
	// successive starts of a VM under the same name.
	Started int64 `json:"started,omitempty"`
	// ColdRemaining is how long the endpoint still was cold when its entry was written: it bears fewer requests than usual. Sequence
	// is the number of that writing, which an older copy of the entry has lower.
	ColdRemaining time.Duration `json:"cold_remaining,omitempty"`
	Sequence      int64         `json:"sequence,omitempty"`
	// ColdUntil is the end of that time by this router's monotonic clock, zero if the endpoint isn't cold.
	ColdUntil time.Time `json:"-"`
	// Deadline is the planned shutdown time of a leaving VM, if it is known.
	Deadline *time.Time `json:"deadline,omitempty"`
}
