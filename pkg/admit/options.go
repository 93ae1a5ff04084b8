package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// Options are the limits of a StateMachine. A zero field means its default.
type Options struct {
	// MaxQueued is the largest number of queued requests of a pool, separately for deadline and whole classes.
	MaxQueued int
	// MaxQueuedPerOrganisation is the largest number of queued requests of one organisation in a pool, separately for
	// deadline and whole classes.
	MaxQueuedPerOrganisation int
	// WholeShare is the fraction of tokens that whole classes get while requests of deadline classes are queued, so
	// that whole classes are delayed but not starved. It must be less than 1.
	WholeShare float64
	// RetryShare is the number of retries that the retry budget gains per request.
	RetryShare float64
	// RetryBurst is the initial and the largest number of retries in the retry budget.
	RetryBurst float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxQueued, 1024)
	setDefault(&o.MaxQueuedPerOrganisation, 256)
	setDefault(&o.WholeShare, 0.1)
	setDefault(&o.RetryShare, 0.1)
	setDefault(&o.RetryBurst, 10)
	return o
}

func setDefault[T int | float64](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

// Bounds of the time after which a refused caller is asked to retry.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// EnginePriority returns the priority of a target's requests at the inference engines; larger is more urgent.
func EnginePriority(target config.TargetKind) int {
	if target == config.TargetDeadline {
		return 10
	}
	return 0
}
