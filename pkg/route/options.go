package route

// Options are the constants of the score. Zero values mean the defaults.
type Options struct {
	// RandomCandidates is the number of endpoints drawn at random for each choice.
	RandomCandidates int
	// PrefillTokensPerMS is the assumed prompt speed of an engine.
	PrefillTokensPerMS float64
	// RequestMS is the delay that one running or queued request adds to others at the same endpoint.
	RequestMS float64
	// ZoneDistanceMS and RegionDistanceMS are the round trips to another availability zone and another region.
	ZoneDistanceMS   float64
	RegionDistanceMS float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.RandomCandidates, 2)
	setDefault(&o.PrefillTokensPerMS, 8)
	setDefault(&o.RequestMS, 4)
	setDefault(&o.ZoneDistanceMS, 2)
	setDefault(&o.RegionDistanceMS, 60)
	return o
}

func setDefault[T int | float64](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}
