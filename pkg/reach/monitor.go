package reach

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/task"
)

const (
	// connectTimeout bounds a connection attempt of a check. A healthy endpoint accepts within a few ms.
	connectTimeout = 300 * time.Millisecond
	// suspicionAge is the time since the last connection from which a suspicion leads to a check.
	suspicionAge = 500 * time.Millisecond
	// maxDoubt is how long AwaitCheck waits: two rounds of a check. It looks every doubtPollInterval.
	maxDoubt          = 2*connectTimeout + 100*time.Millisecond
	doubtPollInterval = 5 * time.Millisecond
)

// MonitorOptions contains the dependencies of a Monitor.
type MonitorOptions struct {
	// Listed returns the distinct addresses of the endpoints that should serve, in order.
	Listed func() []string
	// Connect connects to an endpoint. The result comes through Monitor.Record.
	Connect func(ctx context.Context, address string, timeout time.Duration) error
	// Changed is called after IsCut has changed, with the time of the last connection before the cut. Optional.
	Changed func(cut bool, lostSince time.Time)
	Log     log.Interface
}

// Monitor keeps a Path up to date: it checks the links when attempts fail, and tries them while the VM is cut off. It is safe
// for concurrent use.
type Monitor struct {
	MonitorOptions
	owner *task.Owner[Path]
	// wake has an element while a check is due.
	wake                   chan struct{}
	cut, refusing, inDoubt atomic.Bool
}

// NewMonitor returns a Monitor. Its methods may block until Run is called.
func NewMonitor(o MonitorOptions) *Monitor {
	return &Monitor{MonitorOptions: o, owner: task.New(&Path{}), wake: make(chan struct{}, 1)}
}

// IsCut reports whether the VM has lost its links to all endpoints.
func (m *Monitor) IsCut() bool { return m.cut.Load() }

// IsRefusing reports whether, while IsCut is true, connection attempts fail at once instead of at their timeout, so that an
// attempt costs no time and open connections may still work.
func (m *Monitor) IsRefusing() bool { return m.refusing.Load() }

// AwaitCheck waits until it is known whether the VM has lost its links, after an attempt has failed, and returns IsCut.
func (m *Monitor) AwaitCheck(ctx context.Context) bool {
	m.owner.Do(func(*Path) {}) // Attempts that have ended are recorded before.
	end := time.Now().Add(maxDoubt)
	for m.inDoubt.Load() && time.Now().Before(end) && sleep.For(ctx, doubtPollInterval) {
		// The check is in progress.
	}
	return m.IsCut()
}

// Record records a connection attempt to an endpoint.
func (m *Monitor) Record(a Attempt) {
	listed := m.Listed()
	m.owner.Post(func(p *Path) {
		changed := p.Record(a, listed)
		m.refusing.Store(p.IsRefusing())
		m.cut.Store(p.IsCut())
		m.inDoubt.Store(p.IsInDoubt() && !p.IsCut())
		if changed {
			m.Log.WithFields(log.Fields{
				"cut": p.IsCut(), "refused": a.Refused, "endpoint_address": a.Address, "endpoints": len(listed), "lost_for_ms": a.Ended.Sub(p.LostSince()).Milliseconds(),
			}).Warn("endpoint_links")
			if m.Changed != nil {
				m.Changed(p.IsCut(), p.LostSince())
			}
		}
		if p.IsInDoubt() {
			m.wakeUp()
		}
	})
}

// Suspect requests a check after an endpoint that was reached before has given no answer or broken one off.
func (m *Monitor) Suspect() {
	m.owner.Post(func(p *Path) {
		if time.Since(p.connectedAt) >= suspicionAge {
			m.wakeUp()
		}
	})
}

func (m *Monitor) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run checks the links when this is due until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.owner.Run(ctx) })
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		// While the VM is cut off or this is in doubt, it is checked in any case: the attempts may not count as evidence.
		if !m.IsCut() && !m.inDoubt.Load() {
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
			}
		}
		if !sleep.For(ctx, time.Until(m.runRound(ctx, rng))) {
			return
		}
	}
}

// runRound connects to some endpoints and returns when the next round is due.
func (m *Monitor) runRound(ctx context.Context, rng *rand.Rand) (next time.Time) {
	listed := m.Listed()
	var r Round
	m.owner.Do(func(p *Path) { r = p.BeginRound(time.Now(), listed, rng) })
	var attempts conc.WaitGroup
	for _, address := range r.Targets {
		attempts.Go(func() {
			_ = m.Connect(ctx, address, connectTimeout) // The result comes through Record.
		})
	}
	attempts.Wait()
	m.owner.Do(func(p *Path) { next = p.NextRound(r) })
	return next
}
