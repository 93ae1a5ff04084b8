package withdraw

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/chart"
)

// States of the withdrawal chart.
const (
	StateServing   = "serving"
	StateAnnounced = "announced"
	StateLameDuck  = "lame_duck"
	StateDraining  = "draining"
	StateStopped   = "stopped"
)

const (
	// PropagationTime is added to the time to live of address answers, because other routers name this one in their
	// answers until they learn that it is leaving.
	PropagationTime = 3 * time.Second
	// announcePause is the pause between tries to announce, and drainPause the one between checks for awaited work.
	announcePause = 200 * time.Millisecond
	drainPause    = 100 * time.Millisecond
)

// PendingWork is work that a withdrawal waits for.
type PendingWork struct {
	// What names the work, such as "streams", in the plural.
	What  string
	Count int
	// Remaining is the estimated time until it is done; negative if it is not known.
	Remaining time.Duration
}

// Router is what a withdrawal does with its router.
type Router interface {
	// Announce tells the peers that the router is leaving, or that it stays.
	Announce(ctx context.Context, leaving bool) error
	// ReturnGrants gives idle tokens back. It is called again until nothing is awaited.
	ReturnGrants(ctx context.Context) error
	// Pending lists the work that must end before the process may exit. Entries without work are left out.
	Pending() []PendingWork
}

// Options configures a Withdrawal.
type Options struct {
	VM         string
	Router     Router
	AddressTTL time.Duration
	Log        log.Interface
}

// Withdrawal takes an entry VM out of service without cutting a stream, as its chart says. It is safe for concurrent
// use.
type Withdrawal struct {
	options Options
	begin   chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	machine  *chart.Machine
	deadline time.Time
	// entered is the start of the present state.
	entered time.Time
	// cancel ends the present withdrawal when the operator takes the mark back.
	cancel context.CancelFunc
}

// New returns a withdrawal of a router that is serving.
func New(options Options) (*Withdrawal, error) {
	c, err := chart.Load(chart.VMWithdrawal)
	if err != nil {
		return nil, fmt.Errorf("withdraw: %w", err)
	}
	return &Withdrawal{options: options, machine: c.Start(nil), begin: make(chan struct{}, 1), done: make(chan struct{}), entered: time.Now()}, nil
}

// Begin starts the withdrawal. A second call, as of a second signal, changes at most the deadline and cuts nothing.
func (w *Withdrawal) Begin(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !deadline.IsZero() {
		w.deadline = deadline
	}
	if !w.fire("leave") {
		return
	}
	select {
	case w.begin <- struct{}{}:
	default:
		// An earlier start that Run has not seen yet covers this one.
	}
}

// Cancel ends the withdrawal and reports whether that was still possible.
func (w *Withdrawal) Cancel() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fire("stay") {
		return false
	}
	w.deadline = time.Time{}
	if w.cancel != nil {
		w.cancel()
	}
	return true
}

// Listed reports whether the router may appear in address answers.
func (w *Withdrawal) Listed() bool { return w.State() == StateServing }

// AcceptsNew reports whether the router takes new requests.
func (w *Withdrawal) AcceptsNew() bool {
	state := w.State()
	return state == StateServing || state == StateAnnounced || state == StateLameDuck
}

// State returns the state of the chart.
func (w *Withdrawal) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.State()
}

// Done is closed when the process may exit.
func (w *Withdrawal) Done() <-chan struct{} { return w.done }

// Progress returns the state, what is awaited and an estimate, or false while the router is serving.
func (w *Withdrawal) Progress() (Progress, bool) {
	w.mu.Lock()
	p := Progress{VM: w.options.VM, State: w.machine.State(), Deadline: w.deadline}
	entered := w.entered
	w.mu.Unlock()
	if p.State == StateServing {
		return p, false
	}
	if p.State == StateAnnounced || p.State == StateLameDuck {
		p.Remaining = max(0, w.lameDuck()-time.Since(entered))
		p.Awaited = append(p.Awaited, fmt.Sprintf("address answers already given (%v)", p.Remaining.Round(time.Millisecond)))
	}
	for _, a := range w.options.Router.Pending() {
		p.Awaited = append(p.Awaited, fmt.Sprintf("%d %s", a.Count, a.What))
		if a.Remaining < 0 || p.Remaining < 0 {
			p.Remaining = -1
		} else {
			p.Remaining = max(p.Remaining, a.Remaining)
		}
	}
	return p, true
}

func (w *Withdrawal) lameDuck() time.Duration { return w.options.AddressTTL + PropagationTime }

// Run performs withdrawals until one is complete or ctx ends.
func (w *Withdrawal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.begin:
		}
		if w.withdraw(ctx) {
			close(w.done)
			return
		}
		if ctx.Err() == nil && w.State() == StateServing {
			w.announce(ctx, false)
		}
	}
}

// withdraw goes through the states of the chart and reports whether it reached the last one.
func (w *Withdrawal) withdraw(ctx context.Context) bool {
	cancellable, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	stayed := w.machine.State() == StateServing
	w.mu.Unlock()
	if stayed || !w.announce(cancellable, true) || !w.step(cancellable, "announced") {
		return false
	}
	if !sleep.For(cancellable, w.lameDuck()) || !w.step(cancellable, "addresses_expired") {
		return false
	}
	return w.drain(ctx) && w.step(ctx, "drained")
}

// announce tells the peers until one try succeeds. Peers that can't be told find out by their probes.
func (w *Withdrawal) announce(ctx context.Context, leaving bool) bool {
	for {
		err := w.options.Router.Announce(ctx, leaving)
		if err == nil {
			return true
		}
		w.options.Log.WithError(err).Warn("the peers were not told of the withdrawal")
		if !sleep.For(ctx, announcePause) {
			return false
		}
	}
}

// drain returns grants until no work is left.
func (w *Withdrawal) drain(ctx context.Context) bool {
	for {
		if err := w.options.Router.ReturnGrants(ctx); err != nil {
			w.options.Log.WithError(err).Warn("grants were not returned yet")
		}
		if len(w.options.Router.Pending()) == 0 {
			return true
		}
		if !sleep.For(ctx, drainPause) {
			return false
		}
	}
}

// step fires an event unless ctx ended. Cancel ends ctx under the same lock, so a withdrawal that was taken back and
// begun again is not moved on by its first run.
func (w *Withdrawal) step(ctx context.Context, event string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ctx.Err() == nil && w.fire(event)
}

// fire runs an event of the chart and reports whether it was allowed. The caller holds the lock.
func (w *Withdrawal) fire(event string) bool {
	from := w.machine.State()
	if err := w.machine.Fire(event); err != nil {
		w.options.Log.WithField("event", event).WithField("state", from).Info("withdrawal event has no effect in this state")
		return false
	}
	w.entered = time.Now()
	w.options.Log.WithFields(log.Fields{"from": from, "to": w.machine.State(), "event": event}).Info("withdrawal state changed")
	return true
}
