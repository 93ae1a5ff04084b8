package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// defaultMaxBodyBytes is the size limit of a request body if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// shortRetryAfter is the Retry-After for causes that may be over almost at once, such as an endpoint that has moved.
	shortRetryAfter = 200 * time.Millisecond
	// longRetryAfter is the Retry-After while the configuration has to be read first: it is missing or incomplete, or
	// can't be confirmed.
	longRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while tokens can't be drawn from the store: most partitions from the store
	// last for several seconds, and callers wait for at most a third of their time.
	storeRetryAfter = 3 * time.Second
)

// Configuration provides the current configuration.
type Configuration interface {
	// Current returns the newest known configuration, or nil if none has been read yet.
	Current() *catalog.Snapshot
	// Confirm makes sure that the newest known configuration is recent, by reading the store again if necessary, and
	// returns it. It fails if the store can't be read.
	Confirm(ctx context.Context) (*catalog.Snapshot, error)
}

// Options contains the dependencies of a Server.
type Options struct {
	Configuration Configuration
	Dialect       Dialect
	Placement     *Placement
	Client        *upstream.Client
	Allowances    *allowance.Accounts
	Retries       *retry.Budget
	// CrashRecords stop requests whose content crashes endpoints. Optional.
	CrashRecords *poison.Registry
	// Origins tell at which version of a service's software a stream began. Without them streams go on at any endpoint.
	Origins *origin.Registry
	// Remote sends requests through other routers. Without it the router only uses its own links.
	Remote Remote
	// OnBroken is called when an endpoint broke an attempt off or gave no answer. Optional.
	OnBroken func()
	// StartOf asks a model engine for its start time as a Unix time in ms, 0 if it doesn't say. Optional.
	StartOf func(ctx context.Context, address string) (int64, error)
	// Identify asks the model engine at the other end of a connection for its start time as a Unix time in ms, 0 if it doesn't say, by
	// calls that send sends on that connection. Optional.
	Identify func(ctx context.Context, endpoint, address string, send upstream.SendFunc) (started int64, err error)
	// Routers returns the number of routers that share the retry budget.
	Routers func() int
	Log     log.Interface
	Metrics *Metrics
	// BufferBytes limits the memory of all responses that are buffered at the same time; 0 means a default.
	BufferBytes int64
	// Memory is the account of what is held for callers; nil means that there is no limit.
	Memory *memory.Account
	// Refusals counts and logs callers that were refused by their limits. Optional.
	Refusals *memory.Refusals
}

// Server is the http.Handler of callers' requests. It is safe for concurrent use.
type Server struct {
	Options
	draining atomic.Bool
	active   atomic.Int64
	buffers  *bufferPool
	crashes  *crashDetector
	// The log lines of served requests and of failed ones have separate rate limits, so that a burst of served requests
	// doesn't suppress the lines of failed ones.
	servedLimiter, unservedLimiter *logging.Limiter
	otherProcessLimiter            *logging.Limiter
	// endLimiter limits the lines on answers that ended with their connection.
	endLimiter *logging.Limiter
}

// Limits of the log lines for requests that were served, for those that were not, and for endpoints that are not as they are listed.
const (
	servedLinesPerSecond       = 50
	unservedLinesPerSecond     = 200
	otherProcessLinesPerSecond = 20
)

// NewServer returns a Server.
func NewServer(o Options) *Server {
	if o.BufferBytes <= 0 {
		o.BufferBytes = defaultBufferBytes
	}
	if o.Memory == nil {
		o.Memory = memory.NewAccount(memory.Limits{})
	}
	if o.Refusals == nil {
		o.Refusals = &memory.Refusals{}
	}
	crashes := &crashDetector{client: o.Client, registry: o.CrashRecords, checks: map[string]*crashCheck{}}
	if o.Remote != nil {
		crashes.linksLost = o.Remote.AwaitCheck
	}
	return &Server{
		Options: o, buffers: &bufferPool{limit: o.BufferBytes},
		crashes:       crashes,
		servedLimiter: logging.NewLimiter(servedLinesPerSecond), unservedLimiter: logging.NewLimiter(unservedLinesPerSecond),
		endLimiter:          logging.NewLimiter(endLinesPerSecond),
		otherProcessLimiter: logging.NewLimiter(otherProcessLinesPerSecond),
	}
}

// Drain makes the server send "Connection: close" with each response from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// exchange is the state of one caller's request in progress.
type exchange struct {
	*Server
	writer    http.ResponseWriter
	request   Request
	route     catalog.Route
	org       *catalog.Organisation
	config    *catalog.Snapshot
	service   catalog.Service
	arrivedAt time.Time
	// deadline is the time by which the response must be complete.
	deadline time.Time

	// unreached is set once the request could not be sent to any of the endpoints that were tried.
	unreached bool
	// refusedProcess is set once an endpoint was reached that must not get the request.
	refusedProcess bool
	// onBehalf is set if another router has sent the request to this one.
	onBehalf bool
	// remoteUnavailable is set once no other router took the request, and throughRouter names the one that did.
	remoteUnavailable bool
	throughRouter     string

	attempts int
	// answerBegun is set once the latest attempt got the header of an answer, and attemptAnswered once it showed that the
	// endpoint can answer the request.
	answerBegun, attemptAnswered bool
	// endsWithConnection is set if the answer of the latest attempt has neither a length nor chunks.
	endsWithConnection bool
	// attemptErr is the error of the latest attempt that got no answer.
	attemptErr error
	// eventsBefore is the number of events that were relayed before the latest attempt.
	eventsBefore int
	// features are set by contentFeatures.
	features []poison.Feature
	// begun is set once the stream has begun, here or at an earlier attempt of the caller. software is the version of the software of the
	// process that sent its first event; if unproven is set, it isn't known and the stream can't be continued.
	begun, unproven bool
	software        string
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// delivered is set once a part of an endpoint's answer was written to the caller.
	delivered bool
	// decision is the most recent choice of an endpoint, nil if there was none.
	decision *route.Decision
	// process is the process that got the latest attempt of a stream at an endpoint that this router has chosen.
	process process
	// headerSent is set once the header of a stream was sent to the caller.
	headerSent bool
	// firstByteAt is the time at which a buffered response or a stream's first event was relayed.
	firstByteAt time.Time
	// sentAt is the start of the latest attempt at an endpoint that this router has chosen.
	sentAt time.Time
	// longestPause is the longest wait for events of the stream after its first one, which ended at pauseEndedAt.
	longestPause  time.Duration
	pauseEndedAt  time.Time
	relayedEvents int
	// lastEvent is the id of the last event that was relayed, or noEvent.
	lastEvent int64
	status    int
	failure   *outcome.Failure
	// chargedTokens is the number of tokens charged to the budget.
	chargedTokens int64
	// bufferedBytes is the number of bytes reserved for buffered responses.
	bufferedBytes int64
	// address is the caller's, invalid for a request of another router.
	address netip.Addr
	// held is what this router holds for the request, nil until it is admitted, and headHeld the part of it that others have counted and
	// give back.
	held     *memory.Holding
	headHeld int64
	// bodyCounted is set if the body is part of headHeld.
	bodyCounted bool
	// bodyUnread is set while a part of the body may be unread, and peerBody is the body that another router has sent.
	bodyUnread bool
	peerBody   []byte
	// eventBytes is the size of the largest incomplete event of a stream that is counted.
	eventBytes int
	// slowCaller is set once the caller took slowWrite to read a part of the answer.
	slowCaller bool
	// incomplete is set if a response that has begun can't be completed.
	incomplete bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	e := &exchange{Server: s, writer: w, arrivedAt: time.Now(), address: callerAddress(r.RemoteAddr), bodyUnread: r.ContentLength != 0}
	CloseAfterChunks(w, r)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer e.release()
	e.serve(r)
	e.recordResult(r.Context())
	if e.incomplete {
		e.abort(r)
	}
}

// CloseAfterChunks makes the server close the connection after a request with a body in chunks. It prevents request smuggling: such a
// request may also carry a Content-Length, and the bytes that follow its body may then be meant as part of it.
func CloseAfterChunks(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}

// callerAddress returns the IP address of a caller, an invalid one if it can't be read.
func callerAddress(remote string) netip.Addr {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// release gives back what is held for the request.
func (e *exchange) release() {
	e.buffers.release(e.bufferedBytes)
	e.bufferedBytes = 0
	e.held.ShrinkTo(e.headHeld)
}

// abort closes the caller's connection without ending the response, so that it doesn't look complete. A response to HTTP/1.0 has no
// chunks and ends with its connection, which is reset.
func (e *exchange) abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		conn, _, err := http.NewResponseController(e.writer).Hijack()
		if err == nil {
			resetConn(conn)
			return
		}
		e.Log.WithField("request", e.request.ID).WithError(err).Warn("caller_not_reset")
	}
	panic(http.ErrAbortHandler)
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // It fails only on a closed connection.
	}
	_ = conn.Close() // It was to be broken off in any case.
}

func (e *exchange) serve(r *http.Request) {
	if failure := e.admit(r); failure != nil {
		e.held.ShrinkTo(e.headHeld) // The body is dropped, and others may wait for the room.
		e.recordRefusal(failure)
		if e.bodyUnread {
			e.refuseUnread(r, failure)
			return
		}
		e.refuse(failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	if failure := e.checkContent(); failure != nil {
		e.refuse(failure)
		return
	}
	if failure := e.findOrigin(ctx); failure != nil {
		e.refuse(failure)
		return
	}
	reserved, failure := e.reserve(ctx)
	if failure != nil {
		e.refuse(failure)
		return
	}
	if !e.needsRemote() {
		e.Retries.RecordRequest(e.service.Name, time.Now()) // Otherwise the router that sends it counts it.
	}
	e.forwardReserved(ctx, reserved)
	if e.failure != nil && !e.incomplete {
		e.refuse(e.failure)
	}
}

// forwardReserved forwards the request and charges what it has used of the reserved tokens, also if forwarding panics.
func (e *exchange) forwardReserved(ctx context.Context, reserved int64) {
	if reserved > 0 {
		defer func() {
			e.chargedTokens = e.usedTokens(reserved)
			e.Allowances.Settle(e.org.Name, reserved, e.chargedTokens)
		}()
	}
	e.forward(ctx)
}

// admit finds the request's route, organisation and service, and sets its deadline. Then it reads the body: a request that won't be
// served takes no memory for one.
func (e *exchange) admit(r *http.Request) *outcome.Failure {
	var err error
	if e.request, err = e.Dialect.Decode(r); err != nil {
		return outcome.NotRunf(outcome.ReasonBadRequest, 0, "%v", err)
	}
	e.config = e.Configuration.Current()
	if e.config == nil {
		return outcome.NotRunf(outcome.ReasonNotConfigured, longRetryAfter, "no configuration has been read yet")
	}
	if limit := e.config.Limits.MaxHeaderBytes; limit > 0 && headBytes(r) > limit {
		return outcome.NotRunf(outcome.ReasonHeadTooLarge, 0, "the head is larger than %d bytes", limit)
	}
	failure := e.authorise()
	if failure != nil {
		// The route or key may be newer than this router's configuration.
		confirmed, err := e.Configuration.Confirm(r.Context())
		if err != nil {
			return outcome.NotRunf(outcome.ReasonNotConfigured, longRetryAfter, "the configuration can't be confirmed: %v", err)
		}
		e.config = confirmed
		if failure = e.authorise(); failure != nil {
			return failure
		}
	}
	if e.route.Streaming && e.request.LastEvent != "" && e.request.lastEventID() == noEvent {
		return outcome.NotRunf(outcome.ReasonBadRequest, 0, "the id of the last event is not a number")
	}
	name := e.route.Pick(e.request.backendSample())
	service, ok := e.config.Service(name)
	if !ok {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, longRetryAfter, "service %q is not configured", name)
	}
	e.service = service
	limit := e.route.Timeout
	if e.request.TimeLeft > 0 {
		limit = min(limit, e.request.TimeLeft)
	}
	e.deadline = e.arrivedAt.Add(timeAtRouter(limit, e.Client.LinkDelay()))
	if err := e.openHolding(r); err != nil {
		return outcome.NotRunf(outcome.ReasonNoMemory, shortRetryAfter, "no memory is left for the head")
	}
	return e.receiveBody(r)
}

// openHolding finds what is held for the request, in which its connection has counted the head, and counts it against the share of the
// organisation.
func (e *exchange) openHolding(r *http.Request) error {
	if h := memory.FromContext(r.Context()); h != nil {
		e.held, e.bodyCounted = h, true
	} else if counted, ok := Conn(r.Context()).(interface{ Held() *memory.Holding }); ok {
		e.held = counted.Held()
	} else {
		e.held = e.Memory.Open(e.address, "")
	}
	e.headHeld = e.held.Size()
	if e.org == nil {
		return nil
	}
	return e.held.Assign(e.org.Name)
}

// authorise finds the route and organisation of the request and checks its key.
func (e *exchange) authorise() *outcome.Failure {
	route, ok := e.config.Match(e.request.Host, e.request.Path)
	if !ok {
		return outcome.NotRunf(outcome.ReasonNotFound, 0, "no route for the host and path")
	}
	e.route, e.org = route, nil
	if org, ok := e.config.ByKey(e.request.Key); ok {
		e.org = org
	}
	if e.org == nil && !route.Public && e.config.KeysRequired() {
		return outcome.NotRunf(outcome.ReasonUnauthorized, 0, "the key is unknown")
	}
	return nil
}

// reserve reserves the largest number of tokens that the request can use from the organisation's budget. It returns 0
// if the request isn't subject to a budget.
func (e *exchange) reserve(ctx context.Context) (int64, *outcome.Failure) {
	if e.org == nil || !e.org.Limited || e.request.Prompt == nil {
		return 0, nil
	}
	maxTokens := e.request.Prompt.maxTokens()
	switch e.Allowances.Reserve(ctx, e.org.Name, e.org.Prepaid, maxTokens) {
	case allowance.Granted:
		return maxTokens, nil
	case allowance.Exhausted:
		return 0, outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "the remaining budget does not cover %d tokens", maxTokens)
	}
	return 0, outcome.NotRunf(outcome.ReasonGrantUnavailable, storeRetryAfter, "the budget can't be drawn on now")
}

// usedTokens returns how many of the reserved tokens the request has used: none if nothing of an answer was delivered,
// because the organisation got nothing for them, otherwise its prompt, once however many endpoints ran it, and the output
// that was delivered.
func (e *exchange) usedTokens(reserved int64) int64 {
	if !e.delivered {
		return 0
	}
	return min(reserved, e.request.Prompt.Tokens+int64(e.relayedEvents*max(1, e.service.TokensPerEvent)))
}

// refuse writes a failure of the router itself, as opposed to an endpoint's error response.
func (e *exchange) refuse(f *outcome.Failure) {
	e.failure, e.status = f, f.Status()
	h := e.writer.Header()
	h.Set("Content-Type", "application/json")
	if e.request.ID != "" {
		h.Set(e.Dialect.IDHeader(), e.request.ID)
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := f.Encode(e.request.ID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(e.status)
	_, _ = e.writer.Write(body) // An error means that the caller has disconnected; the request ends here in either case.
}

// recordRefusal counts a refusal for what the caller sends, and logs one for an address in a period.
func (e *exchange) recordRefusal(f *outcome.Failure) {
	switch f.Reason {
	case outcome.ReasonNoMemory, outcome.ReasonBodyLate, outcome.ReasonTooLarge, outcome.ReasonHeadTooLarge:
	default:
		return
	}
	count, ok := e.Refusals.Record(e.address, string(f.Reason), time.Now())
	if ok {
		used := e.Memory.Stats()
		e.Log.WithFields(log.Fields{
			"caller": e.address.String(), "reason": string(f.Reason), "refusals": count, "used": used.Used, "limit": used.Total,
		}).Warn("caller_refused")
	}
}

// recordResult writes the request's log line and metrics.
func (e *exchange) recordResult(ctx context.Context) {
	now := time.Now()
	result := "done"
	switch {
	case e.failure != nil:
		result = string(e.failure.Outcome)
	case e.incomplete:
		result = "broken"
	case e.status >= 500:
		result = "endpoint_error"
	}
	callerDisconnected := errors.Is(ctx.Err(), context.Canceled)
	if callerDisconnected && result != "done" {
		result = "caller_gone"
	}
	e.Metrics.recordRequest(result, now.Sub(e.arrivedAt), e.firstByteAt.Sub(e.arrivedAt), !e.firstByteAt.IsZero())
	limiter := e.unservedLimiter
	if result == "done" {
		limiter = e.servedLimiter
	}
	skipped, ok := limiter.Allow(now)
	if !ok {
		return
	}
	fields := log.Fields{
		"request": e.request.ID, "route": e.route.Name, "service": e.service.Name, "endpoint": "", "status": e.status,
		"result": result, "attempts": e.attempts, "sent": e.mayHaveRun, "events": e.relayedEvents, "total_ms": now.Sub(e.arrivedAt).Milliseconds(),
	}
	if skipped > 0 {
		fields["lines_left_out"] = skipped
	}
	if e.decision != nil {
		fields["endpoint"], fields["software"] = e.decision.Chosen, e.decision.Software
		if vm, reason, ok := e.decision.PassedOver(); ok {
			fields["passed_over"], fields["passed_over_for"] = vm, string(reason)
		}
		fields["candidates"], fields["choice"], fields["cached"] = e.decision.Candidates, string(e.decision.Reason), e.decision.Cached()
	}
	e.addProcessFields(fields)
	if e.throughRouter != "" {
		fields["through_router"] = e.throughRouter
	}
	if e.onBehalf {
		fields["for_router"] = true
	}
	if e.relayedEvents > 0 {
		fields["last_event"] = e.lastEvent
	}
	if e.endsWithConnection {
		fields["ends_with_connection"] = true
	}
	if e.request.LastEvent != "" {
		fields["began_as"], fields["after"] = e.request.BeganAs, e.request.LastEvent
	}
	if e.config != nil {
		fields["config"] = e.config.Version
	}
	if e.org != nil {
		fields["organisation"] = e.org.Name
	}
	if homes := e.homes(); homes.Restricted {
		fields["homes"] = homes.Regions
	}
	if p := e.request.Prompt; p != nil {
		fields["tokens"], fields["spent"] = p.maxTokens(), e.chargedTokens
		fields["prompt_tokens"], fields["parts"], fields["part_ends"] = p.Tokens, p.loggedPartIDs(), p.loggedPartEnds()
	}
	if e.route.Streaming {
		fields["aim_ms"], fields["pause_aim_ms"] = e.route.Objective.Milliseconds(), e.route.PauseObjective.Milliseconds()
	}
	if !e.sentAt.IsZero() {
		fields["sent_ms"] = e.sentAt.Sub(e.arrivedAt).Milliseconds()
	}
	if e.longestPause > 0 {
		fields["pause_ms"], fields["pause_ended_ms"] = e.longestPause.Milliseconds(), e.pauseEndedAt.Sub(e.arrivedAt).Milliseconds()
	}
	if !e.firstByteAt.IsZero() {
		fields["first_ms"] = e.firstByteAt.Sub(e.arrivedAt).Milliseconds()
	}
	if e.failure != nil {
		fields["reason"], fields["cause"] = string(e.failure.Reason), e.failure.Message
	}
	e.Log.WithFields(fields).Info("request_" + result)
}
