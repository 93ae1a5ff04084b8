package service

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// startServer starts an HTTP server for a service on a loopback port and returns its URL.
func startServer(t *testing.T) (*Service, string) {
	t.Helper()
	s := New(Config{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := standin.NewServer("test", s.Handle, MaxBodyBytes)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.NoError(t, server.Shutdown()) })
	return s, "http://" + listener.Addr().String()
}

// client opens a new connection for each call. On a reused connection, net/http would repeat a call with an
// Idempotency-Key if the connection closes without an answer.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func sendCall(t *testing.T, method, url, key, body string) (int, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	must.NoError(t, err)
	request.Header.Set(HeaderIdempotencyKey, key)
	request.Header.Set(HeaderOrganisation, "o")
	request.Header.Set(HeaderRequestID, "r-"+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), errors.Join(err, response.Body.Close())
}

// Guards against an echo with the values of another call and against runs that are not counted.
func TestEchoAndCount(t *testing.T) {
	s, url := startServer(t)
	for run := 1; run <= 2; run++ {
		status, body, err := sendCall(t, http.MethodPut, url+"/rides/7", "k", "seat 2")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		var echo Echo
		must.NoError(t, json.Unmarshal([]byte(body), &echo))
		must.Eq(t, Echo{RequestID: "r-k", IdempotencyKey: "k", Method: "PUT", Path: "/rides/7", Body: "seat 2", Run: run}, echo)
	}
	got := s.Records(1)
	must.Eq(t, map[string]int{"o/k": 2}, got.Runs)
	must.Len(t, 1, got.Records)
	must.Eq(t, 2, got.Records[0].N)
	must.False(t, got.Records[0].RanAt.Before(got.Records[0].StartedAt))
}

// Guards against FaultFailBefore running the call, and against FaultFailAfter or FaultHang not running it.
func TestFaults(t *testing.T) {
	s, url := startServer(t)
	status, _, err := sendCall(t, http.MethodPost, url+"/control/faults", "", `{"kind":"fail_before","count":1}`)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.NoError(t, s.Inject(Fault{Kind: FaultFailAfter, Count: 1}))
	must.NoError(t, s.Inject(Fault{Kind: FaultHang, Count: 1, HangMS: 1}))
	status, body, err := sendCall(t, http.MethodPost, url+"/x", "before", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.StrContains(t, body, `"ran":false`)
	status, _, err = sendCall(t, http.MethodPost, url+"/x", "after", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusInternalServerError, status)
	_, _, err = sendCall(t, http.MethodPost, url+"/x", "hang", "")
	must.Error(t, err)
	status, _, err = sendCall(t, http.MethodPost, url+"/x", "well", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, map[string]int{"o/after": 1, "o/hang": 1, "o/well": 1}, s.Records(0).Runs)
	for _, fault := range []Fault{{}, {Kind: "x", Count: 1}, {Kind: FaultHang}, {Kind: FaultHang, Count: 1, HangMS: -1}} {
		must.Error(t, s.Inject(fault))
	}
}

// Guards against control paths without a handler and against control requests with unknown fields that are accepted.
func TestControl(t *testing.T) {
	s, url := startServer(t)
	status, _, err := sendCall(t, http.MethodPost, url+"/control/latency", "", `{"latency_ms":25}`)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	_, _, err = sendCall(t, http.MethodGet, url+"/x", "k", "")
	must.NoError(t, err)
	record := s.Records(0).Records[0]
	must.GreaterEq(t, 25, record.RanAt.Sub(record.StartedAt).Milliseconds())
	must.NoError(t, s.Inject(Fault{Kind: FaultFailBefore, Count: 9}))
	status, _, err = sendCall(t, http.MethodDelete, url+"/control/faults", "", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	status, body, err := sendCall(t, http.MethodGet, url+"/control/record", "", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, `"o/k":1`)
	status, _, err = sendCall(t, http.MethodPost, url+"/control/faults", "", `{"kind":"hang","cuont":1}`)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadRequest, status)
}
