package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
)

const (
	// linkCheckInterval is the time between two checks of the link.
	linkCheckInterval = 100 * time.Millisecond
	// Connections are refused for minRefusal first, and for twice as long, up to maxRefusal, if the link is full again within
	// calmTime. acceptTime is the least time between two refusals.
	minRefusal = 200 * time.Millisecond
	maxRefusal = 1600 * time.Millisecond
	acceptTime = 200 * time.Millisecond
	calmTime   = time.Second
)

// callerListener accepts callers' connections and measures their use of the VM's link. While the link is full it closes
// its port for short times.
//
// It answers a caller that sends more than the link carries and keeps the VM's address whatever address answers say. A
// refused connection costs next to nothing, while a request that is rejected comes back with its body.
type callerListener struct {
	addr  net.Addr
	meter *linkMeter
	// delay estimates how long packets wait in the link.
	delay func() time.Duration
	log   log.Interface
	// receiveBuffer is that of listenTCP.
	receiveBuffer int

	mu sync.Mutex
	// current is the open listener, and reopened is closed when there is another one or none any more.
	current  net.Listener
	reopened chan struct{}
	closed   bool
}

func newCallerListener(l net.Listener, meter *linkMeter, delay func() time.Duration, logger log.Interface) *callerListener {
	return &callerListener{addr: l.Addr(), meter: meter, delay: delay, log: logger, current: l, reopened: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		current, reopened, closed := l.current, l.reopened, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if current == nil {
			<-reopened
			continue
		}
		c, err := current.Accept()
		if err == nil {
			return &callerConn{Conn: c, meter: l.meter}, nil
		}
		l.mu.Lock()
		paused := l.current != current
		l.mu.Unlock()
		if !paused {
			return nil, err
		}
	}
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current
	l.replace(nil)
	l.closed = true
	if current == nil {
		return nil
	}
	return current.Close()
}

// Addr implements net.Listener.
func (l *callerListener) Addr() net.Addr { return l.addr }

// replace sets the open listener and wakes Accept. l.mu must be held.
func (l *callerListener) replace(next net.Listener) {
	if l.closed {
		return
	}
	l.current = next
	close(l.reopened)
	l.reopened = make(chan struct{})
}

// run refuses connections while the link is full, until ctx ends.
func (l *callerListener) run(ctx context.Context) {
	var refusal time.Duration
	var acceptedSince time.Time
	for sleep.For(ctx, linkCheckInterval) {
		delay := l.delay()
		if !l.meter.isFull(time.Now(), delay) {
			continue
		}
		refusal = nextRefusal(refusal, time.Since(acceptedSince))
		l.log.WithFields(log.Fields{"delay_ms": delay.Milliseconds(), "refused_for_ms": refusal.Milliseconds()}).Warn("link_full")
		l.mu.Lock()
		current := l.current
		l.replace(nil)
		l.mu.Unlock()
		if current == nil {
			return
		}
		_ = current.Close() // Accept returns its error and waits.
		sleep.For(ctx, refusal)
		if err := l.reopen(); err != nil {
			l.log.WithError(err).Error("listen_failed")
			return
		}
		acceptedSince = time.Now()
		sleep.For(ctx, acceptTime)
	}
}

// nextRefusal returns how long to refuse connections after the last refusal and the time since then.
func nextRefusal(last, accepted time.Duration) time.Duration {
	if last == 0 || accepted > calmTime {
		return minRefusal
	}
	return min(2*last, maxRefusal)
}

func (l *callerListener) reopen() error {
	next, err := listenTCP(l.addr.String(), l.receiveBuffer)
	if err != nil {
		return fmt.Errorf("entry: listen on %s again: %w", l.addr, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return next.Close()
	}
	l.replace(next)
	return nil
}

// callerConn is a caller's connection whose bytes are measured.
type callerConn struct {
	net.Conn
	meter *linkMeter
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.meter.record(time.Now(), n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.meter.record(time.Now(), n)
	}
	return n, err
}

// SetLinger sets what Close does with unsent bytes, as net.TCPConn does: with 0 seconds it resets the connection.
func (c *callerConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// CloseWrite ends what is sent to the caller, as net.TCPConn does.
func (c *callerConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWrite calls the method of the connection if it has one.
func closeWrite(c net.Conn) error {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// setLinger calls the method of the connection if it has one.
func setLinger(c net.Conn, seconds int) error {
	tcp, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// listenTCP listens on the address. If receiveBuffer isn't 0, it is the size in bytes of the kernel's buffer for what a connection has
// received: a caller may fill that of the kernel's own choice before the connection is accepted and gets another one.
func listenTCP(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // Without it the kernel's choice stays.
			})
		}
	}
	return config.Listen(context.Background(), "tcp4", address)
}

type dialContext func(ctx context.Context, network, address string) (net.Conn, error)

// withBuffers returns a dialer whose connections have kernel buffers of the size. Callers that send large bodies to slow endpoints, or
// don't read answers, would otherwise make the kernel hold megabytes for each.
func withBuffers(dial dialContext, n int) dialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			setBuffers(c, n)
		}
		return c, err
	}
}

// setBuffers sets the size of the kernel's buffers of a connection if it has any.
func setBuffers(c net.Conn, n int) {
	if metered, ok := c.(*callerConn); ok {
		c = metered.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(n) // Both fail on a closed connection only, whose first read fails too.
		_ = tcp.SetWriteBuffer(n)
	}
}
