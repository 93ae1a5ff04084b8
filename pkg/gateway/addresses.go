package gateway

import (
	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// maxAddresses bounds an answer. In a fleet of 370 routers all addresses would be 17 KB for each lookup; a caller uses
// the first that answers.
const maxAddresses = 16

// addressAnswer is the answer of the address lookup.
type addressAnswer struct {
	// TTLMS is how long the caller may keep the answer, in ms.
	TTLMS     int64          `json:"ttl_ms"`
	Addresses []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// addresses ranks the entry VMs for the caller's organisation. The rank is the same on every router, so that
// the tokens of one budget are held by few routers. VMs that are leaving are not in the answer.
func (g *Gateway) addresses(c fiber.Ctx) error {
	from, failure := g.authenticate(c)
	if failure != nil {
		return writeFailure(c, "", failure)
	}
	usable := g.usableMembers()
	byVM := make(map[string]member.Member, len(usable))
	for _, m := range usable {
		byVM[m.VM] = m
	}
	ranked := rendezvous.Rank(from.organisation.ID, vmNames(usable))
	ranked = ranked[:min(len(ranked), maxAddresses)]
	entries := make([]addressEntry, len(ranked))
	for i, vm := range ranked {
		entries[i] = addressEntry{Address: byVM[vm].CallerAddress, Zone: byVM[vm].Zone}
	}
	return c.JSON(addressAnswer{TTLMS: g.AddressTTL.Milliseconds(), Addresses: entries})
}

func (g *Gateway) usableMembers() []member.Member {
	var usable []member.Member
	for _, m := range g.Members.Members() {
		if m.State == member.Alive && !g.Config.Leaving(m.VM) {
			usable = append(usable, m)
		}
	}
	return usable
}

func vmNames(members []member.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.VM
	}
	return names
}
