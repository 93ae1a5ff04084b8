// Package router assembles and runs the parts of lsrouter.
package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/admit"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/gateway"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/placement"
	"github.com/lavendershunt/lavendershunt/pkg/platform/httpstore"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/selector"
	"github.com/lavendershunt/lavendershunt/pkg/settings"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
	"github.com/lavendershunt/lavendershunt/pkg/vmlist"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

// Router is one router process.
type Router struct {
	settings   settings.Settings
	self       member.Member
	log        log.Interface
	metrics    *telemetry.Metrics
	platform   *httpstore.Store
	config     *config.Store
	members    *member.Task
	replicator *config.Replicator
	peerClient *http.Client
	vms        *vmlist.Task
	selector   *selector.Selector
	gate       *admit.Gate
	crashes    *poison.Guard
	accounting *accounting
	placer     *placement.Task
	gateway    *gateway.Gateway
	admin      *admin.Server
	withdrawal *withdraw.Withdrawal
	// stopping is set when the context of Run ends. The withdrawal is not cancelled after that.
	stopping atomic.Bool
	// requestCount is the number of request ids assigned.
	requestCount atomic.Uint64
	// failures receives the errors that end the process.
	failures chan error
}

// New builds a router from its settings. It opens no sockets.
func New(s settings.Settings) (*Router, error) {
	logger, err := logging.New(os.Stderr, s.Log.Format, s.Log.Level)
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.New("lavendershunt")
	if err != nil {
		return nil, err
	}
	self := member.Member{
		Instance: member.NewInstance(s.VM, time.Now()), VM: s.VM, Region: s.Region, Zone: s.Zone,
		PeerAddress: s.Advertise.Peer, CallerAddress: s.Advertise.Caller, State: member.Alive,
	}
	r := &Router{
		settings: s, self: self, log: logger.WithField("instance", self.Instance), metrics: metrics, config: config.NewStore(),
		failures: make(chan error, maxFailures),
		platform: httpstore.New(httpstore.Options{Address: s.Platform.Address, ClientID: s.VM, Timeout: s.Platform.Timeout.Std()}),
	}
	if err := r.assemble(); err != nil {
		return nil, err
	}
	return r, nil
}

// Log returns the router's logger.
func (r *Router) Log() log.Interface { return r.log }

func (r *Router) assemble() error {
	r.peerClient = newPeerClient()
	r.members = member.NewTask(member.Options{
		Self: r.self, Client: r.peerClient, Seeds: r.settings.Peers, Seed: rand.Uint64(), Log: r.log, OnSuperseded: r.handleSuperseded,
		Timing: member.Timing{
			Probe: r.settings.Intervals.Probe.Std(), FailedAfter: r.settings.Intervals.FailedAfter.Std(),
			FullSync: r.settings.Intervals.FullSync.Std(),
		},
		ProbeTimeout: r.settings.Intervals.ProbeTimeout.Std(),
	})
	r.replicator = config.NewReplicator(config.Options{
		Store: r.config, Platform: r.platform, Members: r.members, Transport: config.PeerTransport{Client: r.peerClient},
		Seeds: r.seeds, MaxWatchWait: r.settings.Intervals.Watch.Std(), Interval: r.settings.Intervals.ConfigExchange.Std(),
		Seed: rand.Uint64(), Log: r.log,
	})
	r.gate = admit.NewGate(admit.Options{})
	r.selector = selector.New(selector.Options{
		Location: route.Location{Region: r.self.Region, Zone: r.self.Zone}, Log: r.log, IsLeaving: r.config.Leaving,
		Mark: r.config.Mark, OnCapacity: r.gate.SetCapacity, AddPlacedModels: r.addPlacedModels,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	r.vms = vmlist.New(vmlist.Options{
		Platform: r.platform, Members: r.members, Client: r.peerClient, Interval: r.settings.Intervals.VMList.Std(),
		OnList: r.updateVMs, Log: r.log,
	})
	r.placer = placement.New(placement.Options{
		Platform: r.platform, Config: r.config, Publish: r.replicator.Publish, Members: r.members, VMs: r.listedVMs,
		Engines: placement.NewEngines(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: r.log,
	})
	r.accounting = newAccounting(r.platform, r.members, r.peerClient, r.settings.Witnesses)
	r.crashes = poison.NewGuard(r.members, poison.NewPeers(r.peerClient))
	r.crashes.Log = r.log
	relay := relay.New(relay.Relay{
		Log: r.log, TokenPool: r.accounting.tokenPool, Claims: r.accounting.claims, Selector: r.selector, Metrics: relay.NewMetrics(r.metrics.Meter),
		Admitter: relay.NewAdmitter(r.gate), Crashes: r.crashes,
	})
	var err error
	r.withdrawal, err = withdraw.New(withdraw.Options{
		VM: r.self.VM, Router: &drainer{router: r}, AddressTTL: r.settings.Intervals.AddressTTL.Std(), Log: r.log,
	})
	if err != nil {
		return err
	}
	r.gateway = gateway.New(gateway.Options{
		IsLeaving: func() bool { return !r.withdrawal.IsListed() }, AcceptsNew: r.withdrawal.AcceptsNew,
		Config: r.config, Members: r.members, Relay: relay, Log: r.log,
		AddressTTL: r.settings.Intervals.AddressTTL.Std(), NewID: r.newRequestID,
	})
	r.admin = admin.NewServer(admin.Deps{
		Platform: r.platform, Config: r.config, Publish: r.replicator.Publish, Ledger: r.accounting.ledger, Members: r.members,
		VMs: r.adminVMList, Drains: r.withdrawalProgress, ConfigAge: r.replicator.SinceConfirmed,
		HeldInstances: r.accounting, WitnessStatus: func() (journal.WitnessStatus, bool) { return r.accounting.tokenPool.WitnessStatus(witnessFailingAfter) },
		OperatorKeys: r.settings.OperatorKeys, Now: time.Now, Log: r.log,
	})
	return r.registerMetrics()
}

// newRequestID returns an id that is unique across the fleet, because it begins with the instance id.
func (r *Router) newRequestID() string {
	return r.self.Instance + "." + strconv.FormatUint(r.requestCount.Add(1), 36)
}

// Run serves until the router is withdrawn or fails. The end of ctx begins a withdrawal. It returns nil after a
// graceful stop, or else the failure, such as ErrSuperseded or ErrInvariant.
func (r *Router) Run(ctx context.Context) error {
	callerListener, err := listen(r.settings.Listen.Caller)
	if err != nil {
		return fmt.Errorf("listen.caller: %w", err)
	}
	adminListener, err := listen(r.settings.Listen.Admin)
	if err != nil {
		return fmt.Errorf("listen.admin: %w", err)
	}
	peerListener, err := listen(r.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen.peer: %w", err)
	}
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	defer r.accounting.close()
	var running conc.WaitGroup
	defer running.Wait()
	for _, task := range []func(context.Context){
		r.selector.Run, selector.NewPoller(r.selector).Run, r.gate.Run, r.crashes.Run, r.accounting.tokenPool.Run, r.accounting.runManager, r.vms.Run,
		r.members.Run, r.replicator.Run, r.watchMarks, r.watchOwnVM, r.withdrawal.Run, r.placer.Run,
	} {
		running.Go(func() { r.supervise(func() { task(taskCtx) }) })
	}
	adminServer := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	peerServer := newPeerServer(r.peerHandler())
	failures := r.failures
	running.Go(func() { failures <- r.gateway.Serve(callerListener) })
	running.Go(func() { failures <- serveHTTP(adminServer, adminListener) })
	running.Go(func() { failures <- serveHTTP(peerServer, peerListener) })
	r.log.WithFields(log.Fields{"caller": callerListener.Addr().String(), "admin": adminListener.Addr().String()}).Info("router started")
	err = r.waitUntilStop(ctx)
	r.stopServing(adminServer, peerServer)
	stopTasks()
	return err
}

// supervise runs a task. A panic means a broken invariant and ends the process. It is recovered here, because conc
// would report it only after all other tasks have ended.
func (r *Router) supervise(task func()) {
	if caught := panics.Try(task); caught != nil {
		r.log.WithField("panic", caught.String()).Error("broken invariant")
		r.failures <- fmt.Errorf("%w: %w", ErrInvariant, caught.AsError())
	}
}

// waitUntilStop blocks until the withdrawal is complete or a part of the router fails. The end of ctx begins a
// withdrawal.
func (r *Router) waitUntilStop(ctx context.Context) error {
	for {
		select {
		case err := <-r.failures:
			return err
		case <-r.withdrawal.Done():
			return nil
		case <-ctx.Done():
			r.stopping.Store(true)
			r.withdrawal.Begin(time.Time{})
			ctx = context.WithoutCancel(ctx)
		}
	}
}

const (
	// maxFailures is the capacity of the failures channel, more than the number of parts that can report a failure.
	maxFailures       = 8
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// stopServing closes the listeners and connections. Only idle connections are left, so a timeout here loses nothing.
func (r *Router) stopServing(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = r.gateway.Shutdown(ctx)
	for _, server := range servers {
		_ = server.Shutdown(ctx)
	}
}

func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	return nil
}

func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(r.admin.Handler())
	mux.Handle("/metrics", r.metrics.Handler)
	return mux
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	r.accounting.registerHandlers(mux)
	mux.Handle(r.vms.Handler())
	mux.Handle(r.members.Handler())
	mux.Handle(r.replicator.Handler())
	mux.Handle(r.crashes.Handler())
	return mux
}
