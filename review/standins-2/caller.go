package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	status int
	header http.Header
	body   string
	// complete is set if the answer looked complete to the caller: its body ended as its head says.
	complete bool
	err      error
}

// events returns the number of whole events in the body.
func (a *answer) events() int { return strings.Count(a.body, "\n\n") }

// isSuccess reports whether the answer is a whole success of an engine, as it looks to the caller.
func (a *answer) isSuccess() bool {
	return a.complete && a.status >= 200 && a.status < 300 && a.header.Get("Response-Signature") != ""
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, %d events, complete: %t", a.status, len(a.body), a.events(), a.complete)
}

// callerRequest is one request of a caller.
type callerRequest struct {
	method, path, id string
	deadline         time.Duration
	header           map[string]string
	body             string
}

// send sends a request over a connection of its own and waits for the answer.
func send(address string, q callerRequest) *answer {
	r, err := http.NewRequest(q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return &answer{err: err}
	}
	r.Host = hostName
	r.GetBody = nil // The client must not repeat the request.
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: q.deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(r)
	if err != nil {
		return &answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}

// promptHeader returns the headers of a request to a model engine.
func promptHeader() map[string]string {
	return map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", promptTokens, outputTokens), "Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
}
