package allowance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

// spendAtRandom has the routers of a fleet reserve and settle at random and waits until all requests have ended. It returns what the
// requests were charged.
func spendAtRandom(ctx context.Context, random *rand.Rand, f *fleet, prepaid int64) (charged int64) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range 200 {
		acc := f.accounts[fmt.Sprint("vm", 1+random.IntN(len(f.accounts)))]
		tokens, used := 50+random.Int64N(800), random.Float64()
		wait.Go(func() {
			if acc.Reserve(ctx, organisation, prepaid, tokens) != Granted {
				return
			}
			time.Sleep(300 * time.Millisecond)
			use := int64(used * float64(tokens))
			acc.Settle(organisation, tokens, use)
			mu.Lock()
			defer mu.Unlock()
			charged += use
		})
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
	wait.Wait()
	return charged
}

// Guards against tokens that a router loses without counting where they went, so that nobody can tell from its lines and gauges whether
// a refused budget was used up, held, or lost: what is drawn must be held by the routers, charged, or counted as lost.
func TestFlowsAccountForAllTokens(t *testing.T) {
	for seed := range uint64(20) {
		for _, lost := range []float64{0, 0.2} {
			synctest.Test(t, func(t *testing.T) { checkFlows(t, seed, lost) })
		}
	}
}

func checkFlows(t *testing.T, seed uint64, lost float64) {
	const prepaid = 60_000
	random := rand.New(rand.NewPCG(seed, 0))
	memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	vms := []string{"vm1", "vm2", "vm3"}
	f := startFleet(ctx, memory, vms, prepaid, func(acc *Accounts) {
		store := &lossyStore{Store: memory.Client(acc.VM), random: rand.New(rand.NewPCG(seed, uint64(1+slices.Index(vms, acc.VM)))), lostShare: lost}
		acc.Store = store
		if lost > 0 {
			acc.Peers = fleetPeers{fleet: acc.Peers.(fleetPeers).fleet, vm: acc.VM, random: store.randomFloat}
		}
	})
	charged := spendAtRandom(ctx, random, f, prepaid)
	// Draws ahead of need, returns and late answers are over by then.
	time.Sleep(2 * drawHorizon)
	var sum flows
	for _, acc := range f.accounts {
		own, free := acc.total()
		must.EqOp(t, free, own.held(), must.Sprint("a router without requests holds only free tokens, seed ", seed, " lost ", lost))
		sum = sum.plus(own)
	}
	must.EqOp(t, charged, sum.charged)
	missing := unaccounted(t, memory, f, charged)
	lostAnswers := sum.given - sum.received
	must.GreaterEq(t, 0, lostAnswers)
	if lost == 0 {
		must.Zero(t, missing, must.Sprint("seed ", seed))
		must.Zero(t, lostAnswers+sum.uncertain, must.Sprint("seed ", seed))
	}
	// Returns without an answer may or may not have taken effect.
	must.GreaterEq(t, lostAnswers, missing, must.Sprint("seed ", seed, " lost ", lost))
}

// Guards against a refusal whose line doesn't tell what the router itself holds, and against gauges that miss tokens.
func TestRefusalTellsWhatTheRouterHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := startFleet(ctx, store, []string{"vm1"}, 1_000)
		acc, lines := f.accounts["vm1"], memory.New()
		acc.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		must.EqOp(t, Granted, acc.Reserve(ctx, organisation, 1_000, 600))
		acc.Settle(organisation, 600, 500)
		must.EqOp(t, Granted, acc.Reserve(ctx, organisation, 1_000, 300))
		must.EqOp(t, Exhausted, acc.Reserve(ctx, organisation, 1_000, 300))

		last := lines.Entries[len(lines.Entries)-1]
		must.EqOp(t, "allowance_asked", last.Message)
		must.EqOp(t, any(int64(500)), last.Fields["charged"])
		drawn, held := last.Fields["drawn"].(int64), last.Fields["held"].(int64)
		must.EqOp(t, drawn-500, held)

		m, err := telemetry.New("lsentry")
		must.NoError(t, err)
		instruments := telemetry.NewInstruments(m.Meter)
		acc.RegisterMetrics(instruments)
		must.NoError(t, instruments.Err())
		recorder := httptest.NewRecorder()
		m.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		for _, line := range []string{
			fmt.Sprintf(`allowance_tokens{state="free"} %d`, held-300), `allowance_tokens{state="reserved"} 300`,
			fmt.Sprintf(`allowance_flow_tokens_total{flow="drawn"} %d`, drawn), `allowance_flow_tokens_total{flow="charged"} 500`,
		} {
			must.StrContains(t, recorder.Body.String(), line)
		}
		must.NoError(t, m.Close(context.Background()))
	})
}
