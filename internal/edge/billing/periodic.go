package billing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// jitterFraction is the largest deviation from the mean interval, as a fraction of it. It spreads the work
// of hosts that started at the same time.
const jitterFraction = 0.2

// periodic runs a function at randomised intervals.
type periodic struct {
	interval time.Duration
	group    conc.WaitGroup
}

// start runs work at each interval until ctx ends. With an interval of 0 it does nothing.
func (p *periodic) start(ctx context.Context, work func(context.Context)) {
	if p.interval <= 0 {
		return
	}
	p.group.Go(func() {
		for {
			timer := time.NewTimer(jitter(p.interval))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			work(ctx)
		}
	})
}

// Wait blocks until the goroutine that runs the work has ended, which it does after its context ends.
func (p *periodic) Wait() {
	p.group.Wait()
}

// jitter returns a random duration within jitterFraction of the mean.
func jitter(mean time.Duration) time.Duration {
	factor := 1 - jitterFraction + 2*jitterFraction*rand.Float64()
	return time.Duration(float64(mean) * factor)
}
