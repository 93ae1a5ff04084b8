package tokenpool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform/memstore"
)

const testShards = 2

// writerLedger is a ledger that the router writes to the store itself.
type writerLedger struct{ *ledgerwriter.Writer }

func (l writerLedger) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	return l.Writer.Apply(ctx, ledger.ShardOf(organisation, testShards), ops)
}

func (l writerLedger) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	return l.Writer.Read(ctx, ledger.ShardOf(organisation, testShards), organisation)
}

// testView is a membership view with all routers alive.
type testView struct {
	self    int
	members *[]member.Member
}

func (v testView) Self() member.Member      { return (*v.members)[v.self] }
func (v testView) Members() []member.Member { return *v.members }

// testRouter is the part of a router that pays for requests, listening on the loopback interface.
type testRouter struct {
	pool    *Pool
	manager *instance.Manager
	closer  *instance.Closer
	ledger  writerLedger
	stop    context.CancelFunc
	tasks   conc.WaitGroup
	server  *http.Server
}

func (r *testRouter) kill() {
	r.stop()
	_ = r.server.Close()
	r.tasks.Wait()
	r.ledger.Close()
}

func startRouter(t *testing.T, store *memstore.Store, view testView, listener net.Listener) *testRouter {
	self := view.Self()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	copies := journal.NewService(self.Instance)
	witnesses := journal.NewClient(client)
	own := store.Client(self.Instance)
	r := &testRouter{ledger: writerLedger{ledgerwriter.New(ledgerwriter.Options{Store: own})}}
	r.closer = instance.NewCloser(own, witnesses, r.ledger.Writer, testShards, view)
	r.pool = New(Config{
		Ledger: r.ledger, Peers: NewRemotePeers(view, witnesses, client), Registrar: instance.NewRegistry(own, view, nil),
		// Requests may wait long on a busy machine; the test does not depend on the time.
		Settings: Settings{ReserveWait: time.Minute},
	})
	r.manager = instance.NewManager(own, view, r.pool, copies, r.closer, nil, instance.Intervals{})
	mux := http.NewServeMux()
	mux.Handle(copies.Handler())
	mux.Handle(NewService(r.pool).Handler())
	r.server = &http.Server{Handler: mux, Protocols: protocols}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	r.tasks.Go(func() { r.pool.Run(ctx) })
	r.tasks.Go(func() { r.manager.Run(ctx) })
	r.tasks.Go(func() { _ = r.server.Serve(listener) })
	return r
}

// waitRegistered waits until the token pool has an instance with two witnesses.
func waitRegistered(t *testing.T, p *Pool) journal.WitnessStatus {
	for range 500 {
		if w, ok := p.WitnessStatus(time.Second); ok && !w.Closed && len(w.Witnesses) == 2 {
			return w
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("token pool is not registered")
	return journal.WitnessStatus{}
}

// Guards against token pools, witnesses, closers and the ledger that work alone but not together over the real
// protocol. Every acknowledged bill must be in the ledger after one router was killed and the others were stopped.
func TestRoutersOnLoopback(t *testing.T) {
	store := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	var members []member.Member
	var listeners []net.Listener
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, listener)
		members = append(members, member.Member{
			Instance: fmt.Sprintf("router%d", i), VM: fmt.Sprintf("vm%d", i), Region: "r", Zone: fmt.Sprint("zone", i%2),
			PeerAddress: listener.Addr().String(), State: member.Alive,
		})
	}
	var routers []*testRouter
	for i, listener := range listeners {
		routers = append(routers, startRouter(t, store, testView{self: i, members: &members}, listener))
	}
	defer routers[2].kill()
	defer routers[1].kill()
	id := testBudgets[0]
	_, err := routers[1].ledger.Apply(t.Context(), id.Organisation, []budget.Op{
		{ID: "c", Kind: budget.OpCreate, Budget: id}, {ID: "t", Kind: budget.OpTopUp, Budget: id, Tokens: 100_000},
	})
	must.NoError(t, err)
	var acknowledged atomic.Int64
	var tasks conc.WaitGroup
	for i, r := range routers {
		waitRegistered(t, r.pool)
		for k := range 50 {
			tasks.Go(func() {
				res, err := r.pool.Reserve(t.Context(), budget.Request{Budget: id, IdempotencyKey: fmt.Sprint(i, "/", k), UpperBound: 100})
				if err == nil && r.pool.Settle(t.Context(), res, 60) == nil {
					acknowledged.Add(60)
				}
			})
		}
	}
	tasks.Wait()
	must.EqOp(t, 150*60, acknowledged.Load())
	w, _ := routers[0].pool.WitnessStatus(time.Second)
	routers[0].kill()
	must.NoError(t, routers[1].closer.Close(t.Context(), w.Instance))
	must.NoError(t, routers[1].manager.Stop(t.Context()))
	must.NoError(t, routers[2].manager.Stop(t.Context()))
	status, err := routers[1].ledger.Read(t.Context(), id.Organisation)
	must.NoError(t, err)
	must.EqOp(t, acknowledged.Load(), status[0].Settled)
	must.SliceEmpty(t, status[0].Grants)
	held, err := instance.ListHeld(t.Context(), store.Client("router1"))
	must.NoError(t, err)
	must.SliceEmpty(t, held)
}
