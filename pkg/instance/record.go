// Package instance keeps the durable records of the instances that hold grants, one per registration of a router's
// token pool. It chooses their witnesses and closes instances that failed.
package instance

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// Prefix is the prefix of the keys of instance records.
const Prefix = "instance/"

// Key returns the key of an instance's record.
func Key(instance string) string { return Prefix + instance }

// State is the state of an instance.
type State string

// States of an instance. The record of a closed instance is deleted.
const (
	Open State = "open"
	// Closing means that the instance can't change its witnesses any more, because it is being closed.
	Closing State = "closing"
)

// ErrClosed means that the instance is being closed or was closed.
var ErrClosed = errors.New("instance: closed")

// Record is the durable record of an instance that holds grants.
type Record struct {
	// Instance is the holder of the grants: the router instance, a dot and a number that increases with each
	// registration of the router.
	Instance string `json:"instance"`
	// Router is the router instance, unique for each start of a process.
	Router    string        `json:"router"`
	VM        string        `json:"vm"`
	Region    string        `json:"region"`
	Zone      string        `json:"zone"`
	State     State         `json:"state"`
	Witnesses []journal.Ref `json:"witnesses,omitempty"`
	// Closer is the router that set the state to closing.
	Closer string `json:"closer,omitempty"`
	// HeldReason is the reason, for operators, why the instance can't be closed now; its tokens stay held.
	HeldReason string `json:"held,omitempty"`
	// BillsSettled is set once the bills of the remaining witnesses are settled while the other witnesses have ended for
	// good.
	BillsSettled bool `json:"settled,omitempty"`
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("instance %s: encode record: %w", r.Instance, err)
	}
	return value, nil
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("instance: decode record: %w", err)
	}
	return r, nil
}

// equalWitnesses reports whether both lists name the same witnesses in the same order.
func equalWitnesses(a, b []journal.Ref) bool { return slices.Equal(a, b) }
