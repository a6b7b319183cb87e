package configuration

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// longOutageAge is the age of the last confirmation above which the rounds of queries become less frequent.
const longOutageAge = 4 * time.Second

// survey runs on every host until ctx is cancelled. On a relay whose confirmation is old, it queries all other relays
// to find out whether the platform is down or this host is partitioned. The relays apply what the others have, so that
// the newest view spreads among them during an outage too.
func (f *Follower) survey(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		confirmed := f.current.Load().freshness.Confirmed
		route := f.route()
		stale := confirmed.IsZero() || age(now, confirmed) > ticket.OutageAfter
		if route.relay && stale {
			f.surveyOnce(ctx, route)
		}
		ticker.Sleep(ctx, f.surveyPause(now, confirmed))
	}
}

func (f *Follower) surveyPause(now, confirmed time.Time) time.Duration {
	if !confirmed.IsZero() && age(now, confirmed) > longOutageAge {
		return jitter(f.timings.longOutageSurveyInterval)
	}
	return f.timings.surveyInterval
}

func (f *Follower) surveyOnce(ctx context.Context, route route) {
	requestedAt := time.Now()
	results := f.queryRelays(ctx, route.all)
	if err := f.submit(ctx, f.current.Load().evaluateSurvey(requestedAt, route.relayCount(), results)); err != nil {
		f.recordResult(err)
	}
}

// evaluateSurvey evaluates one round of queries by the voters among the relays that responded. If non-voters counted, a
// host that restarts during an outage would help to establish it with an empty or old view, and would then accept a
// withdrawn key or reject a valid one.
func (s *snapshot) evaluateSurvey(requestedAt time.Time, relays int, results []relayResult) update {
	var confirmed []time.Time
	for _, result := range results {
		if result.err == nil && result.voter {
			confirmed = append(confirmed, result.freshness.Confirmed)
		}
	}
	u := update{voter: 2*len(confirmed) > relays}
	if s.voter {
		confirmed = append(confirmed, s.freshness.Confirmed)
	}
	if ticket.OutageEstablished(requestedAt, relays, confirmed) {
		u.freshness.OutageSeen = requestedAt
	}
	return u
}
