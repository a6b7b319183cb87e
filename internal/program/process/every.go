package process

import (
	"context"
	"time"
)

// every does the work after each interval until ctx ends. Work that takes longer than the interval delays the next.
func every(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			work(now)
		}
	}
}
