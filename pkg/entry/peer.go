package entry

import (
	"net/http"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// peerDialTimeout limits a connection attempt to another router. The round trip takes a few ms.
const peerDialTimeout = 200 * time.Millisecond

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols: peerhttp.UnencryptedHTTP2(), DialContext: upstream.Dialer(peerDialTimeout).DialContext, DisableCompression: true,
		MaxResponseHeaderBytes: peerhttp.MaxHeaderBytes,
	}}
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(allowance.NewService(r.accounts).Handler())
	mux.Handle(feed.NewService(r.endpointFeed).Handler())
	return mux
}

const (
	// maxSmallFleet is the number of routers up to which each one watches the store itself.
	maxSmallFleet = 16
	// leadersPerZone is the number of routers in an availability zone that watch the store for the others in it.
	leadersPerZone = 2
	// watchWaitSmallFleet and watchWaitLargeFleet are the times for which the store holds a watch without changes. A
	// watch whose connection fails silently is noticed only after that time, so it is of the order of the time within
	// which changes must be in force. Routers of a large fleet wait longer.
	watchWaitSmallFleet = 3 * time.Second
	watchWaitLargeFleet = 6 * time.Second
	// watchPauseSmallFleet and watchPauseLargeFleet are the minimum times between two watches of the same kind of
	// objects. In a large fleet many endpoints change within a short time, and changes may take a second longer to be in
	// force.
	watchPauseSmallFleet = 250 * time.Millisecond
	watchPauseLargeFleet = 500 * time.Millisecond
)

// newFeeds creates the feeds of the configuration and of the endpoints. The configuration is large and seldom changes,
// so every router watches it in the store. Endpoints change often, so in a large fleet the leaders of an availability
// zone pass the changes on to the others in it.
func (r *Router) newFeeds(peers feed.PeerClient) {
	r.configFeed = feed.New(feed.Options{
		Kind: r.adapter.ConfigKind, Store: r.adapter.Store, Log: r.log, Consumer: configFeed{r.config},
		WatchWait:    r.byFleetSize(watchWaitSmallFleet, watchWaitLargeFleet),
		WatchPause:   r.byFleetSize(watchPauseSmallFleet, watchPauseLargeFleet),
		SetStoreLost: r.breaker.open.Store,
	})
	r.endpointFeed = feed.New(feed.Options{
		Kind: r.adapter.EndpointKind, Store: r.breaker, Log: r.log, Consumer: r.endpoints,
		WatchWait:  r.byFleetSize(watchWaitSmallFleet, feed.LeaderWait),
		WatchPause: r.byFleetSize(watchPauseSmallFleet, watchPauseLargeFleet),
		Leaders:    func() []string { return r.roster.Leaders(maxSmallFleet, leadersPerZone) }, Client: peers,
	})
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
