package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/standin"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Config holds the settings of an engine. TokenTime and PrefillTime are divided by Speed.
type Config struct {
	// Models are the models loaded at the start.
	Models []string `yaml:"models" validate:"required,dive,required"`
	// MaxModels is the largest number of loaded models; a load beyond it displaces the model that was loaded
	// first. 0 means the number of Models.
	MaxModels int `yaml:"max_models" validate:"min=0"`
	// Slots is the number of requests that run at once.
	Slots int `yaml:"slots" validate:"min=1"`
	// QueueLimit is the largest number of requests that wait for a slot; the engine refuses further ones.
	QueueLimit int `yaml:"queue_limit" validate:"min=0"`
	// TokenTime is the time per output token, PrefillTime the time per prompt token that is not cached.
	TokenTime   time.Duration `yaml:"token_time" validate:"min=0"`
	PrefillTime time.Duration `yaml:"prefill_time" validate:"min=0"`
	// Speed divides TokenTime and PrefillTime; 2 makes the engine twice as fast.
	Speed float64 `yaml:"speed" validate:"gt=0"`
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens.
	CacheBlocks int `yaml:"cache_blocks" validate:"min=0"`
	// EventLag is the age at which a cache event becomes visible. EventGapProbability is the probability that an
	// event is never published.
	EventLag            time.Duration `yaml:"event_lag" validate:"min=0"`
	EventGapProbability float64       `yaml:"event_gap_probability" validate:"min=0,max=1"`
	// LoadLag is the age of the load that Load reports.
	LoadLag time.Duration `yaml:"load_lag" validate:"min=0"`
	// Fencing sets whether requests and orders with an old fencing number are refused.
	Fencing platform.Fencing `yaml:"fencing" validate:"oneof=enforced ignored"`
	// PoisonMarker marks poison requests: the engine crashes when it starts to run a request whose prompt contains
	// this text. Empty means that there are none.
	PoisonMarker string `yaml:"poison_marker"`
	// ModelBytes and AdapterBytes are the sizes of the weights of a model and of an adapter.
	ModelBytes   int `yaml:"model_bytes" validate:"min=0"`
	AdapterBytes int `yaml:"adapter_bytes" validate:"min=0"`
	// Seed is the seed of the random gaps in the cache events. Answers don't depend on it.
	Seed uint64 `yaml:"seed"`

	// Clock is the source of time; nil means standin.SystemClock.
	Clock standin.Clock `yaml:"-"`
	// FetchWeights reads bytes of weights from the weight store. If it is nil, loads take no time.
	FetchWeights func(ctx context.Context, name string, bytes int) error `yaml:"-"`
	// OnCrash is called for a poison request and for FaultCrash. If it is nil or returns, the engine closes all
	// streams and later connections until Restart.
	OnCrash func() `yaml:"-"`
}

// DefaultConfig returns the settings of a medium-sized engine that serves the models.
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

// Validate returns an error that names the first invalid setting. It covers configurations built in Go code; the
// validate tags check settings files in addition.
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
