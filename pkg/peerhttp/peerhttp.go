// Package peerhttp has the HTTP settings of the connections between routers.
package peerhttp

import "net/http"

// UnencryptedHTTP2 is the protocol between routers.
func UnencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}
