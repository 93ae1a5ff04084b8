package instance

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against instance records that are larger than docs/CAPACITY.md assumes. Every witness lists all records in
// each sweep.
func TestRecordListBytes(t *testing.T) {
	for _, n := range []int{8, 64, 370} {
		var response platform.WireObjects
		for i := range n {
			router := func(i int) string { return fmt.Sprintf("entry-%03d@1796367536807-9c6442c5", i) }
			r := Record{
				Instance: router(i) + ".1", Router: router(i), VM: fmt.Sprintf("entry-%03d", i), Region: "region-1", Zone: "zone-1a", State: Open,
				Witnesses: []journal.Ref{
					{Router: router(i + 1), Address: "10.1.12.34:8081"}, {Router: router(i + 2), Address: "10.1.12.35:8081"},
				},
			}
			value, err := r.encode()
			must.NoError(t, err)
			response.Objects = append(response.Objects, platform.WireObject{Key: Key(r.Instance), Revision: 1 << 30, Value: value})
		}
		data, err := json.Marshal(response)
		must.NoError(t, err)
		t.Logf("%d records: %d bytes, %.0f each", n, len(data), float64(len(data))/float64(n))
		must.Less(t, 700*n, len(data))
	}
}
