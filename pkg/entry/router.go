package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/pkg/roster"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// keepServing is the time after SIGTERM in which new requests are still taken: callers learn of it from address
	// answers, which others give about a renewal interval later.
	keepServing = 2500 * time.Millisecond
	// stopMargin is left of the grace time for the exit itself.
	stopMargin = 400 * time.Millisecond
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is above any idle time that the configuration allows callers.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above the limit that the configuration states to callers.
	maxHeaderBytes = 64 << 10
	// memoryShare is the part of the memory limit from which the garbage collector works harder.
	memoryShare = 0.6
	// gcPercent trades processor time for memory: live data is a few MB.
	gcPercent = 50
	// allocatorCount is the number of routers from which the others get an organisation's tokens: the primary allocator
	// and those that stand in for it while it can't be reached or has no contact to the store.
	allocatorCount = 4
	// maxAddresses is the largest number of addresses that callers take from an answer.
	maxAddresses = 64
)

// Store is the part of the platform's store that a router uses: that of its roster, which includes the reads that need
// not be current, and that of its feeds.
type Store interface {
	roster.Store
	feed.Store
}

// Adapter is what the platform's adapter provides.
type Adapter struct {
	Store          Store
	Dialect        forward.Dialect
	DecodeConfig   decodeConfig
	ConfigKey      string
	DecodeEndpoint decodeEndpoint
	// EndpointKind is the kind of the endpoints' objects, ConfigKind that of the configuration's.
	EndpointKind, ConfigKind string
	// ReportPath is where engines report their load, and DecodeReport decodes a report.
	ReportPath   string
	DecodeReport func([]byte) (route.LoadReport, error)
	// EncodeAddresses encodes an address answer with its time to live.
	EncodeAddresses func(addresses []string, ttl time.Duration) ([]byte, error)
}

// Router is the process.
type Router struct {
	settings  Settings
	adapter   Adapter
	gate      *gate
	log       log.Interface
	config    *configuration
	endpoints *endpoints
	placement *forward.Placement
	server    *forward.Server
	accounts  *allowance.Accounts
	roster    *roster.Roster
	client    *upstream.Client
	metrics   *telemetry.Metrics
	draining  atomic.Bool

	configFeed, endpointFeed *feed.Feed
}

// New assembles a router.
func New(s Settings, a Adapter, logger log.Interface) (*Router, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	r := &Router{settings: s, adapter: a, gate: &gate{Store: a.Store}, log: logger}
	instance := s.VM + "-" + rand.Text()[:8]
	var err error
	if r.metrics, err = telemetry.New("lsentry"); err != nil {
		return nil, err
	}
	metrics, err := forward.NewMetrics(r.metrics.Meter)
	if err != nil {
		return nil, err
	}
	r.client = upstream.NewClient()
	r.placement = forward.NewPlacement(s.Zone, routeOptions)
	r.config = newConfiguration(a.ConfigKey, a.DecodeConfig, r.gate, logger)
	r.endpoints = newEndpoints(a.DecodeEndpoint, logger, r.publish)
	r.roster = roster.New(r.gate, s.VM, roster.Record{Instance: instance, Zone: s.Zone, Address: s.CallerAddress, Peer: s.PeerAddress, State: roster.Starting}, logger)
	peers := newPeerClient()
	r.accounts = allowance.NewAccounts(allowance.Options{
		Store: r.gate, VM: s.VM, Instance: instance, Log: logger,
		Allocators: func(organisation string) []string { return r.roster.PreferenceList(organisation, allocatorCount) },
		Prepaid:    r.prepaid,
		Peers:      &allowance.RemotePeers{Addresses: r.roster.Peers, Client: peers, Log: logger},
	})
	r.newFeeds(peers)
	r.server = forward.NewServer(forward.Options{
		Configuration: r.config, Dialect: a.Dialect, Placement: r.placement, Client: r.client, Allowances: r.accounts,
		Retries: retry.New(s.Retry, time.Now(), s.FirstStart),
		Routers: r.roster.Count, Log: logger, Metrics: metrics,
	})
	return r, nil
}

// routeOptions are the constants of the placement on the platform's engines. A router sees a small share of each
// prefix's requests, so the first endpoint on the ring is trusted to hold it.
var routeOptions = route.Options{
	AssumeRingCacheHit: true,
	LastResort:         true,
	PromptWeight:       3,
	CongestionWeight:   -1,
	SpeedHalfLife:      time.Millisecond,
	PrefillTokensPerMS: 50,
	PrefixAge:          20 * time.Second,
	MaxPrefixEntries:   20_000,
	MaxFailureBackoff:  4 * time.Second,
}

// prepaid returns the organisation's budget in the newest configuration, 0 if it has none.
func (r *Router) prepaid(organisation string) int64 {
	if c := r.config.Current(); c != nil {
		if o, ok := c.Organisation(organisation); ok && o.Limited {
			return o.Prepaid
		}
	}
	return 0
}

// publish hands the endpoints to the placement and closes connections to those that are gone.
func (r *Router) publish(vms []platform.VM) {
	r.placement.Update(vms)
	keep := make(map[string]bool, len(vms))
	for _, vm := range vms {
		keep[vm.Address] = true
	}
	r.client.Forget(keep)
}

// Run serves until ctx ends and then drains. It returns nil after a planned stop.
func (r *Router) Run(ctx context.Context) error {
	r.log.WithFields(log.Fields{
		"vm": r.settings.VM, "zone": r.settings.Zone, "first_start": r.settings.FirstStart, "callers": r.settings.CallerAddress,
		"peers": r.settings.PeerAddress, "metrics": r.settings.MetricsAddress,
	}).Info("start")
	// The background tasks outlive ctx: requests in progress need them while the router drains.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { r.placement.Run(background) })
	tasks.Go(func() { r.accounts.Run(background) })
	tasks.Go(func() { r.roster.Run(background) })
	tasks.Go(func() { r.configFeed.Run(background) })
	tasks.Go(func() { r.endpointFeed.Run(background) })
	tasks.Go(func() { r.announce(background) })
	tasks.Go(func() { r.pollReports(background) })

	callers := r.httpServer(r.server)
	peers := r.httpServer(r.peerHandler())
	peers.Protocols = peerhttp.UnencryptedHTTP2()
	failed := make(chan error, 5)
	listeners := []struct {
		address string
		server  *http.Server
	}{
		{r.settings.CallerAddress, callers},
		{r.settings.ReadyAddress, r.httpServer(http.HandlerFunc(r.serveReady))},
		{r.settings.LookupAddress, r.httpServer(http.HandlerFunc(r.serveLookup))},
		{r.settings.PeerAddress, peers},
		{r.settings.MetricsAddress, r.httpServer(r.metrics.Handler)},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return fmt.Errorf("entry: listening on %s: %w", l.address, err)
		}
		defer l.server.Close()
		tasks.Go(func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("entry: serving %s: %w", l.address, err)
			}
		})
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	r.drain(callers)
	return nil
}

// announce sets the router's state in the roster once it can serve.
func (r *Router) announce(ctx context.Context) {
	const interval = 50 * time.Millisecond
	for ctx.Err() == nil && r.readiness() != nil && !r.draining.Load() {
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

// readiness returns why the router can't serve, nil if it can.
func (r *Router) readiness() error {
	switch {
	case r.draining.Load():
		return errors.New("the router is leaving")
	case r.config.Current() == nil:
		return errNoConfiguration
	case !r.endpoints.ready():
		return errors.New("the endpoints have not been read yet")
	}
	return nil
}

func (r *Router) serveReady(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != r.settings.ReadyPath {
		http.NotFound(w, q)
		return
	}
	if err := r.readiness(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveLookup answers which addresses a caller should use.
func (r *Router) serveLookup(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != r.settings.LookupPath {
		http.NotFound(w, q)
		return
	}
	addresses := r.roster.Addresses(q.URL.Query().Get("zone"), maxAddresses)
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
	_, _ = w.Write(body) // The caller asks again if it didn't get the answer.
}

// addressTTL is how long callers keep an address answer, unless the platform allows less.
const addressTTL = 3 * time.Second

func (r *Router) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// drain takes the router out of address answers, serves for a while, and then stops without cutting a request.
func (r *Router) drain(callers *http.Server) {
	started := time.Now()
	r.log.WithField("active", r.server.Active()).Info("stop_requested")
	r.draining.Store(true)
	r.server.Drain()
	r.roster.SetState(roster.Leaving)
	end := started.Add(max(keepServing, r.settings.Grace-stopMargin))
	time.Sleep(keepServing)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := callers.Shutdown(ctx)
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancelReturn()
	r.accounts.ReturnAll(returnCtx)
	entry := r.log.WithFields(log.Fields{"active": r.server.Active(), "took_ms": time.Since(started).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("stop_with_open_requests")
		return
	}
	entry.Info("stop")
}
