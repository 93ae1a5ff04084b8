package member

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/api/ls/member/v1/memberv1connect"
)

// maxMessageBytes is the largest size of a message. A full exchange of 370 members takes about 50 KB.
const maxMessageBytes = 4 << 20

// Options configures a Task.
type Options struct {
	Self   Member
	Timing Timing
	// ProbeTimeout is the timeout of a direct probe. Indirect probes have twice this timeout.
	ProbeTimeout time.Duration
	// Client sends requests to peers; it must speak unencrypted HTTP/2.
	Client connect.HTTPClient
	// Seeds are peer addresses to try until SetSeeds replaces them. Without them, a router that starts while the
	// platform is unavailable finds no peer.
	Seeds []string
	// Seed is the seed of the random number generator.
	Seed uint64
	Log  log.Interface
	// OnChange is called in the task's goroutine after each change of the view; it must not block. It may be nil.
	OnChange func()
	// OnSuperseded is called in the task's goroutine when another router reports a later instance on this VM, and
	// again until the instance is replaced. The process must then call ReplaceInstance with the result of
	// NewInstanceAfter. It may be nil.
	OnSuperseded func(by string)
}

// Task runs the membership protocol. It owns the state machine and implements View and the MemberService. It is safe
// for concurrent use. Methods with a context wait for the goroutine of Run; they return an error if ctx or Run ends
// first.
type Task struct {
	memberv1connect.UnimplementedMemberServiceHandler
	options Options
	machine *StateMachine
	// calls passes functions that access machine to the goroutine of Run.
	calls   chan func(now time.Time)
	done    chan struct{}
	view    atomic.Pointer[snapshot]
	workers conc.WaitGroup
	// failedProbes counts direct probes without an answer of their target.
	failedProbes atomic.Int64
}

type snapshot struct {
	self    Member
	members []Member
}

var _ View = (*Task)(nil)

// NewTask returns a task. It takes part in the protocol only while Run is running.
func NewTask(options Options) *Task {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	t := &Task{
		options: options,
		machine: NewStateMachine(options.Self, options.Timing, random, time.Now()),
		calls:   make(chan func(time.Time)),
		done:    make(chan struct{}),
	}
	t.machine.SetSeeds(options.Seeds)
	t.publish()
	return t
}

// Handler returns the path and the HTTP handler of the peer service.
func (t *Task) Handler() (string, http.Handler) {
	return memberv1connect.NewMemberServiceHandler(t, connect.WithReadMaxBytes(maxMessageBytes))
}

// Self implements View.
func (t *Task) Self() Member { return t.view.Load().self }

// Members implements View.
func (t *Task) Members() []Member { return t.view.Load().members }

// FailedProbes returns the number of direct probes that their target did not answer.
func (t *Task) FailedProbes() int64 { return t.failedProbes.Load() }

// Leave announces that this router is leaving.
func (t *Task) Leave(ctx context.Context) error {
	return t.do(ctx, func(time.Time) { t.machine.Leave() })
}

// CancelLeave announces that this router is alive again after Leave.
func (t *Task) CancelLeave(ctx context.Context) error {
	return t.do(ctx, func(time.Time) { t.machine.CancelLeave() })
}

// ReplaceInstance continues under a new instance id.
func (t *Task) ReplaceInstance(ctx context.Context, instance string) error {
	return t.do(ctx, func(time.Time) { t.machine.ReplaceInstance(instance) })
}

// SetSeeds sets the peer addresses that are tried in addition to those of the known members.
func (t *Task) SetSeeds(ctx context.Context, addresses []string) error {
	return t.do(ctx, func(time.Time) { t.machine.SetSeeds(addresses) })
}

// SetRemovedVMs sets the VMs that the platform no longer lists.
func (t *Task) SetRemovedVMs(ctx context.Context, vms map[string]bool) error {
	return t.do(ctx, func(time.Time) { t.machine.SetRemovedVMs(vms) })
}

// Run runs the protocol until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer t.workers.Wait()
	defer close(t.done)
	ticker := time.NewTicker(t.options.Timing.Probe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-t.calls:
			call(time.Now())
		case <-ticker.C:
			t.startActions(ctx, t.machine.Tick(time.Now()))
		}
		t.publish()
	}
}

// do runs f in the goroutine of Run and waits until f has returned and the new view is published.
func (t *Task) do(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	call := func(now time.Time) {
		defer close(finished)
		f(now)
		// The effect of f must be visible in the view when do returns.
		t.publish()
	}
	select {
	case t.calls <- call:
	case <-t.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
	<-finished
	return nil
}

// startActions sends each message in a new goroutine. It must be called in the goroutine of Run.
func (t *Task) startActions(ctx context.Context, actions []Action) {
	for _, a := range actions {
		t.workers.Go(func() { t.send(ctx, a) })
	}
}

// publish stores a new view and calls the callbacks if something changed. After NewTask it must be called in the
// goroutine of Run.
func (t *Task) publish() {
	if by := t.machine.SupersededBy(); by != "" && t.options.OnSuperseded != nil {
		t.options.OnSuperseded(by)
	}
	if !t.machine.TakeChanged() {
		return
	}
	t.logChanges()
	t.view.Store(&snapshot{self: t.machine.Self(), members: t.machine.Members()})
	if t.options.OnChange != nil {
		t.options.OnChange()
	}
}

func (t *Task) logChanges() {
	previousStates := map[string]State{}
	if old := t.view.Load(); old != nil {
		for _, m := range old.members {
			previousStates[m.Instance] = m.State
		}
	}
	for _, m := range t.machine.Members() {
		if previousStates[m.Instance] != m.State {
			t.options.Log.WithFields(log.Fields{"member": m.Instance, "from": previousStates[m.Instance], "to": m.State}).Info("member state changed")
		}
	}
}
