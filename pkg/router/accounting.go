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

// defaultShards is the number of ledger shards that a new deployment gets.
const defaultShards = 64

// failingAfter is the time without an answer after which a witness is shown as failing, the same as that after which
// the manager replaces it.
const failingAfter = 3 * time.Second

// accounting are the parts of a router that keep budgets, bills and claims.
type accounting struct {
	store     platform.Store
	members   member.View
	writer    *ledgerwriter.Writer
	peers     *ledgerrpc.Peers
	ledger    *lateLedger
	claims    *claim.Manager
	journals  *journal.Client
	witness   *journal.Service
	registry  *instance.Registry
	tokenPool *tokenpool.Pool
	scopes    []instance.Scope
	manager   atomic.Pointer[instance.Manager]
	closer    atomic.Pointer[instance.Closer]
	// shards is the number of ledger shards; 0 while it is not known.
	shards atomic.Int64
}

func newAccounting(store platform.Store, members member.View, peers *http.Client, witnesses []string) *accounting {
	b := &accounting{store: store, members: members, ledger: &lateLedger{}}
	for _, scope := range witnesses {
		b.scopes = append(b.scopes, instance.Scope(scope))
	}
	b.writer = ledgerwriter.New(ledgerwriter.Options{
		Store: store, Rate: func() float64 { return callRate(members) }, Burst: callBurst,
	})
	b.peers = ledgerrpc.NewPeers(peers, members)
	b.claims = claim.New(members.Self().Instance, b.ledger, b.peers)
	b.journals = journal.NewClient(peers)
	b.witness = journal.NewService(members.Self().Instance)
	b.registry = instance.NewRegistry(store, members, b.scopes)
	b.tokenPool = tokenpool.New(tokenpool.Config{
		Ledger: b.ledger, Peers: tokenpool.NewRemotePeers(members, b.journals, peers), Registrar: b.registry,
	})
	return b
}

// close ends what outlives the tasks: the retries of claims and the writer's shards.
func (b *accounting) close() {
	b.claims.Close()
	b.writer.Close()
}

const (
	// fleetCallsPerSecond is the part of the platform's writes that all ledger writers use together.
	fleetCallsPerSecond = 300
	// minCallsPerSecond keeps one writer usable in a large fleet, where few writers are busy at the same time.
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

// manage reads the number of shards, with retries until ctx ends, and starts what needs it. A router can so start
// while the platform is unavailable.
func (b *accounting) manage(ctx context.Context) {
	for ctx.Err() == nil {
		shards, err := ledgerwriter.EnsureLayout(ctx, b.store, defaultShards)
		if err != nil {
			sleep.For(ctx, retryInterval)
			continue
		}
		b.shards.Store(int64(shards))
		b.ledger.client.Store(ledgerwriter.NewClient(b.writer, b.peers, b.members, shards))
		closer := instance.NewCloser(b.store, b.journals, b.writer, shards, b.members)
		manager := instance.NewManager(b.store, b.members, b.tokenPool, b.witness, closer, b.scopes, instance.Intervals{})
		b.closer.Store(closer)
		b.manager.Store(manager)
		manager.Run(ctx)
	}
}

// stop gives the grants back at a graceful stop.
func (b *accounting) stop(ctx context.Context) error {
	manager := b.manager.Load()
	if manager == nil {
		return nil
	}
	if err := manager.Stop(ctx); err != nil {
		return fmt.Errorf("give grants back: %w", err)
	}
	return nil
}

// register adds the services that other routers call.
func (b *accounting) register(mux *http.ServeMux) {
	mux.Handle(b.witness.Handler())
	mux.Handle(tokenpool.NewService(b.tokenPool).Handler())
	mux.Handle(ledgerrpc.NewHandler(b.ledger, b.claims))
}

// errNoLayout means that the platform has not answered since the start.
var errNoLayout = errors.New("the number of ledger shards is not known yet")

// lateLedger is a ledger that becomes usable once the number of its shards is known.
type lateLedger struct {
	client atomic.Pointer[ledgerwriter.Client]
}

func (l *lateLedger) ready() (*ledgerwriter.Client, error) {
	if client := l.client.Load(); client != nil {
		return client, nil
	}
	return nil, fmt.Errorf("%w: %w", errNoLayout, platform.ErrUnavailable)
}

// Apply implements budget.Ledger.
func (l *lateLedger) Apply(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	client, err := l.ready()
	if err != nil {
		return nil, err
	}
	return client.Apply(ctx, organisation, ops)
}

// ApplyLocal implements ledgerrpc.LocalLedger.
func (l *lateLedger) ApplyLocal(ctx context.Context, organisation string, ops []budget.Op) ([]budget.Result, error) {
	client, err := l.ready()
	if err != nil {
		return nil, err
	}
	return client.ApplyLocal(ctx, organisation, ops)
}

// Read implements budget.Ledger.
func (l *lateLedger) Read(ctx context.Context, organisation string) ([]budget.Status, error) {
	client, err := l.ready()
	if err != nil {
		return nil, err
	}
	return client.Read(ctx, organisation)
}

// ReadLocal implements ledgerrpc.LocalLedger.
func (l *lateLedger) ReadLocal(ctx context.Context, organisation string) ([]budget.Status, error) {
	client, err := l.ready()
	if err != nil {
		return nil, err
	}
	return client.ReadLocal(ctx, organisation)
}
