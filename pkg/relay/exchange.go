package relay

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// streamFrom streams the answer from one endpoint, beginning with the first token that was not delivered yet.
func (c *chatRun) streamFrom(ctx context.Context, target Target, start time.Time) error {
	body, err := engineBody(c.chat, c.deliveredTokens)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	engineStream, err := c.openStream(ctx, target, body)
	if err != nil {
		return err
	}
	defer engineStream.Close()
	stop := context.AfterFunc(ctx, func() { c.client.cancelRequest(target.Address, c.chat.ID) })
	defer stop()
	wasEvacuated := c.cancelOnEvacuation(target)
	reader := newFrameReader(engineStream.body, c.chat.ID, c.deliveredTokens)
	err = c.copyTokens(ctx, reader, target, start)
	c.Metrics.countDroppedFrames(reader.droppedFrames)
	if wasEvacuated() && err != nil {
		return fmt.Errorf("%w: %w", errEvacuated, err)
	}
	return err
}

// errEvacuated means that the stream was cancelled because the endpoint's VM is about to be switched off.
var errEvacuated = errors.New("relay: stream was cancelled because its endpoint is being withdrawn")

// cancelOnEvacuation cancels the request at the endpoint once its VM is about to be switched off, so that the rest is
// resumed elsewhere. The returned function ends the watch and reports whether the request was cancelled by it.
func (c *chatRun) cancelOnEvacuation(target Target) func() bool {
	if target.Evacuation == nil {
		return func() bool { return false }
	}
	// AfterFunc needs no goroutine for each open stream while it waits.
	stop := context.AfterFunc(target.Evacuation, func() { c.client.cancelRequest(target.Address, c.chat.ID) })
	return func() bool { return !stop() }
}

func (c *chatRun) openStream(ctx context.Context, target Target, body []byte) (*stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	engineStream, err := c.client.openStream(target.Address, c.chat.ID, c.chat.Organisation.ID, c.chat.IdempotencyKey, body)
	if err == nil || errors.Is(err, ErrBroken) {
		c.mayHaveRun = true
	}
	return engineStream, err
}

func (c *chatRun) copyTokens(ctx context.Context, reader *frameReader, target Target, start time.Time) error {
	isFirstToken := true
	for {
		p, err := reader.read()
		if err != nil {
			return err
		}
		if p.usage != nil {
			c.usage = *p.usage
		}
		if p.finishReason != "" {
			c.finishReason = p.finishReason
		}
		if p.token != nil {
			if isFirstToken {
				isFirstToken = false
				c.recordFirstTokenTime()
				c.Selector.ReportFirstToken(target)
				c.Crashes.ReportServed(target.VM)
				c.Metrics.recordFirstToken(c.chat.Class.Name, time.Since(start))
			}
			if err := c.deliver(ctx, *p.token); err != nil {
				return err
			}
		}
		if p.complete {
			return c.checkComplete()
		}
	}
}

func (c *chatRun) deliver(ctx context.Context, token Token) error {
	select {
	case c.events <- Event{Token: token}:
		c.deliveredTokens++
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
	}
}

// finishCancelled is the engine's finish reason for a request that was cancelled.
const finishCancelled = "cancelled"

// checkComplete compares the engine's token count with the number of delivered tokens. A cancelled answer has an end
// marker too, but is not complete.
func (c *chatRun) checkComplete() error {
	if c.finishReason == finishCancelled {
		return fmt.Errorf("%w: the engine cancelled the request", ErrBroken)
	}
	if c.usage.CompletionTokens != c.deliveredTokens {
		return fmt.Errorf("%w: engine counted %d tokens, %d arrived", ErrBroken, c.usage.CompletionTokens, c.deliveredTokens)
	}
	return nil
}
