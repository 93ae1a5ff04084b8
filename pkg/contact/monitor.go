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
	// overdueAfter is the time after which a call that the store doesn't hold counts as lost if nothing was answered since it began. A
	// slow store answers in about 250 ms.
	overdueAfter = 700 * time.Millisecond
	// slowAnswer is the time of an answer from which an overdue call may be slow and not lost. A healthy store answers in 4 ms.
	slowAnswer = 150 * time.Millisecond
)

// ErrInterrupted means that a call was given up because the store answers others that began later. It is to be made again.
var ErrInterrupted = errors.New("contact: the call was lost in a silence of the store that is over")

// ErrLeaderAnswered is an ErrInterrupted of a router whose store is silent while it answers a router that this one may follow.
var ErrLeaderAnswered = fmt.Errorf("%w: a router to follow has an answer", ErrInterrupted)

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
	// isGuess is set if no call of the present silence has failed yet, but one is overdue.
	isGuess bool
	// gapEndedBy is the start of the call whose answer ended the last gap of the history, and gapIsSlow is set if that took longer
	// than slowAnswer.
	gapEndedBy time.Time
	gapIsSlow  bool
	pending    map[*pendingCall]struct{}
	// returned is closed at the end of the next silence.
	returned chan struct{}
	// wake has an element after a silence was noticed.
	wake chan struct{}
}

// pendingCall is a call that is given up if it was lost in a silence.
type pendingCall struct {
	startedAt time.Time
	// isLong is set for a call that the store may hold or whose answer is large.
	isLong bool
	cancel context.CancelCauseFunc
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

// NotifyReturns calls notify at the end of each silence, until ctx ends.
func (m *Monitor) NotifyReturns(ctx context.Context, notify func()) {
	for returned := m.Returned(); ; {
		select {
		case <-ctx.Done():
			return
		case <-returned:
		}
		returned = m.Returned()
		notify()
	}
}

// Call makes a call and records its result. isLong is set if the store may hold it or if its answer is large; other calls are lost if
// they take longer than overdueAfter while nothing is answered. If the call was lost in a silence that another call has ended, it is
// given up and the error wraps ErrInterrupted.
func (m *Monitor) Call(ctx context.Context, isLong bool, call func(context.Context) error) error {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &pendingCall{startedAt: time.Now(), isLong: isLong, cancel: cancel}
	m.mu.Lock()
	m.pending[p] = struct{}{}
	m.mu.Unlock()
	if !isLong {
		timer := time.AfterFunc(overdueAfter, func() { m.setOverdue(p) })
		defer timer.Stop()
	}
	err := call(callCtx)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, p)
	if cause := context.Cause(callCtx); err != nil && errors.Is(cause, ErrInterrupted) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	m.record(ctx, p, err)
	return err
}

// LeaderAnswered gives up the lists and watches that began at least probeInterval before the store answered another router, at the time at.
// It does so only while the store is silent to this router, and doesn't end the silence: the store may be silent to this router alone.
func (m *Monitor) LeaderAnswered(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.history.IsSilent() {
		return
	}
	for p := range m.pending {
		if p.isLong && at.Sub(p.startedAt) >= probeInterval {
			p.cancel(ErrLeaderAnswered)
		}
	}
}

// setOverdue records that the call has taken longer than overdueAfter.
func (m *Monitor) setOverdue(p *pendingCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.pending[p]; !ok {
		return
	}
	if m.history.Lost(p.startedAt) {
		m.beginSilence(p, nil)
		m.isGuess = true
		return
	}
	if !m.gapIsSlow {
		m.checkGap(p)
	}
	if last := m.history.Last(); p.startedAt.After(last.Began) && p.startedAt.Before(last.Ended) {
		p.cancel(ErrInterrupted)
	}
}

// checkGap gives up the calls that were lost before the end of the last gap, if the lost call p shows that the store was silent in it.
// m.mu must be held.
func (m *Monitor) checkGap(p *pendingCall) {
	if m.history.LostInGap(p.startedAt) {
		m.noticedAt = time.Now()
		m.endSilence(func(other *pendingCall) bool { return other.startedAt.Before(m.gapEndedBy) })
	}
}

// record records the result of the call p with the context ctx. m.mu must be held.
func (m *Monitor) record(ctx context.Context, p *pendingCall, err error) {
	now := time.Now()
	switch {
	case isAnswer(err):
		ended, isSlow := m.history.Answered(now), now.Sub(p.startedAt) > slowAnswer
		if m.history.gap.Ended.Equal(now) {
			m.gapEndedBy, m.gapIsSlow = p.startedAt, isSlow
		}
		if !ended {
			return
		}
		mayBeSlow := m.isGuess && isSlow
		m.endSilence(func(other *pendingCall) bool { return !mayBeSlow && m.isLost(other, now, p.startedAt) })
	case errors.Is(err, platform.ErrThrottled) || errors.Is(ctx.Err(), context.Canceled):
		// A rejected call doesn't show that others are lost, and neither does one that its caller gave up.
	case m.history.Lost(p.startedAt):
		m.beginSilence(p, err)
	default:
		m.isGuess = false
		m.checkGap(p)
	}
}

// beginSilence notes that a silence was noticed by the call p. m.mu must be held.
func (m *Monitor) beginSilence(p *pendingCall, err error) {
	m.noticedAt, m.isGuess = time.Now(), false
	entry := m.Log.WithField("call_ms", m.noticedAt.Sub(p.startedAt).Milliseconds())
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("store_contact_lost")
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// isLost reports whether a pending call was lost in the silence that the answer to a call begun at answeredStart has ended: it began
// before the silence was noticed, or before that call. A short one that began in the last probeInterval may be on its way, so
// setOverdue decides about it.
func (m *Monitor) isLost(p *pendingCall, now, answeredStart time.Time) bool {
	return p.startedAt.Before(m.noticedAt) || p.startedAt.Before(answeredStart) && (p.isLong || now.Sub(p.startedAt) >= probeInterval)
}

// endSilence gives up the calls for which isLost returns true. m.mu must be held.
func (m *Monitor) endSilence(isLost func(*pendingCall) bool) {
	interrupted := 0
	for p := range m.pending {
		if isLost(p) {
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
