package instance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

var dispatch = budget.ID{Organisation: "velocar", Budget: "dispatch"}

// view is a fixed membership view.
type view struct {
	self    string
	members []member.Member
}

func (v *view) Self() member.Member {
	for _, m := range v.members {
		if m.Instance == v.self {
			return m
		}
	}
	return member.Member{}
}

func (v *view) Members() []member.Member { return v.members }

func router(instance, zone string, state member.State) member.Member {
	return member.Member{Instance: instance, VM: "vm-" + instance, Region: "cluj", Zone: zone, PeerAddress: instance + ":1", State: state}
}

func fleet(self string) *view {
	return &view{self: self, members: []member.Member{
		router("r1", "a", member.Alive), router("r2", "a", member.Alive), router("r3", "b", member.Alive),
		router("r4", "b", member.Alive), router("r5", "c", member.Alive),
	}}
}

func ref(instance, zone string) journal.Ref {
	return journal.Ref{Router: instance, Address: instance + ":1", Region: "cluj", Zone: zone}
}

// Guards against both witnesses in the zone of the instance, which would fail with it, and against giving up a
// witness that works.
func TestChoose(t *testing.T) {
	v := fleet("r1")
	set := Choose(v, "r1.1", DefaultScopes, nil)
	must.Len(t, 2, set)
	must.EqOp(t, "r2", set[0].Router)
	must.NotEqOp(t, "a", set[1].Zone)
	must.Eq(t, []journal.Ref{ref("r2", "a"), ref("r5", "c")}, Choose(v, "r1.1", DefaultScopes, []journal.Ref{ref("r5", "c")}))
	others := Choose(v, "r1.1", []Scope{OtherZone, OtherZone}, nil)
	must.NotEqOp(t, others[0].Zone, others[1].Zone)
	must.Len(t, 2, Choose(v, "r1.1", []Scope{OtherRegion, OtherRegion}, nil))
	must.Len(t, 1, Choose(&view{self: "r1", members: v.members[:2]}, "r1.1", DefaultScopes, nil))
	must.SliceEmpty(t, Choose(&view{self: "r1", members: v.members[:1]}, "r1.1", DefaultScopes, nil))
}

// Guards against a witness outside the declared scopes that is kept for ever because it was chosen while no router
// of the scope was known, and against giving up both witnesses at once.
func TestChooseReturnsToTheScopes(t *testing.T) {
	v := fleet("r1")
	both := []journal.Ref{ref("r3", "b"), ref("r4", "b")}
	must.Eq(t, []journal.Ref{ref("r2", "a"), ref("r3", "b")}, Choose(v, "r1.1", DefaultScopes, both))
	others := []Scope{OtherZone, OtherZone}
	must.Eq(t, []journal.Ref{ref("r3", "b"), ref("r5", "c")}, Choose(v, "r1.1", others, []journal.Ref{ref("r2", "a"), ref("r3", "b")}))
	region := Choose(v, "r1.1", []Scope{OtherRegion, OtherRegion}, both)
	must.Eq(t, both, region)
	misplaced := []journal.Ref{ref("r2", "a"), ref("r6", "a")}
	first := Choose(v, "r1.1", others, misplaced)
	must.Len(t, 2, first)
	must.SliceContains(t, first, ref("r2", "a"))
	second := Choose(v, "r1.1", others, first)
	must.SliceNotContains(t, second, ref("r2", "a"))
	must.Eq(t, second, Choose(v, "r1.1", others, second))
	single := []journal.Ref{ref("r2", "a")}
	must.Eq(t, single, Choose(v, "r1.1", []Scope{OtherZone}, single))
}

// copies is a fake of the witnesses of a fleet.
type copies map[string]*journal.Copies

func (c copies) Close(_ context.Context, w journal.Ref, instance string) (journal.Copy, error) {
	if c[w.Router] == nil {
		return journal.Copy{}, journal.ErrUnreachable
	}
	content, ok := c[w.Router].Close(instance, w.Router)
	if !ok {
		return journal.Copy{}, journal.ErrNotWitness
	}
	return content, nil
}

func (c copies) Forget(context.Context, journal.Ref, string) error { return journal.ErrUnreachable }

// shard is a ledger of one shard.
type shard struct{ *ledger.Shard }

func (s shard) Apply(_ context.Context, _ int, ops []budget.Op) ([]budget.Result, error) {
	var results []budget.Result
	for _, op := range ops {
		results = append(results, s.Shard.Apply(time.Now(), op))
	}
	return results, nil
}

func newShard(holder string, tokens budget.Tokens) shard {
	s := shard{ledger.New()}
	_, _ = s.Apply(context.Background(), 0, []budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: dispatch}, {ID: "t", Kind: budget.OpTopUp, Budget: dispatch, Tokens: 1000},
		{ID: holder + "/1", Kind: budget.OpGrant, Budget: dispatch, Holder: holder, Need: tokens, Want: tokens},
	})
	return s
}

func registered(t *testing.T, store platform.Store) journal.Registration {
	r, err := NewRegistry(store, fleet("r1"), nil).Register(t.Context())
	must.NoError(t, err)
	must.EqOp(t, "r1.1", r.Instance)
	return r
}

func bill(seq uint64, tokens budget.Tokens) journal.Entry {
	return journal.Entry{Seq: seq, Kind: journal.Bill, Budget: dispatch, Key: "k", Tokens: tokens}
}

// Guards against giving back tokens although a witness has not answered, which may have further bills, and against
// a hold without a reason for operators. Both witnesses are needed; then the bill is settled and the rest returned.
func TestCloseNeedsAllWitnesses(t *testing.T) {
	store := memstore.New(memstore.Options{}).Client("r2")
	r := registered(t, store)
	s := newShard("r1.1", 100)
	far := r.Witnesses[1].Router
	fakes := copies{"r2": journal.NewCopies("r2")}
	lost := journal.NewCopies(far)
	must.EqOp(t, journal.Stored, lost.Append(journal.Append{Instance: "r1.1", Witness: far, Number: 1, Entries: []journal.Entry{bill(1, 30)}}))
	closer := NewCloser(store, fakes, s, 1, fleet("r2"))
	var held *HeldError
	must.True(t, errors.As(closer.Close(t.Context(), "r1.1"), &held))
	must.StrContains(t, held.Reason, far)
	records, err := ListHeld(t.Context(), store)
	must.NoError(t, err)
	must.Len(t, 1, records)
	must.EqOp(t, held.Reason, records[0].Held)
	must.EqOp(t, 100, s.Read("velocar")[0].Grants[0].Tokens)
	fakes[far] = lost
	must.NoError(t, closer.Close(t.Context(), "r1.1"))
	must.NoError(t, NewCloser(store, fakes, s, 1, fleet("r3")).Close(t.Context(), "r1.1"))
	must.EqOp(t, 30, s.Read("velocar")[0].Settled)
	must.SliceEmpty(t, s.Read("velocar")[0].Grants)
}

// Guards against a witness that restarted and would answer with an empty journal; an operator may release the rest.
func TestCloseStaysHeldAfterWitnessRestart(t *testing.T) {
	store := memstore.New(memstore.Options{}).Client("r2")
	r := registered(t, store)
	s := newShard("r1.1", 100)
	far := r.Witnesses[1].Router
	closer := NewCloser(store, copies{"r2": journal.NewCopies("r2"), far: journal.NewCopies("again")}, s, 1, fleet("r2"))
	var held *HeldError
	must.True(t, errors.As(closer.Close(t.Context(), "r1.1"), &held))
	must.StrContains(t, held.Reason, "restarted")
	must.NoError(t, closer.Release(t.Context(), "r1.1"))
	must.SliceEmpty(t, s.Read("velocar")[0].Grants)
}

// Guards against an instance that changes its witnesses while it is being closed: the closing would miss the new
// one. Also guards against taking a lost response for a failure.
func TestRewitness(t *testing.T) {
	platformStore := memstore.New(memstore.Options{})
	store := platformStore.Client("r1")
	g := NewRegistry(store, fleet("r1"), nil)
	r, err := g.Register(t.Context())
	must.NoError(t, err)
	_, err = platformStore.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
	must.NoError(t, err)
	changed, closed, err := g.ChangeWitnesses(t.Context(), r.Instance, []journal.Ref{ref("r4", "b")})
	must.NoError(t, err)
	must.True(t, changed)
	must.False(t, closed)
	c := NewCloser(store, copies{}, newShard(r.Instance, 1), 1, fleet("r2"))
	must.Error(t, c.Close(t.Context(), r.Instance))
	changed, closed, err = g.ChangeWitnesses(t.Context(), r.Instance, r.Witnesses)
	must.NoError(t, err)
	must.False(t, changed)
	must.True(t, closed)
	_, closed, err = g.ChangeWitnesses(t.Context(), "r1.9", nil)
	must.NoError(t, err)
	must.True(t, closed)
}

// fakePurse has a fixed journal state and records the proposed witnesses.
type fakePurse struct {
	state    journal.WitnessStatus
	proposed [][]journal.Ref
	abandons int
}

func (p *fakePurse) WitnessStatus(time.Duration) (journal.WitnessStatus, bool) { return p.state, true }
func (p *fakePurse) ChangeWitnesses(_ string, set []journal.Ref) {
	p.proposed = append(p.proposed, set)
}
func (p *fakePurse) AbortWitnessChange()         { p.abandons++ }
func (p *fakePurse) Drain(context.Context) error { return nil }
func (p *fakePurse) Close(string)                {}

type noCopies struct{}

func (noCopies) Instances() []string { return nil }
func (noCopies) Prune([]string)      {}

// run runs a manager for a time.
func run(t *testing.T, m *Manager, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { m.Run(ctx) })
	tasks.Wait()
}

// Guards against relying on a witness that does not answer or is leaving, and against a change that never ends.
func TestManagerReplacesWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := fleet("r1")
		v.members[1].State = member.Leaving
		p := &fakePurse{state: journal.WitnessStatus{
			Instance: "r1.1", Witnesses: []journal.Ref{ref("r2", "a"), ref("r3", "b")}, Failing: []journal.Ref{ref("r3", "b")},
		}}
		store := memstore.New(memstore.Options{}).Client("r1")
		m := NewManager(store, v, p, noCopies{}, NewCloser(store, copies{}, newShard("x", 1), 1, fleet("r1")), nil, Intervals{})
		run(t, m, 1500*time.Millisecond)
		must.Len(t, 1, p.proposed)
		for _, w := range p.proposed[0] {
			must.SliceContains(t, []string{"r4", "r5"}, w.Router)
		}
		p.state.Changing = true
		run(t, m, 10*time.Second)
		must.Len(t, 1, p.proposed)
		must.EqOp(t, 1, p.abandons)
	})
}

// Guards against an instance that nobody closes because the router whose turn it is can't, and against closing the
// instances of routers that are only not known yet.
func TestManagersCloseFailedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platformStore := memstore.New(memstore.Options{})
		store := platformStore.Client("r1")
		registered(t, store)
		unknown := fleet("r9")
		unknown.members = append(unknown.members, router("r9", "a", member.Alive))
		other, err := NewRegistry(store, unknown, nil).Register(t.Context())
		must.NoError(t, err)
		s := newShard("r1.1", 100)
		fakes := copies{}
		for _, m := range unknown.members {
			fakes[m.Instance] = journal.NewCopies(m.Instance)
		}
		var tasks conc.WaitGroup
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
		defer cancel()
		for _, id := range []string{"r2", "r3", "r4", "r5"} {
			v := fleet(id)
			v.members[0].State = member.Failed
			st := platformStore.Client(id)
			m := NewManager(st, v, &fakePurse{}, noCopies{}, NewCloser(st, fakes, s, 1, v), nil, Intervals{})
			if m.rank("close/r1") > 0 {
				tasks.Go(func() { m.Run(ctx) })
			}
		}
		tasks.Wait()
		must.SliceEmpty(t, s.Read("velocar")[0].Grants)
		_, err = store.Get(t.Context(), Key("r1.1"))
		must.ErrorIs(t, err, platform.ErrNotFound)
		_, err = store.Get(t.Context(), Key(other.Instance))
		must.NoError(t, err)
	})
}

// Guards against an idle fleet that rewrites its instance records without end: a router without another one in its zone
// got the same two witnesses in another order at each check.
func TestChoiceIsStableWithoutRouterInTheZone(t *testing.T) {
	all := fleet("r1").members
	v := &view{self: "r1"}
	for _, m := range all {
		if m.Instance == "r1" || m.Zone != "a" {
			v.members = append(v.members, m)
		}
	}
	set := Choose(v, "r1.1", DefaultScopes, nil)
	for range 4 {
		next := Choose(v, "r1.1", DefaultScopes, set)
		must.True(t, sameSet(set, next), must.Sprintf("%v after %v", next, set))
		set = next
	}
}
