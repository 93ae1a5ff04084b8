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

// fakeHeldInstances returns fixed held instances and a fixed witness status, and records releases.
type fakeHeldInstances struct {
	held     []admin.HeldInstance
	released []string
	status   journal.WitnessStatus
}

func (h *fakeHeldInstances) ListHeld(context.Context) ([]admin.HeldInstance, error) {
	return h.held, nil
}

func (h *fakeHeldInstances) Release(_ context.Context, id string) error {
	h.released = append(h.released, id)
	return nil
}

func (h *fakeHeldInstances) witnessStatus() (journal.WitnessStatus, bool) { return h.status, true }

// Guards against the release of an instance that may still spend (I1), against a release without the operator's
// consent to lost bills, and against one that is not logged.
func TestReleaseInstance(t *testing.T) {
	s := newTestServer(t)
	const id = "entry-b1@5-cc.1"
	s.store.SetVMs([]platform.VM{{Name: "entry-b1", Role: platform.RoleEntry, State: platform.VMLive}})
	s.heldInstances.held = []admin.HeldInstance{{
		Record: instance.Record{
			Instance: id, Router: "entry-b1@5-cc", VM: "entry-b1", Zone: "b", State: instance.Closing,
			HeldReason: "witness entry-c1@7-dd is not reachable",
		},
		Grants: []ledger.HolderGrant{
			{Budget: budget.ID{Organisation: "velocar", Budget: "main"}, Tokens: 40},
			{Budget: budget.ID{Organisation: "svaz", Budget: "catalogue"}, Tokens: 7},
		},
	}}
	s.view.members = append(s.view.members, member.Member{Instance: "entry-b1@5-cc", VM: "entry-b1", State: member.Alive})
	release := "budget release -instance " + id
	s.mustFail(ExitUsage, release, "-yes is required")
	s.mustFail(ExitUsage, "budget release -yes", "-instance is required")
	s.mustFail(ExitNotFound, "budget release -instance entry-a1@1-aa.1 -yes -stopped", "is not being closed")
	s.mustFail(ExitFailed, release+" -yes -stopped", "the router is alive")
	s.view.members[1].State = member.Unreachable
	s.mustFail(ExitFailed, release+" -yes", "the router is unreachable")
	s.view.members[1].State = member.Failed
	s.mustFail(ExitFailed, release+" -yes", "VM entry-b1 is live in the VM list")
	must.SliceEmpty(t, s.heldInstances.released)

	held := s.mustRun("budget held")
	for _, text := range []string{id, "entry-c1@7-dd is not reachable", "velocar/main", "40", "svaz/catalogue", "7", "VM entry-b1 is live"} {
		must.StrContains(t, held, text)
	}
	must.StrContains(t, s.mustRun(release+" -yes -stopped"), "Bills that only an unreachable witness had are lost")
	must.Eq(t, []string{id}, s.heldInstances.released)
	entry := s.logs.Entries[len(s.logs.Entries)-1]
	must.Eq(t, log.WarnLevel, entry.Level)
	must.Eq(t, any(id), entry.Fields["instance"])
	must.Eq(t, any(int64(47)), entry.Fields["tokens"])

	// A later instance on the VM, or the end of the VM, shows that the instance has ended.
	s.view.members = append(s.view.members, member.Member{Instance: "entry-b1@9-ee", VM: "entry-b1", State: member.Alive})
	s.mustRun(release + " -yes")
	s.view.members = s.view.members[:2]
	must.NoError(t, s.store.SetVMState("entry-b1", platform.VMGone, nil))
	s.mustRun(release + " -yes")
	s.heldInstances.held = nil
	must.StrContains(t, s.mustRun("budget held"), "no instance is held")
}

// Guards against a failing witness that the status does not show, and against grants of live routers that are shown as
// held.
func TestWitnessesAndHolders(t *testing.T) {
	s := newTestServer(t)
	must.StrContains(t, s.mustRun("status"), "no witness")
	first, second := journal.Ref{Router: "entry-b1@5-cc", Zone: "b"}, journal.Ref{Router: "entry-c1@7-dd", Zone: "c"}
	s.heldInstances.status = journal.WitnessStatus{Witnesses: []journal.Ref{first, second}, Failing: []journal.Ref{second}}
	text := s.mustRun("status")
	must.StrContains(t, text, "entry-b1@5-cc           answers")
	must.StrContains(t, text, "entry-c1@7-dd           failing")

	id := budget.ID{Organisation: "velocar", Budget: "main"}
	s.ledger.budgets[id] = &budget.Status{ID: id, ToppedUp: 100, Grants: []budget.HolderGrant{{Instance: "entry-a1@1-aa.3", Tokens: 40}}}
	must.StrNotContains(t, s.mustRun("budget held velocar"), "entry-a1")
}
