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

var testBudget = budget.ID{Organisation: "velocar", Budget: "dispatch"}

// view is a membership view with the given members.
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

func newMember(instance, zone string, state member.State) member.Member {
	return member.Member{Instance: instance, VM: "vm-" + instance, Region: "cluj", Zone: zone, PeerAddress: instance + ":1", State: state}
}

func fleetView(self string) *view {
	return &view{self: self, members: []member.Member{
		newMember("r1", "a", member.Alive), newMember("r2", "a", member.Alive), newMember("r3", "b", member.Alive),
		newMember("r4", "b", member.Alive), newMember("r5", "c", member.Alive),
	}}
}

func ref(instance, zone string) journal.Ref {
	return journal.Ref{Router: instance, Address: instance + ":1", Region: "cluj", Zone: zone}
}

// Guards against choosing both witnesses in the zone of the instance, where they would fail with it, and against
// replacing a witness that answers.
func TestChoose(t *testing.T) {
	v := fleetView("r1")
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

// Guards against keeping a witness outside the scopes for ever because it was chosen while no router of the scope was
// known, and against replacing both witnesses at once.
func TestChooseReplacesMisplacedWitnesses(t *testing.T) {
	v := fleetView("r1")
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

// fakeWitnesses are the journal copies of a fleet by router; a router without an entry is not reachable.
type fakeWitnesses map[string]*journal.Copies

func (f fakeWitnesses) Close(_ context.Context, w journal.Ref, instance string) (journal.Copy, error) {
	if f[w.Router] == nil {
		return journal.Copy{}, journal.ErrUnreachable
	}
	content, ok := f[w.Router].Close(instance, w.Router)
	if !ok {
		return journal.Copy{}, journal.ErrNotWitness
	}
	return content, nil
}

func (f fakeWitnesses) Forget(context.Context, journal.Ref, string) error {
	return journal.ErrUnreachable
}

// shard is a ledger with one shard.
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
		{ID: "c", Kind: budget.OpCreate, Budget: testBudget}, {ID: "t", Kind: budget.OpTopUp, Budget: testBudget, Tokens: 1000},
		{ID: holder + "/1", Kind: budget.OpGrant, Budget: testBudget, Holder: holder, Need: tokens, Want: tokens},
	})
	return s
}

func register(t *testing.T, store platform.Store) journal.Registration {
	r, err := NewRegistry(store, fleetView("r1"), nil).Register(t.Context())
	must.NoError(t, err)
	must.EqOp(t, "r1.1", r.Instance)
	return r
}

func bill(seq uint64, tokens budget.Tokens) journal.Entry {
	return journal.Entry{Seq: seq, Kind: journal.Bill, Budget: testBudget, Key: "k", Tokens: tokens}
}

// Guards against returning tokens while a witness that may have further bills has not answered, and against holding
// them without a reason for operators. Once both witnesses answer, the bill is settled and the rest is returned.
func TestCloseNeedsAllWitnesses(t *testing.T) {
	store := memstore.New(memstore.Options{}).Client("r2")
	r := register(t, store)
	s := newShard("r1.1", 100)
	otherZone := r.Witnesses[1].Router
	witnesses := fakeWitnesses{"r2": journal.NewCopies("r2")}
	copies := journal.NewCopies(otherZone)
	must.EqOp(t, journal.Stored, copies.Append(journal.Append{Instance: "r1.1", Witness: otherZone, Number: 1, Entries: []journal.Entry{bill(1, 30)}}))
	closer := NewCloser(store, witnesses, s, 1, fleetView("r2"))
	var held *HeldError
	must.True(t, errors.As(closer.Close(t.Context(), "r1.1"), &held))
	must.StrContains(t, held.Reason, otherZone)
	records, err := ListHeld(t.Context(), store)
	must.NoError(t, err)
	must.Len(t, 1, records)
	must.EqOp(t, held.Reason, records[0].HeldReason)
	must.EqOp(t, 100, s.Read("velocar")[0].Grants[0].Tokens)
	witnesses[otherZone] = copies
	must.NoError(t, closer.Close(t.Context(), "r1.1"))
	must.NoError(t, NewCloser(store, witnesses, s, 1, fleetView("r3")).Close(t.Context(), "r1.1"))
	must.EqOp(t, 30, s.Read("velocar")[0].Settled)
	must.SliceEmpty(t, s.Read("velocar")[0].Grants)
}

// Guards against closing an instance with the empty copy of a witness that restarted; an operator may release the rest.
func TestCloseStaysHeldAfterWitnessRestart(t *testing.T) {
	store := memstore.New(memstore.Options{}).Client("r2")
	r := register(t, store)
	s := newShard("r1.1", 100)
	otherZone := r.Witnesses[1].Router
	closer := NewCloser(store, fakeWitnesses{"r2": journal.NewCopies("r2"), otherZone: journal.NewCopies("again")}, s, 1, fleetView("r2"))
	var held *HeldError
	must.True(t, errors.As(closer.Close(t.Context(), "r1.1"), &held))
	must.StrContains(t, held.Reason, "restarted")
	must.NoError(t, closer.Release(t.Context(), "r1.1"))
	must.SliceEmpty(t, s.Read("velocar")[0].Grants)
}

// Guards against an instance that changes its witnesses while it is being closed, so that the closer misses the new
// one, and against treating a lost response as a failure.
func TestChangeWitnesses(t *testing.T) {
	platformStore := memstore.New(memstore.Options{})
	store := platformStore.Client("r1")
	g := NewRegistry(store, fleetView("r1"), nil)
	r, err := g.Register(t.Context())
	must.NoError(t, err)
	_, err = platformStore.Inject(memstore.Fault{Kind: memstore.FaultLost, Count: 1})
	must.NoError(t, err)
	changed, closed, err := g.ChangeWitnesses(t.Context(), r.Instance, []journal.Ref{ref("r4", "b")})
	must.NoError(t, err)
	must.True(t, changed)
	must.False(t, closed)
	c := NewCloser(store, fakeWitnesses{}, newShard(r.Instance, 1), 1, fleetView("r2"))
	must.Error(t, c.Close(t.Context(), r.Instance))
	changed, closed, err = g.ChangeWitnesses(t.Context(), r.Instance, r.Witnesses)
	must.NoError(t, err)
	must.False(t, changed)
	must.True(t, closed)
	_, closed, err = g.ChangeWitnesses(t.Context(), "r1.9", nil)
	must.NoError(t, err)
	must.True(t, closed)
}

// fakeTokenPool returns a given witness status and records the proposed witnesses.
type fakeTokenPool struct {
	status   journal.WitnessStatus
	proposed [][]journal.Ref
	aborts   int
}

func (p *fakeTokenPool) WitnessStatus(time.Duration) (journal.WitnessStatus, bool) {
	return p.status, true
}
func (p *fakeTokenPool) ChangeWitnesses(_ string, set []journal.Ref) {
	p.proposed = append(p.proposed, set)
}
func (p *fakeTokenPool) AbortWitnessChange()         { p.aborts++ }
func (p *fakeTokenPool) Drain(context.Context) error { return nil }
func (p *fakeTokenPool) Close(string)                {}

type noCopies struct{}

func (noCopies) Instances() []string { return nil }
func (noCopies) Prune([]string)      {}

// runManager runs a manager for the given time.
func runManager(t *testing.T, m *Manager, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { m.Run(ctx) })
	tasks.Wait()
}

// Guards against keeping a witness that does not answer or is leaving, and against a change that never ends.
func TestManagerReplacesWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := fleetView("r1")
		v.members[1].State = member.Leaving
		p := &fakeTokenPool{status: journal.WitnessStatus{
			Instance: "r1.1", Witnesses: []journal.Ref{ref("r2", "a"), ref("r3", "b")}, Failing: []journal.Ref{ref("r3", "b")},
		}}
		store := memstore.New(memstore.Options{}).Client("r1")
		m := NewManager(store, v, p, noCopies{}, NewCloser(store, fakeWitnesses{}, newShard("x", 1), 1, fleetView("r1")), nil, Intervals{})
		runManager(t, m, 1500*time.Millisecond)
		must.Len(t, 1, p.proposed)
		for _, w := range p.proposed[0] {
			must.SliceContains(t, []string{"r4", "r5"}, w.Router)
		}
		p.status.Changing = true
		runManager(t, m, 10*time.Second)
		must.Len(t, 1, p.proposed)
		must.EqOp(t, 1, p.aborts)
	})
}

// Guards against an instance that is never closed because the router whose turn it is does not run, and against closing
// the instances of routers that are not in the view yet.
func TestManagersCloseFailedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platformStore := memstore.New(memstore.Options{})
		store := platformStore.Client("r1")
		register(t, store)
		unknown := fleetView("r9")
		unknown.members = append(unknown.members, newMember("r9", "a", member.Alive))
		other, err := NewRegistry(store, unknown, nil).Register(t.Context())
		must.NoError(t, err)
		s := newShard("r1.1", 100)
		witnesses := fakeWitnesses{}
		for _, m := range unknown.members {
			witnesses[m.Instance] = journal.NewCopies(m.Instance)
		}
		var tasks conc.WaitGroup
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
		defer cancel()
		for _, id := range []string{"r2", "r3", "r4", "r5"} {
			v := fleetView(id)
			v.members[0].State = member.Failed
			st := platformStore.Client(id)
			m := NewManager(st, v, &fakeTokenPool{}, noCopies{}, NewCloser(st, witnesses, s, 1, v), nil, Intervals{})
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

// Guards against an idle fleet that rewrites its instance records at each check: without another router in the zone,
// Choose may return the same two witnesses in a different order.
func TestChoiceIsStableWithoutRouterInTheZone(t *testing.T) {
	all := fleetView("r1").members
	v := &view{self: "r1"}
	for _, m := range all {
		if m.Instance == "r1" || m.Zone != "a" {
			v.members = append(v.members, m)
		}
	}
	set := Choose(v, "r1.1", DefaultScopes, nil)
	for range 4 {
		next := Choose(v, "r1.1", DefaultScopes, set)
		must.True(t, sameWitnessSet(set, next), must.Sprintf("%v after %v", next, set))
		set = next
	}
}
