package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against more retries in any window than this router's share of the fleet's budget, whatever the order of
// requests and retries.
func TestAnyWindowIsWithinBudget(t *testing.T) {
	limits := Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		routers := rapid.IntRange(1, 12).Draw(t, "routers")
		b := New(limits, start, true)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordRequest("desk", now)
				requests = append(requests, now)
			} else if b.Allow("desk", now, routers) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			used := count(retries, end.Add(-limits.Window), end)
			// The requests that count are those of this window or of the window that began half a window earlier.
			counted := max(count(requests, end.Add(-limits.Window), end), count(requests, end.Add(-limits.Window*3/2), end.Add(-limits.Window/2)))
			allowed := limits.Ratio*float64(counted) + limits.Extra/float64(routers)
			if float64(used) > allowed {
				t.Fatalf("%d retries in the window before %s with %d requests, want at most %.1f", used, end.Sub(start), counted, allowed)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

// Guards against using the fixed part of the budget (Extra) twice when a router is killed and starts again.
func TestRestartDoesNotRenewExtra(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 56}, now, false)
	must.False(t, b.Allow("desk", now.Add(time.Second), 8))
	must.True(t, b.Allow("desk", now.Add(11*time.Second), 8))
}
