package member

import (
	memberv1 "github.com/lavendershunt/lavendershunt/api/ls/member/v1"
)

var stateToWire = map[State]memberv1.State{
	Alive:       memberv1.State_STATE_ALIVE,
	Leaving:     memberv1.State_STATE_LEAVING,
	Unreachable: memberv1.State_STATE_UNREACHABLE,
	Failed:      memberv1.State_STATE_FAILED,
}

var stateFromWire = map[memberv1.State]State{
	memberv1.State_STATE_ALIVE:       Alive,
	memberv1.State_STATE_LEAVING:     Leaving,
	memberv1.State_STATE_UNREACHABLE: Unreachable,
	memberv1.State_STATE_FAILED:      Failed,
}

func toWire(updates []Update) []*memberv1.Member {
	wire := make([]*memberv1.Member, len(updates))
	for i, u := range updates {
		wire[i] = &memberv1.Member{
			Instance: u.Instance, Vm: u.VM, Region: u.Region, Zone: u.Zone, PeerAddress: u.PeerAddress,
			CallerAddress: u.CallerAddress, State: stateToWire[u.State], Incarnation: u.Incarnation,
		}
	}
	return wire
}

// fromWire converts updates and drops those without an instance or a known state, which a router of an incompatible
// version may send.
func fromWire(wire []*memberv1.Member) []Update {
	updates := make([]Update, 0, len(wire))
	for _, w := range wire {
		state, ok := stateFromWire[w.GetState()]
		if !ok || w.GetInstance() == "" {
			continue
		}
		updates = append(updates, Update{Incarnation: w.GetIncarnation(), Member: Member{
			Instance: w.GetInstance(), VM: w.GetVm(), Region: w.GetRegion(), Zone: w.GetZone(),
			PeerAddress: w.GetPeerAddress(), CallerAddress: w.GetCallerAddress(), State: state,
		}})
	}
	return updates
}

func digestsToWire(digests []Digest) []*memberv1.Digest {
	wire := make([]*memberv1.Digest, len(digests))
	for i, d := range digests {
		wire[i] = &memberv1.Digest{Id: d.ID, Incarnation: d.Incarnation, State: stateToWire[d.State]}
	}
	return wire
}

// digestsFromWire converts digests and drops those without a known state.
func digestsFromWire(wire []*memberv1.Digest) []Digest {
	digests := make([]Digest, 0, len(wire))
	for _, w := range wire {
		if state, ok := stateFromWire[w.GetState()]; ok {
			digests = append(digests, Digest{ID: w.GetId(), Incarnation: w.GetIncarnation(), State: state})
		}
	}
	return digests
}
