// Package reach tells whether this VM has lost its links to all endpoints, as opposed to endpoints that have failed.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxWitnesses is the number of endpoints that must be unreachable before the VM counts as cut off, if there are so many.
	// More than half of them may be down for everybody.
	maxWitnesses = 24
	// firstTargets is the number of endpoints in the first round of a check. It ends most checks, as one that answers is enough.
	firstTargets = 2
	// checkInterval is the least time between two checks, also while the VM is cut off.
	checkInterval = 250 * time.Millisecond
)

// Path is what a router knows of its links to the endpoints, from its own connection attempts. It is not safe for concurrent
// use.
//
// It answers a network partition between one VM and all endpoints, while callers and other VMs still reach it: each endpoint
// looks as if it had failed, and none has. Only new connections count, because open ones may live on or hang.
type Path struct {
	// connectedAt is the time of the last successful attempt, unreachable the addresses at which attempts failed since.
	connectedAt time.Time
	unreachable map[string]bool
	// refused is set if the last attempt that failed did so before its timeout.
	refused bool
	cut     bool
	// lostSince is the time of the last successful attempt before the VM was cut off.
	lostSince time.Time
}

// Attempt is a connection attempt to an endpoint that has ended.
type Attempt struct {
	Address        string
	Started, Ended time.Time
	Connected      bool
	// Refused is set if the attempt failed before its timeout.
	Refused bool
}

// Record records an attempt. listed are the distinct addresses of all endpoints, in order. It reports whether IsCut has changed.
func (p *Path) Record(a Attempt, listed []string) (changed bool) {
	was := p.cut
	switch {
	case a.Connected:
		p.connectedAt, p.unreachable, p.cut = a.Ended, nil, false
	case a.Started.Before(p.connectedAt):
		// Another endpoint was reached after this attempt had begun.
	default:
		if p.unreachable == nil {
			p.unreachable = map[string]bool{}
		}
		p.unreachable[a.Address], p.refused = true, a.Refused
		if !p.cut && p.witnesses(listed) >= min(maxWitnesses, max(1, len(listed))) {
			p.cut, p.lostSince = true, p.connectedAt
		}
	}
	return p.cut != was
}

// witnesses returns the number of listed endpoints that are unreachable.
func (p *Path) witnesses(listed []string) int {
	n := 0
	for address := range p.unreachable {
		if _, found := slices.BinarySearch(listed, address); found {
			n++
		}
	}
	return n
}

// IsCut reports whether the VM has lost its links to all endpoints.
func (p *Path) IsCut() bool { return p.cut }

// IsRefusing reports whether attempts fail at once instead of at their timeout.
func (p *Path) IsRefusing() bool { return p.refused }

// LostSince returns the time of the last connection before the VM was cut off last, zero if there was none.
func (p *Path) LostSince() time.Time { return p.lostSince }

// IsInDoubt reports whether attempts have failed since the last successful one.
func (p *Path) IsInDoubt() bool { return len(p.unreachable) > 0 }

// Targets returns the addresses that the next round of a check should connect to: a few at random while an answer of one of
// them settles the doubt, and then as many as IsCut needs.
func (p *Path) Targets(listed []string, rng *rand.Rand) []string {
	targets := slices.Clone(listed)
	rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if p.cut {
		return targets[:min(firstTargets, len(targets))]
	}
	targets = slices.DeleteFunc(targets, func(a string) bool { return p.unreachable[a] })
	n := firstTargets
	if failed := p.witnesses(listed); failed >= firstTargets {
		n = maxWitnesses - failed
	}
	return targets[:min(max(n, 0), len(targets))]
}

// Round is a round of a check: attempts to connect to Targets that begin at the same time.
type Round struct {
	Targets []string
	began   time.Time
	// listed, connectedAt and witnesses are what was known when the round began.
	listed      []string
	connectedAt time.Time
	witnesses   int
}

// BeginRound begins a round of a check.
func (p *Path) BeginRound(now time.Time, listed []string, rng *rand.Rand) Round {
	return Round{Targets: p.Targets(listed, rng), began: now, listed: listed, connectedAt: p.connectedAt, witnesses: p.witnesses(listed)}
}

// NextRound returns the earliest time of the next round, after r has ended. A check goes on at once only while each round shows
// more listed endpoints that can't be reached, so that it needs few rounds. Otherwise it is over, and the next one has to wait: attempts
// may give no evidence, and a connection may be followed by another failure at once.
func (p *Path) NextRound(r Round) time.Time {
	if !p.cut && p.connectedAt.Equal(r.connectedAt) && p.witnesses(r.listed) > r.witnesses {
		return r.began
	}
	return r.began.Add(checkInterval)
}
