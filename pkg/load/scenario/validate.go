package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits that keep a run from exhausting the machine's memory.
const (
	// MaxDuration bounds a run.
	MaxDuration = 30 * time.Minute
	// MaxRequests bounds the expected number of requests of a run, because the observations of each are kept in memory.
	MaxRequests = 2_000_000
)

// Validate returns an error that names the invalid field.
func (s Scenario) Validate() error {
	if s.Name == "" {
		return fmt.Errorf("name: is required")
	}
	if s.Duration <= 0 || s.Duration > MaxDuration {
		return fmt.Errorf("duration: %v is out of range; allowed is more than 0 and at most %v", s.Duration, MaxDuration)
	}
	if s.Settle < 0 || s.Settle > MaxDuration {
		return fmt.Errorf("settle: %v is out of range; allowed is at most %v", s.Settle, MaxDuration)
	}
	if s.Rate <= 0 || s.BytesPerToken < 0 || s.DirectEvery < 0 {
		return fmt.Errorf("rate, bytes_per_token and direct_every: must not be negative")
	}
	if len(s.Mixes) == 0 {
		return fmt.Errorf("mixes: at least one is needed")
	}
	expected := 0.0
	for i, m := range s.Mixes {
		if err := m.validate(); err != nil {
			return fmt.Errorf("mixes[%d].%w", i, err)
		}
		expected += m.Rate * s.Rate * s.Duration.Seconds()
	}
	if expected > MaxRequests {
		return fmt.Errorf("mixes: %.0f requests are expected; allowed are %d", expected, MaxRequests)
	}
	for i, f := range s.Faults {
		if err := f.validate(s.Duration); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}

func (m Mix) validate() error {
	switch {
	case m.Name == "":
		return fmt.Errorf("name: is required")
	case m.Organisation == "":
		return fmt.Errorf("organisation: is required")
	case m.Class == "":
		return fmt.Errorf("class: is required")
	case m.Rate <= 0:
		return fmt.Errorf("rate: must be positive")
	case m.HangUp < 0 || m.HangUp > 1:
		return fmt.Errorf("hang_up: must be between 0 and 1")
	case m.Burst < 0 || m.Limit < 0 || m.Callers < 0 || m.Prefixes < 0 || m.PrefixTokens < 0:
		return fmt.Errorf("burst, limit, callers, prefixes and prefix_tokens: must not be negative")
	case m.Service != "" && m.Path == "":
		return fmt.Errorf("path: is required with service")
	case m.Service != "" && (m.Stream || m.HangUp > 0):
		return fmt.Errorf("stream and hang_up: are not allowed with service")
	case m.Service == "" && m.AtMostOnce:
		return fmt.Errorf("once: is allowed only with service")
	case m.Service == "":
		if err := m.PromptTokens.validate("prompt_tokens"); err != nil {
			return err
		}
		return m.OutputTokens.validate("output_tokens")
	}
	return nil
}

func (r Range) validate(field string) error {
	if r.Min < 1 || r.Max < r.Min {
		return fmt.Errorf("%s: %d to %d is not a range; allowed is 1 or more, with max at least min", field, r.Min, r.Max)
	}
	return nil
}

func (f Fault) validate(duration time.Duration) error {
	fields, ok := requiredFields[f.Kind]
	if !ok {
		return fmt.Errorf("kind: %q is unknown; allowed are %v", f.Kind, slices.Sorted(maps.Keys(requiredFields)))
	}
	if f.At < 0 || f.At > duration {
		return fmt.Errorf("at: %v is out of range; allowed is up to the duration %v", f.At, duration)
	}
	for _, field := range fields {
		if !f.isSet(field) {
			return fmt.Errorf("%s: is required for a fault of kind %s", field, f.Kind)
		}
	}
	if f.For < 0 || f.Probability < 0 || f.Probability > 1 {
		return fmt.Errorf("for and probability: must not be negative, and probability at most 1")
	}
	if f.Budget != "" && strings.Count(f.Budget, "/") != 1 {
		return fmt.Errorf("budget: %q is not allowed; allowed is <organisation>/<budget>", f.Budget)
	}
	return nil
}
