package engine

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// startServer starts an HTTP server for an engine on a loopback port and returns its URL.
func startServer(t *testing.T, configure func(*Config)) (*Engine, string) {
	t.Helper()
	config := DefaultConfig("m")
	config.TokenTime, config.PrefillTime = time.Millisecond, 0
	if configure != nil {
		configure(&config)
	}
	e, err := New(config)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := standin.NewServer("test", e.Handle, MaxBodyBytes)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		e.Close()
		http.DefaultClient.CloseIdleConnections()
		must.NoError(t, server.Shutdown())
	})
	return e, "http://" + listener.Addr().String()
}

func post(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(string(marshal(body))))
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// readEvents reads the data of a stream's events to the end, and returns the error that ended it, if any.
func readEvents(response *http.Response) ([]string, error) {
	var data []string
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			data = append(data, line)
		}
	}
	return data, scanner.Err()
}

// Guards against responses that don't follow the protocol: frames and final events of a stream, the body without
// streaming, and the status of a refusal.
func TestStreamOverHTTP(t *testing.T) {
	e, url := startServer(t, nil)
	request := newRequest("r", "hello", 10)
	data, err := readEvents(post(t, url+PathChat, request))
	must.NoError(t, err)
	tokens := AnswerTo(request).Tokens
	must.Len(t, tokens+2, data)
	must.Eq(t, "[DONE]", data[tokens+1])
	var last Chunk
	must.NoError(t, json.Unmarshal([]byte(data[tokens]), &last))
	must.Eq(t, tokens, last.Usage.CompletionTokens)
	request.Stream = false
	var whole Completion
	must.NoError(t, json.NewDecoder(post(t, url+PathChat, request).Body).Decode(&whole))
	must.Eq(t, AnswerTo(request).Text(0), whole.Choices[0].Message.Content)
	must.Eq(t, *last.Usage, whole.Usage)
	request.Model = "absent"
	refused := post(t, url+PathChat, request)
	must.Eq(t, http.StatusNotFound, refused.StatusCode)
	must.Len(t, 2, e.Records(0).Records)
}

// Guards against a crash that ends a stream as if it were complete, and against control paths that don't work after a
// crash.
func TestCrashOverHTTP(t *testing.T) {
	e, url := startServer(t, func(c *Config) { c.TokenTime = 50 * time.Millisecond })
	open := post(t, url+PathChat, newRequest("r", "hello", 1000))
	must.Eq(t, http.StatusOK, post(t, url+"/control/faults", Fault{Kind: FaultCrash}).StatusCode)
	data, err := readEvents(open)
	must.Error(t, err)
	must.SliceNotContains(t, data, "[DONE]")
	_, err = http.Post(url+PathChat, "application/json", strings.NewReader(string(marshal(newRequest("s", "x", 1)))))
	must.Error(t, err)
	must.Eq(t, http.StatusOK, post(t, url+"/control/restart", struct{}{}).StatusCode)
	must.Eq(t, http.StatusOK, post(t, url+PathChat, newRequest("t", "x", 1)).StatusCode)
	must.Eq(t, EndCrashed, e.Records(0).Records[0].End)
}

// Guards against a run that continues after its caller has disconnected.
func TestDisconnectOverHTTP(t *testing.T) {
	e, url := startServer(t, nil)
	open := post(t, url+PathChat, newRequest("r", "hello", 1_000_000))
	must.NoError(t, open.Body.Close())
	for e.Records(0).Records[0].End == "" {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, EndDisconnected, e.Records(0).Records[0].End)
	must.Less(t, 500_000, e.Records(0).Records[0].Tokens)
}

// Guards against paths without a handler and against unknown fields that are ignored without an error.
func TestPathsOverHTTP(t *testing.T) {
	e, url := startServer(t, func(c *Config) { c.LoadLag, c.EventLag = 0, 0 })
	_, err := readEvents(post(t, url+PathChat, newRequest("r", strings.Repeat("abcd", 20), 4)))
	must.NoError(t, err)
	var export KVExport
	must.NoError(t, json.NewDecoder(post(t, url+PathKVExport, RequestRef{RequestID: "r"}).Body).Decode(&export))
	must.Eq(t, http.StatusOK, post(t, url+PathKVImport, export).StatusCode)
	must.Eq(t, http.StatusOK, post(t, url+PathCancel, RequestRef{RequestID: "r"}).StatusCode)
	must.Eq(t, http.StatusOK, post(t, url+PathOrders, Order{Kind: OrderRole, Role: "decode"}).StatusCode)
	must.Eq(t, http.StatusBadRequest, post(t, url+PathOrders, map[string]string{"knd": "role"}).StatusCode)
	must.Eq(t, http.StatusBadRequest, post(t, url+"/control/faults", Fault{Kind: "x"}).StatusCode)
	for path, want := range map[string]any{
		PathLoad:                      e.Load(),
		PathStatus:                    e.Status(),
		PathCacheEvents + "?after=0":  e.CacheEvents(0),
		"/control/record?after=0":     e.Records(0),
		"/control/record?after=10000": Records{Records: []Record{}},
	} {
		response, err := http.Get(url + path)
		must.NoError(t, err)
		var got any
		must.NoError(t, json.NewDecoder(response.Body).Decode(&got))
		must.NoError(t, response.Body.Close())
		must.EqJSON(t, string(marshal(want)), string(marshal(got)))
	}
}
