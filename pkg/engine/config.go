package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Config holds the settings of an engine. Durations are divided by Speed.
type Config struct {
	// Models are loaded at the start.
	Models []string `yaml:"models" validate:"required,dive,required"`
	// MaxModels bounds the loaded models; a load beyond it displaces the model that was loaded first. Default is
	// the number of Models.
	MaxModels int `yaml:"max_models" validate:"min=0"`
	// Slots is how many requests run at once.
	Slots int `yaml:"slots" validate:"min=1"`
	// QueueLimit is how many requests wait for a slot before the engine refuses more.
	QueueLimit int `yaml:"queue_limit" validate:"min=0"`
	// TokenTime is the time for one output token, PrefillTime that for one prompt token that is not cached.
	TokenTime   time.Duration `yaml:"token_time" validate:"min=0"`
	PrefillTime time.Duration `yaml:"prefill_time" validate:"min=0"`
	// Speed divides all times of the model's work; 2 makes the engine twice as fast.
	Speed float64 `yaml:"speed" validate:"gt=0"`
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens.
	CacheBlocks int `yaml:"cache_blocks" validate:"min=0"`
	// EventLag is the age at which a cache event becomes visible, EventGapProbability the share of events that are
	// never published.
	EventLag            time.Duration `yaml:"event_lag" validate:"min=0"`
	EventGapProbability float64       `yaml:"event_gap_probability" validate:"min=0,max=1"`
	// LoadLag is the age of load reports.
	LoadLag time.Duration `yaml:"load_lag" validate:"min=0"`
	// Fencing tells whether old fencing numbers are refused.
	Fencing platform.Fencing `yaml:"fencing" validate:"oneof=enforced ignored"`
	// PoisonMarker is a text that crashes the engine when a prompt that holds it begins to run; empty means none.
	PoisonMarker string `yaml:"poison_marker"`
	// ModelBytes and AdapterBytes are the sizes of weights.
	ModelBytes   int `yaml:"model_bytes" validate:"min=0"`
	AdapterBytes int `yaml:"adapter_bytes" validate:"min=0"`
	// Seed feeds the random choices of gaps. Answers don't depend on it.
	Seed uint64 `yaml:"seed"`

	// Clock is the source of time; default is the system's.
	Clock standin.Clock `yaml:"-"`
	// FetchWeights reads weights from the weight store; nil makes loads take no time.
	FetchWeights func(ctx context.Context, name string, bytes int) error `yaml:"-"`
	// OnCrash is called when a poisoned request runs; nil closes all streams and refuses connections until Restart.
	OnCrash func() `yaml:"-"`
}

// DefaultConfig returns the settings of an engine of medium size that serves the models.
func DefaultConfig(models ...string) Config {
	return Config{
		Models:       models,
		Slots:        16,
		QueueLimit:   64,
		TokenTime:    20 * time.Millisecond,
		PrefillTime:  100 * time.Microsecond,
		Speed:        1,
		CacheBlocks:  4096,
		EventLag:     200 * time.Millisecond,
		LoadLag:      500 * time.Millisecond,
		Fencing:      platform.FencingEnforced,
		ModelBytes:   64 << 20,
		AdapterBytes: 1 << 20,
		Seed:         1,
	}
}

// Validate returns an error that names the wrong field. It checks what callers in this process may get wrong;
// settings files are also checked by their tags.
func (c Config) Validate() error {
	switch {
	case len(c.Models) == 0:
		return fmt.Errorf("models: at least one is needed")
	case c.Slots < 1:
		return fmt.Errorf("slots: must be at least 1")
	case c.Speed <= 0:
		return fmt.Errorf("speed: must be positive")
	case c.Fencing != platform.FencingEnforced && c.Fencing != platform.FencingIgnored:
		return fmt.Errorf("fencing: must be enforced or ignored")
	}
	return nil
}
