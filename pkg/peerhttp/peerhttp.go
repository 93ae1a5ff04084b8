// Package peerhttp holds the HTTP settings of connections between routers.
package peerhttp

import "net/http"

const (
	// MaxMessageBytes limits a message from another router. The largest are lists of all objects of a kind.
	MaxMessageBytes = 8 << 20
	// MaxHeaderBytes limits the headers of a response of another router.
	MaxHeaderBytes = 32 << 10
)

// UnencryptedHTTP2 returns the set of protocols used between routers, which has only HTTP/2 without TLS.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
