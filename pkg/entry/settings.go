// Package entry assembles the router process of one entry VM on the users' platform.
package entry

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

// Settings are the static settings of the process. Addresses are IP addresses with ports; an empty optional address
// turns its listener off.
type Settings struct {
	VM, Zone string
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
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// AddressTTL is the longest time for which callers keep an address answer.
	AddressTTL time.Duration
	Retry      retry.Limits
}
