package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
	"github.com/lavendershunt/lavendershunt/pkg/service"
)

// maxLineBytes is the largest length of one line of a stream.
const maxLineBytes = 1 << 20

var errNoOutcome = errors.New("the answer has no outcome")

// readEcho checks the echo of a plain service. A status other than 200 comes from the service itself, which means that
// the call ran.
func (x *exchange) readEcho(status int, body []byte) error {
	if status != http.StatusOK {
		x.attempt.Outcome, x.attempt.Reason = "unknown", "service_status"
		x.attempt.Detail = fmt.Sprintf("status %d", status)
		return nil
	}
	var echo service.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return err
	}
	x.attempt.Outcome = "done"
	x.request.Match = observation.MatchWhole
	if echo.Body != string(x.item.Body) || echo.IdempotencyKey != x.item.Key {
		x.request.Match, x.request.Crossed = observation.MatchOther, true
	}
	return nil
}

// readCompletion reads an answer that is not streamed.
func (x *exchange) readCompletion(status int, body []byte) error {
	var answer engine.Completion
	if err := json.Unmarshal(body, &answer); err != nil || status != http.StatusOK || len(answer.Choices) != 1 {
		return fmt.Errorf("%w: status %d", errNoOutcome, status)
	}
	x.attempt.Outcome = "done"
	x.request.Usage = int64(answer.Usage.TotalTokens)
	x.compareText(answer.Choices[0].Message.Content, true)
	return nil
}

// chunk holds the fields of a stream's chunk that a caller uses.
type chunk struct {
	Choices []engine.ChunkChoice `json:"choices"`
	Usage   *engine.Usage        `json:"usage"`
}

// readStream reads server-sent events up to the end of the answer, or until the caller hangs up.
func (x *exchange) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var text strings.Builder
	event, tokens := "", 0
	var usage *engine.Usage
	for lines.Scan() {
		x.idleTimer.Reset(x.item.Mix.IdleTimeout)
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case event == "error":
			x.compareText(text.String(), false)
			if !x.parseFailure([]byte(data)) {
				return errNoOutcome
			}
			return nil
		case data == "[DONE]":
			return x.finishStream(text.String(), usage)
		default:
			var c chunk
			if err := json.Unmarshal([]byte(data), &c); err != nil {
				return err
			}
			if c.Usage != nil {
				usage = c.Usage
			}
			if len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
				if tokens == 0 {
					x.attempt.FirstToken = time.Now()
				}
				if tokens == x.item.HangUpAfter {
					x.compareText(text.String(), false)
					x.attempt.Outcome = observation.HungUp
					x.hangUp()
					return nil
				}
				tokens++
				text.WriteString(c.Choices[0].Delta.Content)
			}
		}
	}
	x.compareText(text.String(), false)
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// finishStream accepts a stream as whole only if the usage arrived before the end mark.
func (x *exchange) finishStream(text string, usage *engine.Usage) error {
	if usage == nil {
		x.compareText(text, false)
		return errNoOutcome
	}
	x.attempt.Outcome = "done"
	x.request.Usage = int64(usage.TotalTokens)
	x.compareText(text, true)
	return nil
}
