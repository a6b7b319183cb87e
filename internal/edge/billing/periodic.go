package billing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// jitterPart spreads the work of hosts that started together.
const jitterPart = 0.2

// periodic does its owner's work at intervals.
type periodic struct {
	interval time.Duration
	group    conc.WaitGroup
}

// start does the work until the context ends; with an interval of 0 it doesn't.
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

// Wait returns when the work has ended with its context.
func (p *periodic) Wait() {
	p.group.Wait()
}

func jitter(mean time.Duration) time.Duration {
	factor := 1 - jitterPart + 2*jitterPart*rand.Float64()
	return time.Duration(float64(mean) * factor)
}
