// Package upstream sends requests to endpoints over its own pool of HTTP/1.1 connections.
//
// The connections are the package's own, rather than those of net/http's Transport, for three reasons: a request is
// never repeated behind the caller's back, a response that belongs to an earlier request is recognised by its id and
// skipped, and the caller learns whether anything was sent.
package upstream

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which the syscall package does not name.
	tcpUserTimeout = 0x12
	// unackedTimeout closes a connection whose peer acknowledges nothing, such as one behind a partition.
	unackedTimeout = 2 * time.Second
	// The keep-alive probes find a connection that went silent within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections fail within about 3 s when the peer can't be reached any more.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
