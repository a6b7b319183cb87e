// Package ticker waits, and does the work that hosts repeat at an interval.
package ticker

import (
	"context"
	"time"
)

// Every does the work after each interval until ctx ends. Work that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Not the tick's own time: a process that was stopped would judge a lease by a moment before that.
			work(time.Now())
		}
	}
}
