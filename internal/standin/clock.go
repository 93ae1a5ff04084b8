// Package standin holds what the stand-ins for external systems share: a clock, settings files that reject unknown
// fields, and an HTTP server that stops on a signal.
package standin

import (
	"context"
	"time"
)

// Clock is a source of time. Tests that don't run in a testing/synctest bubble pass their own implementation.
// Implementations must be safe for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d and returns nil, or until ctx ends and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the Clock that uses package time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
