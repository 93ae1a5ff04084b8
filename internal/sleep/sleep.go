// Package sleep waits for a time or for the end of a context, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still in force.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
