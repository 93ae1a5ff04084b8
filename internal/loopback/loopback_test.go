package loopback

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an address that a test can't listen on because an earlier address, a connection to it or the listener
// of another process uses the port.
func TestAddressesStayFree(t *testing.T) {
	var addresses []string
	for range 50 {
		addresses = append(addresses, Address())
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		must.NoError(t, err)
		defer listener.Close()
		connection, err := net.Dial("tcp4", address)
		must.NoError(t, err)
		defer connection.Close()
		source, _, err := net.SplitHostPort(connection.LocalAddr().String())
		must.NoError(t, err)
		must.EqOp(t, "127.0.0.1", source)
	}
}
