package relay

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// exchange streams from one endpoint, beginning with the first token that was not delivered yet.
func (c *chatRun) exchange(ctx context.Context, target Target, start time.Time) error {
	body, err := engineBody(c.chat, c.delivered)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	opened, err := c.open(ctx, target, body)
	if err != nil {
		return err
	}
	defer opened.Close()
	stop := context.AfterFunc(ctx, func() { c.client.cancel(target.Address, c.chat.ID) })
	defer stop()
	moved := c.moveAway(target)
	reader := newFrameReader(opened.body, c.chat.ID, c.delivered)
	err = c.copyTokens(ctx, reader, target, start)
	c.Metrics.dropped(reader.dropped)
	if moved() && err != nil {
		return fmt.Errorf("%w: %w", errMoved, err)
	}
	return err
}

// errMoved means that the stream was ended at an endpoint that is about to be switched off.
var errMoved = errors.New("relay: moved away from a leaving endpoint")

// moveAway cancels the request at the endpoint once its VM is about to be switched off, so that the rest is
// resumed elsewhere. The returned function ends the watch and reports whether that happened.
func (c *chatRun) moveAway(target Target) func() bool {
	if target.Evacuate == nil {
		return func() bool { return false }
	}
	// A context's callback needs no goroutine for each open stream.
	stop := context.AfterFunc(target.Evacuate, func() { c.client.cancel(target.Address, c.chat.ID) })
	return func() bool { return !stop() }
}

func (c *chatRun) open(ctx context.Context, target Target, body []byte) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	opened, err := c.client.openStream(target.Address, c.chat.ID, c.chat.Organisation.ID, c.chat.IdempotencyKey, body)
	if err == nil || errors.Is(err, ErrBroken) {
		c.sent = true
	}
	return opened, err
}

func (c *chatRun) copyTokens(ctx context.Context, reader *frameReader, target Target, start time.Time) error {
	first := true
	for {
		p, err := reader.read()
		if err != nil {
			return err
		}
		if p.usage != nil {
			c.usage = *p.usage
		}
		if p.finish != "" {
			c.finish = p.finish
		}
		if p.token != nil {
			if first {
				first = false
				c.noteFirstToken()
				c.Selector.FirstToken(target)
				c.Crashes.ReportServed(target.VM)
				c.Metrics.firstToken(c.chat.Class.Name, time.Since(start))
			}
			if err := c.deliver(ctx, *p.token); err != nil {
				return err
			}
		}
		if p.complete {
			return c.checkWhole()
		}
	}
}

func (c *chatRun) deliver(ctx context.Context, token Token) error {
	select {
	case c.events <- Event{Token: token}:
		c.delivered++
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
}

// finishCancelled is the engine's finish reason for a request that was cancelled.
const finishCancelled = "cancelled"

// checkWhole compares the engine's own count with the tokens that arrived. A cancelled answer has an end marker
// too, but is not whole.
func (c *chatRun) checkWhole() error {
	if c.finish == finishCancelled {
		return fmt.Errorf("%w: the engine cancelled the request", ErrBroken)
	}
	if c.usage.CompletionTokens != c.delivered {
		return fmt.Errorf("%w: engine counted %d tokens, %d arrived", ErrBroken, c.usage.CompletionTokens, c.delivered)
	}
	return nil
}
