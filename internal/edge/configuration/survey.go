package configuration

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// longOutage is when the rounds of questions get rarer.
const longOutage = 10 * time.Second

// survey is the goroutine that finds out, on a relay, whether the platform is down or this host is cut
// off. It asks all other relays while the own confirmation is old. All relays take in what the others
// know, so that the newest view spreads among them in an outage too.
func (f *Follower) survey(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		confirmed := f.current.Load().freshness.Confirmed
		route := f.route()
		old := confirmed.IsZero() || age(now, confirmed) > ticket.OutageAfter
		if route.relay && old {
			f.surveyOnce(ctx, route)
		}
		pause(ctx, f.surveyPause(now, confirmed))
	}
}

func (f *Follower) surveyPause(now, confirmed time.Time) time.Duration {
	if !confirmed.IsZero() && age(now, confirmed) > longOutage {
		return jitter(f.waits.longSurvey)
	}
	return f.waits.survey
}

func (f *Follower) surveyOnce(ctx context.Context, route route) {
	asked := time.Now()
	confirmed := []time.Time{f.current.Load().freshness.Confirmed}
	for _, answer := range f.round(ctx, route.all) {
		if answer.err == nil {
			confirmed = append(confirmed, answer.freshness.Confirmed)
		}
	}
	if !ticket.OutageEstablished(asked, route.count(), confirmed) {
		return
	}
	outage := ticket.Freshness{Outage: asked}
	f.note(f.deliver(ctx, arrival{freshness: outage}))
}
