package allowance

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const organisation = "velocar"

func quietLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel} }

// lateStore loses the responses of some writes and executes some of these seconds later.
type lateStore struct {
	platform.Store
	mu     sync.Mutex
	random *rand.Rand
	// lost is the share of writes without an answer, of which half are done late.
	lost float64
}

func (s *lateStore) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	x := s.draw()
	switch {
	case x < s.lost/2:
		go func() {
			time.Sleep(time.Duration(1+2*s.draw()) * time.Second)
			_, _ = s.Store.Put(context.Background(), key, value, ifRevision)
		}()
		return platform.Object{}, platform.ErrUncertain
	case x < s.lost:
		_, _ = s.Store.Put(ctx, key, value, ifRevision)
		return platform.Object{}, platform.ErrUncertain
	}
	return s.Store.Put(ctx, key, value, ifRevision)
}

// fleet is some accounts over one store that ask each other.
type fleet struct {
	mu    sync.Mutex
	books map[string]*Accounts
	// cut are the accounts that reach no other one.
	cut map[string]bool
}

// others returns the accounts that vm reaches, the allocators in their order first.
func (f *fleet) others(vm string, allocators []string) []*Accounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*Accounts
	names := slices.Concat(allocators, slices.Sorted(maps.Keys(f.books)))
	for i, name := range names {
		if name != vm && !f.cut[name] && !f.cut[vm] && !slices.Contains(names[:i], name) {
			found = append(found, f.books[name])
		}
	}
	return found
}

// peersOf implements Peers; one answer in ten is lost after the giver gave, and one comes late.
type peersOf struct {
	*fleet
	vm     string
	random func() float64
}

func (p peersOf) RequestTokens(ctx context.Context, allocators []string, organisation string, shortage Shortage, late func(int64)) Answer {
	answer := Answer{Complete: true}
	for _, b := range p.others(p.vm, allocators) {
		if answer.Tokens >= shortage.Total {
			break
		}
		left := shortage.left(answer.Tokens)
		given, exhausted := b.TransferOut(ctx, organisation, left.Next, left.Total, slices.Contains(allocators, b.VM) && !shortage.NoDraw)
		switch x := p.random(); {
		case x < 0.1:
			answer.Complete = false
			continue
		case x < 0.2:
			answer.Complete = false
			time.AfterFunc(time.Second, func() { late(given) })
			continue
		}
		answer.Tokens += given
		answer.Exhausted = answer.Exhausted || exhausted
	}
	return answer
}

// Guards against overspend: what the requests of all routers have used never exceeds the budget, while writes and
// answers are lost or done late, routers die and start again, and the budget is raised.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "lost")
		var spent, prepaid int64
		synctest.Test(t, func(t *testing.T) { spent, prepaid = spend(t, seed, lost) })
		if spent > prepaid {
			rt.Fatalf("spent %d of %d", spent, prepaid)
		}
	})
}

func spend(t *testing.T, seed uint64, lost float64) (spent, prepaid int64) {
	random := rand.New(rand.NewPCG(seed, 0))
	store := &lateStore{Store: memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}).Client("test"), random: rand.New(rand.NewPCG(seed, 1)), lost: lost}
	f := &fleet{books: map[string]*Accounts{}, cut: map[string]bool{}}
	ctx, stopAll := context.WithCancel(t.Context())
	stops := map[string]context.CancelFunc{}
	starts := 0
	// vm3 gets its tokens from the others.
	allocators := []string{"vm1", "vm2"}
	start := func(vm string) {
		starts++
		b := NewAccounts(Options{
			Store: store, VM: vm, Instance: vm + string(rune('a'+starts)), Log: quietLog(), Allocators: func(string) []string { return allocators }, Prepaid: func(string) int64 { return 20_000 },
			Peers: peersOf{fleet: f, vm: vm, random: store.draw},
		})
		var bookCtx context.Context
		bookCtx, stops[vm] = context.WithCancel(ctx)
		go b.Run(bookCtx)
		f.mu.Lock()
		f.books[vm] = b
		f.mu.Unlock()
	}
	vms := []string{"vm1", "vm2", "vm3"}
	for _, vm := range vms {
		start(vm)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	prepaid = 20_000
	for range 120 {
		vm := vms[random.IntN(len(vms))]
		switch random.IntN(20) {
		case 0:
			stops[vm]()
			start(vm)
		case 1:
			f.mu.Lock()
			f.cut[vm] = !f.cut[vm]
			f.mu.Unlock()
		case 2:
			prepaid += 1000
		default:
			f.mu.Lock()
			b := f.books[vm]
			f.mu.Unlock()
			tokens, used, total := 50+random.Int64N(800), random.Float64(), prepaid
			wait.Go(func() {
				if b.Reserve(ctx, organisation, total, tokens) != Granted {
					return
				}
				use := int64(used * float64(tokens))
				mu.Lock()
				spent += use
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				b.Release(organisation, tokens-use)
			})
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	wait.Wait()
	stopAll()
	time.Sleep(10 * time.Second)
	return spent, prepaid
}

// startFleet runs accounts on each VM, all of them allocators, until ctx ends. prepaid is the configured budget.
func startFleet(ctx context.Context, memory *memstore.Store, vms []string, prepaid int64) *fleet {
	f := &fleet{books: map[string]*Accounts{}, cut: map[string]bool{}}
	for _, vm := range vms {
		f.books[vm] = NewAccounts(Options{
			Store: memory.Client(vm), VM: vm, Instance: vm, Log: quietLog(), Allocators: func(string) []string { return vms }, Prepaid: func(string) int64 { return prepaid },
			Peers: peersOf{fleet: f, vm: vm, random: func() float64 { return 1 }},
		})
		go f.books[vm].Run(ctx)
	}
	return f
}

// Guards against refusing requests that the budget covers while the store can't be reached: the routers' own tokens and
// those of others bridge a partition of 9 s.
func TestBridgesPartitionFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		vms := []string{"vm1", "vm2", "vm3", "vm4"}
		f := startFleet(ctx, memory, vms, 150_000)
		// 4,000 tokens a second for 6 s with the store and 9 s without it, out of 150,000.
		refused := 0
		for i := range 150 {
			if i == 60 {
				_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultDown})
				must.NoError(t, err)
			}
			// Three quarters of the requests meet the same router.
			vm := vms[0]
			if i%4 == 3 {
				vm = vms[1+i%3]
			}
			if f.books[vm].Reserve(ctx, organisation, 150_000, 400) != Granted {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.Zero(t, refused)
		stop()
	})
}

// Guards against a router that stops to draw ahead although it meets all requests of an organisation: with 8
// allocators, a sixteenth of the remainder was less than a quarter of what it wanted, and a partition of 9 s found it
// empty.
func TestOneRouterDrawsForAllDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
		f := startFleet(ctx, memory, vms, 2_000_000)
		// 50,000 tokens a second for 5 s with the store and 9 s without it, out of 2,000,000.
		refused := 0
		for i := range 70 {
			if i == 25 {
				_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultDown})
				must.NoError(t, err)
			}
			if f.books["vm1"].Reserve(ctx, organisation, 2_000_000, 10_000) != Granted {
				refused++
			}
			time.Sleep(200 * time.Millisecond)
		}
		must.Zero(t, refused)
		stop()
	})
}

// Guards against refusing requests while only the primary allocator has lost the store: the next allocator draws for
// the others instead of asking the allocators once more.
func TestNextHomeDrawsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
		f := startFleet(ctx, memory, vms, 150_000)
		for _, vm := range vms {
			f.books[vm].Allocators = func(string) []string { return vms[:3] }
		}
		_, err := memory.Inject(memstore.Fault{Kind: memstore.FaultDown, Clients: []string{"vm1"}})
		must.NoError(t, err)
		refused := 0
		for i := range 100 {
			if f.books[vms[3+i%2]].Reserve(ctx, organisation, 150_000, 400) != Granted {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.Zero(t, refused)
		stop()
	})
}

// Guards against stranding the end of a budget: tokens that other routers hold are found when the store has none left.
func TestSpendsTheLastTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		vms := []string{"vm1", "vm2", "vm3", "vm4"}
		const prepaid, size = 100_000, 1_000
		f := startFleet(ctx, memory, vms, prepaid)
		granted := 0
		for i := range 2 * prepaid / size {
			if f.books[vms[i%len(vms)]].Reserve(ctx, organisation, prepaid, size) == Granted {
				granted++
			}
			time.Sleep(30 * time.Millisecond)
		}
		// A request is owed while it fits into 97 in 100 of the budget.
		must.GreaterEq(t, prepaid*97/100/size, granted)
		must.LessEq(t, prepaid/size, granted)
		must.EqOp(t, Exhausted, f.books["vm1"].Reserve(ctx, organisation, prepaid, size))
		// A raised budget is used at once, whatever was refused before.
		must.EqOp(t, Granted, f.books["vm1"].Reserve(ctx, organisation, prepaid+10*size, size))
		stop()
	})
}

// Guards against losing what a router holds at a planned stop.
func TestReturnAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		b := NewAccounts(Options{
			Store: memory.Client("vm1"), VM: "vm1", Instance: "vm1", Log: quietLog(), Allocators: func(string) []string { return []string{"vm1"} }, Prepaid: func(string) int64 { return 0 },
			Peers: peersOf{fleet: &fleet{}, vm: "vm1", random: func() float64 { return 1 }},
		})
		go b.Run(ctx)
		must.EqOp(t, Granted, b.Reserve(ctx, organisation, 10_000, 100))
		b.Release(organisation, 60)
		b.ReturnAll(ctx)
		o, err := memory.Client("vm1").Get(ctx, kind+"/"+organisation)
		must.NoError(t, err)
		must.StrContains(t, string(o.Value), `"drawn":40,`)
		stop()
	})
}

// Guards against a fleet that holds most of a budget that is nearly used up: a power loss takes what routers hold.
func TestHoldsAShareOfWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		ctx, stop := context.WithCancel(t.Context())
		vms := []string{"vm1", "vm2", "vm3", "vm4"}
		// 8,000 tokens a second for 15 s out of 200,000: what is left lasts for 10 s.
		const prepaid, size = 200_000, 400
		f := startFleet(ctx, memory, vms, prepaid)
		spent := 0
		for i := range 300 {
			if f.books[vms[i%len(vms)]].Reserve(ctx, organisation, prepaid, size) == Granted {
				spent += size
			}
			time.Sleep(50 * time.Millisecond)
		}
		o, err := memory.Client("test").Get(ctx, kind+"/"+organisation)
		must.NoError(t, err)
		var r record
		must.NoError(t, json.Unmarshal(o.Value, &r))
		held, left := int(r.Drawn)-spent, prepaid-spent
		must.Less(t, reserveShare*float64(left), float64(held), must.Sprintf("%d of %d tokens are held", held, left))
		stop()
	})
}

// Guards against counting a write twice, or not at all, whose response was lost.
func TestAccountRecognisesOwnWrite(t *testing.T) {
	a := &account{open: map[string]write{"vm1a/1": {amount: 500, base: 7}}, prepaid: 1000}
	a.seen(900, "vm1a/1", 8)
	must.EqOp(t, 500, a.free)
	a.seen(900, "vm1a/1", 8)
	must.EqOp(t, 500, a.free)

	a = &account{open: map[string]write{"vm1a/1": {amount: 500, base: 7}}, prepaid: 1000}
	a.seen(900, "", 9)
	must.EqOp(t, 0, a.free)
	must.MapEmpty(t, a.open)
}

// countingStore counts calls.
type countingStore struct {
	platform.Store
	calls *atomic.Int64
}

func (s countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.calls.Add(1)
	return s.Store.Get(ctx, key)
}

func (s countingStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	s.calls.Add(1)
	return s.Store.Put(ctx, key, value, ifRevision)
}

// Guards against a cascade of calls when a budget is used up: routers that ask each other must not make each other ask
// the store again for every refused request.
func TestExhaustedBudgetCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		f := &fleet{books: map[string]*Accounts{}, cut: map[string]bool{}}
		ctx, stop := context.WithCancel(t.Context())
		var calls atomic.Int64
		vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
		for _, vm := range vms {
			f.books[vm] = NewAccounts(Options{
				Store: countingStore{memory.Client(vm), &calls}, VM: vm, Instance: vm, Log: quietLog(),
				Allocators: func(string) []string { return vms }, Prepaid: func(string) int64 { return 10_000 },
				Peers: peersOf{fleet: f, vm: vm, random: func() float64 { return 1 }},
			})
			go f.books[vm].Run(ctx)
		}
		const requests = 400
		for i := range requests {
			if i == requests/5 {
				calls.Store(0) // The budget is used up by now.
			}
			f.books[vms[i%len(vms)]].Reserve(ctx, organisation, 10_000, 1_000)
			time.Sleep(25 * time.Millisecond)
		}
		// 8 s of refusals: each router calls the store at most twice per dryTime.
		most := int64(8 * time.Second / dryTime * 2 * time.Duration(len(vms)))
		must.LessEq(t, most, calls.Load())
		stop()
	})
}

// Guards against drawing again what was just returned: near the end of a budget an idle router returned its tokens and
// drew them again twice a second.
func TestReturnedTokensAreNotDrawnAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := &account{open: map[string]write{}, prepaid: 100_000, drawn: 95_000, known: true}
	a.observe(now, 1_000)
	a.lastUse, a.free = now, 3_000
	later := now.Add(2 * idleAfter)
	must.EqOp(t, 3_000, a.surplus(later, true))
	a.free, a.drawn = 0, 92_000
	must.False(t, a.wantsDraw(later, true))
	a.lastUse = later
	must.True(t, a.wantsDraw(later, true))
}

// Guards against a router that hands over all it has to one that many requests wait at, and then has to ask itself.
func TestGiveKeepsAShare(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := &account{free: 90_000}
	must.EqOp(t, 45_000, a.transferOut(now, 12_000, 100_000))
	a = &account{free: 90_000}
	must.EqOp(t, 60_000, a.transferOut(now, 60_000, 100_000))
	a = &account{free: 9_000}
	must.EqOp(t, 9_000, a.transferOut(now, 12_000, 100_000))
	a = &account{free: 90_000, waiting: []waiter{{tokens: 100_000}}}
	must.EqOp(t, 0, a.transferOut(now, 12_000, 12_000))
}

// Guards against a primary allocator that keeps tokens for its own requests while those of all others are refused: its
// rate is that of the whole fleet, and in a partition the last second of it was given to nobody.
func TestGiveSpendsWhatIsLeft(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := &account{free: 50_000}
	for range 10 {
		a.observe(now, 60_000)
	}
	given := int64(0)
	for range 10 {
		given += a.transferOut(now, 10_000, 10_000)
	}
	must.EqOp(t, 50_000, given)
}

// Guards against a storm of questions when a budget is used up: refusals hold longer and longer, and a raise ends that.
func TestRefusalsHoldLonger(t *testing.T) {
	for _, verdict := range []Verdict{Exhausted, Unavailable} {
		refusalsHoldLonger(t, verdict)
	}
}

func refusalsHoldLonger(t *testing.T, verdict Verdict) {
	now := time.Unix(1_800_000_000, 0)
	a := &account{open: map[string]write{}}
	a.setPrepaid(1000)
	refused := 0
	for range 600 {
		w := waiter{tokens: 100, verdict: make(chan Verdict, 1)}
		a.reserve(now, w)
		if len(a.waiting) > 0 {
			refused++
			a.refuse(now, verdict)
		}
		must.EqOp(t, verdict, <-w.verdict)
		now = now.Add(100 * time.Millisecond)
	}
	// 60 s: a few refusals until they hold for maxDryTime, then one in each.
	must.LessEq(t, 3+int(time.Minute/maxDryTime), refused)
	a.setPrepaid(2000)
	a.reserve(now, waiter{tokens: 100, verdict: make(chan Verdict, 1)})
	must.Len(t, 1, a.waiting)
}
