package entry

import (
	"net/http"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// peerDialTimeout bounds a connection attempt to another router, a few ms away.
const peerDialTimeout = 200 * time.Millisecond

// unencryptedHTTP2 is the protocol between routers.
func unencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols: unencryptedHTTP2(), DialContext: upstream.Dialer(peerDialTimeout).DialContext, DisableCompression: true,
	}}
}

func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(allowance.NewService(r.books).Handler())
	return mux
}
