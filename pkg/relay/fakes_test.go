package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admit"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

// fakeEngine answers each request with the scripts in turn; the last one repeats.
type fakeEngine struct {
	address string
	mu      sync.Mutex
	scripts []answerScript
	bodies  []engineFields
	// onCancel is called when the engine receives a request to cancel.
	onCancel func()
}

// answerScript writes the frames of one answer. It returns false to break the connection.
type answerScript func(w io.Writer, f engineFields) bool

func startEngine(t *testing.T, scripts ...answerScript) *fakeEngine {
	t.Helper()
	e := &fakeEngine{scripts: scripts}
	server := httptest.NewServer(e)
	e.address = server.Listener.Addr().String()
	t.Cleanup(server.Close)
	return e
}

// ServeHTTP uses net/http because its aborted handlers close the connection after all flushed bytes were sent.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/chat/completions" {
		if e.onCancel != nil {
			e.onCancel()
		}
		return
	}
	var f engineFields
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.bodies = append(e.bodies, f)
	run := e.scripts[min(len(e.bodies), len(e.scripts))-1]
	e.mu.Unlock()
	if run == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !run(frameWriter{w}, f) {
		panic(http.ErrAbortHandler)
	}
}

// frameWriter flushes each frame.
type frameWriter struct{ w http.ResponseWriter }

func (f frameWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	f.w.(http.Flusher).Flush()
	return n, err
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (e *fakeEngine) requests() []engineFields {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engineFields(nil), e.bodies...)
}

func writeToken(w io.Writer, id string, index int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, index, index)
}

func writeEnd(w io.Writer, id string, tokens int) { writeFinish(w, id, "stop", tokens) }

func writeFinish(w io.Writer, id, reason string, tokens int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", id, reason, tokens, tokens+3)
}

// rejectAsFull answers with status 429, as an engine with a full queue does.
func rejectAsFull(w io.Writer, _ engineFields) bool {
	w.(frameWriter).w.WriteHeader(http.StatusTooManyRequests)
	return true
}

// noRetryAdmission admits every request and allows no retry.
type noRetryAdmission struct{ requeued, ended int }

func (a *noRetryAdmission) Enter(context.Context, admit.Request) (AdmissionSlot, error) {
	return a, nil
}
func (a *noRetryAdmission) AllowRetry() bool              { return false }
func (a *noRetryAdmission) Requeue(context.Context) error { a.requeued++; return nil }
func (a *noRetryAdmission) Done(admit.Usage)              { a.ended++ }

// streamAll streams the tokens from resume_from up to n and then the end.
func streamAll(n int) answerScript {
	return func(w io.Writer, f engineFields) bool {
		for i := f.ResumeFrom; i < n; i++ {
			writeToken(w, f.RequestID, i)
		}
		writeEnd(w, f.RequestID, n)
		return true
	}
}

// breakAfter streams some tokens and then closes the connection.
func breakAfter(tokens int) answerScript {
	return func(w io.Writer, f engineFields) bool {
		for i := range tokens {
			writeToken(w, f.RequestID, f.ResumeFrom+i)
		}
		return false
	}
}

// fakeTokenPool records the calls of the relay and returns the errors that a test sets.
type fakeTokenPool struct {
	mu         sync.Mutex
	reserveErr error
	settleErr  error
	settled    []budget.Tokens
	cancelled  int
}

func (p *fakeTokenPool) Reserve(_ context.Context, r budget.Request) (budget.Reservation, error) {
	return budget.Reservation{Request: r}, p.reserveErr
}

func (p *fakeTokenPool) Settle(_ context.Context, _ budget.Reservation, used budget.Tokens) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settleErr != nil {
		return p.settleErr
	}
	p.settled = append(p.settled, used)
	return nil
}

func (p *fakeTokenPool) Cancel(budget.Reservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelled++
}

// listSelector chooses the first address that was not tried.
type listSelector struct{ addresses []string }

// evacuatingSelector gives the target of the first address an evacuation context that the test ends.
type evacuatingSelector struct {
	listSelector
	evacuation context.Context
	reports    chan Report
}

func (s evacuatingSelector) Done(_ Target, r Report) { s.reports <- r }

func (s evacuatingSelector) Choose(c ChooseRequest) (Target, *outcome.Failure) {
	target, failure := s.listSelector.Choose(c)
	if target.VM == "vm0" {
		target.Evacuation = s.evacuation
	}
	return target, failure
}

func (s listSelector) Choose(c ChooseRequest) (Target, *outcome.Failure) {
	for i, address := range s.addresses {
		if vm := fmt.Sprintf("vm%d", i); !contains(c.Exclude, vm) {
			return Target{VM: vm, Address: address}, nil
		}
	}
	return Target{}, outcome.NotRunf(outcome.ReasonNoEndpoint, 0, "all were tried")
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (listSelector) BytesPerToken(string) int { return 4 }
func (listSelector) ReportFirstToken(Target)  {}
func (listSelector) Done(Target, Report)      {}

// fakeClaims grants one claim for each key and keeps results.
type fakeClaims struct {
	mu       sync.Mutex
	claimErr error
	owned    map[string]bool
	results  map[string]budget.StoredResult
	released int
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{owned: map[string]bool{}, results: map[string]budget.StoredResult{}}
}

func (c *fakeClaims) Claim(_ context.Context, call budget.CallRequest) (budget.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimErr != nil {
		return budget.Claim{}, c.claimErr
	}
	if result, ok := c.results[call.IdempotencyKey]; ok {
		return budget.Claim{Call: call, Stored: &result}, nil
	}
	if c.owned[call.IdempotencyKey] {
		return budget.Claim{}, outcome.Unknownf(outcome.ReasonInProgress, 0, "claimed")
	}
	c.owned[call.IdempotencyKey] = true
	return budget.Claim{Call: call}, nil
}

func (c *fakeClaims) Finish(_ context.Context, claim budget.Claim, result budget.StoredResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[claim.Call.IdempotencyKey] = result
	return nil
}

func (c *fakeClaims) Release(claim budget.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owned, claim.Call.IdempotencyKey)
	c.released++
}

var errTest = errors.New("test failure")

func testRequest(id string) Request {
	return Request{
		ID: id, Organisation: config.Organisation{ID: "velocar"}, IdempotencyKey: "key-" + id,
		Class: config.Class{Name: "briefing", Target: config.TargetWhole, MaxOutputTokens: 100}, Arrived: time.Now(),
	}
}

func testChat(id string) Chat {
	return Chat{
		Request: testRequest(id), Budget: budget.ID{Organisation: "velocar", Budget: "main"}, Model: "m",
		Prompt: []byte("hello"), ContentBytes: 5, Messages: 1, MaxTokens: 100, Body: []byte(`{"model":"m"}`),
	}
}

// collect returns the indexes of the tokens and the end.
func collect(events <-chan Event) (indexes []int, end End) {
	for e := range events {
		if e.End != nil {
			end = *e.End
			continue
		}
		indexes = append(indexes, e.Token.Index)
	}
	return indexes, end
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newRelay returns a relay whose errors fail the test, among them events that the request chart does not allow.
func newRelay(t *testing.T, parts Relay) *Relay {
	parts.Log = &log.Logger{Level: log.ErrorLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		t.Errorf("relay logged: %s %v", e.Message, e.Fields)
		return nil
	})}
	return New(parts)
}
