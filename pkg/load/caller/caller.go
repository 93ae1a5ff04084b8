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
	// pauseMin and pauseMax bound the pause before a further round over the addresses.
	pauseMin = 50 * time.Millisecond
	pauseMax = 2 * time.Second
	// maxAttempts bounds the observations of one request.
	maxAttempts = 40
)

// NewHTTPClient returns the client of all callers. Each request has a connection of its own: on a reused one a caller
// can't tell whether a router that closes it has seen the request, and the HTTP library would repeat requests that
// carry an idempotency key without counting the attempts.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext,
		WriteBufferSize: 32 << 10, ReadBufferSize: 8 << 10,
	}}
}

// Caller sends requests of one organisation with one copy of the address answer.
type Caller struct {
	HTTP         *http.Client
	AddressCache *AddressCache
	// Key is the bearer key, Budget the budget that pays.
	Key    string
	Budget string
}

// Do sends the request until its outcome is known or the retry timeout of its caller has passed, and returns the
// observations.
func (c *Caller) Do(ctx context.Context, item workload.Item, intended time.Time) *observation.Request {
	r := newRequest(item, intended)
	r.Budget = c.Budget
	ctx, cancel := context.WithDeadline(ctx, intended.Add(item.Mix.RetryTimeout))
	defer cancel()
	pause := pauseMin
	for next := 0; ctx.Err() == nil && len(r.Attempts) < maxAttempts; next++ {
		addresses := c.AddressCache.Addresses(ctx)
		if len(addresses) == 0 {
			sleep.For(ctx, pause)
			continue
		}
		a := c.attempt(ctx, item, r, addresses[next%len(addresses)])
		r.Attempts = append(r.Attempts, a)
		if final(a) {
			break
		}
		if (next+1)%len(addresses) == 0 {
			c.AddressCache.Forget()
			sleep.For(ctx, max(pause, a.RetryAfter))
			pause = min(2*pause, pauseMax)
		} else if a.RetryAfter > 0 && a.Reason != "" {
			sleep.For(ctx, min(a.RetryAfter, pause))
		}
	}
	conclude(r)
	r.End = time.Now()
	return r
}

func newRequest(item workload.Item, intended time.Time) *observation.Request {
	m := item.Mix
	r := &observation.Request{
		Mix: m.Name, Class: m.Class, Organisation: m.Organisation, Key: item.Key, Kind: observation.Chat,
		Deadline: m.Deadline, Intended: intended, UpperBound: item.UpperBound, WholeCharge: item.WholeCharge, MaxCharge: item.MaxCharge,
	}
	if m.Service != "" {
		r.Kind, r.AtMostOnce = observation.Call, m.Once
	}
	return r
}

// final reports whether a caller stops after the attempt: it has the answer, or a refusal that another router would
// give too.
func final(a observation.Attempt) bool {
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

// conclude sets what the caller knows in the end. An attempt without an answer may have run, and a later one that was
// not run does not change that.
func conclude(r *observation.Request) {
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
