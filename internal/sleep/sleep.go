// Package sleep waits for a duration or for the end of a context, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx has ended.
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
