// Package tokenpool pays for requests from tokens that the ledger has granted to this router.
//
// The state of the token pool is a deterministic state machine: it takes events with the time, and returns effects
// (calls to the ledger, to witnesses and to other routers, and completed calls). Pool runs the state machine in one
// task and carries out its effects.
package tokenpool

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
)

// Settings are the limits of a token pool. Zero values are replaced by the defaults.
type Settings struct {
	// ReserveWait is the longest time that a request waits for tokens.
	ReserveWait time.Duration
	// FlushInterval is the longest time that a witnessed bill waits before it is sent to the ledger. Without
	// witnesses a bill is sent at once.
	FlushInterval time.Duration
	// FlushBills is the number of witnessed bills of an organisation that are sent without waiting.
	FlushBills int
	// RetryInterval is the time after which a failed call to the ledger is repeated.
	RetryInterval time.Duration
	// RecallInterval is the time after which a recall that brought too little is repeated.
	RecallInterval time.Duration
	// ScarceTime is how long tokens that nobody waits for are not asked for after the ledger had too few.
	ScarceTime time.Duration
	// TransferInterval is the time between two rounds of asking other routers for tokens.
	TransferInterval time.Duration
	// DemandWindow is the time constant of the demand estimate.
	DemandWindow time.Duration
	// Horizons gives the time that a grant is to last, by preference.
	Horizons map[budget.Preference]time.Duration
	// IdleTimes gives the time without a reservation after which unspent tokens are returned, by preference.
	IdleTimes map[budget.Preference]time.Duration
	// Journal are the intervals of the journal.
	Journal journal.Timing
}

func (s Settings) withDefaults() Settings {
	setDuration(&s.ReserveWait, 2*time.Second)
	setDuration(&s.FlushInterval, 2*time.Second)
	setDuration(&s.RetryInterval, 100*time.Millisecond)
	setDuration(&s.RecallInterval, 250*time.Millisecond)
	setDuration(&s.ScarceTime, time.Second)
	setDuration(&s.TransferInterval, 500*time.Millisecond)
	setDuration(&s.DemandWindow, 5*time.Second)
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

func setDuration(d *time.Duration, value time.Duration) {
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
