package fault

import (
	"context"
	"net"
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/pkg/load/control"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

// startProcess starts a process that a test may signal, and returns its id.
func startProcess(t *testing.T) int {
	cmd := exec.Command("sleep", "60")
	must.NoError(t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	return cmd.Process.Pid
}

func newInjector(f fleet.Fleet) *Injector { return New(f, control.NewClient(), control.NewAdmin(f)) }

// A killed router may break streams, a terminated one must not. Guards against observations in which the two can't be
// told apart.
func TestKillAndTerminateAreRecordedSeparately(t *testing.T) {
	f := fleet.Fleet{Routers: []fleet.Router{{VM: "e1", Caller: "127.0.0.1:1", PID: startProcess(t)}, {VM: "e2", Caller: "127.0.0.1:2", PID: startProcess(t)}}}
	i := newInjector(f)
	i.Run(context.Background(), time.Now(), []scenario.Fault{{Kind: scenario.Kill, VM: "e1"}, {Kind: scenario.Terminate, VM: "e2"}})
	var observed observation.Observations
	events := i.Fill(&observed)
	for _, event := range events {
		must.False(t, event.Failed, must.Sprint(event.Text))
	}
	must.MapContainsKey(t, observed.Stopped, "e1")
	must.MapNotContainsKey(t, observed.Stopped, "e2")
	must.Len(t, 1, observed.Departures)
	d := observed.Departures[0]
	must.Eq(t, "e2", d.VM)
	must.True(t, d.IsEntryVM)
	must.False(t, d.SignalledAt.IsZero() || d.ExitedAt.IsZero())
	must.False(t, IsRunning(f.Routers[1].PID))
}

// Guards against a frozen process that is never thawed and therefore outlives the run.
func TestUndoThawsFrozenProcesses(t *testing.T) {
	pid := startProcess(t)
	i := newInjector(fleet.Fleet{Platform: fleet.Process{Address: "127.0.0.1:1"}, Routers: []fleet.Router{{VM: "e1", PID: pid}}})
	i.inject(context.Background(), scenario.Fault{Kind: scenario.Freeze, VM: "e1"})
	must.True(t, i.frozen["e1"])
	i.Undo(context.Background())
	must.MapEmpty(t, i.frozen)
}

// Guards against a signal to process 0 or 1, which would reach the tool's own process group or init.
func TestNoSignalWithoutProcessID(t *testing.T) {
	i := newInjector(fleet.Fleet{Routers: []fleet.Router{{VM: "e1"}, {VM: "e2", PID: 1}}})
	must.ErrorIs(t, i.sendSignal("e1", 0), errNoPID)
	must.ErrorIs(t, i.sendSignal("e2", 0), errNoPID)
	must.ErrorIs(t, i.sendSignal("e3", 0), errNoVM)
}

// Guards against a platform fault that also affects the load tool's own calls, which it needs to evaluate the run.
func TestPlatformFaultsAffectOnlyRouters(t *testing.T) {
	store := memstore.New(memstore.Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: memstore.NewServer(store, 0).Handle}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	i := newInjector(fleet.Fleet{Platform: fleet.Process{Address: listener.Addr().String()}, Routers: []fleet.Router{{VM: "e1"}, {VM: "e2"}}})
	ctx := context.Background()
	i.inject(ctx, scenario.Fault{Kind: scenario.PlatformDown, VMs: []string{"e1"}})
	_, err = store.Client("e1").VMs(ctx)
	must.ErrorIs(t, err, platform.ErrUnavailable)
	for _, id := range []string{"e2", "lsload"} {
		_, err = store.Client(id).VMs(ctx)
		must.NoError(t, err)
	}
	i.Undo(ctx)
	_, err = store.Client("e1").VMs(ctx)
	must.NoError(t, err)
}
