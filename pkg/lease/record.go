package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalidRecord means that the value of the lease object is not a lease record.
var ErrInvalidRecord = errors.New("lease: object is not a lease record")

// record is the value of the lease object.
type record struct {
	// Holder is the instance that took the lease last.
	Holder string `json:"holder"`
	// Sequence increases with each acquisition and renewal.
	Sequence uint64 `json:"sequence"`
	// Fencing is the object's revision at the acquisition. It is 0 until the first renewal, because the revision is
	// known only after the write that acquires the lease.
	Fencing uint64 `json:"fencing,omitempty"`
	// Released reports that the holder gave up the lease. PreviousHolders lists it if an order of it may still be in
	// flight.
	Released bool `json:"released,omitempty"`
	// PreviousHolders lists earlier holders that may still send orders.
	PreviousHolders []string `json:"former,omitempty"`
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	return r, nil
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode record: " + err.Error())
	}
	return value
}

// removeIf returns a copy of holders without those for which remove returns true.
func removeIf(holders []string, remove func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(holders), remove)
}
