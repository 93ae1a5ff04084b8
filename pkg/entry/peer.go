package entry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/remote"
	"github.com/lavendershunt/lavendershunt/pkg/roster"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// peerDialTimeout limits a connection attempt to another router. The round trip takes a few ms.
const peerDialTimeout = 200 * time.Millisecond

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols: peerhttp.UnencryptedHTTP2(), DialContext: upstream.Dialer(peerDialTimeout, upstream.UnackedTimeout).DialContext, DisableCompression: true,
		MaxResponseHeaderBytes: peerhttp.MaxHeaderBytes,
	}}
}

// peerLimits bound connections of other routers that send nothing: a router sends its first bytes as soon as it has connected, and keeps
// connections without calls.
var peerLimits = catalog.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Minute}

// recordPeerRefusal counts a call of another router for which there is no memory, and logs one for an address in a period.
func (r *Router) recordPeerRefusal(address netip.Addr, cause error) {
	r.peerConns.recordRefusal(address, errors.Join(errPeerRefused, cause))
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(allowance.NewService(r.accounts).Handler())
	mux.Handle(origin.NewService(r.origins).Handler())
	mux.Handle(r.workload.Handler())
	mux.Handle(remote.NewService(r.server).Handler())
	mux.Handle(feed.NewService(r.feeds()...).Handler())
	return mux
}

const (
	// maxSmallFleet is the number of routers up to which each one watches the store itself.
	maxSmallFleet = 16
	// leadersPerZone is the largest number of routers in an availability zone that read the store for the others in it.
	leadersPerZone = 3
	// directReadsPerSecond is the rate at which the routers of a large fleet read the store themselves when they can follow
	// no other router.
	directReadsPerSecond = 150
	// leaderWaitAtStart is how long a router waits after its start for another router that it can follow.
	leaderWaitAtStart = 2 * time.Second
	// watchWaitSmallFleet is the time for which the store holds a watch without changes in a fleet without leaders. A
	// watch whose connection fails silently is noticed only after that time, so it is of the order of the time within
	// which changes must be in force. The leaders of a large fleet wait for feed.LeaderWait.
	watchWaitSmallFleet = 3 * time.Second
	// watchPauseSmallFleet and watchPauseLargeFleet are the minimum times between two watches of the same kind of
	// objects. In a large fleet many endpoints change within a short time, and changes may take a second longer to be in
	// force.
	watchPauseSmallFleet = 250 * time.Millisecond
	watchPauseLargeFleet = 500 * time.Millisecond
)

// newFeeds creates the feeds of the configuration, of the endpoints, of the routers' records and of their crash records, and, if
// there are any, of the orders to empty zones. In a large fleet the leaders of an availability zone read the store and pass the changes on to the others in it.
func (r *Router) newFeeds(peers feed.PeerClient) {
	options := feed.Options{
		Log: r.log, Client: peers, AwaitRetry: r.contact.Sleep, LeaderAnswered: r.contact.LeaderAnswered, Contacted: r.catchUps.contacted,
		WatchWait:     r.byFleetSize(watchWaitSmallFleet, feed.LeaderWait),
		WatchPause:    r.byFleetSize(watchPauseSmallFleet, watchPauseLargeFleet),
		Leaders:       func() []string { return r.roster.Leaders(maxSmallFleet, leadersPerZone) },
		Substitutes:   func() []string { return r.roster.Substitutes(maxSmallFleet, leadersPerZone) },
		StoreReturned: r.contact.Returned,
		MaxDirectDelay: func() time.Duration {
			return time.Duration(r.roster.Count()) * time.Second / directReadsPerSecond
		},
	}
	config, endpoints, records, crashes := options, options, options, options
	config.Kind, config.Store, config.Consumer = r.adapter.ConfigKind, r.adapter.Store, configFeed{r.config}
	config.SetStoreLost = r.breaker.setLost
	config.StoreReached = func(revision uint64) {
		r.accounts.StoreReached(revision)
		r.origins.StoreReached(revision)
	}
	endpoints.Kind, endpoints.Store, endpoints.Consumer = r.adapter.EndpointKind, r.breaker, r.endpoints
	records.Kind, records.Store, records.Consumer = roster.Kind, r.breaker, r.roster
	records.StaleListInterval = roster.ListInterval
	crashes.Kind, crashes.Store, crashes.Consumer = poison.RegistryKind, r.breaker, r.crashes
	r.configFeed, r.endpointFeed, r.rosterFeed, r.crashFeed = feed.New(config), feed.New(endpoints), feed.New(records), feed.New(crashes)
	if r.evacuations != nil {
		r.evacuationFeed = feed.New(r.evacuationOptions(options))
	}
}

// evacuationOptions returns the options of the feed of the orders to empty zones, from those of all feeds.
func (r *Router) evacuationOptions(o feed.Options) feed.Options {
	wait := evacuationWatch(r.settings.Evacuate)
	o.Kind, o.Store, o.Consumer = r.adapter.EvacuationKind, r.breaker, r.evacuations
	o.WatchWait = func() time.Duration { return wait }
	o.MaxLeaderAge = wait + evacuationAnswerTime
	o.Leaders = func() []string { return r.roster.Leaders(maxSmallFleet, evacuationLeadersPerZone) }
	o.Substitutes = func() []string { return r.roster.Substitutes(maxSmallFleet, evacuationLeadersPerZone) }
	o.StoreReached = r.evacuations.reached
	o.Contacted = func(kind, cause string, at time.Time) {
		r.catchUps.contacted(kind, cause, at)
		r.evacuations.contacted(at)
	}
	return o
}

// feeds returns all feeds of the router.
func (r *Router) feeds() []*feed.Feed {
	feeds := []*feed.Feed{r.configFeed, r.endpointFeed, r.rosterFeed, r.crashFeed}
	if r.evacuationFeed != nil {
		feeds = append(feeds, r.evacuationFeed)
	}
	return feeds
}

// runFeeds feeds the router until ctx ends. The routers' records come first, because they tell whom to follow.
func (r *Router) runFeeds(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.rosterFeed.Run(ctx) })
	const interval = 50 * time.Millisecond
	started := time.Now()
	for sleep.For(ctx, interval) {
		_, known := r.rosterFeed.Age()
		start := fleetStart{
			takes: r.settings.FleetStart, first: r.settings.FirstStart && !r.roster.AnyReady(),
			known: known, awaitsLeader: r.roster.AwaitsLeader(maxSmallFleet),
		}
		if start.mayReadStore(time.Since(started)) {
			break
		}
	}
	for _, f := range r.feeds() {
		if f != r.rosterFeed {
			tasks.Go(func() { f.Run(ctx) })
		}
	}
}

// fleetStart is what a starting router knows of the others.
type fleetStart struct {
	// takes is how long the first start of the whole system takes until each router has the records of all others, and
	// first is set if this is such a start.
	takes time.Duration
	first bool
	// known is set once the records have been read, and awaitsLeader while the router should follow one that isn't ready.
	known, awaitsLeader bool
}

// mayReadStore reports whether a router that started elapsed ago may begin to read the configuration and the endpoints.
// It answers the start of a large fleet, in which every router would otherwise read the store itself before it knows that
// it can follow another one.
func (s fleetStart) mayReadStore(elapsed time.Duration) bool {
	limit := leaderWaitAtStart
	if s.first {
		if elapsed < s.takes {
			return false
		}
		limit = s.takes + 2*leaderWaitAtStart // The leaders read the store first, and then their state has to be seen.
	}
	return s.known && !s.awaitsLeader || elapsed >= limit
}

// byFleetSize returns a function that returns small or large according to the current number of routers.
func (r *Router) byFleetSize(small, large time.Duration) func() time.Duration {
	return func() time.Duration {
		if r.roster.Count() > maxSmallFleet {
			return large
		}
		return small
	}
}
