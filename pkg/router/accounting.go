package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/claim"
	"github.com/lavendershunt/lavendershunt/pkg/instance"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerrpc"
	"github.com/lavendershunt/lavendershunt/pkg/ledgerwriter"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/tokenpool"
)

// defaultShards is the number of ledger shards of a new deployment.
const defaultShards = 64

// witnessFailingAfter is the time without an answer after which a witness is reported as failing. It equals the default
// time after which the instance manager replaces the witness.
const witnessFailingAfter = 3 * time.Second

// accounting holds the parts of a router that keep budgets, bills and claims.
type accounting struct {
	store         platform.Store
	members       member.View
	writer        *ledgerwriter.Writer
	peers         *ledgerrpc.Peers
	ledger        *deferredLedger
	claims        *claim.Manager
	journals      *journal.Client
	witness       *journal.Service
	registry      *instance.Registry
	tokenPool     *tokenpool.Pool
	witnessScopes []instance.Scope
	manager       atomic.Pointer[instance.Manager]
	closer        atomic.Pointer[instance.Closer]
	// shardCount is the number of ledger shards; 0 until it has been read from the platform.
	shardCount atomic.Int64
}

func newAccounting(store platform.Store, members member.View, peerClient *http.Client, witnesses []string) *accounting {
	a := &accounting{store: store, members: members, ledger: &deferredLedger{}}
	for _, scope := range witnesses {
		a.witnessScopes = append(a.witnessScopes, instance.Scope(scope))
	}
	a.writer = ledgerwriter.New(ledgerwriter.Options{
		Store: store, Rate: func() float64 { return callRate(members) }, Burst: callBurst,
	})
	a.peers = ledgerrpc.NewPeers(peerClient, members)
	a.claims = claim.New(members.Self().Instance, a.ledger, a.peers)
	a.journals = journal.NewClient(peerClient)
	a.witness = journal.NewService(members.Self().Instance)
	a.registry = instance.NewRegistry(store, members, a.witnessScopes)
	a.tokenPool = tokenpool.New(tokenpool.Config{
		Ledger: a.ledger, Peers: tokenpool.NewRemotePeers(members, a.journals, peerClient), Registrar: a.registry,
	})
	return a
}

// close stops the retries of claims and the shards of the ledger writer, which run until then regardless of any
// context.
func (a *accounting) close() {
	a.claims.Close()
	a.writer.Close()
}

const (
	// fleetCallsPerSecond is the share of the platform's write rate that all ledger writers use together.
	fleetCallsPerSecond = 300
	// minCallsPerSecond keeps each writer usable in a large fleet, where few writers are busy at the same time.
	minCallsPerSecond = 20
	callBurst         = 50
)

// callRate returns the platform calls per second that this router's ledger writer may make.
func callRate(members member.View) float64 {
	alive := 0
	for _, m := range members.Members() {
		if m.State == member.Alive {
			alive++
		}
	}
	return max(minCallsPerSecond, fleetCallsPerSecond/float64(max(1, alive)))
}

// runManager reads the number of shards and then runs the parts that need it until ctx ends. It retries the read, so
// that a router can start while the platform is unavailable.
func (a *accounting) runManager(ctx context.Context) {
	for ctx.Err() == nil {
		shards, err := ledgerwriter.EnsureLayout(ctx, a.store, defaultShards)
		if err != nil {
			sleep.For(ctx, shardCountRetryInterval)
			continue
		}
		a.shardCount.Store(int64(shards))
		a.ledger.client.Store(ledgerwriter.NewClient(a.writer, a.peers, a.members, shards))
		closer := instance.NewCloser(a.store, a.journals, a.writer, shards, a.members)
		manager := instance.NewManager(a.store, a.members, a.tokenPool, a.witness, closer, a.witnessScopes, instance.Intervals{})
		a.closer.Store(closer)
		a.manager.Store(manager)
		manager.Run(ctx)
	}
}

// returnGrants returns the router's grants to the ledger at a graceful stop.
func (a *accounting) returnGrants(ctx context.Context) error {
	manager := a.manager.Load()
	if manager == nil {
		return nil
	}
	if err := manager.Stop(ctx); err != nil {
		return fmt.Errorf("return grants: %w", err)
	}
	return nil
}

// registerHandlers adds the handlers of the services that other routers call.
func (a *accounting) registerHandlers(mux *http.ServeMux) {
	mux.Handle(a.witness.Handler())
	mux.Handle(tokenpool.NewService(a.tokenPool).Handler())
	mux.Handle(ledgerrpc.NewHandler(a.ledger, a.claims))
}

// errShardCountUnknown means that the number of shards could not be read from the platform since the start.
var errShardCountUnknown = errors.New("number of ledger shards is not known yet")

// deferredLedger is a ledger whose client is set once the number of shards is known. Until then its methods return an
// error that wraps errShardCountUnknown and platform.ErrUnavailable. It is safe for concurrent use.
type deferredLedger struct {
	client atomic.Pointer[ledgerwriter.Client]
}

func (l *deferredLedger) readyClient() (*ledgerwriter.Client, error) {
	if client := l.client.Load(); client != nil {
		return client, nil
	}
	return nil, fmt.Errorf("%w: %w", errShardCountUnknown, platform.ErrUnavailable)
}

// Apply implements budget.Ledger.
func (l *deferredLedger) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	client, err := l.readyClient()
	if err != nil {
		return nil, err
	}
	return client.Apply(ctx, organisation, ops)
}

// ApplyLocal implements ledgerrpc.LocalLedger.
func (l *deferredLedger) ApplyLocal(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	client, err := l.readyClient()
	if err != nil {
		return nil, err
	}
	return client.ApplyLocal(ctx, organisation, ops)
}

// Read implements budget.Ledger.
func (l *deferredLedger) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	client, err := l.readyClient()
	if err != nil {
		return nil, err
	}
	return client.Read(ctx, organisation)
}

// ReadLocal implements ledgerrpc.LocalLedger.
func (l *deferredLedger) ReadLocal(ctx context.Context, organisation string) ([]budget.Status, error) {
	client, err := l.readyClient()
	if err != nil {
		return nil, err
	}
	return client.ReadLocal(ctx, organisation)
}
