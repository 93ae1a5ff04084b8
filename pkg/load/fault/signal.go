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

// exitCheck is the interval at which the end of a process is looked for.
const exitCheck = 50 * time.Millisecond

func (i *Injector) send(vm string, signal syscall.Signal) error {
	p, ok := i.fleet.Find(vm)
	if !ok {
		return errNoVM
	}
	if p.PID <= 1 {
		return errNoPID
	}
	return syscall.Kill(p.PID, signal)
}

func (i *Injector) signal(ctx context.Context, f scenario.Fault) {
	switch f.Kind {
	case scenario.Kill:
		i.markStopped(f.VM)
		i.note(i.send(f.VM, syscall.SIGKILL), "SIGKILL to %s", f.VM)
	case scenario.Freeze:
		i.markStopped(f.VM)
		i.setFrozen(f.VM, true)
		i.note(i.send(f.VM, syscall.SIGSTOP), "SIGSTOP to %s", f.VM)
		if f.For > 0 && sleepUntil(ctx, time.Now().Add(f.For)) {
			i.note(i.thaw(f.VM), "SIGCONT to %s", f.VM)
		}
	case scenario.Thaw:
		i.note(i.thaw(f.VM), "SIGCONT to %s", f.VM)
	case scenario.Terminate:
		i.depart(f.VM, time.Now())
		i.terminate(ctx, f.VM)
	}
}

func (i *Injector) markStopped(vm string) {
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
	return i.send(vm, syscall.SIGCONT)
}

// depart notes a planned stop.
func (i *Injector) depart(vm string, at time.Time) {
	p, _ := i.fleet.Find(vm)
	_, entry := i.fleet.Router(vm)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.departures {
		if d.VM == vm && d.Cancelled.IsZero() {
			return
		}
	}
	i.departures = append(i.departures, observation.Departure{VM: vm, Address: p.Address, Entry: entry, Marked: at})
}

func (i *Injector) changeDeparture(vm string, change func(*observation.Departure)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.departures {
		if d := &i.departures[n]; d.VM == vm && d.Cancelled.IsZero() {
			change(d)
		}
	}
}

// terminate sends the planned stop signal and waits for the end of the process.
func (i *Injector) terminate(ctx context.Context, vm string) {
	i.BeforeExit(vm)
	now := time.Now()
	i.changeDeparture(vm, func(d *observation.Departure) { d.Signalled = now })
	err := i.send(vm, syscall.SIGTERM)
	i.note(err, "SIGTERM to %s", vm)
	if err != nil {
		return
	}
	p, _ := i.fleet.Find(vm)
	for Running(p.PID) {
		if !sleepUntil(ctx, time.Now().Add(exitCheck)) {
			i.note(nil, "%s has not ended %.1f s after SIGTERM", vm, time.Since(now).Seconds())
			return
		}
	}
	i.changeDeparture(vm, func(d *observation.Departure) { d.Exited = time.Now() })
	i.note(nil, "%s ended %.1f s after SIGTERM", vm, time.Since(now).Seconds())
}

// Running reports whether a process runs. An ended process that its parent has not waited for does not run.
func Running(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	end := bytes.LastIndexByte(stat, ')')
	return end >= 0 && end+2 < len(stat) && stat[end+2] != 'Z' && stat[end+2] != 'X'
}
