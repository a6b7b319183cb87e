package process

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// freshnessInterval is how often a host looks whether it serves. A view is fresh for 3 s, so no lasting isolation is missed.
const freshnessInterval = 500 * time.Millisecond

// freshnessLog logs when a host begins and ends to refuse all requests because nothing confirms its configuration. Without
// it an operator would find a process that says "serving" and refuses.
type freshnessLog struct {
	follower *configuration.Follower
	log      zerolog.Logger
	work     conc.WaitGroup
}

// newFreshnessLog logs until ctx ends.
func newFreshnessLog(ctx context.Context, follower *configuration.Follower, log zerolog.Logger) *freshnessLog {
	f := &freshnessLog{follower: follower, log: log}
	f.work.Go(func() {
		fresh, told := false, false
		ticker.Every(ctx, freshnessInterval, func(now time.Time) {
			if next := follower.Fresh(now); next != fresh || !told {
				fresh, told = next, true
				f.tell(fresh)
			}
		})
	})
	return f
}

func (f *freshnessLog) tell(fresh bool) {
	if fresh {
		f.log.Info().Int("ticket", f.follower.View().LastTicket()).Msg("configuration confirmed: requests are taken")
		return
	}
	f.log.Warn().Interface("configuration", f.follower.State()).Msg("isolated: all requests are refused until the configuration is confirmed")
}

func (f *freshnessLog) wait() { f.work.Wait() }
