package forward

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

func testExchange(r catalog.Route) *exchange {
	return &exchange{
		Server: NewServer(Options{
			Retries: retry.New(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Extra: 1000}, time.Now(), true),
			Routers: func() int { return 1 },
		}),
		route: r, service: catalog.Service{Name: "desk"}, deadline: time.Now().Add(time.Minute), attempts: 1,
	}
}

// Guards against repeating what must run at most once, and against giving up on what may be repeated.
func TestMayRepeat(t *testing.T) {
	once := catalog.Route{Semantics: catalog.AtMostOnce, MaxAttempts: 2}
	again := catalog.Route{Semantics: catalog.Idempotent, MaxAttempts: 2}
	stream := catalog.Route{Semantics: catalog.AtMostOnce, Streaming: true, MaxAttempts: 2}
	resumable := catalog.Route{Semantics: catalog.Idempotent, Streaming: true, Resumable: true, MaxAttempts: 2}
	for _, c := range []struct {
		name   string
		route  catalog.Route
		got    result
		events int
		change func(*exchange)
		want   bool
	}{
		{"rejected, at most once", once, rejected, 0, nil, true},
		{"failed, at most once", once, failed, 0, nil, false},
		{"answered, at most once", once, answered, 0, nil, false},
		{"failed, idempotent", again, failed, 0, nil, true},
		{"answered, idempotent", again, answered, 0, nil, true},
		{"stream broke, not resumable", stream, failed, 3, nil, false},
		{"stream broke, resumable", resumable, failed, 3, nil, true},
		{"attempts used up", again, failed, 0, func(e *exchange) { e.attempts = 2 }, false},
		{"no time left", again, failed, 0, func(e *exchange) { e.deadline = time.Now() }, false},
		{"retry budget used up", again, failed, 0, func(e *exchange) { e.Retries = retry.New(retry.Limits{Window: time.Second}, time.Now(), true) }, false},
	} {
		e := testExchange(c.route)
		if c.change != nil {
			c.change(e)
		}
		must.EqOp(t, c.want, e.mayRepeat(c.got, &frames{count: c.events}), must.Sprint(c.name))
	}
}

// Guards against saying "not run" of a request that an endpoint may have run, and against 502 for one that was never
// sent.
func TestFinalOutcome(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, end := range []func(*exchange){
		func(e *exchange) { e.giveUp(nil, nil) }, func(e *exchange) { e.timedOut(ended) },
	} {
		e := testExchange(catalog.Route{})
		end(e)
		must.EqOp(t, outcome.NotRun, e.failure.Outcome)
		must.Positive(t, e.failure.RetryAfter)
		e = testExchange(catalog.Route{})
		e.sent = true
		end(e)
		must.EqOp(t, outcome.Unknown, e.failure.Outcome)
	}
	e := testExchange(catalog.Route{})
	e.begun = true
	e.giveUp(nil, nil)
	must.True(t, e.broken)
}

// Guards against billing what was not used, and against billing less than a prompt that may have run.
func TestUsed(t *testing.T) {
	e := testExchange(catalog.Route{})
	e.request.Prompt = &Prompt{Tokens: 100, MaxOutput: 40}
	e.service.TokensPerEvent = 4
	must.EqOp(t, 0, e.used(140))
	e.sent = true
	must.EqOp(t, 100, e.used(140))
	e.events = 3
	must.EqOp(t, 112, e.used(140))
	e.events = 1000
	must.EqOp(t, 140, e.used(140))
}

// Guards against a first attempt that uses up the time of the second one.
func TestAttemptTimeLeavesRoomForAnother(t *testing.T) {
	e := testExchange(catalog.Route{Semantics: catalog.Idempotent, MaxAttempts: 2})
	e.attempts = 0
	must.LessEq(t, 30*time.Second, e.attemptTime())
	e.attempts = 1
	must.Greater(t, 50*time.Second, e.attemptTime())
	e.route.MaxAttempts = 1
	e.attempts = 0
	must.Greater(t, 50*time.Second, e.attemptTime())
}
