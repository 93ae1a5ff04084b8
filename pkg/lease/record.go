package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalidRecord means that the lease object holds something else than a lease.
var ErrInvalidRecord = errors.New("lease: the object does not hold a lease")

// record is the value of the lease object.
type record struct {
	// Holder is the instance that took the lease last.
	Holder string `json:"holder"`
	// Sequence increases with each acquisition and renewal.
	Sequence uint64 `json:"sequence"`
	// Fencing is the object's revision at the acquisition. It is 0 until the first renewal, because a writer learns
	// the revision only after the write.
	Fencing uint64 `json:"fencing,omitempty"`
	// Released reports that the holder gave the lease up with no order on its way.
	Released bool `json:"released,omitempty"`
	// PreviousHolders lists earlier holders that may still give orders.
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
		panic("lease: a record can't be encoded: " + err.Error())
	}
	return value
}

// without returns the previous holders for which drop is false.
func without(former []string, drop func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(former), drop)
}
