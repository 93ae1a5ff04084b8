// Package member implements the gossip membership protocol through which each router tracks the state of the others.
package member

// State is the state of a router in the view of another router.
type State string

// States of routers.
const (
	Alive State = "alive"
	// Unreachable routers become failed after Timing.FailedAfter, unless they refute it.
	Unreachable State = "unreachable"
	// Leaving routers have announced that they will stop.
	Leaving State = "leaving"
	// Failed routers were unreachable for too long, or were superseded by a later instance on their VM.
	Failed State = "failed"
)

// Member is one router instance.
type Member struct {
	// Instance identifies one start of a router process; it is never reused.
	Instance string `json:"instance"`
	VM       string `json:"vm"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// PeerAddress is the IP address and port of the peer API.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP address and port of the caller API.
	CallerAddress string `json:"caller_address"`
	State         State  `json:"state"`
}

// View is a read-only view of the fleet. It is safe for concurrent use.
type View interface {
	Self() Member
	// Members returns all known instances including this one, sorted by instance. Callers must not modify
	// the slice.
	Members() []Member
}
