// Package run carries out a scenario against a fleet: load, faults, observation and the counts at the end.
package run

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/load/caller"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fault"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/observe"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
	"github.com/lavendershunt/lavendershunt/pkg/platform/httpstore"
)

// maxInFlight is the largest number of requests in progress. With more the run would measure the load tool and not the
// fleet.
const maxInFlight = 8000

// Runner carries out one run. Progress may be called while Run is running.
type Runner struct {
	fleet    fleet.Fleet
	scenario scenario.Scenario
	id       string
	start    time.Time

	control  *control.Client
	injector *fault.Injector
	ledger   *observe.Ledger
	configs  *observe.Configs
	engines  []*observe.Records
	services []*observe.Records

	sent     atomic.Int64
	inFlight atomic.Int64

	mu        sync.Mutex
	requests  []*observation.Request
	outcomes  map[string]int
	addresses []caller.AddressAnswer
	direct    *hdrhistogram.Histogram
}

// New returns a runner. It returns an error if the scenario names an organisation without a key in the fleet file, or a
// VM that is not in the fleet file.
func New(f fleet.Fleet, s scenario.Scenario) (*Runner, error) {
	for i, m := range s.Mixes {
		if _, ok := f.KeyOf(m.Organisation); !ok {
			return nil, fmt.Errorf("mixes[%d].organisation: the fleet file has no key of %q", i, m.Organisation)
		}
	}
	for i, fault := range s.Faults {
		if _, ok := f.Find(fault.VM); fault.VM != "" && !ok {
			return nil, fmt.Errorf("faults[%d].vm: the fleet file has no VM %q", i, fault.VM)
		}
	}
	admin := control.NewAdmin(f)
	r := &Runner{
		fleet: f, scenario: s, id: strconv.FormatInt(time.Now().UnixMilli(), 36), control: control.NewClient(),
		ledger:  observe.NewLedger(httpstore.New(httpstore.Options{Address: f.Platform.Address, ClientID: "lsload"})),
		configs: observe.NewConfigs(admin, f), outcomes: map[string]int{}, direct: report.NewHistogram(),
	}
	r.injector = fault.New(f, r.control, admin)
	byVM := map[string]*observe.Records{}
	for _, p := range f.Engines {
		byVM[p.VM] = observe.NewRecords(r.control, p, false)
		r.engines = append(r.engines, byVM[p.VM])
	}
	for _, p := range f.Services {
		byVM[p.VM] = observe.NewRecords(r.control, p, true)
		r.services = append(r.services, byVM[p.VM])
	}
	r.injector.BeforeExit = func(vm string) {
		if records := byVM[vm]; records != nil {
			records.Close(context.Background())
		}
	}
	return r, nil
}

// Run carries out the scenario and returns the summary and the requests. If ctx ends, it ends early, but still undoes
// the faults and counts what was observed until then.
func (r *Runner) Run(ctx context.Context) (*report.Summary, []*observation.Request) {
	observeCtx, stopObserving := context.WithCancel(context.WithoutCancel(ctx))
	defer stopObserving()
	var observers conc.WaitGroup
	observers.Go(func() { r.ledger.Run(observeCtx) })
	observers.Go(func() { r.configs.Run(observeCtx) })
	for _, list := range [][]*observe.Records{r.engines, r.services} {
		for _, records := range list {
			observers.Go(func() { records.Run(observeCtx) })
		}
	}
	r.mu.Lock()
	r.start = time.Now()
	r.mu.Unlock()
	scenarioCtx, cancel := context.WithTimeout(ctx, r.scenario.Duration+r.scenario.Settle)
	defer cancel()
	var faults conc.WaitGroup
	faults.Go(func() { r.injector.Run(scenarioCtx, r.start, r.scenario.Faults) })
	r.sendRequests(scenarioCtx)
	loadEnd := time.Now()
	faults.Wait()
	r.injector.Undo(observeCtx)
	r.waitForBills(ctx)
	r.readRecords(observeCtx)
	stopObserving()
	observers.Wait()
	return r.summary(loadEnd), r.requests
}

// sendRequests sends the requests of all mixes and waits for their outcomes.
func (r *Runner) sendRequests(ctx context.Context) {
	var tasks conc.WaitGroup
	for i := range r.scenario.Mixes {
		tasks.Go(func() { r.sendMix(ctx, i) })
	}
	tasks.Wait()
}

// sendMix sends the requests of one mix at their intended times, whether or not earlier ones have ended.
func (r *Runner) sendMix(ctx context.Context, index int) {
	m := &r.scenario.Mixes[index]
	source := workload.NewSource(&r.scenario, index, r.id)
	callers := r.newCallers(m, index)
	var requests conc.WaitGroup
	defer requests.Wait()
	for n := 1; ; n++ {
		item, ok := source.Next()
		if !ok || !sleepUntil(ctx, r.start.Add(item.At)) {
			return
		}
		r.sent.Add(1)
		intended := r.start.Add(item.At)
		if r.inFlight.Add(1) > maxInFlight {
			r.inFlight.Add(-1)
			r.addRequest(&observation.Request{Mix: m.Name, Class: m.Class, Organisation: m.Organisation, Key: item.Key, Kind: observation.Chat,
				Outcome: "not_run", Reason: "load_tool_limit", IntendedStart: intended, End: time.Now()})
			continue
		}
		requests.Go(func() {
			defer r.inFlight.Add(-1)
			r.addRequest(callers[item.Caller].Do(ctx, item, intended))
		})
		if item.Chat != nil && r.scenario.DirectEvery > 0 && n%r.scenario.DirectEvery == 0 {
			requests.Go(func() { r.sendDirect(ctx, item, intended, n) })
		}
	}
}

// newCallers returns the callers of a mix, which share one HTTP client but not their addresses.
func (r *Runner) newCallers(m *scenario.Mix, index int) []*caller.Caller {
	key, _ := r.fleet.KeyOf(m.Organisation)
	budget := m.Budget
	if budget == "" {
		budget = key.Budget
	}
	client := caller.NewHTTPClient()
	var bootstrap []string
	for _, router := range r.fleet.Routers {
		bootstrap = append(bootstrap, router.Caller)
	}
	var callers []*caller.Caller
	for n := range m.Callers {
		seed := r.scenario.Seed + uint64(index)<<16 + uint64(n)
		addresses := caller.NewAddressCache(client, bootstrap, key.Key, seed, r.addAddresses)
		callers = append(callers, &caller.Caller{HTTP: client, AddressCache: addresses, Key: key.Key, Budget: budget})
	}
	return callers
}

func (r *Runner) addRequest(request *observation.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	r.outcomes[request.Outcome]++
}

func (r *Runner) addAddresses(answer caller.AddressAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = append(r.addresses, answer)
}

// sleepUntil waits until the given time and reports whether ctx is still active.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
