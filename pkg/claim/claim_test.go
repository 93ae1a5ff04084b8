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

// fakeLedger applies operations to a shard in memory. nextFault, if not nil, returns the fault of the next call.
type fakeLedger struct {
	mu        sync.Mutex
	shard     *ledger.Shard
	nextFault func() fault
	// delayed holds operations that the network has delayed.
	delayed []budget.Op
}

type fault int

const (
	noFault fault = iota
	// failBeforeApply fails a call before it takes effect.
	failBeforeApply
	// failAfterApply fails a call after it took effect.
	failAfterApply
	// delayApply fails a call whose operations take effect later.
	delayApply
)

func (f *fakeLedger) Apply(ctx context.Context, _ string, ops []budget.Op) ([]budget.Result, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := noFault
	if f.nextFault != nil {
		kind = f.nextFault()
	}
	if kind == delayApply {
		f.delayed = append(f.delayed, ops...)
	}
	if kind == failBeforeApply || kind == delayApply {
		return nil, platform.ErrUnavailable
	}
	var results []budget.Result
	for _, op := range ops {
		results = append(results, f.shard.Apply(time.Now(), op))
	}
	if kind == failAfterApply {
		return nil, platform.ErrUnavailable
	}
	return results, nil
}

func (f *fakeLedger) Read(context.Context, string) ([]budget.Status, error) { return nil, nil }

// applyDelayed applies the delayed operations.
func (f *fakeLedger) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range f.delayed {
		f.shard.Apply(time.Now(), op)
	}
	f.delayed = nil
}

// fleet is a set of managers that can query each other, except those that are paused.
type fleet struct {
	ledger   *fakeLedger
	managers map[string]*Manager
	mu       sync.Mutex
	paused   map[string]bool
}

var errNoAnswer = errors.New("no answer")

func newFleet(names ...string) *fleet {
	f := &fleet{ledger: &fakeLedger{shard: ledger.New()}, managers: map[string]*Manager{}, paused: map[string]bool{}}
	for _, n := range names {
		f.managers[n] = New(n, f.ledger, f)
	}
	return f
}

func (f *fleet) close() {
	for _, m := range f.managers {
		m.Close()
	}
}

func (f *fleet) Query(ctx context.Context, owner, organisation, key, claimID string) (State, *budget.StoredResult, error) {
	f.mu.Lock()
	paused := f.paused[owner]
	f.mu.Unlock()
	if paused {
		return Unknown, nil, errNoAnswer
	}
	return f.managers[owner].Answer(ctx, organisation, key, claimID)
}

func newCall(key string) budget.CallRequest {
	return budget.CallRequest{Organisation: "velocar", IdempotencyKey: key, BodyHash: 7}
}

// requireFailure checks that err is a failure with the outcome and the reason.
func requireFailure(t *testing.T, err error, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	var f *outcome.Failure
	must.True(t, errors.As(err, &f), must.Sprintf("%v", err))
	must.Eq(t, o, f.Outcome)
	must.Eq(t, r, f.Reason)
}

// Guards I5 (a non-idempotent call runs at most once) and the stored result: a second attempt, at the same or another
// router, returns the result of the first one.
func TestSecondAttemptGetsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.managers["a"].Claim(t.Context(), newCall("k"))
		must.NoError(t, err)
		must.Nil(t, c.Stored)
		_, err = f.managers["b"].Claim(t.Context(), newCall("k"))
		requireFailure(t, err, outcome.Unknown, outcome.ReasonInProgress)
		_, err = f.managers["b"].Claim(t.Context(), budget.CallRequest{Organisation: "velocar", IdempotencyKey: "k"})
		requireFailure(t, err, outcome.NotRun, outcome.ReasonKeyReused)
		want := budget.StoredResult{Status: 200, Body: []byte("booked")}
		must.NoError(t, f.managers["a"].Finish(t.Context(), c, want))
		for _, m := range f.managers {
			c, err := m.Claim(t.Context(), newCall("k"))
			must.NoError(t, err)
			must.Eq(t, &want, c.Stored)
		}
		large, err := f.managers["a"].Claim(t.Context(), newCall("large"))
		must.NoError(t, err)
		must.NoError(t, f.managers["a"].Finish(t.Context(), large, budget.StoredResult{Status: 200, Body: make([]byte, maxBodyBytes+1)}))
		large, err = f.managers["b"].Claim(t.Context(), newCall("large"))
		must.NoError(t, err)
		must.Eq(t, &budget.StoredResult{Status: 200, Truncated: true}, large.Stored)
	})
}

// Guards against a result that is lost because the ledger is unavailable when the call finishes: until the result is
// durable, the owner answers queries with it.
func TestOwnerAnswersUntilResultIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.managers["a"].Claim(t.Context(), newCall("k"))
		must.NoError(t, err)
		ledgerUnavailable := true
		f.ledger.nextFault = func() fault {
			if ledgerUnavailable {
				return failBeforeApply
			}
			return noFault
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		want := &budget.StoredResult{Status: 200}
		must.Error(t, f.managers["a"].Finish(ctx, c, *want))
		state, result, err := f.managers["a"].Answer(t.Context(), "velocar", "k", c.ID)
		must.NoError(t, err)
		must.Eq(t, Finished, state)
		must.Eq(t, want, result)
		f.ledger.mu.Lock()
		ledgerUnavailable = false
		f.ledger.mu.Unlock()
		time.Sleep(time.Minute)
		f.paused["a"] = true
		c, err = f.managers["b"].Claim(t.Context(), newCall("k"))
		must.NoError(t, err)
		must.Eq(t, want, c.Stored)
	})
}

// Guards I4 (a call reported as not run did not run) and I5 when the response to storing a claim is lost: the owner
// reports not run and releases the claim, and another router can claim the call. This also holds if the ledger receives
// the claim only after its release.
func TestOtherRouterClaimsAfterLostResponse(t *testing.T) {
	for _, responseFault := range []fault{failAfterApply, delayApply} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a", "b")
			defer f.close()
			f.ledger.nextFault = func() fault { return responseFault }
			_, err := f.managers["a"].Claim(t.Context(), newCall("k"))
			requireFailure(t, err, outcome.NotRun, outcome.ReasonClaimUnavailable)
			f.ledger.mu.Lock()
			f.ledger.nextFault = nil
			f.ledger.mu.Unlock()
			if responseFault == delayApply {
				time.Sleep(time.Minute)
				f.ledger.applyDelayed()
			}
			c, err := f.managers["b"].Claim(t.Context(), newCall("k"))
			must.NoError(t, err)
			must.Nil(t, c.Stored)
			must.StrHasPrefix(t, "b/", c.ID)
		})
	}
}

// Guards I5 when the owner is paused: no other router runs the call, and the owner may still run it once after it
// resumes.
func TestPausedOwnerKeepsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		c, err := f.managers["a"].Claim(t.Context(), newCall("k"))
		must.NoError(t, err)
		f.paused["a"] = true
		_, err = f.managers["b"].Claim(t.Context(), newCall("k"))
		requireFailure(t, err, outcome.Unknown, outcome.ReasonInProgress)
		f.paused["a"] = false
		must.NoError(t, f.managers["a"].Finish(t.Context(), c, budget.StoredResult{Status: 200}))
	})
}

// Guards against an owner that grants a claim after the context of the caller has ended; the caller then reports the
// call as not run.
func TestClaimNotGrantedAfterContextEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		f.ledger.nextFault = func() fault { cancel(); return noFault }
		_, err := f.managers["a"].Claim(ctx, newCall("k"))
		requireFailure(t, err, outcome.NotRun, outcome.ReasonClaimUnavailable)
		f.ledger.mu.Lock()
		f.ledger.nextFault = nil
		f.ledger.mu.Unlock()
		_, err = f.managers["b"].Claim(t.Context(), newCall("k"))
		must.NoError(t, err)
	})
}

// Guards I5 under faults: attempts with one key at several routers, with lost and delayed operations, paused owners and
// releases, dispatch the call at most once.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{0, 0, failBeforeApply, failAfterApply, delayApply}), 0, 40).Draw(rt, "faults")
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
	f.ledger.nextFault = func() fault {
		if len(faults) == 0 {
			return noFault
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
	dispatched := 0
	var dispatchedClaims []budget.Claim
	for i, s := range steps {
		m := f.managers[names[s%3]]
		f.mu.Lock()
		f.paused[names[(s+i)%3]] = s >= 6
		f.mu.Unlock()
		if c, err := m.Claim(t.Context(), newCall("k")); err == nil && c.Stored == nil {
			// Steps 3 to 5 release the claim without dispatching the call.
			if s >= 3 && s < 6 {
				m.Release(c)
			} else {
				dispatched++
				dispatchedClaims = append(dispatchedClaims, c)
			}
		}
		if len(dispatchedClaims) > 0 && s%2 == 0 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			owner := strings.SplitN(dispatchedClaims[0].ID, "/", 2)[0]
			_ = f.managers[owner].Finish(ctx, dispatchedClaims[0], budget.StoredResult{Status: 200})
			cancel()
		}
		f.ledger.applyDelayed()
	}
	if dispatched > 1 {
		panic(fmt.Sprintf("call was dispatched %d times", dispatched))
	}
}
