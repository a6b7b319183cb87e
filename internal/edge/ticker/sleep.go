package ticker

import (
	"context"
	"time"
)

// Sleep waits for the length of time. It returns false if ctx ended first.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(max(0, length))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
