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
	// UnackedTimeout is the time without an acknowledgement after which a connection to a router or to the store is closed, such
	// as during a network partition.
	UnackedTimeout = 2 * time.Second
	// EndpointUnackedTimeout is that time for connections to endpoints. A sound endpoint may fall silent for up to
	// toleratedSilence; the kernel counts from the last packet before, which may be keepAliveIdle old.
	EndpointUnackedTimeout = keepAliveIdle + toleratedSilence + keepAliveInterval/2
	toleratedSilence       = 2 * time.Second
	// The keep-alive probes detect an unreachable peer. With TCP_USER_TIMEOUT their number doesn't matter: the connection fails at
	// the first probe that is due after the timeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections fail after the peer has acknowledged nothing for the time given, or at the next
// keep-alive probe. timeout bounds a connection attempt.
func Dialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
