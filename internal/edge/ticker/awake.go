package ticker

import (
	"context"
	"time"
)

const (
	// awakeIntervals is the number of intervals in which WithAwakeTimeout counts a timeout.
	awakeIntervals = 10
	// MaxExtension limits, in timeouts, how long a timeout may take because this process is busy.
	MaxExtension = 4
)

// WithAwakeTimeout returns a context that ends with the cause after the timeout.
//
// The timeout is counted in intervals. Those that end late, as this process was suspended, and those in which it was busy don't count, up to
// MaxExtension times as many as the timeout has. Otherwise a process that is short of processor time would give up
// on a peer whose answer has arrived and only waits to be read.
func WithAwakeTimeout(ctx context.Context, timeout time.Duration, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for counted, all := 0, 0; counted < awakeIntervals && all < MaxExtension*awakeIntervals; all++ {
			started := time.Now()
			if !Sleep(ctx, timeout/awakeIntervals) {
				return
			}
			if !Busy() && time.Since(started) < 2*timeout/awakeIntervals {
				counted++
			}
		}
		cancel(cause)
	}()
	return ctx, func() { cancel(context.Canceled) }
}
