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

// serve starts an HTTP server for an engine on a loopback port and returns its URL.
func serve(t *testing.T, change func(*Config)) (*Engine, string) {
	t.Helper()
	config := DefaultConfig("m")
	config.TokenTime, config.PrefillTime = time.Millisecond, 0
	if change != nil {
		change(&config)
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

// events reads the data of a stream's events until its end, and returns the error that ended it.
func events(response *http.Response) ([]string, error) {
	var data []string
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			data = append(data, line)
		}
	}
	return data, scanner.Err()
}

// Guards against a stream without the frames of the protocol.
func TestStreamOverHTTP(t *testing.T) {
	e, url := serve(t, nil)
	request := prompt("r", "hello", 10)
	data, err := events(post(t, url+PathChat, request))
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

// Guards against a crash that ends a stream as if it were whole, and a control path that a crash takes away.
func TestCrashOverHTTP(t *testing.T) {
	e, url := serve(t, func(c *Config) { c.TokenTime = 50 * time.Millisecond })
	open := post(t, url+PathChat, prompt("r", "hello", 1000))
	must.Eq(t, http.StatusOK, post(t, url+"/control/faults", Fault{Kind: FaultCrash}).StatusCode)
	data, err := events(open)
	must.Error(t, err)
	must.SliceNotContains(t, data, "[DONE]")
	_, err = http.Post(url+PathChat, "application/json", strings.NewReader(string(marshal(prompt("s", "x", 1)))))
	must.Error(t, err)
	must.Eq(t, http.StatusOK, post(t, url+"/control/restart", struct{}{}).StatusCode)
	must.Eq(t, http.StatusOK, post(t, url+PathChat, prompt("t", "x", 1)).StatusCode)
	must.Eq(t, EndCrashed, e.Records(0).Records[0].End)
}

// Guards against a run that goes on after its caller disconnected.
func TestDisconnectOverHTTP(t *testing.T) {
	e, url := serve(t, nil)
	open := post(t, url+PathChat, prompt("r", "hello", 1_000_000))
	must.NoError(t, open.Body.Close())
	for e.Records(0).Records[0].End == "" {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, EndDisconnected, e.Records(0).Records[0].End)
	must.Less(t, 500_000, e.Records(0).Records[0].Tokens)
}

// Guards against paths that are not wired to the engine, and against unknown fields that are dropped in silence.
func TestPathsOverHTTP(t *testing.T) {
	e, url := serve(t, func(c *Config) { c.LoadLag, c.EventLag = 0, 0 })
	_, err := events(post(t, url+PathChat, prompt("r", strings.Repeat("abcd", 20), 4)))
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
