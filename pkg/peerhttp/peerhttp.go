// Package peerhttp holds the HTTP settings of connections between routers, and what bounds the memory of calls that arrive there from
// anybody who reaches the address.
package peerhttp

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

const (
	// MaxMessageBytes limits a message from another router. The largest are lists of all objects of a kind.
	MaxMessageBytes = 8 << 20
	// MaxHeaderBytes limits the headers of a response of another router.
	MaxHeaderBytes = 32 << 10
	// maxRequestHeaderBytes limits the headers of a call, of which routers send some 500 bytes.
	maxRequestHeaderBytes = 8 << 10
	// maxStreams is the number of calls at a time on a connection. A router with more opens another one.
	maxStreams = 100
	// maxFrameBytes is the largest frame: the server sets memory aside as soon as one is announced.
	maxFrameBytes = 16 << 10
	// windowBytes is what may have arrived on a connection, or for one of its calls, without being read.
	windowBytes = 64 << 10
	// headerTime bounds the time until a connection has sent its first bytes, and idleTime that without calls.
	headerTime = 10 * time.Second
	idleTime   = 10 * time.Minute
)

// UnencryptedHTTP2 returns the set of protocols used between routers, which has only HTTP/2 without TLS.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// NewServer returns a server for calls of other routers. They are counted in the account before they are decoded. onRefusal is called
// with the address of the caller if there is no memory for a call.
func NewServer(h http.Handler, account *memory.Account, onRefusal func(netip.Addr, error)) *http.Server {
	return &http.Server{
		Handler:   &counter{next: h, account: account, onRefusal: onRefusal},
		Protocols: UnencryptedHTTP2(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxRequestHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes,
			MaxReceiveBufferPerConnection: windowBytes, MaxReceiveBufferPerStream: windowBytes,
		},
	}
}
