package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/admin"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
)

// newConfigStore returns a store with an organisation, a class, a caller key, an operator key and a VM marked as
// leaving.
func newConfigStore(t *testing.T) *config.Store {
	store := config.NewStore()
	revision := uint64(0)
	put := func(key string, value any) {
		data, err := json.Marshal(value)
		must.NoError(t, err)
		revision++
		store.MergeComplete(append(entries(store), config.Entry{Key: key, Revision: revision, Value: data}), revision)
	}
	put(config.ClassPrefix+"briefing", config.Class{Name: "briefing", Target: config.TargetWhole, MaxOutputTokens: 64})
	put(config.OrganisationPrefix+"velocar", config.Organisation{ID: "velocar", DefaultClass: "briefing"})
	caller, operator := admin.HashKey(callerKey), admin.HashKey(operatorKey)
	put(config.KeyPrefix+caller, config.Key{SHA256: caller, Organisation: "velocar", Budget: "main"})
	put(config.KeyPrefix+operator, config.Key{SHA256: operator, Operator: true})
	put(config.VMPrefix+"marked", config.VMMark{VM: "marked", Leaving: true})
	return store
}

func entries(s *config.Store) []config.Entry { return s.List(config.Prefix) }

type memberView []member.Member

func (v memberView) Self() member.Member      { return v[0] }
func (v memberView) Members() []member.Member { return v }

func newGateway(c config.View) *Gateway {
	return New(Options{
		Config: c, AddressTTL: 5 * time.Second, NewID: func() string { return "request-1" },
		Members: memberView{
			{VM: "entry1", Zone: "a", CallerAddress: "10.0.0.1:8080", State: member.Alive},
			{VM: "entry2", Zone: "b", CallerAddress: "10.0.0.2:8080", State: member.Alive},
			{VM: "marked", Zone: "b", CallerAddress: "10.0.0.3:8080", State: member.Alive},
			{VM: "leaving", Zone: "c", CallerAddress: "10.0.0.4:8080", State: member.Leaving},
			{VM: "silent", Zone: "c", CallerAddress: "10.0.0.5:8080", State: member.Unreachable},
		},
	})
}

func (g *Gateway) sendRequest(t *testing.T, method, path, key, body string, header ...string) (int, []byte) {
	req := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := g.app.Test(req)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, data
}

const validBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

// Guards against invalid requests that are run or refused with the wrong reason or HTTP status.
func TestBadInputIsRefused(t *testing.T) {
	g := newGateway(newConfigStore(t))
	long := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	for name, tc := range map[string]struct {
		path, key, body string
		header          []string
		status          int
		reason          outcome.Reason
	}{
		"no key":              {body: validBody, status: 401, reason: outcome.ReasonUnauthorized},
		"wrong key":           {key: "x", body: validBody, status: 401, reason: outcome.ReasonUnauthorized},
		"operator key":        {key: operatorKey, body: validBody, status: 403, reason: outcome.ReasonForbidden},
		"unknown class":       {key: callerKey, body: validBody, header: []string{headerClass, "x"}, status: 400, reason: outcome.ReasonBadRequest},
		"long key":            {key: callerKey, body: validBody, header: []string{"Idempotency-Key", long}, status: 400, reason: outcome.ReasonBadRequest},
		"not JSON":            {key: callerKey, body: "{", status: 400, reason: outcome.ReasonBadRequest},
		"no model":            {key: callerKey, body: `{"messages":[{"content":"x"}]}`, status: 400, reason: outcome.ReasonBadRequest},
		"no messages":         {key: callerKey, body: `{"model":"m"}`, status: 400, reason: outcome.ReasonBadRequest},
		"two choices":         {key: callerKey, body: `{"model":"m","n":2,"messages":[{"content":"x"}]}`, status: 400, reason: outcome.ReasonBadRequest},
		"too many tokens":     {key: callerKey, body: `{"model":"m","max_tokens":65,"messages":[{"content":"x"}]}`, status: 400, reason: outcome.ReasonBadRequest},
		"negative tokens":     {key: callerKey, body: `{"model":"m","max_tokens":-1,"messages":[{"content":"x"}]}`, status: 400, reason: outcome.ReasonBadRequest},
		"unknown path":        {path: "/v2/x", key: callerKey, body: validBody, status: 404, reason: outcome.ReasonNotFound},
		"service without key": {path: "/v1/services/booking/x", body: "{}", status: 401, reason: outcome.ReasonUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			path := tc.path
			if path == "" {
				path = "/v1/chat/completions"
			}
			status, data := g.sendRequest(t, http.MethodPost, path, tc.key, tc.body, tc.header...)
			must.Eq(t, tc.status, status)
			var body outcome.Body
			must.NoError(t, json.Unmarshal(data, &body))
			must.Eq(t, outcome.NotRun, body.Error.Outcome)
			must.Eq(t, tc.reason, body.Error.Reason)
			must.NotEq(t, "", body.Error.Message)
		})
	}
}

// Guards against requests that are accepted before the configuration is loaded or while the router is stopping.
func TestRequestsAreRefusedWithoutConfigurationAndWhileStopping(t *testing.T) {
	status, data := newGateway(config.NewStore()).sendRequest(t, http.MethodPost, "/v1/chat/completions", callerKey, validBody)
	must.Eq(t, 503, status)
	must.StrContains(t, string(data), string(outcome.ReasonNotConfigured))

	g := newGateway(newConfigStore(t))
	g.AcceptsNew = func() bool { return false }
	status, data = g.sendRequest(t, http.MethodPost, "/v1/chat/completions", callerKey, validBody)
	must.Eq(t, 503, status)
	must.StrContains(t, string(data), string(outcome.ReasonLeaving))
	must.Eq(t, 0, g.InProgress())
	<-g.Idle()
}

// Guards against callers that keep using a connection to a router that is about to stop.
func TestLeavingRouterClosesConnections(t *testing.T) {
	g := newGateway(newConfigStore(t))
	g.IsLeaving = func() bool { return true }
	resp, err := g.app.Test(httptest.NewRequest(http.MethodGet, "/healthz", nil))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.True(t, resp.Close)
}

// Guards against answers with addresses of VMs that are leaving or unreachable.
func TestAddressesOmitLeavingVMs(t *testing.T) {
	status, data := newGateway(newConfigStore(t)).sendRequest(t, http.MethodGet, "/v1/addresses", callerKey, "")
	must.Eq(t, 200, status)
	var answer addressAnswer
	must.NoError(t, json.Unmarshal(data, &answer))
	must.Eq(t, 5000, answer.TTLMS)
	var got []string
	for _, a := range answer.Addresses {
		got = append(got, a.Address)
	}
	must.SliceContainsAll(t, []string{"10.0.0.1:8080", "10.0.0.2:8080"}, got)
}

// Guards against address answers whose size grows with the fleet.
func TestAddressAnswerIsBounded(t *testing.T) {
	g := newGateway(newConfigStore(t))
	var members memberView
	for i := range 3 * maxAddresses {
		name := fmt.Sprintf("entry%d", i)
		members = append(members, member.Member{VM: name, CallerAddress: name, State: member.Alive})
	}
	g.Members = members
	_, data := g.sendRequest(t, http.MethodGet, "/v1/addresses", callerKey, "")
	var answer addressAnswer
	must.NoError(t, json.Unmarshal(data, &answer))
	must.Len(t, maxAddresses, answer.Addresses)
}

// FuzzChatBody guards against bodies that crash the parser or are accepted with an output limit out of range.
func FuzzChatBody(f *testing.F) {
	for _, seed := range []string{validBody, `{"model":"m","messages":[{"role":"u","content":[{"type":"text","text":"x"}]}]}`, "{", "null", `{"max_tokens":1e99}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var body chatBody
		if json.Unmarshal(data, &body) != nil {
			return
		}
		limit, failure := outputLimit(body, 64)
		if failure == nil && (limit < 1 || limit > 64) {
			t.Fatalf("output limit is %d tokens, want 1 to 64", limit)
		}
		prompt, contentBytes := buildPrompt(body.Messages)
		if contentBytes > len(prompt) {
			t.Fatalf("contents have %d bytes, more than the prompt with %d", contentBytes, len(prompt))
		}
	})
}
