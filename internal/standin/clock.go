// Package standin holds what the stand-ins of outside systems share: a clock, strict settings files and an HTTP
// server that stops on a signal.
package standin

import (
	"context"
	"time"
)

// Clock tells the time and waits. Tests that don't run in a testing/synctest bubble pass their own.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Sleep waits for d or until ctx ends, and then returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// SystemClock is the Clock of package time.
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
