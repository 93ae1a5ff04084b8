package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
)

const (
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff are the bounds of the delay before the next round over the addresses.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxAttempts is the largest number of attempts of one request, which bounds the size of its observations.
	maxAttempts = 40
)

// NewHTTPClient returns an HTTP client for callers. Each request uses a new connection. If a router closes a reused
// connection, a caller cannot tell whether the router received the request, and net/http would retry requests with an
// idempotency key on its own, so that these attempts would not be counted.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext,
		WriteBufferSize: 32 << 10, ReadBufferSize: 8 << 10,
	}}
}

// Caller sends the requests of one caller of an organisation. It is safe for concurrent use.
type Caller struct {
	HTTP         *http.Client
	AddressCache *AddressCache
	// Key is the bearer key.
	Key string
	// Budget is the name of the budget that pays.
	Budget string
}

// Do sends the request and retries it until its outcome is known, the retry timeout of its mix has passed or ctx ends.
// It returns the request with all its attempts.
func (c *Caller) Do(ctx context.Context, item workload.Item, intended time.Time) *observation.Request {
	r := newRequest(item, intended)
	r.Budget = c.Budget
	ctx, cancel := context.WithDeadline(ctx, intended.Add(item.Mix.RetryTimeout))
	defer cancel()
	backoff := minBackoff
	for next := 0; ctx.Err() == nil && len(r.Attempts) < maxAttempts; next++ {
		addresses := c.AddressCache.Addresses(ctx)
		if len(addresses) == 0 {
			sleep.For(ctx, backoff)
			continue
		}
		a := c.sendAttempt(ctx, item, r, addresses[next%len(addresses)])
		r.Attempts = append(r.Attempts, a)
		if isFinal(a) {
			break
		}
		if (next+1)%len(addresses) == 0 {
			c.AddressCache.Expire()
			sleep.For(ctx, max(backoff, a.RetryAfter))
			backoff = min(2*backoff, maxBackoff)
		} else if a.RetryAfter > 0 && a.Reason != "" {
			sleep.For(ctx, min(a.RetryAfter, backoff))
		}
	}
	setOutcome(r)
	r.End = time.Now()
	return r
}

func newRequest(item workload.Item, intended time.Time) *observation.Request {
	m := item.Mix
	r := &observation.Request{
		Mix: m.Name, Class: m.Class, Organisation: m.Organisation, Key: item.Key, Kind: observation.Chat,
		Deadline: m.Deadline, IntendedStart: intended, UpperBound: item.UpperBound, WholeCharge: item.WholeCharge, MaxCharge: item.MaxCharge,
	}
	if m.Service != "" {
		r.Kind, r.AtMostOnce = observation.Call, m.AtMostOnce
	}
	return r
}

// isFinal reports whether a caller makes no further attempt: because it has the answer, has hung up, or received a
// refusal that other routers would repeat.
func isFinal(a observation.Attempt) bool {
	switch a.Outcome {
	case "done", observation.HungUp:
		return true
	case "not_run":
		switch a.Reason {
		case "budget_exhausted", "budget_unknown", "bad_request", "unauthorized", "forbidden", "not_found", "too_large",
			"idempotency_key_reused", "deadline_cannot_be_met":
			return true
		}
	case "unknown":
		return a.Reason == "request_crashes_endpoints"
	}
	return false
}

// setOutcome derives the outcome of the request from its attempts. An attempt that ended as unknown or broken may have
// run, and a later not_run does not change that.
func setOutcome(r *observation.Request) {
	r.Outcome = "not_run"
	for _, a := range r.Attempts {
		switch a.Outcome {
		case "unknown", observation.ConnectionBroken:
			r.Outcome = "unknown"
		}
		if a.Reason != "" {
			r.Reason = a.Reason
		}
	}
	if n := len(r.Attempts); n > 0 {
		switch last := r.Attempts[n-1]; last.Outcome {
		case "done":
			r.Outcome, r.Reason = "done", ""
		case observation.HungUp:
			r.Outcome, r.Reason = observation.HungUp, ""
		}
	}
}
