package contact

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

const (
	// probeInterval is the time between the starts of two probes of a silent store. A probe that was sent into the silence is never
	// answered, so each one gets a successor before its own timeout.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe. A slow store may take some hundred ms.
	probeTimeout = time.Second
)

// ErrInterrupted means that a call was given up because the store answers others that began later. It is to be made again.
var ErrInterrupted = errors.New("contact: the call was lost in a silence of the store that is over")

// Options contains the dependencies of a Monitor.
type Options struct {
	// Probe makes a cheap call to the store and records its result. MayProbe reports whether this router is one of those that find
	// out for the fleet when a silent store is back.
	Probe    func(ctx context.Context) error
	MayProbe func() bool
	Log      log.Interface
}

// Monitor records the calls to the store, probes a silent one, and gives up the calls that were lost in the silence once it is
// over. It is safe for concurrent use.
type Monitor struct {
	Options

	mu      sync.Mutex
	history History
	// noticedAt is the time at which the last silence was noticed.
	noticedAt time.Time
	pending   map[*pendingCall]struct{}
	// returned is closed at the end of the next silence.
	returned chan struct{}
	// wake has an element after a silence was noticed.
	wake chan struct{}
}

// pendingCall is a call that is given up if it was lost in a silence.
type pendingCall struct {
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

// NewMonitor returns a Monitor.
func NewMonitor(o Options) *Monitor {
	return &Monitor{Options: o, pending: map[*pendingCall]struct{}{}, returned: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run probes the store while it is silent, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		m.probeUntilReturn(ctx)
	}
}

func (m *Monitor) probeUntilReturn(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var probes conc.WaitGroup
	defer probes.Wait()
	defer cancel() // Ends the probes that were sent into the silence.
	for m.IsSilent() {
		if m.MayProbe() {
			probes.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				_ = m.Probe(ctx) // The call records its result.
			})
		}
		select {
		case <-m.Returned():
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// IsSilent reports whether calls are lost and none has been answered since.
func (m *Monitor) IsSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.IsSilent()
}

// LastSilence returns the last silence of the store that has ended, the zero value if there was none.
func (m *Monitor) LastSilence() Silence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.Last()
}

// Returned returns a channel that is closed at the end of the present silence or of the next one.
func (m *Monitor) Returned() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.returned
}

// Call makes a call that may be waiting for long, and records its result. If the call was lost in a silence that another call has
// ended, it is given up and the error wraps ErrInterrupted.
func (m *Monitor) Call(ctx context.Context, call func(context.Context) error) error {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &pendingCall{startedAt: time.Now(), cancel: cancel}
	m.mu.Lock()
	m.pending[p] = struct{}{}
	m.mu.Unlock()
	err := call(callCtx)
	m.mu.Lock()
	delete(m.pending, p)
	m.mu.Unlock()
	if err != nil && errors.Is(context.Cause(callCtx), ErrInterrupted) {
		return fmt.Errorf("%w: %w", ErrInterrupted, err)
	}
	m.Record(ctx, p.startedAt, err)
	return err
}

// Record records the result of a call that began at startedAt with the context ctx.
func (m *Monitor) Record(ctx context.Context, startedAt time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case isAnswer(err):
		if m.history.Answered(now) {
			m.endSilence(startedAt)
		}
	case errors.Is(err, platform.ErrThrottled) || errors.Is(ctx.Err(), context.Canceled):
		// A rejected call doesn't show that others are lost, and neither does one that its caller gave up.
	case m.history.Lost(startedAt):
		m.noticedAt = now
		m.Log.WithField("call_ms", now.Sub(startedAt).Milliseconds()).WithError(err).Info("store_contact_lost")
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// endSilence gives up the calls that were lost in it: those that began before it was noticed, or before the call that was answered
// now. m.mu must be held.
func (m *Monitor) endSilence(answeredStart time.Time) {
	interrupted := 0
	for p := range m.pending {
		if p.startedAt.Before(m.noticedAt) || p.startedAt.Before(answeredStart) {
			p.cancel(ErrInterrupted)
			interrupted++
		}
	}
	close(m.returned)
	m.returned = make(chan struct{})
	m.Log.WithFields(log.Fields{"silent_ms": m.history.Last().Length().Milliseconds(), "calls_given_up": interrupted}).Info("store_contact_regained")
}

// isAnswer reports whether a call with this error was answered by the store.
func isAnswer(err error) bool {
	for _, answer := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrGap, platform.ErrTooLarge} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return err == nil
}

// Sleep waits for d, or until the end of a silence of the store. It returns false as soon as ctx has ended.
func (m *Monitor) Sleep(ctx context.Context, d time.Duration) bool {
	ended, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-m.Returned():
	case <-ended.Done():
	}
	return ctx.Err() == nil
}
