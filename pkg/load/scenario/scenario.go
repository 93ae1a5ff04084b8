// Package scenario reads scenario files, which describe a load as mixes of requests and faults to inject.
package scenario

import (
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// Scenario describes one run.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed initialises the random arrivals, prompts and callers' choices.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which new requests arrive.
	Duration time.Duration `yaml:"duration"`
	// Settle bounds the wait after Duration for open requests, bills and closings.
	Settle time.Duration `yaml:"settle"`
	// Rate multiplies the rates of all mixes; 0 means 1.
	Rate float64 `yaml:"rate"`
	// Model is the model that chat completions name.
	Model string `yaml:"model"`
	// BytesPerToken is the model's value in the platform's VM list, from which callers compute their own upper bounds.
	BytesPerToken int `yaml:"bytes_per_token"`
	// DirectEvery sends each n-th chat completion of a mix also directly to an endpoint, without a router, and waits for
	// the whole answer, as the baseline; 0 means none.
	DirectEvery int     `yaml:"direct_every"`
	Mixes       []Mix   `yaml:"mixes"`
	Faults      []Fault `yaml:"faults"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Mix describes requests of one organisation and class: calls to a plain service if Service is set, chat completions
// otherwise.
type Mix struct {
	Name         string `yaml:"name"`
	Organisation string `yaml:"organisation"`
	Class        string `yaml:"class"`
	// Budget overrides the key's default budget.
	Budget string `yaml:"budget"`
	// Rate is the mean number of arrivals per second. Arrivals are random and independent of answers (open loop).
	Rate float64 `yaml:"rate"`
	// Burst is the number of requests that arrive together; 0 means 1.
	Burst int `yaml:"burst"`
	// From and Until limit the arrivals to a part of the run; Until 0 means its end.
	From  time.Duration `yaml:"from"`
	Until time.Duration `yaml:"until"`
	// Limit bounds the number of requests; 0 means no limit.
	Limit int `yaml:"limit"`
	// Deadline is the class's deadline; 0 if the class guarantees the whole answer instead.
	Deadline time.Duration `yaml:"deadline"`
	// RetryTimeout is how long a caller retries. The default is Deadline, or DefaultRetryTimeout (45 s) without one.
	RetryTimeout time.Duration `yaml:"retry_timeout"`
	// IdleTimeout is how long a caller waits for the next byte before it tries another address. The default is half of
	// Deadline, or DefaultIdleTimeout (5 s) without one.
	IdleTimeout time.Duration `yaml:"silence"`
	// Callers is the number of callers, each with its own result of the address lookup; 0 means 1.
	Callers int `yaml:"callers"`
	// HangUp is the share, from 0 to 1, of streams that the caller closes before the end.
	HangUp float64 `yaml:"hang_up"`

	Stream       bool  `yaml:"stream"`
	PromptTokens Range `yaml:"prompt_tokens"`
	OutputTokens Range `yaml:"output_tokens"`
	// Prefixes is the number of shared prefixes, each of PrefixTokens tokens, with which prompts begin; 0 means none.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
	// Marker is inserted into each prompt; an engine can be configured to crash on it.
	Marker string `yaml:"marker"`

	Service string `yaml:"service"`
	Path    string `yaml:"path"`
	// AtMostOnce is set for calls that are not idempotent and must run at most once.
	AtMostOnce bool `yaml:"once"`
}

// Defaults of a scenario and its mixes.
const (
	DefaultRetryTimeout = 45 * time.Second
	DefaultIdleTimeout  = 5 * time.Second
	DefaultSettle       = 15 * time.Second
)

// Load reads a scenario file, sets defaults and validates it. Validation errors name the field.
func Load(path string) (Scenario, error) {
	var s Scenario
	if err := standin.LoadSettings(path, &s); err != nil {
		return Scenario{}, err
	}
	s.setDefaults()
	if err := s.Validate(); err != nil {
		return Scenario{}, fmt.Errorf("scenario file %s: %w", path, err)
	}
	return s, nil
}

func (s *Scenario) setDefaults() {
	if s.Settle == 0 {
		s.Settle = DefaultSettle
	}
	if s.Rate == 0 {
		s.Rate = 1
	}
	if s.Model == "" {
		s.Model = "demo"
	}
	for i := range s.Mixes {
		s.Mixes[i].setDefaults()
	}
}

func (m *Mix) setDefaults() {
	if m.Burst == 0 {
		m.Burst = 1
	}
	if m.Callers == 0 {
		m.Callers = 1
	}
	if m.RetryTimeout == 0 {
		m.RetryTimeout = DefaultRetryTimeout
		if m.Deadline > 0 {
			m.RetryTimeout = m.Deadline
		}
	}
	if m.IdleTimeout == 0 {
		m.IdleTimeout = DefaultIdleTimeout
		if m.Deadline > 0 {
			m.IdleTimeout = m.Deadline / 2
		}
	}
}
