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

// maxBodyBytes is the largest size of an answer that is not streamed.
const maxBodyBytes = 8 << 20

// exchange is one attempt in progress.
type exchange struct {
	item    workload.Item
	request *observation.Request
	attempt observation.Attempt
	// idleTimer ends the exchange with errIdleTimeout when nothing arrives for the idle timeout of the mix.
	idleTimer *time.Timer
	// hangUp closes the connection.
	hangUp context.CancelFunc
}

// errIdleTimeout is the cause when the caller ends an exchange because nothing arrives.
var errIdleTimeout = errors.New("nothing arrived for too long")

// sendAttempt sends the request to one address and reads the answer.
func (c *Caller) sendAttempt(ctx context.Context, item workload.Item, r *observation.Request, address string) observation.Attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{item: item, request: r, attempt: observation.Attempt{Address: address, Start: time.Now()}}
	x.hangUp = func() { cancel(context.Canceled) }
	x.idleTimer = time.AfterFunc(item.Mix.IdleTimeout, func() { cancel(errIdleTimeout) })
	defer x.idleTimer.Stop()
	resp, err := c.send(ctx, item, address)
	if err == nil {
		x.attempt.RequestID = resp.Header.Get(relay.HeaderRequestID)
		err = x.read(resp)
		_ = resp.Body.Close()
	}
	if err != nil && x.attempt.Outcome == "" {
		x.recordFailure(ctx, err)
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

// recordFailure sets the outcome of an exchange that failed before an outcome arrived.
func (x *exchange) recordFailure(ctx context.Context, err error) {
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

// read reads the answer in one of its forms and sets the outcome of the attempt.
func (x *exchange) read(resp *http.Response) error {
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.readStream(resp.Body)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && x.parseFailure(body) {
		return nil
	}
	x.attempt.Stored = resp.Header.Get("X-LS-Stored-Result") == "true"
	if x.item.Chat == nil {
		return x.readEcho(resp.StatusCode, body)
	}
	return x.readCompletion(resp.StatusCode, body)
}

// failureBody is the body of every answer other than a whole answer.
type failureBody struct {
	Error struct {
		Outcome      string `json:"outcome"`
		Reason       string `json:"reason"`
		RequestID    string `json:"request_id"`
		RetryAfterMS int64  `json:"retry_after_ms"`
		Message      string `json:"message"`
	} `json:"error"`
}

// parseFailure sets the outcome of the attempt from the body. It reports whether the body contains an outcome.
func (x *exchange) parseFailure(body []byte) bool {
	var decoded failureBody
	if json.Unmarshal(body, &decoded) != nil || decoded.Error.Outcome == "" {
		return false
	}
	x.attempt.Outcome, x.attempt.Reason, x.attempt.Detail = decoded.Error.Outcome, decoded.Error.Reason, decoded.Error.Message
	x.attempt.RetryAfter = time.Duration(decoded.Error.RetryAfterMS) * time.Millisecond
	if decoded.Error.RequestID != "" {
		x.attempt.RequestID = decoded.Error.RequestID
	}
	return true
}

// compareText compares the text with the expected answer to this request. isWhole is set if the router declared the
// text to be the whole answer.
func (x *exchange) compareText(text string, isWhole bool) {
	switch {
	case text == x.item.Expected:
		x.request.Match = observation.MatchWhole
	case strings.HasPrefix(x.item.Expected, text):
		if text != "" {
			x.request.Match = observation.MatchPart
		}
		if isWhole {
			x.request.Truncated = true
		}
	default:
		x.request.Match = observation.MatchOther
		x.request.Crossed = true
	}
}
