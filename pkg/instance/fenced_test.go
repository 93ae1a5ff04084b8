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
	deadRouter  = "vm1@1-a"
	nearWitness = "vm2@1-a"
	farWitness  = "vm3@1-a"
)

// fencedFixture is an instance that died with its far witness. The near one has a bill of 20 tokens that was not sent
// and one of 30 tokens that may have been.
type fencedFixture struct {
	platform *memstore.Store
	view     *view
	shard    shard
	fakes    copies
	closer   *Closer
	instance string
}

func newFencedFixture(t *testing.T, granted budget.Tokens) *fencedFixture {
	f := &fencedFixture{platform: memstore.New(memstore.Options{}), fakes: copies{nearWitness: journal.NewCopies(nearWitness)}}
	for i, id := range []string{deadRouter, nearWitness, farWitness} {
		zone := []string{"a", "a", "b"}[i]
		f.view = &view{self: deadRouter, members: append(f.viewMembers(), member.Member{
			Instance: id, VM: member.VMOf(id), Region: "cluj", Zone: zone, PeerAddress: id, State: member.Alive,
		})}
		f.platform.PutVM(platform.VM{Name: member.VMOf(id), Region: "cluj", Zone: zone, Role: platform.RoleEntry, State: platform.VMLive})
	}
	store := f.platform.Client(nearWitness)
	r, err := NewRegistry(store, f.view, nil).Register(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, r.Witnesses)
	f.instance = r.Instance
	f.shard = newShard(f.instance, granted)
	unsent := bill(3, 20)
	unsent.Key = "unsent"
	f.fakes[nearWitness].Append(journal.Append{Instance: f.instance, Witness: nearWitness, Number: 1, Entries: []journal.Entry{
		bill(1, 30), {Seq: 2, Kind: journal.Flush, Budget: dispatch, Op: f.instance + "/velocar/settle/1", First: 1, Last: 1}, unsent,
	}})
	closing := &view{self: nearWitness, members: f.view.members}
	f.view = closing
	f.closer = NewCloser(store, f.fakes, f.shard, 1, closing)
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

// Guards against settling while a witness that is only unreachable may still acknowledge entries of a live instance,
// against bills that stay unsettled although the instance is fenced, against tokens that are then given back without an
// operator, and against a second settlement by a later attempt or by the operator's release, also after the ledger has
// dropped the records of the bills.
func TestSettlesOnceTheOtherWitnessIsGoneForGood(t *testing.T) {
	for _, evidence := range []string{"VM gone", "superseded"} {
		t.Run(evidence, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFencedFixture(t, 100)
				must.StrNotContains(t, f.closeHeld(t), "settled")
				must.EqOp(t, 0, f.status().Settled)
				if evidence == "VM gone" {
					must.NoError(t, f.platform.SetVMState(member.VMOf(farWitness), platform.VMGone, nil))
				} else {
					f.view.members = append(f.view.members, member.Member{Instance: "vm3@2-b", VM: "vm3", State: member.Alive})
				}
				reason := f.closeHeld(t)
				must.StrContains(t, reason, farWitness)
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

// Guards against an operator's release that fails or bills twice after the settled bills used up the grant and the
// ledger has dropped their records, because the holder had no tokens left.
func TestReleaseAfterTheGrantIsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFencedFixture(t, 50)
		must.NoError(t, f.platform.SetVMState(member.VMOf(farWitness), platform.VMGone, nil))
		f.closeHeld(t)
		must.EqOp(t, 50, f.status().Settled)
		time.Sleep(time.Hour)
		f.shard.Prune(time.Now())
		must.NoError(t, f.closer.Release(t.Context(), f.instance))
		must.EqOp(t, 50, f.status().Settled)
	})
}

// Guards against settling while one of several missing witnesses may still acknowledge entries, and against taking an
// older process or another VM for the successor of a witness.
func TestGoneNeedsProof(t *testing.T) {
	f := newFencedFixture(t, 100)
	f.view.members = append(f.view.members,
		member.Member{Instance: "vm3@0-z", VM: "vm3", State: member.Failed}, member.Member{Instance: "vm4@9-z", VM: "vm4", State: member.Alive})
	must.False(t, f.closer.gone(t.Context(), farWitness))
	must.False(t, f.closer.gone(t.Context(), "no VM"))
	must.False(t, collected{copies: []journal.Copy{{}}, missing: []string{"a", "b"}, gone: 1}.fenced())
	must.False(t, collected{missing: []string{"a"}, gone: 1}.fenced())
	must.False(t, collected{copies: []journal.Copy{{}}}.fenced())
}
