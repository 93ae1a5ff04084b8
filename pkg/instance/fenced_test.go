package instance

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const (
	failedRouter     = "vm1@1-a"
	sameZoneWitness  = "vm2@1-a"
	otherZoneWitness = "vm3@1-a"
)

// fencedFixture holds an instance that failed together with its witness in the other zone. The witness in the same zone
// has a bill of 20 tokens that was not sent to the ledger and one of 30 tokens that may have been sent.
type fencedFixture struct {
	platform  *memstore.Store
	view      *view
	shard     shard
	witnesses fakeWitnesses
	closer    *Closer
	instance  string
}

func newFencedFixture(t *testing.T, granted budget.Tokens) *fencedFixture {
	f := &fencedFixture{platform: memstore.New(memstore.Options{}), witnesses: fakeWitnesses{sameZoneWitness: journal.NewCopies(sameZoneWitness)}}
	for i, id := range []string{failedRouter, sameZoneWitness, otherZoneWitness} {
		zone := []string{"a", "a", "b"}[i]
		f.view = &view{self: failedRouter, members: append(f.viewMembers(), member.Member{
			Instance: id, VM: member.VMOf(id), Region: "cluj", Zone: zone, PeerAddress: id, State: member.Alive,
		})}
		f.platform.PutVM(platform.VM{Name: member.VMOf(id), Region: "cluj", Zone: zone, Role: platform.RoleEntry, State: platform.VMLive})
	}
	store := f.platform.Client(sameZoneWitness)
	r, err := NewRegistry(store, f.view, nil).Register(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, r.Witnesses)
	f.instance = r.Instance
	f.shard = newShard(f.instance, granted)
	unsent := bill(3, 20)
	unsent.Key = "unsent"
	f.witnesses[sameZoneWitness].Append(journal.Append{Instance: f.instance, Witness: sameZoneWitness, Number: 1, Entries: []journal.Entry{
		bill(1, 30), {Seq: 2, Kind: journal.Flush, Budget: testBudget, Op: f.instance + "/velocar/settle/1", First: 1, Last: 1}, unsent,
	}})
	closerView := &view{self: sameZoneWitness, members: f.view.members}
	f.view = closerView
	f.closer = NewCloser(store, f.witnesses, f.shard, 1, closerView)
	return f
}

func (f *fencedFixture) viewMembers() []member.Member {
	if f.view == nil {
		return nil
	}
	return f.view.members
}

func (f *fencedFixture) status() budget.Status { return f.shard.Read("velocar")[0] }

// closeHeld closes the instance, which must stay held, and returns the reason.
func (f *fencedFixture) closeHeld(t *testing.T) string {
	var held *HeldError
	must.True(t, errors.As(f.closer.Close(t.Context(), f.instance), &held))
	return held.Reason
}

// Guards against settling while an unreachable witness may still acknowledge entries of a live instance, and against
// bills that stay unsettled once that witness has ended for good. Also guards against then returning tokens without an
// operator, and against settling twice, by a later attempt or a release, also after the ledger has dropped its records.
func TestSettlesBillsOnceOtherWitnessIsGone(t *testing.T) {
	for _, proof := range []string{"VM gone", "superseded"} {
		t.Run(proof, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFencedFixture(t, 100)
				must.StrNotContains(t, f.closeHeld(t), "settled")
				must.EqOp(t, 0, f.status().Settled)
				if proof == "VM gone" {
					must.NoError(t, f.platform.SetVMState(member.VMOf(otherZoneWitness), platform.VMGone, nil))
				} else {
					f.view.members = append(f.view.members, member.Member{Instance: "vm3@2-b", VM: "vm3", State: member.Alive})
				}
				reason := f.closeHeld(t)
				must.StrContains(t, reason, otherZoneWitness)
				must.StrContains(t, reason, "an operator may release the rest")
				must.EqOp(t, 50, f.status().Settled)
				must.EqOp(t, 50, f.status().Grants[0].Tokens)
				time.Sleep(time.Hour)
				f.shard.Prune(time.Now())
				must.EqOp(t, reason, f.closeHeld(t))
				must.EqOp(t, 50, f.status().Settled)
				must.NoError(t, f.closer.Release(t.Context(), f.instance))
				must.EqOp(t, 50, f.status().Settled)
				must.SliceEmpty(t, f.status().Grants)
			})
		})
	}
}

// Guards against a release that fails or bills twice because the holder has no tokens left: the settled bills used up
// the grant, and the ledger has dropped its records of them.
func TestReleaseAfterTheGrantIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFencedFixture(t, 50)
		must.NoError(t, f.platform.SetVMState(member.VMOf(otherZoneWitness), platform.VMGone, nil))
		f.closeHeld(t)
		must.EqOp(t, 50, f.status().Settled)
		time.Sleep(time.Hour)
		f.shard.Prune(time.Now())
		must.NoError(t, f.closer.Release(t.Context(), f.instance))
		must.EqOp(t, 50, f.status().Settled)
	})
}

// Guards against settling while one of several missing witnesses may still acknowledge entries, and against mistaking an
// older process or one on another VM for the successor of a witness.
func TestHasEndedRequiresSuccessorOrGoneVM(t *testing.T) {
	f := newFencedFixture(t, 100)
	f.view.members = append(f.view.members,
		member.Member{Instance: "vm3@0-z", VM: "vm3", State: member.Failed}, member.Member{Instance: "vm4@9-z", VM: "vm4", State: member.Alive})
	must.False(t, f.closer.hasEnded(t.Context(), otherZoneWitness))
	must.False(t, f.closer.hasEnded(t.Context(), "no VM"))
	must.False(t, witnessAnswers{copies: []journal.Copy{{}}, missingReasons: []string{"a", "b"}, endedCount: 1}.isFenced())
	must.False(t, witnessAnswers{missingReasons: []string{"a"}, endedCount: 1}.isFenced())
	must.False(t, witnessAnswers{copies: []journal.Copy{{}}}.isFenced())
}
