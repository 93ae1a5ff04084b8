package allowance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against forgetting draws when the states of two copies of a store are joined, and against counting them twice.
func TestDrawsMerge(t *testing.T) {
	restored := Draws{0: {Writes: 4, Drawn: 400}, 1: {Writes: 1, Drawn: 50}}
	known := Draws{0: {Writes: 6, Drawn: 550}}
	must.True(t, restored.lacks(known))
	merged := restored.merged(known)
	must.Eq(t, Draws{0: {Writes: 6, Drawn: 550}, 1: {Writes: 1, Drawn: 50}}, merged)
	must.EqOp(t, 600, merged.total())
	must.Eq(t, merged, known.merged(restored))
	must.Eq(t, merged, merged.merged(known))
	must.False(t, merged.lacks(known) || merged.lacks(restored))
	returned := merged.merged(Draws{0: {Writes: 7, Drawn: 300}})
	must.EqOp(t, 350, returned.total())
}

// Guards against losing the draws of a record that an earlier version of the router wrote.
func TestRecordWithoutErasIsRead(t *testing.T) {
	r, err := decodeRecord([]byte(`{"drawn":700,"marks":{"vm1":"a/1"}}`))
	must.NoError(t, err)
	must.EqOp(t, 700, r.Eras.total())
	must.True(t, r.undivided)
	next := r.after(write{vm: "vm1", id: "b/1", era: 3, amount: 50, at: time.Now()})
	must.EqOp(t, 750, next.Drawn)
	again, err := decodeRecord(next.encode())
	must.NoError(t, err)
	must.Eq(t, Draws{0: {Drawn: 700}, 3: {Writes: 1, Drawn: 50}}, again.Eras)
	must.EqOp(t, "b/1", again.LastWrites["vm1"])
}

// Guards against drawing again, after a power failure of all routers around a restore, what was spent in the time that the
// older copy doesn't cover; and against writing off an idle budget.
func TestEstimateOfForgottenDraws(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_000)
	r := record{}.after(write{vm: "vm1", id: "a/1", era: 1, amount: 10_000, at: at, demand: 1000, held: 4000})
	must.EqOp(t, 10_000+int64(unseenMargin*8000)-4000, r.withEstimate(at.Add(8*time.Second), 1_000_000).Drawn)
	must.EqOp(t, 10_500, r.withEstimate(at.Add(8*time.Second), 500).Drawn)
	must.EqOp(t, 10_000, r.withEstimate(at.Add(2*time.Second), 1_000_000).Drawn)
	must.EqOp(t, 10_000, r.withEstimate(at.Add(time.Hour), 1_000_000).Drawn)
	must.EqOp(t, 10_000, r.withEstimate(at.Add(-time.Second), 1_000_000).Drawn)
	// A router that remembers the truth replaces the estimate.
	truth := Draws{1: {Writes: 2, Drawn: 11_000}}
	must.EqOp(t, 11_000, r.withEstimate(at.Add(8*time.Second), 1_000_000).with(truth).Drawn)
}
