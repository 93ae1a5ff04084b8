package entry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/forward"
	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

const (
	// connCheckInterval is the time between two checks of the callers' connections.
	connCheckInterval = 250 * time.Millisecond
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// callerDescriptorShare is the share of the other descriptors that connections of callers may use. The rest is for endpoints, the
	// store, other routers and readiness checks.
	callerDescriptorShare = 0.75
	// endpointDescriptorShare is the share of them that connections to endpoints may use.
	endpointDescriptorShare = 0.15
	// roomShare is the share of the largest number of connections that is made free at a time, so that a router at that number doesn't
	// sort its connections for each new one.
	roomShare = 1.0 / 32
	// connBytes is what an idle connection of a caller takes: two buffers of net/http, its goroutine's stack and the socket.
	connBytes = 20 << 10
	// connMemoryShare is the share of the process's memory that connections of callers may take.
	connMemoryShare = 0.35
	// bufferedHeadBytes is the part of a head that fits into the buffer of its connection. What exceeds it is counted in the account.
	bufferedHeadBytes = 4 << 10
	// writeStall is how long a caller may take to read writeBytes of an answer. It then gets at least 1.6 kB a second, and a stream that
	// its caller doesn't read ends.
	writeStall = 10 * time.Second
	writeBytes = 16 << 10
	// What the kernel may hold for a connection of a caller in each direction: socketBufferShare of the process's memory within these
	// limits. The kernel takes twice as much with its own data.
	socketBufferShare = 1.0 / 2048
	minSocketBuffer   = 32 << 10
	maxSocketBuffer   = 256 << 10
	// fullLinesPerSecond limits the log lines of a router at the largest number of connections.
	fullLinesPerSecond = 1
)

// maxCallerConns returns the number of callers' connections that a process with the number of descriptors and so much memory in bytes
// may hold, 0 if it has no limit. A limit of 0 doesn't apply.
func maxCallerConns(descriptors int, memoryBytes int64) int {
	most := 0
	if descriptors > 0 {
		most = max(1, int(callerDescriptorShare*float64(descriptors-fileDescriptors)))
	}
	if memoryBytes > 0 {
		byMemory := max(1, int(connMemoryShare*float64(memoryBytes)/connBytes))
		most = min(cmp.Or(most, byMemory), byMemory)
	}
	return most
}

// maxQuestionConns returns the number of connections for address lookups and readiness checks: a quarter of those of callers, which
// open one for some seconds of use.
func maxQuestionConns(descriptors int, memoryBytes int64) int {
	const share = 4
	if most := maxCallerConns(descriptors, memoryBytes); most > 0 {
		return max(1, most/share)
	}
	return 0
}

// socketBuffer returns the size in bytes of each buffer that the kernel has for a caller's connection, 0 for its own choice.
func socketBuffer(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return 0
	}
	return min(maxSocketBuffer, max(minSocketBuffer, int(socketBufferShare*float64(memoryBytes))))
}

// maxEndpointConns returns the number of connections to endpoints that a process with the number of descriptors may hold, 0 if it has
// no limit.
func maxEndpointConns(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(endpointDescriptorShare*float64(descriptors-fileDescriptors)))
}

// connShare returns how many of the connections that an endpoint accepts from all routers this one may have, 0 for no limit. Each of the
// routers has at least one, or a large fleet would send nothing.
func connShare(most, routers int) int {
	if most <= 0 {
		return 0
	}
	return max(1, most/max(1, routers))
}

// connPhase is what a connection of a caller is waiting for.
type connPhase int

const (
	// connNew means that the head of the first request has not arrived.
	connNew connPhase = iota
	// connIdle means that no request is in progress.
	connIdle
	// connHead means that the head of a later request has begun to arrive.
	connHead
	// connActive means that a request is in progress.
	connActive
)

// connState is the phase of a connection and the time at which it began.
type connState struct {
	phase connPhase
	since time.Time
	// ended is set once the router has ended the connection.
	ended bool
}

// isOverdue reports whether a connection has waited for longer than the limits allow. For a limit of 0 readHeaderTimeout or idleTimeout
// applies.
func (s connState) isOverdue(now time.Time, l catalog.Limits) bool {
	switch s.phase {
	case connNew, connHead:
		return now.Sub(s.since) > cmp.Or(l.HeaderTimeout, readHeaderTimeout)
	case connIdle:
		return now.Sub(s.since) > cmp.Or(l.IdleTimeout, idleTimeout)
	}
	return false
}

// longestIdle returns up to n idle connections, those first that have been idle for longest.
func longestIdle(conns map[net.Conn]*connState, n int) []net.Conn {
	var idle []net.Conn
	for c, s := range conns {
		if s.phase == connIdle && !s.ended {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return cmp.Compare(conns[a].since.UnixNano(), conns[b].since.UnixNano()) })
	return idle[:min(n, len(idle))]
}

// callerConns ends callers' connections that have been idle, or without a request's head, for longer than the configuration allows, and
// those idle for longest while there are too many. It is safe for concurrent use.
//
// It answers the loss of most routers: the callers of all come to the last one, each keeps its connection, and the descriptors run
// out while the router has little to do. A connection with a request in progress is never ended.
type callerConns struct {
	// limits returns the limits of the newest configuration.
	limits func() catalog.Limits
	// max is the largest number of connections, 0 for no limit.
	max int
	log log.Interface
	// full limits the log lines of makeRoom.
	full *logging.Limiter
	// account counts the heads that don't fit into their connection's buffer, and refusals those of which it had no room. socketBuffer is
	// the size of the kernel's buffers, 0 for its own choice.
	account      *memory.Account
	refusals     *memory.Refusals
	socketBuffer int

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

func newCallerConns(limits func() catalog.Limits, most int, logger log.Interface) *callerConns {
	return &callerConns{
		limits: limits, max: most, log: logger, full: logging.NewLimiter(fullLinesPerSecond), conns: map[net.Conn]*connState{},
		account: memory.NewAccount(memory.Limits{}), refusals: &memory.Refusals{},
	}
}

// attach makes c limit the connections of the server, whose listener must be one of listen. The server's own limits are fixed and are
// switched off.
func (c *callerConns) attach(s *http.Server) {
	s.ConnState, s.IdleTimeout, s.ReadHeaderTimeout = c.Observe, -1, -1
	s.ConnContext = forward.WithConn
}

// listen returns a listener whose connections tell c when the head of a later request begins.
func (c *callerConns) listen(l net.Listener) net.Listener { return headListener{l, c} }

type headListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if n := l.conns.socketBuffer; n > 0 {
		setBuffers(accepted, n)
	}
	h := &headConn{Conn: accepted, conns: l.conns, held: l.conns.account.Open(addressOf(accepted), "")}
	h.inHead.Store(true)
	return h, nil
}

// addressOf returns the IP address of the other end, an invalid one if it has none.
func addressOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// headConn is a connection that tells when the head of a later request begins, counts heads in the account, and fails writes that the
// caller doesn't read.
type headConn struct {
	net.Conn
	conns *callerConns
	// idle is set while no byte of the next request has been read. It spares a lock for most reads.
	idle atomic.Bool
	// inHead is set while a head is read, headBytes is what has come of it, and held is what of that is in the account.
	inHead    atomic.Bool
	headBytes atomic.Int64
	held      *memory.Holding
}

// errHeadRefused ends a connection for whose head there is no memory. The server has read no request from it.
var errHeadRefused = errors.New("entry: no memory is left for the head of a request")

// Read implements net.Conn.
func (h *headConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 && h.idle.CompareAndSwap(true, false) {
		h.conns.beginHead(h)
	}
	if n > 0 && h.inHead.Load() && h.headBytes.Add(int64(n)) > bufferedHeadBytes {
		if full := h.held.Grow(int64(n)); full != nil {
			h.conns.recordRefusal(addressOf(h.Conn), full)
			return 0, &net.OpError{Op: "read", Err: errHeadRefused} // After any other error the server answers with 400.
		}
	}
	return n, err
}

// Write implements net.Conn. It writes in parts, each of which the caller has writeStall to take.
func (h *headConn) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(len(p), written+writeBytes)]
		if err := h.Conn.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
			return written, err
		}
		n, err := h.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			h.conns.recordRefusal(addressOf(h.Conn), errNotRead)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// errNotRead is the cause of the end of a connection whose caller reads nothing.
var errNotRead = errors.New("entry: the caller doesn't read the answer")

// setHead records whether a head is read now. The memory of a head is given back after its request.
func (h *headConn) setHead(state http.ConnState) {
	switch state {
	case http.StateActive:
		h.inHead.Store(false)
	case http.StateIdle:
		if h.headBytes.Swap(0) > bufferedHeadBytes {
			h.held.Close()
		}
		h.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		h.held.Close()
	}
}

// recordRefusal counts a connection that is ended for what its caller does, and logs one for an address in a period.
func (c *callerConns) recordRefusal(address netip.Addr, cause error) {
	reason := "head_memory_full"
	if errors.Is(cause, errNotRead) {
		reason = "answer_not_read"
	}
	if count, ok := c.refusals.Record(address, reason, time.Now()); ok {
		used := c.account.Stats()
		c.log.WithFields(log.Fields{"caller": address.String(), "reason": reason, "refusals": count, "used": used.Used, "limit": used.Total}).
			WithError(cause).Warn("caller_refused")
	}
}

// SetLinger sets what Close does with unsent bytes, as net.TCPConn does.
func (h *headConn) SetLinger(seconds int) error { return setLinger(h.Conn, seconds) }

// CloseWrite ends what is sent to the caller, as net.TCPConn does.
func (h *headConn) CloseWrite() error { return closeWrite(h.Conn) }

// beginHead records the first bytes of a later request's head.
func (c *callerConns) beginHead(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.conns[conn]; s != nil && s.phase == connIdle {
		s.phase, s.since = connHead, time.Now()
		c.keep(conn, s)
	}
}

// Observe is the ConnState hook of the callers' server.
func (c *callerConns) Observe(conn net.Conn, state http.ConnState) {
	if h, ok := conn.(*headConn); ok {
		h.setHead(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		c.conns[conn] = &connState{phase: connNew, since: now}
		c.makeRoom(conn)
	case http.StateIdle:
		if s := c.conns[conn]; s != nil {
			s.phase, s.since = connIdle, now
			if h, ok := conn.(*headConn); ok {
				h.idle.Store(true)
			}
		}
	case http.StateActive:
		if s := c.conns[conn]; s != nil {
			s.phase, s.since = connActive, now
			c.keep(conn, s)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// makeRoom ends some of the connections that have been idle for longest if the new one is one too many, or the new one if no other is
// idle. c.mu must be held.
func (c *callerConns) makeRoom(added net.Conn) {
	if c.max == 0 || c.open() <= c.max {
		return
	}
	idle := longestIdle(c.conns, max(1, int(roomShare*float64(c.max))))
	for _, conn := range idle {
		c.end(conn)
	}
	if len(idle) == 0 {
		c.conns[added].ended = true
		_ = added.Close() // Nothing was read from it. The server sets its deadline anew, so that end has no effect yet.
	}
	if skipped, ok := c.full.Allow(time.Now()); ok {
		c.log.WithFields(log.Fields{"ended": len(idle), "max": c.max, "refused": len(idle) == 0, "lines_left_out": skipped}).Info("caller_connections_full")
	}
}

// open returns the number of connections that have not been ended. c.mu must be held.
func (c *callerConns) open() int {
	n := 0
	for _, s := range c.conns {
		if !s.ended {
			n++
		}
	}
	return n
}

// end makes the server close the connection unless a request arrives first. c.mu must be held.
func (c *callerConns) end(conn net.Conn) {
	c.conns[conn].ended = true
	_ = conn.SetReadDeadline(time.Now()) // On an error the connection is closed already.
}

// keep takes the end of a connection back, because a request came as it was ended. c.mu must be held.
func (c *callerConns) keep(conn net.Conn, s *connState) {
	if s.ended {
		s.ended = false
		_ = conn.SetReadDeadline(time.Time{}) // A closed connection fails the request anyway.
	}
}

// isFull reports whether another connection would be ended at once.
func (c *callerConns) isFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.max > 0 && c.open() >= c.max && len(longestIdle(c.conns, 1)) == 0
}

// run checks the connections until ctx ends.
func (c *callerConns) run(ctx context.Context) {
	for sleep.For(ctx, connCheckInterval) {
		if ended, open := c.check(time.Now()); ended > 0 {
			c.log.WithFields(log.Fields{"ended": ended, "open": open, "max": c.max}).Info("caller_connections_ended")
		}
	}
}

// check ends the connections that are overdue, and returns their number and that of all others. It ends those again that are still open
// after they were ended: the server sets the deadline of a connection that becomes idle after the hook.
func (c *callerConns) check(now time.Time) (ended, open int) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if !s.ended && !s.isOverdue(now, limits) {
			continue
		}
		if !s.ended {
			ended++
		}
		c.end(conn)
	}
	return ended, c.open()
}
