package gateway

import (
	"slices"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

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
	entries := make([]addressEntry, 0, len(usable))
	for _, vm := range rendezvous.Rank(from.organisation.ID, vmNames(usable)) {
		i := slices.IndexFunc(usable, func(m member.Member) bool { return m.VM == vm })
		entries = append(entries, addressEntry{Address: usable[i].CallerAddress, Zone: usable[i].Zone})
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
