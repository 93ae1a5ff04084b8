// Package peerhttp holds the HTTP settings of connections between routers.
package peerhttp

import "net/http"

// UnencryptedHTTP2 returns the set of protocols used between routers, which has only HTTP/2 without TLS.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
