package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
)

// fakeRouter answers the n-th request that is not an address lookup with the n-th entry of its script, counted from 0,
// and all further ones with the last entry.
type fakeRouter struct {
	lookups  atomic.Int64
	requests atomic.Int64
	keys     []string
	script   []func(http.ResponseWriter)
}

func (f *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		f.lookups.Add(1)
		fmt.Fprintf(w, `{"ttl_ms":60000,"addresses":[{"address":%q,"zone":"a"}]}`, r.Host)
		return
	}
	n := f.requests.Add(1) - 1
	f.keys = append(f.keys, r.Header.Get("Idempotency-Key"))
	f.script[min(int(n), len(f.script)-1)](w)
}

// chatItem returns a chat completion with a text of several words.
func chatItem(t *testing.T, stream bool) workload.Item {
	s := &scenario.Scenario{Seed: 1, Duration: time.Hour, Rate: 1, Model: "demo", BytesPerToken: 4, Mixes: []scenario.Mix{{
		Name: "chats", Organisation: "velocar", Class: "briefing", Rate: 1000, Burst: 1, Callers: 1, Stream: stream,
		RetryTimeout: 20 * time.Second, IdleTimeout: 10 * time.Second,
		PromptTokens: scenario.Range{Min: 5, Max: 5}, OutputTokens: scenario.Range{Min: 10, Max: 10},
	}}}
	item, ok := workload.NewSource(s, 0, "test").Next()
	must.True(t, ok)
	return item
}

// send sends the item to a fake router with the script, and returns the observed request and the router.
func send(t *testing.T, item workload.Item, script ...func(http.ResponseWriter)) (*observation.Request, *fakeRouter) {
	router := &fakeRouter{script: script}
	server := httptest.NewServer(router)
	defer server.Close()
	client := NewHTTPClient()
	address := strings.TrimPrefix(server.URL, "http://")
	c := &Caller{HTTP: client, AddressCache: NewAddressCache(client, []string{address}, "key", 1, func(AddressAnswer) {}), Key: "key", Budget: "main"}
	return c.Do(context.Background(), item, time.Now()), router
}

// answer returns a handler that sends the text as a completion that is not streamed.
func answer(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("X-LS-Request-Id", "r1")
		fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"total_tokens":30}}`, text)
	}
}

// failure returns a handler that sends a failure with the outcome and reason.
func failure(status int, outcome, reason string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"outcome":%q,"reason":%q,"request_id":"r2","retry_after_ms":0,"message":"m"}}`, outcome, reason)
	}
}

// stream returns a handler that streams the text word by word and then sends the ending.
func stream(text, ending string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, word := range strings.SplitAfter(text, " ") {
			if word != "" {
				fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n: keep-alive\n\n", word)
			}
		}
		fmt.Fprint(w, ending)
	}
}

const streamEnd = "data: {\"choices\":[{\"delta\":{}}],\"usage\":{\"total_tokens\":30}}\n\ndata: [DONE]\n\n"

// Guards against crossed or truncated answers that are not detected, with or without streaming, and against whole
// answers that are reported as crossed or truncated.
func TestAnswersAreCompared(t *testing.T) {
	item, streamed := chatItem(t, false), chatItem(t, true)
	half := item.Expected[:strings.Index(item.Expected, " ")+1]
	for _, c := range []struct {
		name               string
		item               workload.Item
		handler            func(http.ResponseWriter)
		outcome            string
		crossed, truncated bool
	}{
		{"whole", item, answer(item.Expected), "done", false, false},
		{"part", item, answer(half), "done", false, true},
		{"empty", item, answer(""), "done", false, true},
		{"other", item, answer("other"), "done", true, false},
		{"stream", streamed, stream(streamed.Expected, streamEnd), "done", false, false},
		{"part of a stream", streamed, stream(half, streamEnd), "done", false, true},
		{"other stream", streamed, stream("other ", streamEnd), "done", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := send(t, c.item, c.handler)
			must.Eq(t, c.outcome, r.Outcome)
			must.Eq(t, c.crossed, r.Crossed)
			must.Eq(t, c.truncated, r.Truncated)
			must.Eq(t, 30, r.Usage)
		})
	}
}

// Guards against an attempt that counts as done although its answer ended early, and against a retry under another
// idempotency key.
func TestRetriesUseTheSameKey(t *testing.T) {
	item := chatItem(t, true)
	half := item.Expected[:strings.Index(item.Expected, " ")+1]
	r, router := send(t, item,
		stream(half, ""), stream(half, "data: [DONE]\n\n"),
		stream(half, "event: error\ndata: {\"error\":{\"outcome\":\"unknown\",\"reason\":\"endpoint_failed\",\"request_id\":\"r3\"}}\n\n"),
		failure(http.StatusServiceUnavailable, "not_run", "no_endpoint"), stream(item.Expected, streamEnd))
	var outcomes []string
	for _, a := range r.Attempts {
		outcomes = append(outcomes, a.Outcome)
	}
	must.Eq(t, []string{observation.ConnectionBroken, observation.ConnectionBroken, "unknown", "not_run", "done"}, outcomes)
	must.Eq(t, "r3", r.Attempts[2].RequestID)
	must.Eq(t, "r2", r.Attempts[3].RequestID)
	must.Eq(t, "done", r.Outcome)
	must.False(t, r.Crossed || r.Truncated)
	for _, key := range router.keys {
		must.Eq(t, item.Key, key)
	}
}

// Guards against a request that counts as not_run because its last attempt was not_run, although the outcome of an
// earlier attempt is unknown, so that the request may have run.
func TestOutcomeStaysUnknown(t *testing.T) {
	r, _ := send(t, chatItem(t, false), failure(http.StatusBadGateway, "unknown", "endpoint_failed"), failure(http.StatusPaymentRequired, "not_run", "budget_exhausted"))
	must.Eq(t, "unknown", r.Outcome)
	must.Len(t, 2, r.Attempts)
	r, _ = send(t, chatItem(t, false), failure(http.StatusPaymentRequired, "not_run", "budget_exhausted"))
	must.Eq(t, "not_run", r.Outcome)
}

// Guards against a request that counts as done or failed although its caller hung up during the stream and has a part
// of the answer.
func TestHangUp(t *testing.T) {
	item := chatItem(t, true)
	item.HangUpAfter = 2
	r, _ := send(t, item, stream(item.Expected, streamEnd))
	must.Eq(t, observation.HungUp, r.Outcome)
	must.Eq(t, observation.MatchPart, r.Match)
}

// Guards against a lookup for each request although the cached address answer has not expired, and against a cached
// answer that is still used after Expire.
func TestAddressesAreCached(t *testing.T) {
	router := &fakeRouter{}
	server := httptest.NewServer(router)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	addresses := NewAddressCache(NewHTTPClient(), []string{"127.0.0.1:1", address}, "key", 1, func(AddressAnswer) {})
	for range 5 {
		must.Eq(t, []string{address}, addresses.Addresses(context.Background()))
	}
	must.Eq(t, 1, router.lookups.Load())
	addresses.Expire()
	must.Eq(t, []string{address}, addresses.Addresses(context.Background()))
	must.Eq(t, 2, router.lookups.Load())
}
