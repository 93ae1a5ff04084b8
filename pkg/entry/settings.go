// Package entry contains the router process of one entry VM on the users' platform.
package entry

import (
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

const (
	// requestCPUSeconds is the processor time that an average request takes.
	requestCPUSeconds = 0.0015
	// requestLinkBytes is what an average request takes of the link in one direction: its body and its answer, which both
	// also pass in the other direction, with a share for bursts.
	requestLinkBytes = 40_000
)

// capacity estimates the number of requests a second that the VM can carry, 0 if its size isn't known.
func (s Settings) capacity() float64 {
	if s.CPUCores <= 0 || s.LinkBytesPerSecond <= 0 {
		return 0
	}
	return min(s.CPUCores/requestCPUSeconds, s.LinkBytesPerSecond/requestLinkBytes)
}

// Settings are the static settings of the process. It listens on the addresses, which are IP addresses with ports; an
// empty optional address disables its listener.
type Settings struct {
	VM, Zone string
	// Regions maps the availability zones to their regions. Optional; without it no zone is a home of requests that may run in some
	// regions only.
	Regions map[string]string
	// CallerAddress is for callers' requests, ReadyAddress for the platform's readiness checks.
	CallerAddress, ReadyAddress string
	// LookupAddress is for callers that look up the addresses of routers. Optional.
	LookupAddress string
	// PeerAddress is for calls from other routers. Optional.
	PeerAddress string
	// MetricsAddress is for reading the metrics. Optional.
	MetricsAddress        string
	ReadyPath, LookupPath string
	// MemoryBytes is the platform's memory limit for the process; 0 means no limit.
	MemoryBytes int64
	// Descriptors is the largest number of file descriptors of the process; 0 means no limit.
	Descriptors int
	// CPUCores is the processor time that the process may use, in cores; 0 means not known.
	CPUCores float64
	// LinkBytesPerSecond is the bandwidth of the VM's link in each direction; 0 means not known.
	LinkBytesPerSecond float64
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// FleetStart is how long the first start of the whole system takes until each router has the records of all others. A
	// router can't tell before whether it has to read the store for others. 0 means that it doesn't wait.
	FleetStart time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// ConfigApply is the time within which a new configuration must be in force; 0 means a default.
	ConfigApply time.Duration
	// Evacuate is the time within which routers send nothing more to a zone that an operator has ordered to be empty; 0 means that
	// there are no such orders.
	Evacuate time.Duration
	// AddressTTL is the longest time for which callers may use an address answer.
	AddressTTL time.Duration
	Retry      retry.Limits
	// ColdOvershoot and ColdTolerance bound the requests that a cold endpoint gets in any second from all routers together: what it
	// bears a second times ColdOvershoot plus ColdTolerance.
	ColdOvershoot, ColdTolerance float64
}
