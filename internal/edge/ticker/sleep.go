package ticker

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false if ctx ended first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
