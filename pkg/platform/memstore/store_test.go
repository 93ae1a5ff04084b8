package memstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against rates that are not limited, or that are not restored as time passes.
func TestRates(t *testing.T) {
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

// Guards against a VM list change that shows before the lag, after it, or goes back when the lag grows.
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

// Guards against a slow platform that isn't slow, and against a write whose deadline passed being reported as known.
func TestSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := New(Options{})
		_, err := store.Inject(Fault{Kind: FaultSlow, DelayMS: 1000})
		must.NoError(t, err)
		start := time.Now()
		_, err = store.Client("a").Get(context.Background(), "k")
		must.ErrorIs(t, err, platform.ErrNotFound)
		must.Eq(t, time.Second, time.Since(start))
		for i, limit := range []time.Duration{400, 600} {
			ctx, cancel := context.WithTimeout(context.Background(), limit*time.Millisecond)
			_, err = store.Client("a").Put(ctx, "k", nil, 0)
			must.ErrorIs(t, err, platform.ErrUncertain)
			cancel()
			must.Eq(t, i, int(store.revision))
		}
	})
}

// Guards against a random choice that differs between runs with one seed.
func TestLostProbability(t *testing.T) {
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

// Guards against a history that grows without a bound in bytes.
func TestHistoryBytes(t *testing.T) {
	store := New(Options{WritesPerSecond: -1})
	value := make([]byte, platform.MaxValueBytes)
	for i := range 80 {
		_, err := store.Client("a").Put(context.Background(), "k", value, uint64(i))
		must.NoError(t, err)
	}
	must.LessEq(t, historyBytes, store.historyBytes)
	must.Len(t, historyBytes/platform.MaxValueBytes, store.history)
	must.Eq(t, 16, int(store.trimmed))
}

// Guards against faults with meaningless values.
func TestFaultValidation(t *testing.T) {
	for _, fault := range []Fault{{}, {Kind: "x"}, {Kind: FaultSlow}, {Kind: FaultLost, Count: -1}, {Kind: FaultLost, Probability: 2}} {
		_, err := New(Options{}).Inject(fault)
		must.Error(t, err)
	}
}
