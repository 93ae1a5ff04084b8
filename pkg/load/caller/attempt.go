package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/load/workload"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// maxBody bounds an answer that is not streamed.
const maxBody = 8 << 20

// exchange is one attempt in progress.
type exchange struct {
	item    workload.Item
	request *observation.Request
	attempt observation.Attempt
	// watchdog ends the exchange when nothing arrives for too long.
	watchdog *time.Timer
	hangUp   context.CancelFunc
}

// errSilent means that the caller gave up on a silent connection.
var errSilent = errors.New("nothing arrived for too long")

// attempt sends the request to one address.
func (c *Caller) attempt(ctx context.Context, item workload.Item, r *observation.Request, address string) observation.Attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{item: item, request: r, attempt: observation.Attempt{Address: address, Start: time.Now()}}
	x.hangUp = func() { cancel(context.Canceled) }
	x.watchdog = time.AfterFunc(item.Mix.Silence, func() { cancel(errSilent) })
	defer x.watchdog.Stop()
	resp, err := c.send(ctx, item, address)
	if err == nil {
		x.attempt.RequestID = resp.Header.Get(relay.HeaderRequestID)
		err = x.read(resp)
		_ = resp.Body.Close()
	}
	if err != nil && x.attempt.Outcome == "" {
		x.broken(ctx, err)
	}
	x.attempt.End = time.Now()
	return x.attempt
}

func (c *Caller) send(ctx context.Context, item workload.Item, address string) (*http.Response, error) {
	path := "/v1/chat/completions"
	if item.Mix.Service != "" {
		path = "/v1/services/" + item.Mix.Service + "/" + item.Mix.Path
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(item.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set(relay.HeaderIdempotencyKey, item.Key)
	req.Header.Set("X-LS-Class", item.Mix.Class)
	if item.Mix.Budget != "" {
		req.Header.Set("X-LS-Budget", item.Mix.Budget)
	}
	return c.HTTP.Do(req)
}

// broken tells how an exchange without an outcome ended.
func (x *exchange) broken(ctx context.Context, err error) {
	x.attempt.Outcome, x.attempt.Detail = observation.ConnectionBroken, err.Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		x.attempt.Outcome = observation.NotSent
	}
	if cause := context.Cause(ctx); cause != nil {
		x.attempt.TimedOut = true
		x.attempt.Detail = cause.Error()
	}
}

func (x *exchange) read(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.readStream(resp.Body)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && x.readFailure(body) {
		return nil
	}
	x.attempt.Stored = resp.Header.Get("X-LS-Stored-Result") == "true"
	if x.item.Chat == nil {
		return x.readEcho(resp.StatusCode, body)
	}
	return x.readWhole(resp.StatusCode, body)
}

// failureBody is the body of every answer that is not the whole answer.
type failureBody struct {
	Error struct {
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason"`
		RequestID    string `json:"request_id"`
		RetryAfterMS int64  `json:"retry_after_ms"`
		Message      string `json:"message"`
	} `json:"error"`
}

// readFailure reports whether the body tells an outcome.
func (x *exchange) readFailure(body []byte) bool {
	var told failureBody
	if json.Unmarshal(body, &told) != nil || told.Error.Outcome == "" {
		return false
	}
	x.attempt.Outcome, x.attempt.Reason, x.attempt.Detail = told.Error.Outcome, told.Error.Reason, told.Error.Message
	x.attempt.RetryAfter = time.Duration(told.Error.RetryAfterMS) * time.Millisecond
	if told.Error.RequestID != "" {
		x.attempt.RequestID = told.Error.RequestID
	}
	return true
}

// compare checks the text against the expected answer to this request.
func (x *exchange) compare(text string, whole bool) {
	switch {
	case text == x.item.Expected:
		x.request.Match = observation.MatchWhole
	case strings.HasPrefix(x.item.Expected, text):
		if text != "" {
			x.request.Match = observation.MatchPart
		}
		if whole {
			x.request.Truncated = true
		}
	default:
		x.request.Match = observation.MatchOther
		x.request.Crossed = true
	}
}
