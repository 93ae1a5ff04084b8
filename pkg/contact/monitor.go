package contact

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Monitor records the calls to the store. It is safe for concurrent use.
type Monitor struct {
	Log log.Interface

	mu      sync.Mutex
	history History
}

// NewMonitor returns a Monitor.
func NewMonitor(logger log.Interface) *Monitor { return &Monitor{Log: logger} }

// LastSilence returns the last silence of the store that has ended, the zero value if there was none.
func (m *Monitor) LastSilence() Silence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.Last()
}

// Record records the result of a call that began at startedAt with the context ctx.
func (m *Monitor) Record(ctx context.Context, startedAt time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case isAnswer(err):
		if m.history.Answered(now) {
			s := m.history.Last()
			m.Log.WithField("silent_ms", s.Length().Milliseconds()).Info("store_contact_regained")
		}
	case errors.Is(err, platform.ErrThrottled) || errors.Is(ctx.Err(), context.Canceled):
		// A rejected call says nothing about the others, and neither does one that its caller gave up.
	default:
		if m.history.Lost(startedAt) {
			m.Log.WithField("call_ms", now.Sub(startedAt).Milliseconds()).WithError(err).Info("store_contact_lost")
		}
	}
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
