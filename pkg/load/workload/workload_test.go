package workload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
)

// items returns all items of one mix, which has a mean rate of 50 requests per second for 20 seconds.
func items(seed uint64, runID string) []workload.Item {
	s := &scenario.Scenario{Seed: seed, Duration: 20 * time.Second, Rate: 2, Model: "demo", BytesPerToken: 4, Mixes: []scenario.Mix{{
		Name: "m", Organisation: "o", Class: "c", Rate: 25, Burst: 5, Callers: 3, HangUp: 0.5, Prefixes: 2, PrefixTokens: 64,
		PromptTokens: scenario.Range{Min: 5, Max: 50}, OutputTokens: scenario.Range{Min: 1, Max: 40},
	}}}
	var all []workload.Item
	for source := workload.NewSource(s, 0, runID); ; {
		item, ok := source.Next()
		if !ok {
			return all
		}
		all = append(all, item)
	}
}

// Guards against runs that can't be compared because the same seed gives other requests or other times.
func TestSameSeedSameItems(t *testing.T) {
	a, b := items(7, "run"), items(7, "run")
	must.Eq(t, len(a), len(b))
	for i := range a {
		must.Eq(t, string(a[i].Body), string(b[i].Body))
		must.Eq(t, a[i].At, b[i].At)
	}
	must.NotEq(t, string(a[0].Body), string(items(8, "run")[0].Body))
}

// Guards against wrong bounds of what a router may bill, arrivals that miss the mean rate of the mix and repeated
// idempotency keys.
func TestItemsMatchMix(t *testing.T) {
	all := items(7, "run")
	must.Between(t, 700, len(all), 1300)
	keys := map[string]bool{}
	for _, item := range all {
		keys[item.Key] = true
		must.Eq(t, engine.AnswerTo(*item.Chat).Text(0), item.Expected)
		must.LessEq(t, item.MaxCharge, item.WholeCharge)
		must.LessEq(t, item.UpperBound, item.MaxCharge)
		must.Less(t, item.Tokens, item.HangUpAfter)
	}
	must.Eq(t, len(all), len(keys))
}
