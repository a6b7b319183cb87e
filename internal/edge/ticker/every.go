// Package ticker waits and runs periodic work.
package ticker

import (
	"context"
	"time"
)

// Every calls work after each interval until ctx ends. Work that takes longer than the interval delays the next call.
func Every(ctx context.Context, interval time.Duration, work func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// The tick's own time may lie before a pause of the process, and a lease that expired during the pause would
			// then seem valid.
			work(time.Now())
		}
	}
}
