// Package scenario reads scenario files: a load, its mixes and timed faults.
package scenario

import (
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// Scenario describes one run.
type Scenario struct {
	Name string `yaml:"name"`
	// Seed feeds arrivals, prompts and callers' choices.
	Seed uint64 `yaml:"seed"`
	// Duration is how long new requests arrive.
	Duration time.Duration `yaml:"duration"`
	// Settle bounds the wait for open requests, bills and closings after that.
	Settle time.Duration `yaml:"settle"`
	// Rate multiplies the rates of all mixes; 0 means 1.
	Rate float64 `yaml:"rate"`
	// Model of the chat completions.
	Model string `yaml:"model"`
	// BytesPerToken of the model in the platform's VM list, for the callers' own upper bounds.
	BytesPerToken int `yaml:"bytes_per_token"`
	// DirectEvery makes each n-th whole chat completion also run directly at an endpoint without a router, as
	// the baseline; 0 means none.
	DirectEvery int     `yaml:"direct_every"`
	Mixes       []Mix   `yaml:"mixes"`
	Faults      []Fault `yaml:"faults"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Mix is one stream of requests of one organisation and class. Set Service for calls to a plain service.
type Mix struct {
	Name         string `yaml:"name"`
	Organisation string `yaml:"organisation"`
	Class        string `yaml:"class"`
	// Budget names another budget than the key's default.
	Budget string `yaml:"budget"`
	// Rate is the mean number of arrivals per second. Arrivals are random and don't wait for answers.
	Rate float64 `yaml:"rate"`
	// Burst is the number of requests that arrive together; 0 means 1.
	Burst int `yaml:"burst"`
	// From and Until limit the arrivals to a part of the run; Until 0 means to its end.
	From  time.Duration `yaml:"from"`
	Until time.Duration `yaml:"until"`
	// Limit bounds the number of requests; 0 means no limit.
	Limit int `yaml:"limit"`
	// Deadline is the class's deadline, 0 if the class promises the whole answer.
	Deadline time.Duration `yaml:"deadline"`
	// RetryTimeout is how long a caller retries; default is the deadline, or 45 s without one.
	RetryTimeout time.Duration `yaml:"retry_timeout"`
	// Silence is how long a caller waits for a next byte before it tries elsewhere.
	Silence time.Duration `yaml:"silence"`
	// Callers is the number of callers with an address answer of their own; 0 means 1.
	Callers int `yaml:"callers"`
	// HangUp is the share of streams that the caller abandons in the middle.
	HangUp float64 `yaml:"hang_up"`

	Stream       bool  `yaml:"stream"`
	PromptTokens Range `yaml:"prompt_tokens"`
	OutputTokens Range `yaml:"output_tokens"`
	// Prefixes is the number of shared prefixes of PrefixTokens tokens that prompts begin with; 0 means none.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
	// Marker is put into each prompt; an engine may be set up to crash on it.
	Marker string `yaml:"marker"`

	Service string `yaml:"service"`
	Path    string `yaml:"path"`
	// Once marks non-idempotent calls.
	Once bool `yaml:"once"`
}

// Default values of mixes.
const (
	DefaultRetryTimeout = 45 * time.Second
	DefaultSilence      = 5 * time.Second
	DefaultSettle       = 15 * time.Second
)

// Load reads and checks a scenario file. Errors name the field.
func Load(path string) (Scenario, error) {
	var s Scenario
	if err := standin.LoadSettings(path, &s); err != nil {
		return Scenario{}, err
	}
	s.fill()
	if err := s.Validate(); err != nil {
		return Scenario{}, fmt.Errorf("scenario file %s: %w", path, err)
	}
	return s, nil
}

func (s *Scenario) fill() {
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
		s.Mixes[i].fill()
	}
}

func (m *Mix) fill() {
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
	if m.Silence == 0 {
		m.Silence = DefaultSilence
		if m.Deadline > 0 {
			m.Silence = m.Deadline / 2
		}
	}
}
