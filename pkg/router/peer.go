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
	// peerPingTimeout finds a connection to a router whose VM has vanished.
	peerPingTimeout = 3 * time.Second
	peerIdleTimeout = 2 * time.Minute
)

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: uncompressed{&http.Transport{
		Protocols:          peerhttp.UnencryptedHTTP2(),
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    peerIdleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout},
	}}}
}

// uncompressed asks for answers without compression, except for configuration, whose snapshots are large. Servers
// would compress every answer, and most have less than 100 bytes: that was a fifth of the processor time of an idle
// router.
type uncompressed struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (u uncompressed) RoundTrip(request *http.Request) (*http.Response, error) {
	if strings.HasPrefix(request.URL.Path, "/"+configv1connect.ConfigServiceName+"/") {
		return u.next.RoundTrip(request)
	}
	plain := request.Clone(request.Context())
	plain.Header.Del("Accept-Encoding")
	return u.next.RoundTrip(plain)
}

func newPeerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, Protocols: peerhttp.UnencryptedHTTP2(), ReadHeaderTimeout: headerTimeout}
}
