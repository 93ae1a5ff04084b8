package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func addresses(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("10.0.0.%d:80", i+1)
	}
	slices.Sort(list)
	return list
}

func failed(address string, startedMS, endedMS int) Attempt {
	return Attempt{Address: address, Started: at(startedMS), Ended: at(endedMS)}
}

// Guards against a VM that takes the loss of its own links for failures of all endpoints.
func TestCutOffWhenNoEndpointCanBeReached(t *testing.T) {
	for _, n := range []int{1, 3, 12, 4500} {
		p, listed := &Path{}, addresses(n)
		needed := min(n, maxWitnesses)
		for i := range needed {
			must.False(t, p.IsCut())
			must.EqOp(t, i == needed-1, p.Record(failed(listed[i], i, i+300), listed))
		}
		must.True(t, p.IsCut(), must.Sprintf("%d endpoints", n))
	}
}

// Guards against a VM that takes a few endpoints that are down, or one that is tried again and again, for the loss of its links.
func TestNotCutOffByEndpointsThatAreDown(t *testing.T) {
	for _, down := range []int{4, 11} {
		p, listed := &Path{}, addresses(12)
		for i := range 100 {
			must.False(t, p.Record(failed(listed[i%down], i, i+300), listed))
		}
		must.False(t, p.IsCut())
		must.True(t, p.IsInDoubt())
		for _, target := range p.Targets(listed, rand.New(rand.NewPCG(1, 1))) {
			must.SliceNotContains(t, listed[:down], target, must.Sprint("a check asks endpoints that have not failed"))
		}
	}
}

// Guards against a cut that goes on although an endpoint was reached, and against attempts from before that which fail later.
func TestOneConnectionEndsTheCut(t *testing.T) {
	p, listed := &Path{}, addresses(3)
	for i, a := range listed {
		p.Record(failed(a, i, i+300), listed)
	}
	must.True(t, p.IsCut())
	must.True(t, p.Record(Attempt{Address: listed[1], Started: at(400), Ended: at(402), Connected: true}, listed))
	must.False(t, p.IsCut())
	must.True(t, p.LostSince().IsZero(), must.Sprint("there was no connection before"))
	for i := range 3 {
		p.Record(failed(listed[i], 390, 690), listed)
	}
	must.False(t, p.IsInDoubt(), must.Sprint("these attempts had begun before the connection"))
	for i, a := range listed {
		p.Record(failed(a, 500+i, 800), listed)
	}
	must.Eq(t, at(402), p.LostSince())
}

// Guards against a state that any order of attempts could bring out of step with what they showed: the VM is cut off only if so
// many listed endpoints failed since the last connection, and checks always name endpoints that can settle the doubt.
func TestPathFollowsItsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := addresses(rapid.IntRange(1, 60).Draw(t, "endpoints"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := &Path{}
		since := map[string]bool{}
		for now := range rapid.IntRange(1, 150).Draw(t, "attempts") {
			address := rapid.SampledFrom(listed).Draw(t, "address")
			connected := rapid.IntRange(0, 9).Draw(t, "result") == 0
			p.Record(Attempt{Address: address, Started: at(now), Ended: at(now), Connected: connected}, listed)
			if connected {
				clear(since)
			} else {
				since[address] = true
			}
			must.EqOp(t, len(since) >= min(maxWitnesses, len(listed)), p.IsCut())
			targets := p.Targets(listed, rng)
			if !p.IsCut() && p.IsInDoubt() {
				must.SliceNotEmpty(t, targets)
				for _, target := range targets {
					must.False(t, since[target])
				}
			}
		}
	})
}
