package origin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// Kind is the kind of the services' objects in the store, the first part of their keys, and streamKind that of the routers' ones.
	Kind       = "softwareversions"
	streamKind = "streams"
	// maxClockSkew is the largest difference between the times of day of two routers.
	maxClockSkew = 10 * time.Second
)

// record is a service's object in the store. It tells a router that has just started what it has not seen itself.
type record struct {
	// Only is the version that all endpoints have. It applies if Mixed is not set.
	Only  string `json:"only"`
	Mixed bool   `json:"mixed,omitempty"`
	// SinceMS is the time from which this is so, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Era is the store's era at the time of the write. In a later one the record may be from an older copy.
	Era uint64 `json:"era,omitempty"`
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("origin: decode record: %w", err)
	}
	return r, nil
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("origin: encode record: %v", err))
	}
	return value
}

// confirms reports whether the record, read at the revision, says that all endpoints have had the version since then.
func (r record) confirms(software string, revision uint64) bool {
	return !r.Mixed && r.Only == software && r.Era == platform.Era(revision)
}

// age returns for how long the record has been true at least, whatever the difference between the clocks of its writer and of this
// router is.
func (r record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.SinceMS)) - maxClockSkew
}
