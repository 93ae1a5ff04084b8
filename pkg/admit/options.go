package admit

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// Options are the limits of a StateMachine. Zero values mean the defaults.
type Options struct {
	// MaxQueued bounds the queued requests of a pool, separately for deadline and whole classes.
	MaxQueued int
	// MaxQueuedPerOrganisation bounds the queued requests of one organisation in a pool and target.
	MaxQueuedPerOrganisation int
	// WholeShare is the share of tokens that whole classes get while deadline classes wait, so that they are
	// delayed but not starved.
	WholeShare float64
	// RetryShare is the number of retries allowed per request, and RetryBurst the number allowed in advance.
	RetryShare float64
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

// Bounds of the retry advice.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// EnginePriority returns the priority that engines are given for a target; larger is more urgent.
func EnginePriority(target config.TargetKind) int {
	if target == config.TargetDeadline {
		return 10
	}
	return 0
}
