package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/reach"
	"github.com/lavendershunt/lavendershunt/pkg/remote"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/pkg/roster"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
	"github.com/lavendershunt/lavendershunt/pkg/workload"
)

const (
	// drainServingTime is how long new requests are still accepted after SIGTERM. Callers stop using the router after
	// other routers have left it out of their address answers, which takes about one renewal interval.
	drainServingTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace time reserved for the exit itself.
	exitMargin = 400 * time.Millisecond
	// readHeaderTimeout limits the time in which a request's header is sent. For callers the limit of the configuration replaces it.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout limits the time for which a connection is idle. For callers the limit of the configuration replaces it.
	idleTimeout = 2 * time.Minute
	// MaxHeaderBytes is larger than the limit that the configuration states to callers.
	MaxHeaderBytes = 64 << 10
	// maxQuestionHeaderBytes is the size limit of the head of an address lookup or a readiness check.
	maxQuestionHeaderBytes = 8 << 10
	// activePollInterval is the time between two checks whether requests are still in progress.
	activePollInterval = 20 * time.Millisecond
	// memoryLimitShare is the garbage collector's soft memory limit as a share of the process's memory limit.
	memoryLimitShare = 0.6
	// bufferShare is the share of the process's memory limit that buffered responses may use.
	bufferShare = 0.125
	// gcPercent is below the default of 100 to save memory at the cost of CPU time. Live data is a few MB.
	gcPercent = 50
	// allocatorCount is the number of routers from which the others get an organisation's tokens: the primary
	// allocator, and those that replace it while it can't be reached or has no contact to the store.
	allocatorCount = 4
	// maxAddresses is the largest number of addresses that callers use from one address answer.
	maxAddresses = 64
)

// Store contains the operations of the platform's store that a router uses: those of its roster, which include stale
// reads, and those of its feeds.
type Store interface {
	roster.Store
	feed.Store
}

// Adapter connects a router to the platform's store, formats and headers.
type Adapter struct {
	Store          Store
	Dialect        forward.Dialect
	DecodeConfig   configDecoder
	ConfigKey      string
	DecodeEndpoint endpointDecoder
	// EndpointKind is the kind of the endpoints' objects, ConfigKind that of the configuration's.
	EndpointKind, ConfigKind string
	// EvacuationKind is the kind of the orders that nothing is sent to an availability zone. The names of the objects are the zones'.
	EvacuationKind string
	// ReportPath is the path of the engines' load reports, and DecodeReport decodes a report.
	ReportPath   string
	DecodeReport func([]byte) (route.LoadReport, error)
	// DialEndpoint replaces the connections to endpoints. Optional.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
	// EncodeAddresses encodes an address answer, which callers may use for the ttl.
	EncodeAddresses func(addresses []string, ttl time.Duration) ([]byte, error)
}

// Router is the router process of one entry VM.
type Router struct {
	settings   Settings
	adapter    Adapter
	breaker    *circuitBreaker
	contact    *contact.Monitor
	storeCalls *storeCalls
	catchUps   *catchUps
	log        log.Interface
	config     *configuration
	endpoints  *endpointSet
	// evacuations is nil if there are no orders to empty a zone.
	evacuations *evacuations
	placement   *forward.Placement
	server      *forward.Server
	accounts    *allowance.Accounts
	roster      *roster.Roster
	crashes     *poison.Registry
	origins     *origin.Registry
	workload    *workload.Exchange
	client      *upstream.Client
	// linkMeter is nil if the bandwidth of the VM's link isn't known.
	linkMeter *linkMeter
	// liveEndpoints holds the liveAddresses of the endpoints that were published last.
	liveEndpoints atomic.Pointer[[]string]
	// services maps the addresses of the endpoints that were published last to their services.
	services    atomic.Pointer[map[string]string]
	links       *reach.Monitor
	callerConns *callerConns
	// lookupConns are the connections for address lookups, checkConns those for readiness checks and reads of the metrics, and peerConns
	// those of other routers.
	lookupConns, checkConns, peerConns *callerConns
	remote                             *remote.Client
	metrics                            *telemetry.Metrics
	draining                           atomic.Bool

	configFeed, endpointFeed, rosterFeed, crashFeed *feed.Feed
	// evacuationFeed is nil without evacuations.
	evacuationFeed *feed.Feed
}

// New creates a router. It also sets the memory limit and garbage collection target of the Go runtime.
func New(s Settings, a Adapter, logger log.Interface) (*Router, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	r := &Router{settings: s, adapter: a, log: logger}
	r.monitorStore()
	instance := s.VM + "-" + rand.Text()[:8]
	var err error
	if r.metrics, err = telemetry.New("lsentry"); err != nil {
		return nil, err
	}
	if r.catchUps, err = newCatchUps(r.contact.LastSilence, r.metrics.Meter, logger); err != nil {
		return nil, err
	}
	metrics, err := forward.NewMetrics(r.metrics.Meter)
	if err != nil {
		return nil, err
	}
	if s.LinkBytesPerSecond > 0 {
		r.linkMeter = newLinkMeter(s.LinkBytesPerSecond, time.Now())
	}
	r.client = upstream.NewClient()
	r.client.MaxConns, r.client.MaxConnsTo = maxEndpointConns(s.Descriptors), r.maxConnsTo
	if a.DialEndpoint != nil {
		r.client.DialContext = a.DialEndpoint
	}
	if n := endpointSocketBuffer(s.MemoryBytes, r.client.MaxConns); n > 0 {
		r.client.DialContext = withBuffers(r.client.DialContext, n)
	}
	placing := routeOptions
	placing.AwaitEvacuations = s.Evacuate > 0
	r.placement = forward.NewPlacement(s.Zone, placing)
	r.placement.LimitShare = r.limitShare
	r.placement.BrittleShare = r.brittleShare
	r.placement.SetColdPermit(r.coldPermit, logger)
	r.config = newConfiguration(a.ConfigKey, a.DecodeConfig, r.breaker, s.ConfigApply, logger)
	r.config.age = func() (time.Duration, bool) { return r.configFeed.Age() }
	r.endpoints = newEndpointSet(s.inRegions(a.DecodeEndpoint), logger, r.updateEndpoints)
	r.endpoints.lastSilence = r.contact.LastSilence
	r.roster = roster.New(r.breaker, s.VM, roster.Record{Instance: instance, Zone: s.Zone, Address: s.CallerAddress, Peer: s.PeerAddress, State: roster.Starting, Capacity: s.capacity()}, logger)
	peers := newPeerClient()
	r.accounts = allowance.NewAccounts(allowance.Options{
		Store: r.breaker, VM: s.VM, Instance: instance, Log: logger,
		Allocators: func(organisation string) []string { return r.roster.PreferenceList(organisation, allocatorCount) },
		Prepaid:    r.prepaid,
		Peers:      &allowance.RemotePeers{Addresses: r.roster.Peers, Client: peers, Log: logger},
	})
	instruments := telemetry.NewInstruments(r.metrics.Meter)
	r.accounts.RegisterMetrics(instruments)
	account, refusals := memory.NewAccount(memory.LimitsFor(s.MemoryBytes)), &memory.Refusals{}
	memory.RegisterMetrics(instruments, account, refusals)
	r.lookupConns, r.checkConns = r.newQuestionConns(lookupDescriptorShare, refusals), r.newQuestionConns(checkDescriptorShare, refusals)
	r.lookupConns.account.RegisterGauge(instruments, "lookup_memory", "What is held for address lookups")
	r.checkConns.account.RegisterGauge(instruments, "check_memory", "What is held for readiness checks and reads of the metrics")
	if s.Evacuate > 0 {
		r.evacuations = newEvacuations(a.EvacuationKind, logger, r.placement.SetEvacuated)
		r.evacuations.registerMetrics(instruments)
	}
	r.storeCalls.registerMetrics(instruments)
	if err := instruments.Err(); err != nil {
		return nil, err
	}
	r.crashes = poison.NewRegistry(poison.RegistryOptions{
		Store: r.breaker, VM: s.VM, Log: logger,
		IsFirst: func(key string) bool { return r.roster.PreferenceList(key, 1)[0] == s.VM },
	})
	r.origins = origin.NewRegistry(origin.Options{
		Store: r.breaker, VM: s.VM, Log: logger, Routers: r.roster.Count, FirstStart: s.FirstStart,
		Keepers:       func(stream string, n int) []string { return r.roster.PreferenceList("stream/"+stream, n) },
		IsFirst:       func(key string) bool { return r.roster.PreferenceList(key, 1)[0] == s.VM },
		Peers:         &origin.RemotePeers{Addresses: r.roster.Peers, Client: peers, Log: logger},
		IsViewCurrent: func(ctx context.Context) bool { return r.endpointFeed.Confirm(ctx) },
	})
	r.workload = workload.New(workload.Options{
		Router: s.VM, Log: logger, Client: peers, Addresses: r.roster.Peers, Applies: r.sharesWork,
		Keepers: func(n int) []string { return r.roster.PreferenceList("workload", n) },
		OwnWork: r.placement.OwnWork, ApplyWork: r.placement.ApplyWork,
	})
	r.callerConns = newCallerConns(r.limits, maxCallerConns(s.Descriptors, s.MemoryBytes), logger)
	r.callerConns.account, r.callerConns.refusals, r.callerConns.processBytes = account, refusals, s.MemoryBytes
	r.peerConns = newCallerConns(func() catalog.Limits { return peerLimits }, maxPeerConns(s.Descriptors, s.MemoryBytes), logger)
	r.peerConns.account, r.peerConns.refusals, r.peerConns.connBytes, r.peerConns.unframed = account, refusals, peerConnBytes, true
	r.peerConns.processBytes, r.peerConns.leastBuffer = s.MemoryBytes, peerSocketBuffer
	r.newFeeds(peers)
	r.newLinks(peers)
	r.server = forward.NewServer(forward.Options{
		Configuration: r.config, Dialect: a.Dialect, Placement: r.placement, Client: r.client, Allowances: r.accounts,
		Retries:      retry.New(s.Retry, time.Now(), s.FirstStart),
		CrashRecords: r.crashes, Origins: r.origins,
		Remote: r.remote, OnBroken: r.links.Suspect,
		StartOf: r.startOf, Identify: r.identify,
		Routers: r.roster.Count, Log: logger, Metrics: metrics,
		BufferBytes: int64(bufferShare * float64(s.MemoryBytes)), Memory: account, Refusals: refusals,
	})
	return r, nil
}

// routeOptions configures the placement for the platform's engines. A router sees only a small share of the requests
// with a given prefix, so it assumes that the first endpoint on the ring has the prefix cached.
var routeOptions = route.Options{
	AssumeRingCacheHit:   true,
	LastResort:           true,
	PromptWeight:         3,
	CongestionWeight:     -1,
	SpeedHalfLife:        -1, // The time between tokens shows what is prefilled beside a stream; Table.ApplyWork has the speeds.
	PrefillTokensPerMS:   50,
	PrefixAge:            20 * time.Second,
	MaxPrefixEntries:     20_000,
	MaxFailureBackoff:    4 * time.Second,
	MaxQueuedBesideLimit: 8,
}

// prepaid returns the organisation's budget in tokens from the newest configuration, 0 if it has none.
func (r *Router) prepaid(organisation string) int64 {
	if c := r.config.Current(); c != nil {
		if o, ok := c.Organisation(organisation); ok && o.Limited {
			return o.Prepaid
		}
	}
	return 0
}

// limits returns the limits of the newest configuration, none before the first one.
func (r *Router) limits() catalog.Limits {
	if c := r.config.Current(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// maxConnsTo returns how many connections to the endpoint at the address this router may have, 0 for no limit.
func (r *Router) maxConnsTo(address string) int {
	config, services := r.config.Current(), r.services.Load()
	if config == nil || services == nil {
		return 0
	}
	service, _ := config.Service((*services)[address])
	return connShare(service.MaxConnections, r.roster.Count())
}

// updateEndpoints passes the endpoints to the placement and closes the idle connections to all others.
func (r *Router) updateEndpoints(vms []platform.VM) {
	addresses := liveAddresses(vms)
	r.liveEndpoints.Store(&addresses)
	r.placement.Update(vms)
	r.origins.Update(vms)
	keep := make(map[string]bool, len(vms))
	services := make(map[string]string, len(vms))
	for _, vm := range vms {
		keep[vm.Address], services[vm.Address] = true, vm.Service
	}
	r.services.Store(&services)
	r.client.CloseIdleExcept(keep)
}

// Run serves until ctx ends and then drains. It returns nil after a planned stop, and an error if a listener fails.
func (r *Router) Run(ctx context.Context) error {
	r.log.WithFields(log.Fields{
		"vm": r.settings.VM, "zone": r.settings.Zone, "first_start": r.settings.FirstStart, "callers": r.settings.CallerAddress,
		"peers": r.settings.PeerAddress, "metrics": r.settings.MetricsAddress,
	}).Info("start")
	// The background tasks outlive ctx: requests in progress need them while the router drains.
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { r.contact.Run(backgroundCtx) })
	tasks.Go(func() { r.storeCalls.run(backgroundCtx, r.log) })
	tasks.Go(func() { r.placement.Run(backgroundCtx) })
	tasks.Go(func() { r.accounts.Run(backgroundCtx) })
	tasks.Go(func() { r.contact.NotifyReturns(backgroundCtx, r.accounts.StoreReturned) })
	tasks.Go(func() { r.roster.Run(backgroundCtx, r.rosterFeed.Age) })
	tasks.Go(func() { r.runFeeds(backgroundCtx) })
	tasks.Go(func() { r.crashes.Run(backgroundCtx) })
	tasks.Go(func() { r.origins.Run(backgroundCtx) })
	tasks.Go(func() { r.announceReady(backgroundCtx) })
	tasks.Go(func() { r.pollReports(backgroundCtx) })
	tasks.Go(func() { r.workload.Run(backgroundCtx) })
	tasks.Go(func() { r.links.Run(backgroundCtx) })
	tasks.Go(func() { r.remote.Run(backgroundCtx) })

	tasks.Go(func() { r.callerConns.run(backgroundCtx) })
	tasks.Go(func() { r.lookupConns.run(backgroundCtx) })
	tasks.Go(func() { r.checkConns.run(backgroundCtx) })
	tasks.Go(func() { r.peerConns.run(backgroundCtx) })

	callers := r.newHTTPServer(r.server)
	r.callerConns.attach(callers)
	peers := peerhttp.NewServer(r.peerHandler(), r.callerConns.account, r.recordPeerRefusal)
	peers.ConnState = r.peerConns.Observe
	serveErrors := make(chan error, 5)
	listeners := []struct {
		address string
		server  *http.Server
		// conns limits the connections.
		conns *callerConns
	}{
		{r.settings.CallerAddress, callers, r.callerConns},
		{r.settings.ReadyAddress, r.newQuestionServer(r.checkConns, r.serveReady), r.checkConns},
		{r.settings.LookupAddress, r.newQuestionServer(r.lookupConns, r.serveLookup), r.lookupConns},
		{r.settings.PeerAddress, peers, r.peerConns},
		{r.settings.MetricsAddress, r.newQuestionServer(r.checkConns, r.metrics.Handler.ServeHTTP), r.checkConns},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		listener, err := listenTCP(l.address, l.conns.acceptedBuffer())
		if err != nil {
			return fmt.Errorf("entry: listen on %s: %w", l.address, err)
		}
		defer l.server.Close()
		if l.server == callers && r.linkMeter != nil {
			metered := newCallerListener(listener, r.linkMeter, r.client.LinkDelay, r.log)
			metered.receiveBuffer = l.conns.acceptedBuffer()
			tasks.Go(func() { metered.run(backgroundCtx) })
			listener = metered
		}
		listener = l.conns.listen(listener)
		tasks.Go(func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- fmt.Errorf("entry: serve %s: %w", l.address, err)
			}
		})
	}
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	r.drain(callers)
	return nil
}

// announceReady sets the router's state in the roster to ready once it can serve.
func (r *Router) announceReady(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for ctx.Err() == nil && r.checkReadiness() != nil && !r.draining.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	if !r.draining.Load() && ctx.Err() == nil {
		r.roster.SetState(roster.Ready)
		r.log.Info("ready")
	}
}

// checkReadiness returns an error if the router can't serve requests.
func (r *Router) checkReadiness() error {
	switch {
	case r.draining.Load():
		return errors.New("the router is leaving")
	case r.config.Current() == nil:
		return errNoConfiguration
	case !r.endpoints.isLoaded():
		return errors.New("the endpoints have not been read yet")
	case r.evacuations != nil && !r.evacuations.isLoaded():
		return errors.New("the orders to empty availability zones have not been read yet")
	case !r.crashes.IsLoaded():
		return errors.New("the crash records have not been read yet")
	case r.callerConns.isFull():
		return errors.New("no connection of a caller can be accepted")
	}
	return nil
}

func (r *Router) serveReady(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != r.settings.ReadyPath {
		http.NotFound(w, request)
		return
	}
	if err := r.checkReadiness(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLookup returns the addresses that a caller should use, for the availability zone in the query if there is one.
func (r *Router) serveLookup(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != r.settings.LookupPath {
		http.NotFound(w, request)
		return
	}
	query := request.URL.RawQuery
	addresses := r.roster.AddressesIn(r.zonesFor(queryValue(query, "name"), queryValue(query, "region")), queryValue(query, "zone"), maxAddresses)
	if len(addresses) == 0 {
		http.Error(w, "no router is known to be ready", http.StatusServiceUnavailable)
		return
	}
	body, err := r.adapter.EncodeAddresses(addresses, min(addressTTL, r.settings.AddressTTL))
	if err != nil {
		r.log.WithError(err).Error("address_answer_failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // On an error the caller repeats the lookup.
}

// queryValue returns the first value of a name in a query, empty if there is none. Unlike url.ParseQuery it makes no table of all names,
// which takes many times the size of the query.
func queryValue(query, name string) string {
	for pair := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		if key, err := url.QueryUnescape(key); err != nil || key != name {
			continue
		}
		if decoded, err := url.QueryUnescape(value); err == nil {
			return decoded
		}
	}
	return ""
}

// zonesFor returns a function that reports whether a caller in the region may be sent to a zone for a host: if the requests of the host
// have homes, only to these, or to its own region, because their bodies go there.
func (r *Router) zonesFor(host, region string) func(zone string) bool {
	var homes catalog.Homes
	if c := r.config.Current(); c != nil {
		homes = c.HostHomes(host)
	}
	return func(zone string) bool {
		in := r.settings.Regions[zone]
		return homes.Allow(in) || in != "" && in == region
	}
}

// addressTTL is how long callers may use an address answer, unless the platform's limit is lower.
const addressTTL = 3 * time.Second

func (r *Router) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
}

// newQuestionConns returns the limits of connections for questions, with an account of their own.
func (r *Router) newQuestionConns(descriptorShare float64, refusals *memory.Refusals) *callerConns {
	c := newCallerConns(r.limits, maxQuestionConns(descriptorShare, r.settings.Descriptors, r.settings.MemoryBytes), r.log)
	c.account, c.refusals, c.processBytes = memory.NewAccount(memory.QuestionLimits(r.settings.MemoryBytes)), refusals, r.settings.MemoryBytes
	return c
}

// newQuestionServer returns a server for questions without a body. What anybody sends there beyond is read for a short time only, and
// the connections idle for longest make room for others.
func (r *Router) newQuestionServer(conns *callerConns, answer http.HandlerFunc) *http.Server {
	s := r.newHTTPServer(answer)
	conns.attach(s)
	s.ReadTimeout, s.MaxHeaderBytes = readHeaderTimeout, maxQuestionHeaderBytes
	return s
}

// drain removes the router from address answers, serves for drainServingTime, and then waits until the requests in
// progress have ended, at most until exitMargin before the end of the grace time. Finally it returns unused tokens.
func (r *Router) drain(callers *http.Server) {
	started := time.Now()
	r.log.WithField("active", r.server.Active()).Info("stop_requested")
	r.draining.Store(true)
	r.server.Drain()
	r.roster.SetState(roster.Leaving)
	end := started.Add(max(drainServingTime, r.settings.Grace-exitMargin))
	time.Sleep(drainServingTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := callers.Shutdown(ctx)
	for r.server.Active() > 0 && sleep.For(ctx, activePollInterval) {
		// Requests of other routers are still in progress.
	}
	sleep.For(ctx, activePollInterval) // Their last messages reach the other routers before the connections are closed.
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancelReturn()
	r.accounts.ReturnAll(returnCtx)
	entry := r.log.WithFields(log.Fields{"active": r.server.Active(), "took_ms": time.Since(started).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("stop_with_open_requests")
		return
	}
	entry.Info("stop")
}
