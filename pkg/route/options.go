package route

import "time"

// Options are the constants of the score and of the table. Zero values mean the defaults, which
// docs/measured-routing.md compares with others.
type Options struct {
	// RandomCandidates is the number of endpoints drawn at random for each choice.
	RandomCandidates int
	// PrefixCandidates is the largest number of endpoints taken from the prefix index; negative means none.
	PrefixCandidates int
	// RingCandidates is the number of endpoints taken from the consistent-hashing ring; negative means none.
	RingCandidates int
	// AssumeRingCacheHit makes the first usable endpoint on the ring count as holding the whole indexed prefix, because
	// all routers place it there. It suits a router that sees only a small share of a prefix's requests.
	AssumeRingCacheHit bool
	// LastResort makes a choice among closed endpoints rather than none, unless they are leaving or have twice their
	// limit in progress.
	LastResort bool
	// PrefillTokensPerMS is the assumed prompt speed of an engine.
	PrefillTokensPerMS float64
	// The time of the request's own uncached prompt is multiplied by PromptWeight plus Crowding for each request at
	// the endpoint, because it delays them too and displaces other prompts from the cache. Without Crowding, routers
	// that don't see each other's work scatter prefixes under load until the cache hit ratio collapses. A large
	// PromptWeight instead holds popular prefixes at few endpoints even when others are idle. Negative Crowding
	// means none.
	PromptWeight float64
	Crowding     float64
	// RequestMS is the delay that one running or queued request adds to others at the same endpoint.
	RequestMS float64
	// QueuedMS is the additional delay by one request that waits for a place in the batch.
	QueuedMS float64
	// KVFullMS is the delay that is charged when the KV cache is full.
	KVFullMS float64
	// ZoneDistanceMS and RegionDistanceMS are the round trips to another availability zone and another region.
	ZoneDistanceMS   float64
	RegionDistanceMS float64
	// StaleAfter is the age from which a load report loses weight; at twice the age it counts for nothing.
	StaleAfter time.Duration
	// FailureThreshold is the number of consecutive failures after which an endpoint is excluded, first for
	// FailureBackoff, which doubles up to MaxFailureBackoff.
	FailureThreshold  int
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// SlowStart is the time after a recovery during which the endpoint is charged up to SlowStartMS.
	SlowStart   time.Duration
	SlowStartMS float64
	// SpeedHalfLife is the time in which half of an observed slowness is forgotten.
	SpeedHalfLife time.Duration
	// MaxPrefixEntries bounds the pairs of block and endpoint in the prefix index; a pair takes about 60 bytes.
	MaxPrefixEntries int
	// PrefixAge is the age at which an entry of the index no longer counts.
	PrefixAge time.Duration
	// PrefixGapAge is the same for entries from before a gap in the endpoint's cache events.
	PrefixGapAge time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.RandomCandidates, 2)
	setDefault(&o.PrefixCandidates, 2)
	setDefault(&o.RingCandidates, 2)
	setDefault(&o.PromptWeight, 1)
	setDefault(&o.Crowding, 2)
	setDefault(&o.PrefillTokensPerMS, 8)
	setDefault(&o.RequestMS, 4)
	setDefault(&o.QueuedMS, 40)
	setDefault(&o.KVFullMS, 200)
	setDefault(&o.ZoneDistanceMS, 2)
	setDefault(&o.RegionDistanceMS, 60)
	setDefault(&o.StaleAfter, 5*time.Second)
	setDefault(&o.FailureThreshold, 2)
	setDefault(&o.FailureBackoff, time.Second)
	setDefault(&o.MaxFailureBackoff, 30*time.Second)
	setDefault(&o.SlowStart, 10*time.Second)
	setDefault(&o.SlowStartMS, 200)
	setDefault(&o.SpeedHalfLife, 30*time.Second)
	setDefault(&o.MaxPrefixEntries, 200_000)
	setDefault(&o.PrefixAge, 5*time.Minute)
	setDefault(&o.PrefixGapAge, 20*time.Second)
	return o
}

func setDefault[T int | float64 | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}
