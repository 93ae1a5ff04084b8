package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a fleet in which every router reads the store itself at its start (3,000 calls at 295 routers), and
// against a router that waits for ever for one that it can follow.
func TestStartOfFleet(t *testing.T) {
	const takes = 3500 * time.Millisecond
	for _, c := range []struct {
		name    string
		state   fleetStart
		elapsed time.Duration
		want    bool
	}{
		{"first start, records may be missing", fleetStart{takes: takes, first: true, known: true}, time.Second, false},
		{"first start, a leader", fleetStart{takes: takes, first: true, known: true}, takes, true},
		{"first start, no leader is ready yet", fleetStart{takes: takes, first: true, known: true, awaitsLeader: true}, takes + time.Second, false},
		{"first start, no leader ever gets ready", fleetStart{takes: takes, first: true, known: true, awaitsLeader: true}, takes + 2*leaderWaitAtStart, true},
		{"a leader has become ready", fleetStart{takes: takes, known: true}, takes + time.Second, true},
		{"restart beside a fleet that serves", fleetStart{takes: takes, known: true}, 50 * time.Millisecond, true},
		{"restart of all", fleetStart{takes: takes, known: true, awaitsLeader: true}, time.Second, false},
		{"the records can't be read", fleetStart{takes: takes}, leaderWaitAtStart, true},
		{"tests and other platforms don't wait", fleetStart{first: true, known: true}, 0, true},
	} {
		must.EqOp(t, c.want, c.state.mayReadStore(c.elapsed), must.Sprint(c.name))
	}
}
