package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
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
	// callerDescriptorShare is the share of the other descriptors that connections of callers may use.
	callerDescriptorShare = 0.6
	// endpointDescriptorShare is the share of them that connections to endpoints may use, lookupDescriptorShare that of connections for
	// address lookups, checkDescriptorShare that of those for readiness checks and reads of the metrics, and peerDescriptorShare that of
	// connections of other routers. What is left is for connections to other routers and to the store.
	endpointDescriptorShare = 0.15
	lookupDescriptorShare   = 0.035
	checkDescriptorShare    = 0.015
	peerDescriptorShare     = 0.1
	// leastQuestionConns is the least number of connections for questions.
	leastQuestionConns = 8
	// roomShare is the share of the largest number of connections that is made free at a time, so that a router at that number doesn't
	// sort its connections for each new one.
	roomShare = 1.0 / 32
	// connBytes is what an idle connection of a caller takes: two buffers of net/http, its goroutine's stack and the socket.
	connBytes = 20 << 10
	// connMemoryShare is the share of the process's memory that connections of callers may take. The account bounds them besides, together
	// with the requests.
	connMemoryShare = 0.35
	// peerConnBytes is what a connection of another router takes besides its calls, and peerMemoryShare the share of the process's memory
	// that all may take.
	peerConnBytes   = 48 << 10
	peerMemoryShare = 0.15
	// peerSocketBuffer is the least size of the kernel's buffers of such a connection: lists of all objects pass through it.
	peerSocketBuffer = 32 << 10
	// What the kernel may hold for a connection in each direction: socketBufferShare of the process's memory, divided by the number of
	// connections, within these limits. The kernel takes twice as much with its own data.
	socketBufferShare = 0.02
	minSocketBuffer   = 8 << 10
	maxSocketBuffer   = 256 << 10
	// fewConns is the number of connections up to which their buffers don't become smaller.
	fewConns = 16
	// endpointBufferShare is the share of the process's memory that the kernel may hold for all connections to endpoints in one direction.
	endpointBufferShare     = 0.1
	minEndpointSocketBuffer = 32 << 10
	// fullLinesPerSecond limits the log lines of a router at the largest number of connections.
	fullLinesPerSecond = 1
)

// maxCallerConns returns the number of callers' connections that a process with the number of descriptors and so much memory in bytes
// may hold, 0 if it has no limit. A limit of 0 doesn't apply.
func maxCallerConns(descriptors int, memoryBytes int64) int {
	byMemory := 0
	if memoryBytes > 0 {
		byMemory = max(1, int(connMemoryShare*float64(memoryBytes)/connBytes))
	}
	return leastLimit(byMemory, descriptorLimit(callerDescriptorShare, descriptors))
}

// maxQuestionConns returns the number of connections for questions of a kind that have the share of the descriptors, 0 for no limit: at
// most a quarter of those of callers, which open one for some seconds of use.
func maxQuestionConns(share float64, descriptors int, memoryBytes int64) int {
	const callerShare = 4
	most := leastLimit(maxCallerConns(descriptors, memoryBytes)/callerShare, descriptorLimit(share, descriptors))
	if most == 0 {
		return 0
	}
	return max(leastQuestionConns, most)
}

// maxPeerConns returns the number of connections of other routers, 0 for no limit.
func maxPeerConns(descriptors int, memoryBytes int64) int {
	most := 0
	if memoryBytes > 0 {
		most = max(1, int(peerMemoryShare*float64(memoryBytes)/peerConnBytes))
	}
	return leastLimit(most, descriptorLimit(peerDescriptorShare, descriptors))
}

// descriptorLimit returns the share of the descriptors that aren't reserved for files, at least 1; 0 if there is no limit.
func descriptorLimit(share float64, descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(share*float64(descriptors-fileDescriptors)))
}

// leastLimit returns the lower of two limits, of which 0 doesn't apply.
func leastLimit(a, b int) int { return min(cmp.Or(a, b), cmp.Or(b, a)) }

// socketBuffer returns the size in bytes of each buffer that the kernel has for a connection when so many are open, at least the one
// given, 0 for its own choice.
func socketBuffer(memoryBytes int64, open, least int) int {
	if memoryBytes <= 0 {
		return 0
	}
	return min(maxSocketBuffer, max(least, int(socketBufferShare*float64(memoryBytes))/max(fewConns, open)))
}

// endpointSocketBuffer does the same for each of the connections to endpoints, of which there are up to most.
func endpointSocketBuffer(memoryBytes int64, most int) int {
	if memoryBytes <= 0 || most <= 0 {
		return 0
	}
	return min(maxSocketBuffer, max(minEndpointSocketBuffer, int(endpointBufferShare*float64(memoryBytes))/most))
}

// maxEndpointConns returns the number of connections to endpoints that a process with the number of descriptors may hold, 0 if it has
// no limit.
func maxEndpointConns(descriptors int) int {
	return descriptorLimit(endpointDescriptorShare, descriptors)
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
	// account counts requests and connections, and refusals those for which it had no room. processBytes is the memory of the process,
	// 0 for no limit, and leastBuffer the least size of the kernel's buffers.
	account      *memory.Account
	refusals     *memory.Refusals
	processBytes int64
	leastBuffer  int
	// connBytes is what a connection takes besides its requests. unframed is set if its requests are counted elsewhere.
	connBytes int64
	unframed  bool

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

func newCallerConns(limits func() catalog.Limits, most int, logger log.Interface) *callerConns {
	return &callerConns{
		limits: limits, max: most, log: logger, full: logging.NewLimiter(fullLinesPerSecond), conns: map[net.Conn]*connState{},
		account: memory.NewAccount(memory.Limits{}), refusals: &memory.Refusals{}, connBytes: connBytes, leastBuffer: minSocketBuffer,
	}
}

// attach makes c limit the connections of the server, whose listener must be one of listen. The server's own limits are fixed and are
// switched off.
func (c *callerConns) attach(s *http.Server) {
	s.ConnState, s.IdleTimeout, s.ReadHeaderTimeout = c.Observe, -1, -1
	s.ConnContext = forward.WithConn
	s.Handler = framedHandler{s.Handler}
}

// recordRefusal counts a connection that is ended for what its caller does, and logs one for an address in a period.
func (c *callerConns) recordRefusal(address netip.Addr, cause error) {
	reason := refusalReason(cause)
	if count, ok := c.refusals.Record(address, reason, time.Now()); ok {
		used := c.account.Stats()
		c.log.WithFields(log.Fields{"caller": address.String(), "reason": reason, "refusals": count, "used": used.Used, "limit": used.Total}).
			WithError(cause).Warn("caller_refused")
	}
}

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
	if counted, ok := conn.(interface{ setState(http.ConnState) }); ok {
		counted.setState(state)
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

// endIdle ends some of the connections that have been idle for longest, so that others can be accepted.
func (c *callerConns) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range longestIdle(c.conns, max(1, int(roomShare*float64(len(c.conns))))) {
		c.end(conn)
	}
}

// acceptedBuffer returns the size of the kernel's receive buffer for a connection until it has been accepted, 0 for its own choice.
func (c *callerConns) acceptedBuffer() int {
	if c.processBytes <= 0 {
		return 0
	}
	return c.leastBuffer
}

// bufferSize returns the size of the kernel's buffers for another connection, 0 for its own choice.
func (c *callerConns) bufferSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return socketBuffer(c.processBytes, len(c.conns), c.leastBuffer)
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
	atLimit := c.max > 0 && c.open() >= c.max || !c.account.HasRoomForConnection(c.connBytes)
	return atLimit && len(longestIdle(c.conns, 1)) == 0
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
