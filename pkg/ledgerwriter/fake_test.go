package ledgerwriter

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

func TestMain(m *testing.M) {
	seeded := false
	for _, arg := range os.Args {
		seeded = seeded || bytes.Contains([]byte(arg), []byte("rapid.seed"))
	}
	if !seeded {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// fakeStore wraps an in-memory store and injects the faults that a test sets for each call.
type fakeStore struct {
	platform.Store
	latency time.Duration

	// mu makes a write and its check atomic.
	mu sync.Mutex
	// calls counts reads and writes.
	calls int
	// nextFault returns the fault of the next call; nil means no faults.
	nextFault func(write bool) fault
	// checkStored is called with each stored version of shard 0.
	checkStored func(*ledger.Shard)
}

// fault is what happens to one call.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultThrottled
	// With faultLostAfter a write takes effect but its response is lost. With faultLostBefore the write is lost.
	faultLostAfter
	faultLostBefore
)

func newStore() *fakeStore {
	unlimited := memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}
	return &fakeStore{Store: memstore.New(unlimited).Client("test")}
}

// beginCall counts a call, waits for the latency and returns the call's fault, with an error for those that prevent it.
func (f *fakeStore) beginCall(ctx context.Context, write bool) (fault, error) {
	f.mu.Lock()
	f.calls++
	kind := faultNone
	if f.nextFault != nil {
		kind = f.nextFault(write)
	}
	f.mu.Unlock()
	if f.latency > 0 {
		if err := sleep(ctx, f.latency); err != nil {
			return kind, err
		}
	}
	switch kind {
	case faultUnavailable:
		return kind, platform.ErrUnavailable
	case faultThrottled:
		return kind, platform.ErrThrottled
	default:
		return kind, nil
	}
}

func (f *fakeStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if _, err := f.beginCall(ctx, false); err != nil {
		return platform.Object{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	kind, err := f.beginCall(ctx, true)
	if err != nil {
		return platform.Object{}, err
	}
	if kind == faultLostBefore {
		return platform.Object{}, platform.ErrUncertain
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o, err := f.Store.Put(ctx, key, value, ifRevision)
	if err == nil && f.checkStored != nil && key == ledger.Key(0) {
		f.checkStored(f.decodeShard(0))
	}
	if err == nil && kind == faultLostAfter {
		return platform.Object{}, platform.ErrUncertain
	}
	return o, err
}

func (f *fakeStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	kind, err := f.beginCall(ctx, true)
	if err != nil {
		return err
	}
	if kind == faultLostBefore {
		return platform.ErrUncertain
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	err = f.Store.Delete(ctx, key, ifRevision)
	if err == nil && kind == faultLostAfter {
		return platform.ErrUncertain
	}
	return err
}

// decodeShard returns the stored shard. The caller must hold mu.
func (f *fakeStore) decodeShard(n int) *ledger.Shard {
	head, err := ledger.DecodeHead(f.object(ledger.Key(n)))
	if err != nil {
		panic(err)
	}
	var base []byte
	for _, key := range head.Chunks {
		base = append(base, f.object(key)...)
	}
	s, err := head.Open(base)
	if err != nil {
		panic(err)
	}
	return s
}

func (f *fakeStore) object(key string) []byte {
	o, err := f.Store.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return o.Value
}

func (f *fakeStore) keys() []string {
	objects, _, err := f.List(context.Background(), "")
	if err != nil {
		panic(err)
	}
	var keys []string
	for _, o := range objects {
		keys = append(keys, o.Key)
	}
	return keys
}

// shard is decodeShard with mu locked.
func (f *fakeStore) shard(n int) *ledger.Shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decodeShard(n)
}

// fakeView is a fixed member view in which the peer address of a router equals its instance.
type fakeView struct {
	self  string
	names []string
}

func (v fakeView) Self() member.Member {
	return member.Member{Instance: v.self, PeerAddress: v.self, State: member.Alive}
}

func (v fakeView) Members() []member.Member {
	var all []member.Member
	for _, n := range v.names {
		all = append(all, member.Member{Instance: n, PeerAddress: n, State: member.Alive})
	}
	return all
}

// fakeFleet connects clients by function calls. Calls to routers in unreachable fail. callsTo counts Apply calls by
// router.
type fakeFleet struct {
	clients     map[string]*Client
	unreachable map[string]bool
	callsTo     map[string]int
}

func (f *fakeFleet) Apply(ctx context.Context, address, organisation string, ops []budget.Op) ([]budget.Result, error) {
	if f.unreachable[address] {
		return nil, platform.ErrUnavailable
	}
	f.callsTo[address]++
	return f.clients[address].ApplyLocal(ctx, organisation, ops)
}

func (f *fakeFleet) Read(ctx context.Context, address, organisation string) ([]budget.Status, error) {
	if f.unreachable[address] {
		return nil, platform.ErrUnavailable
	}
	return f.clients[address].ReadLocal(ctx, organisation)
}

var mainBudget = budget.ID{Organisation: "velocar", Budget: "main"}

func createOps() []budget.Op {
	return []budget.Op{
		{ID: "create", Kind: budget.OpCreate, Budget: mainBudget},
		{ID: "top", Kind: budget.OpTopUp, Budget: mainBudget, Tokens: 1 << 40},
	}
}

func grantOp(holder string, sequence int, need int64) budget.Op {
	return budget.Op{
		ID: fmt.Sprintf("%s/%d", holder, sequence), Kind: budget.OpGrant, Budget: mainBudget, Holder: holder, Need: need,
	}
}
