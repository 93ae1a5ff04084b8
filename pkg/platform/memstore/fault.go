package memstore

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind is the effect of a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultDown rejects all calls, and ends pending polls, with ErrUnavailable.
	FaultDown FaultKind = "down"
	// FaultSlow delays each call by DelayMS, half before and half after it takes effect.
	FaultSlow FaultKind = "slow"
	// FaultLost drops the response of a write after it took effect, so that the client gets ErrUncertain.
	FaultLost FaultKind = "lost"
	// FaultGap answers polls with ErrGap.
	FaultGap FaultKind = "gap"
	// FaultVMLag delays the visibility of changes to the VM list by DelayMS if that is longer than Options.VMLag.
	FaultVMLag FaultKind = "vm_lag"
)

// Fault is an injected fault. It is active until it is cleared or, with a Count, has affected that many
// calls.
type Fault struct {
	// ID is assigned by Inject.
	ID   int       `json:"id"`
	Kind FaultKind `json:"kind"`
	// Clients limits the fault to these client ids; empty means all clients.
	Clients []string `json:"clients,omitempty"`
	// DelayMS is the delay in milliseconds (slow and vm_lag).
	DelayMS int `json:"delay_ms,omitempty"`
	// Count is the number of calls that the fault still affects (lost and gap); 0 means no limit.
	Count int `json:"count,omitempty"`
	// Probability is the probability, 0 to 1, that the fault affects a call (lost and gap); 0 means every call.
	Probability float64 `json:"probability,omitempty"`
}

func (f Fault) appliesTo(kind FaultKind, client string) bool {
	return f.Kind == kind && (len(f.Clients) == 0 || slices.Contains(f.Clients, client))
}

// Validate returns an error that names the invalid field.
func (f Fault) Validate() error {
	switch f.Kind {
	case FaultDown, FaultLost, FaultGap:
	case FaultSlow, FaultVMLag:
		if f.DelayMS <= 0 {
			return fmt.Errorf("delay_ms: must be positive for a fault of kind %s", f.Kind)
		}
	default:
		return fmt.Errorf("kind: unknown fault kind %q", f.Kind)
	}
	if f.Count < 0 {
		return fmt.Errorf("count: must not be negative")
	}
	if f.Probability < 0 || f.Probability > 1 {
		return fmt.Errorf("probability: must be between 0 and 1")
	}
	return nil
}

// Inject activates a fault and returns its id.
func (s *Store) Inject(fault Fault) (int, error) {
	if err := fault.Validate(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFaultID++
	fault.ID = s.lastFaultID
	fault.Clients = slices.Clone(fault.Clients)
	s.faults = append(s.faults, fault)
	s.broadcast()
	return fault.ID, nil
}

// Clear ends the fault with the id; 0 ends all faults.
func (s *Store) Clear(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.DeleteFunc(s.faults, func(f Fault) bool { return id == 0 || f.ID == id })
	s.broadcast()
}

// Faults returns the active faults.
func (s *Store) Faults() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// hasFault reports whether a fault of the kind is active for the client. The caller holds mu.
func (s *Store) hasFault(kind FaultKind, client string) bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.appliesTo(kind, client) })
}

// consumeFault reports whether a fault of the kind affects this call. It decrements the fault's Count and removes the
// fault when the count reaches 0. The caller holds mu.
func (s *Store) consumeFault(kind FaultKind, client string) bool {
	for i := range s.faults {
		fault := &s.faults[i]
		if !fault.appliesTo(kind, client) {
			continue
		}
		if fault.Probability > 0 && s.random.Float64() >= fault.Probability {
			continue
		}
		if fault.Count > 0 {
			fault.Count--
			if fault.Count == 0 {
				s.faults = slices.Delete(s.faults, i, i+1)
			}
		}
		return true
	}
	return false
}

// longestDelay returns the longest delay of the active faults of the kind for the client. The caller holds mu.
func (s *Store) longestDelay(kind FaultKind, client string) time.Duration {
	longestMS := 0
	for _, fault := range s.faults {
		if fault.appliesTo(kind, client) {
			longestMS = max(longestMS, fault.DelayMS)
		}
	}
	return time.Duration(longestMS) * time.Millisecond
}
