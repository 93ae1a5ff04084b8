package router

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	// peerPingTimeout finds a connection to a router whose VM has vanished.
	peerPingTimeout = 3 * time.Second
	peerIdleTimeout = 2 * time.Minute
)

// unencryptedHTTP2 is the protocol between routers.
func unencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// newPeerClient returns the client for the peer APIs of other routers. Each call sets its own timeout.
func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols: unencryptedHTTP2(),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		IdleConnTimeout: peerIdleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout},
	}}
}

func newPeerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, Protocols: unencryptedHTTP2(), ReadHeaderTimeout: headerTimeout}
}
