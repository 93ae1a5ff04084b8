package memstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against rates that are not limited, and against buckets that are not refilled as time passes.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{})
		ctx := context.Background()
		reads, writes := 0, 0
		for range 3000 {
			if _, _, err := store.Client("a").List(ctx, ""); err == nil {
				reads++
			} else {
				must.ErrorIs(t, err, platform.ErrThrottled)
			}
			if _, err := store.Client("b").Put(ctx, "k", nil, uint64(writes)); err == nil {
				writes++
			} else {
				must.ErrorIs(t, err, platform.ErrThrottled)
			}
		}
		must.Eq(t, DefaultReadsPerSecond, reads)
		must.Eq(t, DefaultWritesPerSecond, writes)
		must.Eq(t, 6000-reads-writes, int(store.Counters().Throttled))
		time.Sleep(10 * time.Millisecond)
		for range 10 {
			if _, err := store.Client("b").Put(ctx, "k", nil, uint64(writes)); err == nil {
				writes++
			}
		}
		must.Eq(t, DefaultWritesPerSecond+4, writes)
	})
}

// Guards against a change of the VM list that becomes visible before or after the lag has passed, or that a client no
// longer receives when the lag grows.
func TestVMLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{VMLag: 2 * time.Second})
		state := func(client string) platform.VMState {
			vms, err := store.Client(client).VMs(context.Background())
			must.NoError(t, err)
			must.Len(t, 1, vms)
			return vms[0].State
		}
		store.SetVMs([]platform.VM{{Name: "v", State: platform.VMLive}})
		must.Eq(t, platform.VMLive, state("a"))
		must.NoError(t, store.SetVMState("v", platform.VMLeaving, nil))
		time.Sleep(2*time.Second - 1)
		must.Eq(t, platform.VMLive, state("a"))
		time.Sleep(time.Nanosecond)
		must.Eq(t, platform.VMLeaving, state("a"))
		_, err := store.Inject(Fault{Kind: FaultVMLag, DelayMS: 60_000, Clients: []string{"a", "b"}})
		must.NoError(t, err)
		must.Eq(t, platform.VMLeaving, state("a"))
		must.Eq(t, platform.VMLive, state("b"))
		must.Eq(t, platform.VMLeaving, state("c"))
	})
}

// Guards against a FaultSlow without a delay, and against a write whose deadline passed but that isn't reported as
// uncertain, before (400 ms) or after (600 ms) it takes effect.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{})
		_, err := store.Inject(Fault{Kind: FaultSlow, DelayMS: 1000})
		must.NoError(t, err)
		start := time.Now()
		_, err = store.Client("a").Get(context.Background(), "k")
		must.ErrorIs(t, err, platform.ErrNotFound)
		must.Eq(t, time.Second, time.Since(start))
		for i, timeout := range []time.Duration{400, 600} {
			ctx, cancel := context.WithTimeout(context.Background(), timeout*time.Millisecond)
			_, err = store.Client("a").Put(ctx, "k", nil, 0)
			must.ErrorIs(t, err, platform.ErrUncertain)
			cancel()
			must.Eq(t, i, int(store.revision))
		}
	})
}

// Guards against fault probabilities whose outcome differs between runs with the same seed.
func TestLostProbabilityIsReproducible(t *testing.T) {
	run := func(seed uint64) string {
		store := New(Options{Seed: seed, WritesPerSecond: -1})
		_, err := store.Inject(Fault{Kind: FaultLost, Probability: 0.5})
		must.NoError(t, err)
		pattern := ""
		for i := range 64 {
			if _, err := store.Client("a").Put(context.Background(), "k", nil, uint64(i)); err != nil {
				must.ErrorIs(t, err, platform.ErrUncertain)
				pattern += "x"
			} else {
				pattern += "."
			}
		}
		return pattern
	}
	must.Eq(t, run(1), run(1))
	must.NotEq(t, run(1), run(2))
	must.StrContains(t, run(1), "x")
	must.StrContains(t, run(1), ".")
}

// Guards against a history whose size in bytes has no bound.
func TestHistoryByteLimit(t *testing.T) {
	store := New(Options{WritesPerSecond: -1})
	value := make([]byte, platform.MaxValueBytes)
	for i := range 80 {
		_, err := store.Client("a").Put(context.Background(), "k", value, uint64(i))
		must.NoError(t, err)
	}
	must.LessEq(t, maxHistoryBytes, store.historyBytes)
	must.Len(t, maxHistoryBytes/platform.MaxValueBytes, store.history)
	must.Eq(t, 16, int(store.trimmedRevision))
}

// Guards against faults that are accepted with invalid values.
func TestFaultValidation(t *testing.T) {
	for _, fault := range []Fault{{}, {Kind: "x"}, {Kind: FaultSlow}, {Kind: FaultLost, Count: -1}, {Kind: FaultLost, Probability: 2}} {
		_, err := New(Options{}).Inject(fault)
		must.Error(t, err)
	}
}
