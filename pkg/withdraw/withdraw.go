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
	// PropagationTime is added to the time to live of address answers, because other routers return this one in their
	// answers until its leaving state has reached them.
	PropagationTime = 3 * time.Second
	// announceRetryInterval is the time between attempts to announce, and drainInterval the time between checks for
	// pending work.
	announceRetryInterval = 200 * time.Millisecond
	drainInterval         = 100 * time.Millisecond
)

// PendingWork is work that a withdrawal waits for.
type PendingWork struct {
	// Name is a plural noun for the work, such as "streams".
	Name  string
	Count int
	// Remaining is the estimated time until the work is done; negative if it is not known.
	Remaining time.Duration
}

// Router is the router that a withdrawal takes out of service.
type Router interface {
	// Announce reports to the peers whether the router is leaving.
	Announce(ctx context.Context, leaving bool) error
	// ReturnGrants returns idle tokens. It is called until no work is pending.
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

// Withdrawal takes an entry VM out of service without interrupting a stream. Its states and events are those of the
// withdrawal chart. It is safe for concurrent use.
type Withdrawal struct {
	options Options
	begin   chan struct{}
	done    chan struct{}

	mu       sync.Mutex
	machine  *chart.Machine
	deadline time.Time
	// enteredAt is the time at which the current state began.
	enteredAt time.Time
	// cancel ends the current withdrawal when the operator removes the mark.
	cancel context.CancelFunc
}

// New returns a withdrawal of a router that is serving.
func New(options Options) (*Withdrawal, error) {
	c, err := chart.Load(chart.VMWithdrawal)
	if err != nil {
		return nil, fmt.Errorf("withdraw: %w", err)
	}
	return &Withdrawal{options: options, machine: c.Start(nil), begin: make(chan struct{}, 1), done: make(chan struct{}), enteredAt: time.Now()}, nil
}

// Begin starts the withdrawal. A zero deadline means that none is given. A second call, such as after a second signal,
// changes at most the deadline and interrupts no stream.
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
		// Run has not handled an earlier start yet, which covers this one.
	}
}

// Cancel ends the withdrawal and reports whether that was still possible. The router then serves again.
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

// IsListed reports whether the router may appear in address answers.
func (w *Withdrawal) IsListed() bool { return w.State() == StateServing }

// AcceptsNew reports whether the router accepts new requests.
func (w *Withdrawal) AcceptsNew() bool {
	state := w.State()
	return state == StateServing || state == StateAnnounced || state == StateLameDuck
}

// State returns the current state of the withdrawal chart.
func (w *Withdrawal) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.State()
}

// Done returns a channel that is closed when the process may exit.
func (w *Withdrawal) Done() <-chan struct{} { return w.done }

// Progress returns the state, the pending work and the estimated remaining time, or false while the router is serving.
func (w *Withdrawal) Progress() (Progress, bool) {
	w.mu.Lock()
	p := Progress{VM: w.options.VM, State: w.machine.State(), Deadline: w.deadline}
	enteredAt := w.enteredAt
	w.mu.Unlock()
	if p.State == StateServing {
		return p, false
	}
	if p.State == StateAnnounced || p.State == StateLameDuck {
		p.Remaining = max(0, w.lameDuckTime()-time.Since(enteredAt))
		p.Awaited = append(p.Awaited, fmt.Sprintf("address answers already given (%v)", p.Remaining.Round(time.Millisecond)))
	}
	for _, work := range w.options.Router.Pending() {
		p.Awaited = append(p.Awaited, fmt.Sprintf("%d %s", work.Count, work.Name))
		if work.Remaining < 0 || p.Remaining < 0 {
			p.Remaining = -1
		} else {
			p.Remaining = max(p.Remaining, work.Remaining)
		}
	}
	return p, true
}

// lameDuckTime is the time for which a leaving router still accepts new requests after its announcement.
func (w *Withdrawal) lameDuckTime() time.Duration { return w.options.AddressTTL + PropagationTime }

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

// withdraw runs one withdrawal and reports whether it reached the final state of the chart.
func (w *Withdrawal) withdraw(ctx context.Context) bool {
	cancellable, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	isCancelled := w.machine.State() == StateServing
	w.mu.Unlock()
	if isCancelled || !w.announce(cancellable, true) || !w.fireUnlessDone(cancellable, "announced") {
		return false
	}
	if !sleep.For(cancellable, w.lameDuckTime()) || !w.fireUnlessDone(cancellable, "addresses_expired") {
		return false
	}
	return w.drain(ctx) && w.fireUnlessDone(ctx, "drained")
}

// announce repeats the announcement until one attempt succeeds or ctx ends. Peers that it doesn't reach detect the
// withdrawal by their probes.
func (w *Withdrawal) announce(ctx context.Context, leaving bool) bool {
	for {
		err := w.options.Router.Announce(ctx, leaving)
		if err == nil {
			return true
		}
		w.options.Log.WithError(err).Warn("failed to announce the withdrawal or its end to the peers")
		if !sleep.For(ctx, announceRetryInterval) {
			return false
		}
	}
}

// drain returns grants until no work is pending. It reports false if ctx ended first.
func (w *Withdrawal) drain(ctx context.Context) bool {
	for {
		if err := w.options.Router.ReturnGrants(ctx); err != nil {
			w.options.Log.WithError(err).Warn("failed to return grants")
		}
		if len(w.options.Router.Pending()) == 0 {
			return true
		}
		if !sleep.For(ctx, drainInterval) {
			return false
		}
	}
}

// fireUnlessDone fires an event unless ctx ended. Cancel ends ctx under the same lock, so after Cancel and another
// Begin the first run fires no event in the second withdrawal.
func (w *Withdrawal) fireUnlessDone(ctx context.Context, event string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ctx.Err() == nil && w.fire(event)
}

// fire applies an event to the chart and reports whether the current state allows it. The caller holds the lock.
func (w *Withdrawal) fire(event string) bool {
	from := w.machine.State()
	if err := w.machine.Fire(event); err != nil {
		w.options.Log.WithField("event", event).WithField("state", from).Info("withdrawal event has no effect in this state")
		return false
	}
	w.enteredAt = time.Now()
	w.options.Log.WithFields(log.Fields{"from": from, "to": w.machine.State(), "event": event}).Info("withdrawal state changed")
	return true
}
