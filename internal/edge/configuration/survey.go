package configuration

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// longOutage is when the rounds of questions get rarer.
const longOutage = 4 * time.Second

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
		ticker.Sleep(ctx, f.surveyPause(now, confirmed))
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
	answers := f.round(ctx, route.all)
	if err := f.deliver(ctx, f.current.Load().witness(asked, route.count(), answers)); err != nil {
		f.note(err)
	}
}

// witness judges one round of questions by the voters among those that answered. Without that rule a host
// that restarts in an outage would take part in establishing it by an empty or old view, and accept a
// withdrawn key or refuse a valid one by it.
func (s *snapshot) witness(asked time.Time, relays int, answers []answered) arrival {
	var confirmed []time.Time
	for _, answer := range answers {
		if answer.err == nil && answer.voter {
			confirmed = append(confirmed, answer.freshness.Confirmed)
		}
	}
	learnt := arrival{voter: 2*len(confirmed) > relays}
	if s.voter {
		confirmed = append(confirmed, s.freshness.Confirmed)
	}
	if ticket.OutageEstablished(asked, relays, confirmed) {
		learnt.freshness.OutageSeen = asked
	}
	return learnt
}
