package router

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/api/ls/config/v1/configv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/peerhttp"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	// peerPingTimeout is both the idle time after which a connection is pinged and the time to wait for the response. It
	// detects connections to routers whose VMs have disappeared.
	peerPingTimeout = 3 * time.Second
	peerIdleTimeout = 2 * time.Minute
)

// newPeerClient returns the client for the peer APIs of other routers. It has no timeout: each call sets its own.
func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: uncompressedTransport{&http.Transport{
		Protocols:          peerhttp.UnencryptedHTTP2(),
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    peerIdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout},
	}}}
}

// uncompressedTransport removes the Accept-Encoding header of requests, except those for configuration, whose
// snapshots are large. Otherwise servers would compress every response; most have less than 100 bytes, and
// compressing them took a fifth of the processor time of an idle router.
type uncompressedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (u uncompressedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if strings.HasPrefix(request.URL.Path, "/"+configv1connect.ConfigServiceName+"/") {
		return u.next.RoundTrip(request)
	}
	plain := request.Clone(request.Context())
	plain.Header.Del("Accept-Encoding")
	return u.next.RoundTrip(plain)
}

func newPeerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, Protocols: peerhttp.UnencryptedHTTP2(), ReadHeaderTimeout: readHeaderTimeout}
}
