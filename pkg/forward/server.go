package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/allowance"
	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/logging"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

const (
	// defaultMaxBody bounds a body while the configuration states no limit.
	defaultMaxBody = 4 << 20
	// shortRetry is the advice when a cause can be gone at once, such as a moved endpoint.
	shortRetry = 200 * time.Millisecond
	// longRetry is the advice when the configuration has to come back first.
	longRetry = time.Second
	// storeRetry is the advice while tokens can't be drawn: most partitions from the store last for several seconds, and
	// callers wait for at most a third of their time.
	storeRetry = 3 * time.Second
)

// Configuration gives the current configuration.
type Configuration interface {
	// Current returns the newest configuration, nil before the first one.
	Current() *catalog.Snapshot
	// Confirm reads the configuration again and returns the newest one. It fails if the store can't be read.
	Confirm(ctx context.Context) (*catalog.Snapshot, error)
}

// Options are the parts of a Server.
type Options struct {
	Configuration Configuration
	Dialect       Dialect
	Placement     *Placement
	Client        *upstream.Client
	Allowances    *allowance.Accounts
	Retries       *retry.Budget
	// Routers returns the number of routers that share the retry budget.
	Routers func() int
	Log     log.Interface
	Metrics *Metrics
}

// Server is the handler of callers' requests.
type Server struct {
	Options
	draining atomic.Bool
	active   atomic.Int64
	// Lines of requests that were served and of those that were not have limits of their own, so that a burst of the
	// former doesn't push out the latter.
	served, unserved *logging.Limiter
}

// servedLines and unservedLines bound the log lines of requests per second.
const (
	servedLines   = 50
	unservedLines = 200
)

// NewServer returns a Server.
func NewServer(o Options) *Server {
	return &Server{Options: o, served: logging.NewLimiter(servedLines), unserved: logging.NewLimiter(unservedLines)}
}

// Drain makes the server ask callers to close their connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// exchange is one caller's request in progress.
type exchange struct {
	*Server
	writer  http.ResponseWriter
	request Request
	route   catalog.Route
	org     *catalog.Organisation
	config  *catalog.Snapshot
	service catalog.Service
	arrived time.Time
	// deadline is the time by which the caller must have its answer.
	deadline time.Time

	attempts int
	// sent tells that an endpoint may have run the request.
	sent bool
	// decision is the last choice of an endpoint.
	decision *route.Decision
	// begun tells that the header of a stream was passed on.
	begun bool
	// firstByte is the time at which the answer, or a stream's first event, was passed on.
	firstByte time.Time
	events    int
	status    int
	failure   *outcome.Failure
	// spent is the number of tokens that the budget was charged.
	spent int64
	// broken tells that an answer that had begun can't be completed.
	broken bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	e := &exchange{Server: s, writer: w, arrived: time.Now()}
	if s.draining.Load() || len(r.TransferEncoding) > 0 {
		// A request in chunks may also carry a length, and what follows the body may then be meant as part of it.
		w.Header().Set("Connection", "close")
	}
	e.serve(r)
	e.report(r.Context())
	if e.broken {
		// The connection is closed without the end of the answer, so that it doesn't look complete.
		panic(http.ErrAbortHandler)
	}
}

func (e *exchange) serve(r *http.Request) {
	if failure := e.admit(r); failure != nil {
		e.refuse(failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	reserved, failure := e.reserve(ctx)
	if failure != nil {
		e.refuse(failure)
		return
	}
	e.Retries.RecordRequest(e.service.Name, time.Now())
	e.forward(ctx)
	if reserved > 0 {
		e.spent = e.used(reserved)
		e.Allowances.Release(e.org.Name, reserved-e.spent)
	}
	if e.failure != nil && !e.broken {
		e.refuse(e.failure)
	}
}

// admit reads the request and finds its route, organisation and service.
func (e *exchange) admit(r *http.Request) *outcome.Failure {
	var err error
	if e.request, err = e.Dialect.Decode(r); err != nil {
		return outcome.NotRunf(outcome.ReasonBadRequest, 0, "%v", err)
	}
	e.config = e.Configuration.Current()
	if e.config == nil {
		return outcome.NotRunf(outcome.ReasonNotConfigured, longRetry, "no configuration has been read yet")
	}
	if failure := e.readBody(r); failure != nil {
		return failure
	}
	failure := e.authorise()
	if failure != nil {
		// The route or key may be newer than the configuration of this router.
		confirmed, err := e.Configuration.Confirm(r.Context())
		if err != nil {
			return outcome.NotRunf(outcome.ReasonNotConfigured, longRetry, "the configuration can't be confirmed: %v", err)
		}
		e.config = confirmed
		if failure = e.authorise(); failure != nil {
			return failure
		}
	}
	name := e.route.Pick(rand.Float64())
	service, ok := e.config.Service(name)
	if !ok {
		return outcome.NotRunf(outcome.ReasonNoEndpoint, longRetry, "service %q is not configured", name)
	}
	e.service = service
	limit := e.route.Timeout
	if e.request.TimeLeft > 0 {
		limit = min(limit, e.request.TimeLeft)
	}
	e.deadline = e.arrived.Add(limit)
	return nil
}

func (e *exchange) readBody(r *http.Request) *outcome.Failure {
	limit := e.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return outcome.NotRunf(outcome.ReasonTooLarge, 0, "the body is larger than %d bytes", limit)
	}
	var err error
	if r.ContentLength > 0 {
		e.request.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, e.request.Body)
	} else {
		e.request.Body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	}
	if err != nil {
		return outcome.NotRunf(outcome.ReasonBadRequest, 0, "reading the body: %v", err)
	}
	if int64(len(e.request.Body)) > limit {
		return outcome.NotRunf(outcome.ReasonTooLarge, 0, "the body is larger than %d bytes", limit)
	}
	return nil
}

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

// reserve takes the request's largest use from the organisation's budget. It returns 0 if there is no budget.
func (e *exchange) reserve(ctx context.Context) (int64, *outcome.Failure) {
	if e.org == nil || !e.org.Limited || e.request.Prompt == nil {
		return 0, nil
	}
	most := e.request.Prompt.most()
	switch e.Allowances.Reserve(ctx, e.org.Name, e.org.Prepaid, most) {
	case allowance.Granted:
		return most, nil
	case allowance.Exhausted:
		return 0, outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "the remaining budget does not cover %d tokens", most)
	}
	return 0, outcome.NotRunf(outcome.ReasonGrantUnavailable, storeRetry, "the budget can't be drawn on now")
}

// used is what the request has consumed of its reservation. If an endpoint may have run it, its prompt counts in full.
func (e *exchange) used(reserved int64) int64 {
	if !e.sent {
		return 0
	}
	return min(reserved, e.request.Prompt.Tokens+int64(e.events*max(1, e.service.TokensPerEvent)))
}

// refuse answers with a failure of the system's own.
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
	_, _ = e.writer.Write(body) // The caller has gone if this fails; its request ends here in either case.
}

// report writes the request's log line and metrics.
func (e *exchange) report(ctx context.Context) {
	now := time.Now()
	result := "done"
	switch {
	case e.failure != nil:
		result = string(e.failure.Outcome)
	case e.broken:
		result = "broken"
	case e.status >= 500:
		result = "endpoint_error"
	}
	gone := errors.Is(ctx.Err(), context.Canceled)
	if gone && result != "done" {
		result = "caller_gone"
	}
	e.Metrics.record(result, now.Sub(e.arrived), e.firstByte.Sub(e.arrived), !e.firstByte.IsZero())
	limiter := e.unserved
	if result == "done" {
		limiter = e.served
	}
	skipped, ok := limiter.Allow(now)
	if !ok {
		return
	}
	fields := log.Fields{
		"request": e.request.ID, "route": e.route.Name, "service": e.service.Name, "endpoint": "", "status": e.status,
		"result": result, "attempts": e.attempts, "sent": e.sent, "events": e.events, "total_ms": now.Sub(e.arrived).Milliseconds(),
	}
	if skipped > 0 {
		fields["lines_left_out"] = skipped
	}
	if e.decision != nil {
		fields["endpoint"] = e.decision.Chosen
		fields["candidates"], fields["choice"], fields["cached"] = e.decision.Candidates, string(e.decision.Reason), e.decision.Cached()
	}
	if e.config != nil {
		fields["config"] = e.config.Version
	}
	if e.org != nil {
		fields["organisation"] = e.org.Name
	}
	if p := e.request.Prompt; p != nil {
		fields["tokens"], fields["spent"] = p.most(), e.spent
	}
	if !e.firstByte.IsZero() {
		fields["first_ms"] = e.firstByte.Sub(e.arrived).Milliseconds()
	}
	if e.failure != nil {
		fields["reason"], fields["cause"] = string(e.failure.Reason), e.failure.Message
	}
	e.Log.WithFields(fields).Info("request_" + result)
}
