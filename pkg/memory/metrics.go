package memory

import "github.com/lavendershunt/lavendershunt/pkg/telemetry"

// RegisterMetrics registers the gauges of the account and the counters of refusals.
func RegisterMetrics(i *telemetry.Instruments, a *Account, r *Refusals) {
	a.RegisterGauge(i, "caller_memory", "What is held for callers")
	i.Counter("caller_memory_evicted", "", "Bodies that were ended while they arrived, to make room for others.", telemetry.Value(func() int64 { return a.Stats().Evicted }))
	i.Counter("caller_refusals", "", "Callers that were refused, or whose connection was ended, by reason.", telemetry.ByLabel("reason", r.ByReason))
}

// RegisterGauge registers the gauges of the account under a name.
func (a *Account) RegisterGauge(i *telemetry.Instruments, name, what string) {
	i.Gauge(name, "By", what+": for requests now (used), its peak since the start, its limit, and for connections.", func(observe telemetry.Observe) {
		s := a.Stats()
		observe(s.Used, "state", "used")
		observe(s.Peak, "state", "peak")
		observe(s.Total, "state", "limit")
		observe(s.Connections, "state", "connections")
	})
}
