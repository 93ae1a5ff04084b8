package cli

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// fakeHolds has fixed held instances and a fixed journal state.
type fakeHolds struct {
	held     []admin.HeldInstance
	released []string
	state    journal.WitnessStatus
}

func (h *fakeHolds) ListHeld(context.Context) ([]admin.HeldInstance, error) { return h.held, nil }

func (h *fakeHolds) Release(_ context.Context, id string) error {
	h.released = append(h.released, id)
	return nil
}

func (h *fakeHolds) witnessing() (journal.WitnessStatus, bool) { return h.state, true }

// Guards against the release of an instance that may still spend (I1), against a release without the operator's
// consent to lost bills, and against one that leaves no line in the log.
func TestReleaseInstance(t *testing.T) {
	b := newBench(t)
	const id = "entry-b1@5-cc.1"
	b.store.SetVMs([]platform.VM{{Name: "entry-b1", Role: platform.RoleEntry, State: platform.VMLive}})
	b.holds.held = []admin.HeldInstance{{
		Record: instance.Record{
			Instance: id, Router: "entry-b1@5-cc", VM: "entry-b1", Zone: "b", State: instance.Closing,
			HeldReason: "witness entry-c1@7-dd is not reachable",
		},
		Grants: []ledger.HolderGrant{
			{Budget: budget.ID{Organisation: "velocar", Budget: "main"}, Tokens: 40},
			{Budget: budget.ID{Organisation: "svaz", Budget: "catalogue"}, Tokens: 7},
		},
	}}
	b.fleet.members = append(b.fleet.members, member.Member{Instance: "entry-b1@5-cc", VM: "entry-b1", State: member.Alive})
	release := "budget release -instance " + id
	b.fails(ExitUsage, release, "-yes is required")
	b.fails(ExitUsage, "budget release -yes", "-instance is required")
	b.fails(ExitNotFound, "budget release -instance entry-a1@1-aa.1 -yes -stopped", "is not being closed")
	b.fails(ExitFailed, release+" -yes -stopped", "the router is alive")
	b.fleet.members[1].State = member.Unreachable
	b.fails(ExitFailed, release+" -yes", "the router is unreachable")
	b.fleet.members[1].State = member.Failed
	b.fails(ExitFailed, release+" -yes", "VM entry-b1 is live in the VM list")
	must.SliceEmpty(t, b.holds.released)

	held := b.ok("budget held")
	for _, text := range []string{id, "entry-c1@7-dd is not reachable", "velocar/main", "40", "svaz/catalogue", "7", "VM entry-b1 is live"} {
		must.StrContains(t, held, text)
	}
	must.StrContains(t, b.ok(release+" -yes -stopped"), "Bills that only an unreachable witness had are lost")
	must.Eq(t, []string{id}, b.holds.released)
	entry := b.logs.Entries[len(b.logs.Entries)-1]
	must.Eq(t, log.WarnLevel, entry.Level)
	must.Eq(t, any(id), entry.Fields["instance"])
	must.Eq(t, any(int64(47)), entry.Fields["tokens"])

	// A later instance on the VM, or the end of the VM, shows that the instance has ended.
	b.fleet.members = append(b.fleet.members, member.Member{Instance: "entry-b1@9-ee", VM: "entry-b1", State: member.Alive})
	b.ok(release + " -yes")
	b.fleet.members = b.fleet.members[:2]
	must.NoError(t, b.store.SetVMState("entry-b1", platform.VMGone, nil))
	b.ok(release + " -yes")
	b.holds.held = nil
	must.StrContains(t, b.ok("budget held"), "no instance is held")
}

// Guards against a witness that fails unnoticed, and against grants of live routers that are shown as held.
func TestWitnessesAndHolders(t *testing.T) {
	b := newBench(t)
	must.StrContains(t, b.ok("status"), "no witness")
	one, two := journal.Ref{Router: "entry-b1@5-cc", Zone: "b"}, journal.Ref{Router: "entry-c1@7-dd", Zone: "c"}
	b.holds.state = journal.WitnessStatus{Witnesses: []journal.Ref{one, two}, Failing: []journal.Ref{two}}
	text := b.ok("status")
	must.StrContains(t, text, "entry-b1@5-cc           answers")
	must.StrContains(t, text, "entry-c1@7-dd           failing")

	id := budget.ID{Organisation: "velocar", Budget: "main"}
	b.ledger.budgets[id] = &budget.Status{ID: id, ToppedUp: 100, Grants: []budget.HolderGrant{{Instance: "entry-a1@1-aa.3", Tokens: 40}}}
	must.StrNotContains(t, b.ok("budget held velocar"), "entry-a1")
}
