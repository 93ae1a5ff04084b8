package entry

import (
	"net/http"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/feed"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// peerDialTimeout bounds a connection attempt to another router, a few ms away.
const peerDialTimeout = 200 * time.Millisecond

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols: peerhttp.UnencryptedHTTP2(), DialContext: upstream.Dialer(peerDialTimeout).DialContext, DisableCompression: true,
	}}
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(allowance.NewService(r.accounts).Handler())
	mux.Handle(feed.NewService(r.endpointFeed).Handler())
	return mux
}

const (
	// smallFleet is the number of routers up to which each one watches the store itself.
	smallFleet = 16
	// leadersPerZone is the number of routers of an availability zone that watch the store for the others of it.
	leadersPerZone = 2
	// watchWait is how long the store holds a watch without changes. A watch that went silent is noticed after it, so it
	// is of the order of the bounds within which changes must be in force. Routers of a large fleet wait longer.
	watchWait      = 3 * time.Second
	watchWaitLarge = 6 * time.Second
	// watchPause is the least time between two watches of a kind. In a large fleet the changes of many endpoints come
	// close together, and the bounds are longer by a second.
	watchPause      = 250 * time.Millisecond
	watchPauseLarge = 500 * time.Millisecond
)

// newFeeds creates the feeds of the configuration and of the endpoints. The configuration is large and seldom changes,
// so every router watches it; endpoints change often and are passed on within an availability zone.
func (r *Router) newFeeds(peers feed.PeerClient) {
	r.configFeed = feed.New(feed.Options{
		Kind: r.adapter.ConfigKind, Store: r.adapter.Store, Log: r.log, Consumer: configFeed{r.config},
		WatchWait:    r.byFleet(watchWait, watchWaitLarge),
		WatchPause:   r.byFleet(watchPause, watchPauseLarge),
		SetStoreLost: r.gate.lost.Store,
	})
	r.endpointFeed = feed.New(feed.Options{
		Kind: r.adapter.EndpointKind, Store: r.gate, Log: r.log, Consumer: r.endpoints,
		WatchWait:  r.byFleet(watchWait, feed.LeaderWait),
		WatchPause: r.byFleet(watchPause, watchPauseLarge),
		Leaders:    func() []string { return r.roster.Leaders(smallFleet, leadersPerZone) }, Client: peers,
	})
}

// byFleet returns the function that chooses by the present size of the fleet.
func (r *Router) byFleet(small, large time.Duration) func() time.Duration {
	return func() time.Duration {
		if r.roster.Count() > smallFleet {
			return large
		}
		return small
	}
}
