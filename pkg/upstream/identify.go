package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// identifyTimeout bounds the question of which process is at the other end of a connection. A call waits for it.
const identifyTimeout = 200 * time.Millisecond

// errNotIdentified means that the process at the other end of a connection didn't say when it was started.
var errNotIdentified = errors.New("upstream: the process is not identified")

// ErrRefused is wrapped by the errors of Call.Identify and Call.Accept after which the call must not be sent to the endpoint.
var ErrRefused = errors.New("upstream: the call must not be sent to this process")

// Run is the process at the other end of a connection. A connection never changes its process, whatever the address and the name of
// the endpoint stand for later.
type Run struct {
	// Known is set if the process has been asked for its start time and has answered.
	Known bool
	// Started is the start time as a Unix time in ms, 0 if the process doesn't say it.
	Started int64
}

// SendFunc sends a call. See Client.Send.
type SendFunc func(ctx context.Context, call Call) (*Response, error)

// maxQuestions is the number of connections on which a call asks for the start time: an endpoint may close one after its answer.
const maxQuestions = 2

// identify asks the process at the other end of a connection, which nothing was sent on for the call, and once more on another connection if
// the process closes it. If the process doesn't say its start time, it returns another connection whose process isn't known, provided
// that the call accepts one. It fails if a connection does.
func (c *Client) identify(ctx context.Context, connection *conn, call Call) (*conn, error) {
	askCtx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	for questions := 1; ; questions++ {
		kept, answered, err := c.ask(askCtx, connection, call)
		if err == nil && kept {
			c.Stats.Identified.Add(1)
			return connection, nil
		}
		_ = connection.Close() // The call was not sent on it.
		timedOut := askCtx.Err() != nil && ctx.Err() == nil
		if !answered && !timedOut || errors.Is(err, ErrRefused) {
			c.Stats.NotIdentified.Add(1)
			return nil, fmt.Errorf("%w: %w", errNotIdentified, err)
		}
		isLast := err != nil || questions == maxQuestions
		if isLast {
			if refused := call.accept(Run{}); refused != nil {
				c.Stats.NotIdentified.Add(1)
				return nil, errors.Join(refused, err)
			}
		}
		if err := c.reserve(call.Address); err != nil {
			return nil, err
		}
		if connection, err = c.open(ctx, call.Address, dialTimeout); err != nil {
			return nil, err
		}
		if isLast {
			c.Stats.NotIdentified.Add(1)
			return connection, nil
		}
	}
}

// ask asks the process at the other end of a connection for its start time. kept is set if the connection can carry a call after the
// answer, answered if there was one.
func (c *Client) ask(ctx context.Context, connection *conn, call Call) (kept, answered bool, err error) {
	started, err := call.Identify(ctx, func(ctx context.Context, question Call) (*Response, error) {
		response, err := c.sendOn(ctx, connection, question, func(*conn) { kept = true })
		answered = err == nil
		return response, err
	})
	if err == nil && kept {
		connection.run, connection.exchanges = Run{Known: true, Started: started}, 0
		connection.idleDeadline = time.Now().Add(connection.idleTimeout)
	}
	return kept, answered, err
}

// accept returns an error if the call must not be sent to the process.
func (call *Call) accept(run Run) error {
	if call.Accept == nil {
		return nil
	}
	return call.Accept(run)
}
