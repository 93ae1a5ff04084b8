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

// fakeStore is the platform stand-in with faults that a test sets call by call, in an order that a seed fixes.
type fakeStore struct {
	platform.Store
	latency time.Duration

	// mu makes a write and its check one step.
	mu sync.Mutex
	// calls counts reads and writes.
	calls int
	// fault returns the fault of the next call; nil means none.
	fault func(write bool) fault
	// check is called with each stored version of shard 0.
	check func(*ledger.Shard)
}

// fault is what happens to one call.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultThrottled
	// faultLostAfter loses the response of a write that took effect, faultLostBefore that of one that did not.
	faultLostAfter
	faultLostBefore
)

func newStore() *fakeStore {
	unlimited := memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1}
	return &fakeStore{Store: memstore.New(unlimited).Client("test")}
}

func (f *fakeStore) begin(ctx context.Context, write bool) (fault, error) {
	f.mu.Lock()
	f.calls++
	kind := faultNone
	if f.fault != nil {
		kind = f.fault(write)
	}
	f.mu.Unlock()
	if f.latency > 0 {
		if err := sleep(ctx, f.latency); err != nil {
			return kind, err
		}
	}
	switch kind {
	case faultDown:
		return kind, platform.ErrUnavailable
	case faultThrottled:
		return kind, platform.ErrThrottled
	default:
		return kind, nil
	}
}

func (f *fakeStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if _, err := f.begin(ctx, false); err != nil {
		return platform.Object{}, err
	}
	return f.Store.Get(ctx, key)
}

func (f *fakeStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Object, error) {
	kind, err := f.begin(ctx, true)
	if err != nil {
		return platform.Object{}, err
	}
	if kind == faultLostBefore {
		return platform.Object{}, platform.ErrUncertain
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o, err := f.Store.Put(ctx, key, value, ifRevision)
	if err == nil && f.check != nil && key == ledger.Key(0) {
		f.check(f.open(0))
	}
	if err == nil && kind == faultLostAfter {
		return platform.Object{}, platform.ErrUncertain
	}
	return o, err
}

func (f *fakeStore) Delete(ctx context.Context, key string, ifRevision uint64) error {
	kind, err := f.begin(ctx, true)
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

// open returns the stored shard; the caller holds the lock.
func (f *fakeStore) open(n int) *ledger.Shard {
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

// keys returns the keys of all objects.
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

// shard returns the stored shard.
func (f *fakeStore) shard(n int) *ledger.Shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open(n)
}

// fakeView is a fixed view of routers whose address is their instance.
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

// fakeFleet connects clients by function calls. Routers in cut do not answer.
type fakeFleet struct {
	clients map[string]*Client
	cut     map[string]bool
	visits  map[string]int
}

func (f *fakeFleet) Apply(ctx context.Context, address, organisation string, ops []budget.Op) ([]budget.Result, error) {
	if f.cut[address] {
		return nil, platform.ErrUnavailable
	}
	f.visits[address]++
	return f.clients[address].ApplyLocal(ctx, organisation, ops)
}

func (f *fakeFleet) Read(ctx context.Context, address, organisation string) ([]budget.Status, error) {
	if f.cut[address] {
		return nil, platform.ErrUnavailable
	}
	return f.clients[address].ReadLocal(ctx, organisation)
}

var acct = budget.ID{Organisation: "velocar", Budget: "main"}

func create() []budget.Op {
	return []budget.Op{
		{ID: "create", Kind: budget.OpCreate, Budget: acct},
		{ID: "top", Kind: budget.OpTopUp, Budget: acct, Tokens: 1 << 40},
	}
}

func grantOp(holder string, sequence int, need int64) budget.Op {
	return budget.Op{
		ID: fmt.Sprintf("%s/%d", holder, sequence), Kind: budget.OpGrant, Budget: acct, Holder: holder, Need: need,
	}
}
