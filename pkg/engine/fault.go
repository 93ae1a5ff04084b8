package engine

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultFreeze stops all work and all answers for DurationMS.
	FaultFreeze FaultKind = "freeze"
	// FaultSlow multiplies all times by Factor, for DurationMS or until it is cleared.
	FaultSlow FaultKind = "slow"
	// FaultCrash crashes the engine at once.
	FaultCrash FaultKind = "crash"
	// FaultCacheGap drops the next Count cache events.
	FaultCacheGap FaultKind = "cache_gap"
	// FaultCrossed swaps a frame between two streams, Count times. Each of the two streams then has a frame of the other
	// one in place of its own. It takes effect only while at least two streams produce tokens.
	FaultCrossed FaultKind = "crossed"
	// FaultDuplicated sends the next Count frames twice.
	FaultDuplicated FaultKind = "duplicated"
	// FaultLate inserts the last token's frame of an ended request into the stream of another one, Count times.
	FaultLate FaultKind = "late"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DurationMS is in milliseconds; FaultFreeze needs it, FaultSlow may have it.
	DurationMS int     `json:"duration_ms,omitempty"`
	Factor     float64 `json:"factor,omitempty"`
	Count      int     `json:"count,omitempty"`
}

// faults holds the faults in force.
type faults struct {
	frozenUntil time.Time
	factor      float64
	// slowUntil is zero if the slow fault lasts until it is cleared.
	slowUntil time.Time
	counts    map[FaultKind]int
}

func (f *faults) slowFactor(now time.Time) float64 {
	if f.factor == 0 || (!f.slowUntil.IsZero() && !now.Before(f.slowUntil)) {
		return 1
	}
	return f.factor
}

// consume reports whether a counted fault applies now, and decrements its count.
func (f *faults) consume(kind FaultKind) bool {
	if f.counts[kind] == 0 {
		return false
	}
	f.counts[kind]--
	return true
}

// Inject activates a fault. It returns an error that names the first invalid field.
func (e *Engine) Inject(fault Fault) error {
	if fault.Kind == FaultCrash {
		e.crash()
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	until := now.Add(time.Duration(fault.DurationMS) * time.Millisecond)
	switch fault.Kind {
	case FaultFreeze:
		if fault.DurationMS <= 0 {
			return fmt.Errorf("duration_ms: must be positive")
		}
		e.faults.frozenUntil = until
	case FaultSlow:
		if fault.Factor <= 0 || fault.DurationMS < 0 {
			return fmt.Errorf("factor: must be positive, and duration_ms not negative")
		}
		e.faults.factor, e.faults.slowUntil = fault.Factor, time.Time{}
		if fault.DurationMS > 0 {
			e.faults.slowUntil = until
		}
	case FaultCacheGap, FaultCrossed, FaultDuplicated, FaultLate:
		if fault.Count <= 0 {
			return fmt.Errorf("count: must be positive")
		}
		if e.faults.counts == nil {
			e.faults.counts = map[FaultKind]int{}
		}
		e.faults.counts[fault.Kind] = fault.Count
	default:
		return fmt.Errorf("kind: unknown fault kind %q", fault.Kind)
	}
	return nil
}

// ClearFaults ends all faults.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults{}
}
