package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// Guards against calls to the store that grow with the number of availability zones, and against a fleet in which the loss of a few
// routers leaves no leader.
func TestLeadersOfAllZones(t *testing.T) {
	for _, c := range []struct{ zones, leaders int }{{1, 3}, {2, 6}, {3, 6}, {9, 9}} {
		var records []Record
		for i := range 90 {
			record := newRecord(fmt.Sprintf("z%d", i%c.zones), fmt.Sprintf("r%d", i), Ready)
			record.name = record.Address
			records = append(records, record)
		}
		leaders := 0
		for _, self := range records {
			r := New(nil, self.name, self, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
			found := map[string]member{}
			for _, other := range records {
				if other.name != self.name {
					found[other.name] = member{record: other, revision: 1}
				}
			}
			r.view.applyList(time.Now(), r.self, found)
			if followed := r.Leaders(16, 3); followed == nil {
				leaders++
			} else {
				must.GreaterEq(t, min(3, c.leaders), len(followed), must.Sprint("zones ", c.zones))
			}
		}
		must.EqOp(t, c.leaders, leaders, must.Sprint("zones ", c.zones))
	}
}
