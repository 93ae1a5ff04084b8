package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

func TestMain(m *testing.M) {
	if !strings.Contains(strings.Join(os.Args, " "), "rapid.seed") {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// fakeLedger is a shard in memory. fault returns what happens to the next call.
type fakeLedger struct {
	mu    sync.Mutex
	shard *ledger.Shard
	fault func() fault
	// late holds operations that were delayed in the network.
	late []budget.Op
}

type fault int

const (
	faultNone fault = iota
	// faultBefore fails a call that has no effect, faultAfter one that took effect.
	faultBefore
	faultAfter
	// faultLate fails a call whose operation arrives later.
	faultLate
)

func (f *fakeLedger) Apply(ctx context.Context, _ string, ops []budget.Op) ([]budget.Result, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := faultNone
	if f.fault != nil {
		kind = f.fault()
	}
	if kind == faultLate {
		f.late = append(f.late, ops...)
	}
	if kind == faultBefore || kind == faultLate {
		return nil, platform.ErrUnavailable
	}
	var results []budget.Result
	for _, op := range ops {
		results = append(results, f.shard.Apply(time.Now(), op))
	}
	if kind == faultAfter {
		return nil, platform.ErrUnavailable
	}
	return results, nil
}

func (f *fakeLedger) Read(context.Context, string) ([]budget.Status, error) { return nil, nil }

// deliver applies the delayed operations.
func (f *fakeLedger) deliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range f.late {
		f.shard.Apply(time.Now(), op)
	}
	f.late = nil
}

// fleet is a set of keepers that can ask each other, except those that are frozen.
type fleet struct {
	ledger  *fakeLedger
	keepers map[string]*Manager
	mu      sync.Mutex
	frozen  map[string]bool
}

var errFrozen = errors.New("no answer")

func newFleet(names ...string) *fleet {
	f := &fleet{ledger: &fakeLedger{shard: ledger.New()}, keepers: map[string]*Manager{}, frozen: map[string]bool{}}
	for _, n := range names {
		f.keepers[n] = New(n, f.ledger, f)
	}
	return f
}

func (f *fleet) close() {
	for _, k := range f.keepers {
		k.Close()
	}
}

func (f *fleet) Query(ctx context.Context, owner, organisation, key, claimID string) (State, *budget.StoredResult, error) {
	f.mu.Lock()
	frozen := f.frozen[owner]
	f.mu.Unlock()
	if frozen {
		return Unknown, nil, errFrozen
	}
	return f.keepers[owner].Answer(ctx, organisation, key, claimID)
}

func call(key string) budget.CallRequest {
	return budget.CallRequest{Organisation: "velocar", IdempotencyKey: key, BodyHash: 7}
}

func refused(t *testing.T, err error, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	var f *outcome.Failure
	must.True(t, errors.As(err, &f), must.Sprintf("%v", err))
	must.Eq(t, o, f.Outcome)
	must.Eq(t, r, f.Reason)
}

// Guards I5 and the stored answer: a second attempt, at this or another router, gets the result of the first.
func TestSecondAttemptGetsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.keepers["a"].Claim(t.Context(), call("k"))
		must.NoError(t, err)
		must.Nil(t, c.Stored)
		_, err = f.keepers["b"].Claim(t.Context(), call("k"))
		refused(t, err, outcome.Unknown, outcome.ReasonInProgress)
		_, err = f.keepers["b"].Claim(t.Context(), budget.CallRequest{Organisation: "velocar", IdempotencyKey: "k"})
		refused(t, err, outcome.NotRun, outcome.ReasonKeyReused)
		want := budget.StoredResult{Status: 200, Body: []byte("booked")}
		must.NoError(t, f.keepers["a"].Finish(t.Context(), c, want))
		for _, k := range f.keepers {
			c, err := k.Claim(t.Context(), call("k"))
			must.NoError(t, err)
			must.Eq(t, &want, c.Stored)
		}
		large, err := f.keepers["a"].Claim(t.Context(), call("large"))
		must.NoError(t, err)
		must.NoError(t, f.keepers["a"].Finish(t.Context(), large, budget.StoredResult{Status: 200, Body: make([]byte, maxBody+1)}))
		large, err = f.keepers["b"].Claim(t.Context(), call("large"))
		must.NoError(t, err)
		must.Eq(t, &budget.StoredResult{Status: 200, Truncated: true}, large.Stored)
	})
}

// Guards against a result that is lost because the ledger could not store it: the owner answers for it meanwhile.
func TestOwnerAnswersUntilResultIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.keepers["a"].Claim(t.Context(), call("k"))
		must.NoError(t, err)
		down := true
		f.ledger.fault = func() fault {
			if down {
				return faultBefore
			}
			return faultNone
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		want := &budget.StoredResult{Status: 200}
		must.Error(t, f.keepers["a"].Finish(ctx, c, *want))
		state, result, err := f.keepers["a"].Answer(t.Context(), "velocar", "k", c.ID)
		must.NoError(t, err)
		must.Eq(t, Finished, state)
		must.Eq(t, want, result)
		f.ledger.mu.Lock()
		down = false
		f.ledger.mu.Unlock()
		time.Sleep(time.Minute)
		f.frozen["a"] = true
		c, err = f.keepers["b"].Claim(t.Context(), call("k"))
		must.NoError(t, err)
		must.Eq(t, want, c.Stored)
	})
}

// Guards I4 and I5 after a lost response: the owner reports not run, releases the claim, and another router takes
// the call over, also if the claim arrives at the ledger only after its release.
func TestTakeOverAfterLostResponse(t *testing.T) {
	for _, lost := range []fault{faultAfter, faultLate} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a", "b")
			defer f.close()
			f.ledger.fault = func() fault { return lost }
			_, err := f.keepers["a"].Claim(t.Context(), call("k"))
			refused(t, err, outcome.NotRun, outcome.ReasonClaimUnavailable)
			f.ledger.mu.Lock()
			f.ledger.fault = nil
			f.ledger.mu.Unlock()
			if lost == faultLate {
				time.Sleep(time.Minute)
				f.ledger.deliver()
			}
			c, err := f.keepers["b"].Claim(t.Context(), call("k"))
			must.NoError(t, err)
			must.Nil(t, c.Stored)
			must.StrHasPrefix(t, "b/", c.ID)
		})
	}
}

// Guards I5 when the owner froze: nobody else runs the call, and the owner may still run it once when it wakes.
func TestFrozenOwnerKeepsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.keepers["a"].Claim(t.Context(), call("k"))
		must.NoError(t, err)
		f.frozen["a"] = true
		_, err = f.keepers["b"].Claim(t.Context(), call("k"))
		refused(t, err, outcome.Unknown, outcome.ReasonInProgress)
		f.frozen["a"] = false
		must.NoError(t, f.keepers["a"].Finish(t.Context(), c, budget.StoredResult{Status: 200}))
	})
}

// Guards against an owner that hands out a claim after its caller was told that the call did not run.
func TestNoHandOutAfterContextEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		f.ledger.fault = func() fault { cancel(); return faultNone }
		_, err := f.keepers["a"].Claim(ctx, call("k"))
		refused(t, err, outcome.NotRun, outcome.ReasonClaimUnavailable)
		f.ledger.mu.Lock()
		f.ledger.fault = nil
		f.ledger.mu.Unlock()
		_, err = f.keepers["b"].Claim(t.Context(), call("k"))
		must.NoError(t, err)
	})
}

// Guards I5 under faults: attempts of one key at several routers, with lost and delayed operations, frozen owners
// and releases, dispatch the call at most once.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{0, 0, faultBefore, faultAfter, faultLate}), 0, 40).Draw(rt, "faults")
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 12).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			runSteps(t, faults, steps)
		})
	})
}

func runSteps(t *testing.T, faults []fault, steps []int) {
	names := []string{"a", "b", "c"}
	f := newFleet(names...)
	defer f.close()
	f.ledger.fault = func() fault {
		if len(faults) == 0 {
			return faultNone
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
	dispatched := 0
	var held []budget.Claim
	for i, s := range steps {
		k := f.keepers[names[s%3]]
		f.mu.Lock()
		f.frozen[names[(s+i)%3]] = s >= 6
		f.mu.Unlock()
		if c, err := k.Claim(t.Context(), call("k")); err == nil && c.Stored == nil {
			// Every third claim is released without dispatch.
			if s >= 3 && s < 6 {
				k.Release(c)
			} else {
				dispatched++
				held = append(held, c)
			}
		}
		if len(held) > 0 && s%2 == 0 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			owner := strings.SplitN(held[0].ID, "/", 2)[0]
			_ = f.keepers[owner].Finish(ctx, held[0], budget.StoredResult{Status: 200})
			cancel()
		}
		f.ledger.deliver()
	}
	if dispatched > 1 {
		panic(fmt.Sprintf("call was dispatched %d times", dispatched))
	}
}
