// Package fault injects the timed faults of a scenario through signals to processes, the control paths of the stand-ins
// and operator changes through the admin API.
package fault

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
	"github.com/lavendershunt/lavendershunt/pkg/service"
)

// Event is an action of the injector, for the log of the run.
type Event struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
	// Failed is set if the fault could not be injected.
	Failed bool `json:"failed,omitempty"`
}

// Injector injects faults and records them. It is safe for concurrent use, except that BeforeExit must be set before Run.
type Injector struct {
	fleet   fleet.Fleet
	control *control.Client
	admin   *control.Admin
	// BeforeExit is called with the VM before SIGTERM is sent, because the records of an endpoint can only be read while
	// it runs.
	BeforeExit func(vm string)

	mu          sync.Mutex
	events      []Event
	departures  []observation.Departure
	acceptances []observation.Acceptance
	stopped     map[string]time.Time
	frozen      map[string]bool
}

// New returns an injector for the processes of a fleet. Its BeforeExit does nothing.
func New(f fleet.Fleet, client *control.Client, admin *control.Admin) *Injector {
	return &Injector{
		fleet: f, control: client, admin: admin, BeforeExit: func(string) {},
		stopped: map[string]time.Time{}, frozen: map[string]bool{},
	}
}

// Run injects the faults at their times after start and returns when all have ended or ctx ends.
func (i *Injector) Run(ctx context.Context, start time.Time, faults []scenario.Fault) {
	var tasks conc.WaitGroup
	for _, f := range faults {
		tasks.Go(func() {
			if sleepUntil(ctx, start.Add(f.At)) {
				i.inject(ctx, f)
			}
		})
	}
	tasks.Wait()
}

// Undo thaws frozen processes and clears the faults of the stand-ins.
func (i *Injector) Undo(ctx context.Context) {
	i.mu.Lock()
	frozen := i.frozen
	i.frozen = map[string]bool{}
	i.mu.Unlock()
	for vm := range frozen {
		_ = i.thaw(vm)
	}
	_ = i.control.Do(ctx, http.MethodDelete, i.fleet.Platform.Address, "/control/faults", nil, nil)
	for _, list := range [][]fleet.Process{i.fleet.Engines, i.fleet.Services} {
		for _, p := range list {
			_ = i.control.Do(ctx, http.MethodDelete, p.Address, "/control/faults", nil, nil)
		}
	}
}

// Fill copies departures, acceptances and stops into the observations and returns the events.
func (i *Injector) Fill(observations *observation.Observations) []Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	observations.Departures = append([]observation.Departure(nil), i.departures...)
	observations.Acceptances = append([]observation.Acceptance(nil), i.acceptances...)
	observations.Stopped = i.stopped
	return append([]Event(nil), i.events...)
}

// Events returns a copy of the events so far.
func (i *Injector) Events() []Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Event(nil), i.events...)
}

func (i *Injector) recordEvent(err error, format string, args ...any) {
	event := Event{At: time.Now(), Text: fmt.Sprintf(format, args...)}
	if err != nil {
		event.Text += ": " + err.Error()
		event.Failed = true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.events = append(i.events, event)
}

func (i *Injector) inject(ctx context.Context, f scenario.Fault) {
	switch f.Kind {
	case scenario.Kill, scenario.Freeze, scenario.Thaw, scenario.Terminate:
		i.injectSignal(ctx, f)
	case scenario.Withdraw, scenario.Leave, scenario.CancelLeave, scenario.TopUp, scenario.Race:
		i.injectOperatorChange(ctx, f)
	case scenario.ListLeaving, scenario.ListGone:
		i.changeVMState(ctx, f)
	case scenario.PlatformDown, scenario.PlatformSlow, scenario.PlatformLost, scenario.PlatformGap:
		i.injectPlatformFault(ctx, f)
	default:
		i.injectEndpointFault(ctx, f)
	}
}

var platformFaultKinds = map[scenario.FaultKind]memstore.FaultKind{
	scenario.PlatformDown: memstore.FaultDown, scenario.PlatformSlow: memstore.FaultSlow,
	scenario.PlatformLost: memstore.FaultLost, scenario.PlatformGap: memstore.FaultGap,
}

// injectPlatformFault limits the fault to calls from routers, so that the load tool can still read what the platform
// stores.
func (i *Injector) injectPlatformFault(ctx context.Context, f scenario.Fault) {
	clients := f.VMs
	if len(clients) == 0 {
		clients = i.fleet.RouterVMs()
	}
	var response struct {
		ID int `json:"id"`
	}
	address := i.fleet.Platform.Address
	err := i.control.Do(ctx, http.MethodPost, address, "/control/faults", memstore.Fault{
		Kind: platformFaultKinds[f.Kind], Clients: clients, DelayMS: int(f.Delay.Milliseconds()), Probability: f.Probability,
	}, &response)
	i.recordEvent(err, "%s for %d entry VMs", f.Kind, len(clients))
	if err != nil || f.For == 0 || !sleepUntil(ctx, time.Now().Add(f.For)) {
		return
	}
	err = i.control.Do(ctx, http.MethodDelete, address, fmt.Sprintf("/control/faults?id=%d", response.ID), nil, nil)
	i.recordEvent(err, "%s ends", f.Kind)
}

func (i *Injector) changeVMState(ctx context.Context, f scenario.Fault) {
	state := platform.VMLeaving
	if f.Kind == scenario.ListGone {
		state = platform.VMGone
	}
	err := i.control.Do(ctx, http.MethodPost, i.fleet.Platform.Address, "/control/vms/state",
		memstore.VMStateChange{Name: f.VM, State: state}, nil)
	i.recordEvent(err, "the platform's list shows %s as %s", f.VM, state)
	if err == nil && state == platform.VMLeaving {
		i.recordDeparture(f.VM, time.Now())
	}
}

var engineFaultKinds = map[scenario.FaultKind]engine.FaultKind{
	scenario.EngineFreeze: engine.FaultFreeze, scenario.EngineSlow: engine.FaultSlow, scenario.EngineCrash: engine.FaultCrash,
	scenario.EngineCrossed: engine.FaultCrossed, scenario.EngineDuplicated: engine.FaultDuplicated, scenario.EngineLate: engine.FaultLate,
}

var serviceFaultKinds = map[scenario.FaultKind]service.FaultKind{
	scenario.ServiceRefuses: service.FaultFailBefore, scenario.ServiceFails: service.FaultFailAfter, scenario.ServiceHangs: service.FaultHang,
}

func (i *Injector) injectEndpointFault(ctx context.Context, f scenario.Fault) {
	p, ok := i.fleet.Find(f.VM)
	if !ok {
		i.recordEvent(errNoVM, "%s %s", f.Kind, f.VM)
		return
	}
	var body any
	if kind, ok := engineFaultKinds[f.Kind]; ok {
		body = engine.Fault{Kind: kind, DurationMS: int(f.For.Milliseconds()), Factor: f.Factor, Count: f.Count}
	} else {
		body = service.Fault{Kind: serviceFaultKinds[f.Kind], Count: f.Count, HangMS: int(f.For.Milliseconds())}
	}
	err := i.control.Do(ctx, http.MethodPost, p.Address, "/control/faults", body, nil)
	if f.Kind == scenario.EngineCrash {
		// The process exits before it answers, so an error is expected.
		err = nil
	}
	i.recordEvent(err, "%s %s", f.Kind, f.VM)
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
