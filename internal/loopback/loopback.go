// Package loopback hands out listen addresses to tests. A port that a test looks up, closes and opens again later may
// have been taken by then: by another process's listener, or as the source port of a connection.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is the first port that is handed out.
const firstPort = 10_000

var issued atomic.Int64

// Address returns an IP address and port that no other call returns, in this process or in another one that runs at the
// same time: the IP address in 127.0.0.0/8 depends on the process ID. Connections to it have the source 127.0.0.1, so
// they take none of its ports.
func Address() string {
	ip, port := Next()
	return fmt.Sprintf("%s:%d", ip, port)
}

// Next returns the two parts of an Address.
func Next() (ip string, port int) {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%254, pid>>8&255, pid&255), firstPort + int(issued.Add(1))
}
