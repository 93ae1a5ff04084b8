// Package entry assembles the router process of one entry VM on the users' platform.
package entry

import "time"

// RetryLimits is the fleet's retry budget for one service and window.
type RetryLimits struct {
	Ratio  float64
	Window time.Duration
	Extra  float64
}

// Settings are the static settings of the process. Addresses are IP addresses with ports; an empty optional address
// turns its listener off.
type Settings struct {
	VM, Zone, Region string
	// CallerAddress takes callers' requests, ReadyAddress the platform's readiness checks.
	CallerAddress, ReadyAddress string
	// LookupAddress answers callers that ask which addresses to use. Optional.
	LookupAddress string
	// PeerAddress is where other routers connect. Optional.
	PeerAddress string
	// MetricsAddress serves the metrics. Optional.
	MetricsAddress        string
	ReadyPath, LookupPath string
	// MemoryBytes is the platform's limit for the process; 0 means none.
	MemoryBytes int64
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// Drain is the time in which an endpoint that leaves must get no new work, Grace the time between SIGTERM and
	// SIGKILL.
	Drain, Grace time.Duration
	// AddressTTL is the longest time for which callers keep an address answer.
	AddressTTL time.Duration
	Retry      RetryLimits
}
