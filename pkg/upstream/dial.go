// Package upstream sends requests to endpoints over its own pool of HTTP/1.1 connections.
//
// It does not use the Transport of net/http, for three reasons: a request is never repeated automatically, a response to
// an earlier request is recognised by its id and skipped, and an error states whether anything was sent.
package upstream

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, for which package syscall has no constant.
	tcpUserTimeoutOption = 0x12
	// unackedTimeout is the time without an acknowledgement of sent data after which a connection is closed, such as during
	// a network partition.
	unackedTimeout = 2 * time.Second
	// The keep-alive probes detect an unreachable peer within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections fail within about 3 s after the peer has become unreachable. timeout bounds a
// connection attempt.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
