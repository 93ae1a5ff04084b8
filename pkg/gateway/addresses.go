package gateway

import (
	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/rendezvous"
)

// maxAddresses bounds the addresses in an answer. All addresses of a fleet of 370 routers would take 17 KB in each
// answer, and a caller uses only the first one that responds.
const maxAddresses = 16

// addressAnswer is the answer of the address lookup.
type addressAnswer struct {
	// TTLMS is the time in ms for which the caller may cache the answer.
	TTLMS     int64          `json:"ttl_ms"`
	Addresses []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// handleAddresses returns the addresses of entry VMs, ranked by rendezvous hashing of the caller's organisation. All
// routers return the same ranking, so that few routers hold tokens of the same budget. VMs that are leaving are left
// out.
func (g *Gateway) handleAddresses(c fiber.Ctx) error {
	caller, failure := g.authenticate(c)
	if failure != nil {
		return writeFailure(c, "", failure)
	}
	usable := g.usableMembers()
	byVM := make(map[string]member.Member, len(usable))
	for _, m := range usable {
		byVM[m.VM] = m
	}
	ranked := rendezvous.Rank(caller.organisation.ID, vmNames(usable))
	ranked = ranked[:min(len(ranked), maxAddresses)]
	entries := make([]addressEntry, len(ranked))
	for i, vm := range ranked {
		entries[i] = addressEntry{Address: byVM[vm].CallerAddress, Zone: byVM[vm].Zone}
	}
	return c.JSON(addressAnswer{TTLMS: g.AddressTTL.Milliseconds(), Addresses: entries})
}

// usableMembers returns the routers that are alive and whose VMs are not marked as leaving.
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
