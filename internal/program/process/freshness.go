package process

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/configuration"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// freshnessInterval is how often a host checks whether its configuration is fresh. A view stays fresh for 3 s, so no
// lasting isolation is missed.
const freshnessInterval = 500 * time.Millisecond

// freshnessLogger logs when a host starts and stops refusing all requests because its configuration isn't confirmed.
// Without it an operator would find a process that logged "serving" and refuses requests.
type freshnessLogger struct {
	follower *configuration.Follower
	log      zerolog.Logger
	work     conc.WaitGroup
}

// newFreshnessLogger starts a logger that runs until ctx ends.
func newFreshnessLogger(ctx context.Context, follower *configuration.Follower, log zerolog.Logger) *freshnessLogger {
	f := &freshnessLogger{follower: follower, log: log}
	f.work.Go(func() {
		fresh, logged := false, false
		ticker.Every(ctx, freshnessInterval, func(now time.Time) {
			if next := follower.Fresh(now); next != fresh || !logged {
				fresh, logged = next, true
				f.logState(fresh)
			}
		})
	})
	return f
}

func (f *freshnessLogger) logState(fresh bool) {
	if fresh {
		f.log.Info().Int("ticket", f.follower.View().LastTicket()).Msg("configuration confirmed: requests are accepted")
		return
	}
	f.log.Warn().Interface("configuration", f.follower.State()).Msg("isolated: all requests are refused until the configuration is confirmed")
}

func (f *freshnessLogger) wait() { f.work.Wait() }
