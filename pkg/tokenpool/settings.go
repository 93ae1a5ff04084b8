// Package tokenpool pays for requests from tokens that the ledger has granted to this router.
//
// A token pool is a deterministic state machine. Its input is events with their time; its output is effects: calls to
// the ledger, to witnesses and to other routers, and completed calls. Pool runs the state machine in one goroutine and
// carries out its effects.
package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// Settings are the limits and intervals of a token pool. Zero values are replaced by defaults.
type Settings struct {
	// ReserveWait is the longest time that a request waits for tokens.
	ReserveWait time.Duration
	// FlushInterval is the longest time that a witnessed bill waits before it is sent to the ledger. Without
	// witnesses a bill is sent at once.
	FlushInterval time.Duration
	// FlushBills is the number of witnessed bills of an organisation at which they are sent without waiting for
	// FlushInterval.
	FlushBills int
	// RetryInterval is the time after which a failed call to the ledger is repeated.
	RetryInterval time.Duration
	// RecallInterval is the time after which a recall that returned too few tokens is repeated.
	RecallInterval time.Duration
	// ScarceTime is the time after a shortage at the ledger during which only tokens for waiting requests are requested.
	ScarceTime time.Duration
	// TransferInterval is the time between two rounds of asking other routers for tokens.
	TransferInterval time.Duration
	// DemandWindow is the time constant of the demand estimate.
	DemandWindow time.Duration
	// Horizons gives the time that a grant should last at the estimated demand, by preference.
	Horizons map[budget.Preference]time.Duration
	// IdleTimes gives the time without a reservation after which unspent tokens are returned, by preference.
	IdleTimes map[budget.Preference]time.Duration
	// Journal are the intervals of the journal.
	Journal journal.Timing
}

func (s Settings) withDefaults() Settings {
	setDefaultDuration(&s.ReserveWait, 2*time.Second)
	setDefaultDuration(&s.FlushInterval, 2*time.Second)
	setDefaultDuration(&s.RetryInterval, 100*time.Millisecond)
	setDefaultDuration(&s.RecallInterval, 250*time.Millisecond)
	setDefaultDuration(&s.ScarceTime, time.Second)
	setDefaultDuration(&s.TransferInterval, 500*time.Millisecond)
	setDefaultDuration(&s.DemandWindow, 5*time.Second)
	if s.FlushBills == 0 {
		s.FlushBills = 256
	}
	if s.Horizons == nil {
		s.Horizons = map[budget.Preference]time.Duration{
			budget.AvoidOverspend: 2 * time.Second, budget.AvoidRefusal: 30 * time.Second}
	}
	if s.IdleTimes == nil {
		s.IdleTimes = map[budget.Preference]time.Duration{
			budget.AvoidOverspend: 5 * time.Second, budget.AvoidRefusal: 60 * time.Second}
	}
	return s
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (s Settings) horizon(p budget.Preference) time.Duration {
	if h, ok := s.Horizons[p]; ok {
		return h
	}
	return s.Horizons[budget.AvoidOverspend]
}

func (s Settings) idleTime(p budget.Preference) time.Duration {
	if d, ok := s.IdleTimes[p]; ok {
		return d
	}
	return s.IdleTimes[budget.AvoidOverspend]
}
