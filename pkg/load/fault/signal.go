package fault

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
)

var (
	errNoVM  = errors.New("the fleet file has no such VM")
	errNoPID = errors.New("the fleet file has no process id for it")
)

// exitPollInterval is the interval at which terminate checks whether a process has ended.
const exitPollInterval = 50 * time.Millisecond

func (i *Injector) sendSignal(vm string, signal syscall.Signal) error {
	p, ok := i.fleet.Find(vm)
	if !ok {
		return errNoVM
	}
	if p.PID <= 1 {
		return errNoPID
	}
	return syscall.Kill(p.PID, signal)
}

func (i *Injector) injectSignal(ctx context.Context, f scenario.Fault) {
	switch f.Kind {
	case scenario.Kill:
		i.recordStop(f.VM)
		i.recordEvent(i.sendSignal(f.VM, syscall.SIGKILL), "SIGKILL to %s", f.VM)
	case scenario.Freeze:
		i.recordStop(f.VM)
		i.setFrozen(f.VM, true)
		i.recordEvent(i.sendSignal(f.VM, syscall.SIGSTOP), "SIGSTOP to %s", f.VM)
		if f.For > 0 && sleepUntil(ctx, time.Now().Add(f.For)) {
			i.recordEvent(i.thaw(f.VM), "SIGCONT to %s", f.VM)
		}
	case scenario.Thaw:
		i.recordEvent(i.thaw(f.VM), "SIGCONT to %s", f.VM)
	case scenario.Terminate:
		i.recordDeparture(f.VM, time.Now())
		i.terminate(ctx, f.VM)
	}
}

func (i *Injector) recordStop(vm string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.stopped[vm]; !ok {
		i.stopped[vm] = time.Now()
	}
}

func (i *Injector) setFrozen(vm string, frozen bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if frozen {
		i.frozen[vm] = true
	} else {
		delete(i.frozen, vm)
	}
}

func (i *Injector) thaw(vm string) error {
	i.setFrozen(vm, false)
	return i.sendSignal(vm, syscall.SIGCONT)
}

// recordDeparture records a planned stop, unless the VM already has one that is not cancelled.
func (i *Injector) recordDeparture(vm string, at time.Time) {
	p, _ := i.fleet.Find(vm)
	_, isEntryVM := i.fleet.Router(vm)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.departures {
		if d.VM == vm && d.CancelledAt.IsZero() {
			return
		}
	}
	i.departures = append(i.departures, observation.Departure{VM: vm, Address: p.Address, IsEntryVM: isEntryVM, MarkedAt: at})
}

func (i *Injector) updateDeparture(vm string, change func(*observation.Departure)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.departures {
		if d := &i.departures[n]; d.VM == vm && d.CancelledAt.IsZero() {
			change(d)
		}
	}
}

// terminate sends SIGTERM and waits until the process has ended or ctx ends.
func (i *Injector) terminate(ctx context.Context, vm string) {
	i.BeforeExit(vm)
	now := time.Now()
	i.updateDeparture(vm, func(d *observation.Departure) { d.SignalledAt = now })
	err := i.sendSignal(vm, syscall.SIGTERM)
	i.recordEvent(err, "SIGTERM to %s", vm)
	if err != nil {
		return
	}
	p, _ := i.fleet.Find(vm)
	for IsRunning(p.PID) {
		if !sleepUntil(ctx, time.Now().Add(exitPollInterval)) {
			i.recordEvent(nil, "%s has not ended %.1f s after SIGTERM", vm, time.Since(now).Seconds())
			return
		}
	}
	i.updateDeparture(vm, func(d *observation.Departure) { d.ExitedAt = time.Now() })
	i.recordEvent(nil, "%s ended %.1f s after SIGTERM", vm, time.Since(now).Seconds())
}

// IsRunning reports whether a process runs. A zombie, which has ended but was not reaped by its parent, does not run.
func IsRunning(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	end := bytes.LastIndexByte(stat, ')')
	return end >= 0 && end+2 < len(stat) && stat[end+2] != 'Z' && stat[end+2] != 'X'
}
