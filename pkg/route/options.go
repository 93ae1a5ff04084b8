package route

import "time"

// Options configure the score and the table. A zero field means its default; docs/measured-routing.md compares the
// defaults with other values.
type Options struct {
	// RandomCandidates is the number of endpoints drawn at random for each choice.
	RandomCandidates int
	// PrefixCandidates is the largest number of endpoints taken from the prefix index; negative means none.
	PrefixCandidates int
	// RingCandidates is the number of endpoints taken from the consistent-hashing ring; negative means none.
	RingCandidates int
	// AssumeRingCacheHit scores the first usable endpoint on the ring as if it had all indexed blocks of the prompt in
	// its cache, because all routers send the prefix there. It suits a router that receives only a small share of a
	// prefix's requests.
	AssumeRingCacheHit bool
	// AwaitEvacuations keeps all endpoints closed until the first SetEvacuated.
	AwaitEvacuations bool
	// LastResort allows the choice of a closed endpoint when no open one is usable, unless it is leaving or evacuated or this router
	// has twice its limit in progress there.
	LastResort bool
	// PrefillTokensPerMS is the assumed prefill speed of an engine in prompt tokens per ms.
	PrefillTokensPerMS float64
	// The prefill time of the request's uncached prompt is multiplied by PromptWeight, plus CongestionWeight for each
	// request at the endpoint, because the prefill delays these requests too and displaces other prompts from the
	// cache. Without CongestionWeight, routers that have no information about each other's requests scatter prefixes
	// under load until the cache hit ratio collapses. A large PromptWeight instead keeps popular prefixes at few
	// endpoints even when others are idle. A negative CongestionWeight means none.
	PromptWeight     float64
	CongestionWeight float64
	// SharedPromptWeight takes the place of PromptWeight and CongestionWeight while the work of the other routers is known
	// (Table.ApplyWork): the load is known then, and the weight stands for what a prefill that another endpoint could have saved takes
	// from the requests of others. InterferenceWeight is the weight of what the prefill does to each stream in progress at the
	// endpoint; negative means none.
	SharedPromptWeight float64
	InterferenceWeight float64
	// RequestMS is the delay that one running or queued request adds to others at the same endpoint.
	RequestMS float64
	// QueuedMS is the additional delay caused by one request that waits for a slot in the batch.
	QueuedMS float64
	// MaxQueuedBesideLimit is the number of requests that wait at an endpoint from which it takes no others while another one
	// of its pool has named a limit; 0 means no bound.
	MaxQueuedBesideLimit float64
	// KVFullMS is the delay added to the score of an endpoint whose KV cache is full.
	KVFullMS float64
	// ZoneDistanceMS and RegionDistanceMS are the round-trip times to another availability zone and another region.
	ZoneDistanceMS   float64
	RegionDistanceMS float64
	// StaleAfter is the age after which the weight of a load report falls; at twice this age the weight is 0.
	StaleAfter time.Duration
	// FailureThreshold is the number of consecutive failures after which an endpoint is excluded, first for
	// FailureBackoff, which doubles up to MaxFailureBackoff.
	FailureThreshold  int
	FailureBackoff    time.Duration
	MaxFailureBackoff time.Duration
	// SlowStart is the time after a recovery during which a delay is added to the endpoint's score. The delay starts
	// at SlowStartMS and falls linearly to 0.
	SlowStart   time.Duration
	SlowStartMS float64
	// SpeedHalfLife is the time without new samples in which the effect of a slowdown that this router has measured by itself halves;
	// negative means that it measures none.
	SpeedHalfLife time.Duration
	// MaxPrefixEntries bounds the pairs of block and endpoint in the prefix index; a pair takes about 60 bytes.
	MaxPrefixEntries int
	// PrefixAge is the age above which an entry of the prefix index is ignored.
	PrefixAge time.Duration
	// PrefixGapAge is the time after a gap in the endpoint's cache events from which entries older than the gap are
	// ignored.
	PrefixGapAge time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.RandomCandidates, 2)
	setDefault(&o.PrefixCandidates, 2)
	setDefault(&o.RingCandidates, 2)
	setDefault(&o.PromptWeight, 1)
	setDefault(&o.CongestionWeight, 2)
	setDefault(&o.SharedPromptWeight, 8)
	setDefault(&o.InterferenceWeight, 0.3)
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
