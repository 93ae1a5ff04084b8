package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

// zonedFleet returns the rosters of 90 routers in so many availability zones, each of which knows all others.
func zonedFleet(zones int) []*Roster {
	var records []Record
	for i := range 90 {
		record := newRecord(fmt.Sprintf("z%d", i%zones), fmt.Sprintf("r%d", i), Ready)
		record.name = record.Address
		records = append(records, record)
	}
	var fleet []*Roster
	for _, self := range records {
		r := New(nil, self.name, self, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
		found := map[string]member{}
		for _, other := range records {
			if other.name != self.name {
				found[other.name] = member{record: other, revision: 1}
			}
		}
		r.view.applyList(time.Now(), r.self, found)
		fleet = append(fleet, r)
	}
	return fleet
}

// Guards against calls to the store that grow with the number of availability zones, and against a fleet in which the loss of a few
// routers leaves no leader.
func TestLeadersOfAllZones(t *testing.T) {
	for _, c := range []struct{ zones, leaders int }{{1, 3}, {2, 6}, {3, 6}, {9, 9}} {
		leaders := 0
		for _, r := range zonedFleet(c.zones) {
			if followed := r.Leaders(16, 3); followed == nil {
				leaders++
			} else {
				must.GreaterEq(t, min(3, c.leaders), len(followed), must.Sprint("zones ", c.zones))
			}
		}
		must.EqOp(t, c.leaders, leaders, must.Sprint("zones ", c.zones))
	}
}

// Guards against a leader that the store rejects and that tries to follow routers which don't watch the store themselves.
func TestSubstitutesAreLeaders(t *testing.T) {
	for _, zones := range []int{1, 2, 3, 9} {
		fleet := zonedFleet(zones)
		watching := map[string]bool{}
		for _, r := range fleet {
			if r.Leaders(16, 3) == nil {
				watching[r.self.Peer] = true
			}
		}
		for _, r := range fleet {
			if !watching[r.self.Peer] {
				continue
			}
			substitutes := r.Substitutes(16, 3)
			must.Len(t, len(watching)-1, substitutes, must.Sprint("zones ", zones))
			for _, peer := range substitutes {
				must.True(t, watching[peer] && peer != r.self.Peer, must.Sprint("zones ", zones, ", ", peer))
			}
		}
	}
}
