// Package member keeps the view that a router has of the other routers.
package member

// State is the state of a router as seen by another router.
type State string

// States of routers.
const (
	Alive       State = "alive"
	Unreachable State = "unreachable"
	Leaving     State = "leaving"
	Failed      State = "failed"
)

// Member is one router instance.
type Member struct {
	// Instance is unique for each start of a process and never reused.
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
	// Members returns all known instances including this one, sorted by instance. The slice must not be changed.
	Members() []Member
}
