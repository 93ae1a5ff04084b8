// Package prompts shows by the log lines of a fleet's routers how the prefill of prompts delays other requests at the same endpoints.
package prompts

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Request is one request that was sent to a model engine. Times are milliseconds on one clock.
type Request struct {
	ID, Kind, Endpoint, Router string
	// Done is set if the request was served to its end.
	Done bool
	// Arrived is the time at the router, Sent that of the latest attempt, First that of the first event (0 if there was none), End
	// that of the end.
	Arrived, Sent, First, End float64
	// Pause is the longest wait for an event after the first one, which ended at PauseEnd.
	Pause, PauseEnd float64
	// Aim and PauseAim are the longest First - Arrived and Pause of a stream that is on time.
	Aim, PauseAim float64
	Tokens        int
	// Believed is the number of cached tokens that the router assumed.
	Believed int
	// Parts are the ids of the prompt's shared parts, PartEnds the tokens of the prompt up to the end of each.
	Parts    []string
	PartEnds []int
}

// line holds the fields of a router's line about the end of a request.
type line struct {
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
	Fields    struct {
		Request     string   `json:"request"`
		Route       string   `json:"route"`
		Endpoint    string   `json:"endpoint"`
		Total       float64  `json:"total_ms"`
		First       *float64 `json:"first_ms"`
		Sent        *float64 `json:"sent_ms"`
		Pause       float64  `json:"pause_ms"`
		PauseEnded  float64  `json:"pause_ended_ms"`
		Aim         float64  `json:"aim_ms"`
		PauseAim    float64  `json:"pause_aim_ms"`
		Prompt      int      `json:"prompt_tokens"`
		Cached      int      `json:"cached"`
		Parts       []string `json:"parts"`
		PartEnds    []int    `json:"part_ends"`
		ForRouter   bool     `json:"for_router"`
		WasSent     bool     `json:"sent"`
		FailedCause string   `json:"cause"`
	} `json:"fields"`
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Read returns the requests that were sent to model engines, by the JSON log lines in r, in the order in which they were sent. Each line
// may begin with other text, which names the router. Lines without JSON are left out; a line that begins as JSON and can't be read is an
// error.
func Read(r io.Reader) ([]Request, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	var requests []Request
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Bytes()
		start := bytes.Index(text, []byte(`{"fields":`))
		if start < 0 || !bytes.Contains(text, []byte(`"prompt_tokens":`)) {
			continue
		}
		var l line
		if err := json.Unmarshal(text[start:], &l); err != nil {
			return nil, fmt.Errorf("prompts: line %d: %w", number, err)
		}
		if request, ok := l.request(); ok {
			if words := strings.Fields(string(text[:start])); len(words) > 0 {
				request.Router = words[len(words)-1]
			}
			requests = append(requests, request)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("prompts: read log: %w", err)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return compare(a.Sent, b.Sent) })
	return requests, nil
}

// request returns the line's request, and false if it wasn't sent by the line's router.
func (l *line) request() (Request, bool) {
	f := &l.Fields
	if !strings.HasPrefix(l.Message, "request_") || f.Sent == nil || f.Endpoint == "" || !f.WasSent {
		return Request{}, false
	}
	end := float64(l.Timestamp.UnixNano()) / float64(time.Millisecond)
	arrived := end - f.Total
	r := Request{
		ID: f.Request, Kind: f.Route, Endpoint: f.Endpoint, Done: l.Message == "request_done",
		Arrived: arrived, Sent: arrived + *f.Sent, End: end, Pause: f.Pause, PauseEnd: arrived + f.PauseEnded,
		Aim: f.Aim, PauseAim: f.PauseAim, Tokens: f.Prompt, Believed: f.Cached, Parts: f.Parts, PartEnds: f.PartEnds,
	}
	if f.First != nil {
		r.First = arrived + *f.First
	}
	return r, true
}
