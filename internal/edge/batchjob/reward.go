package batchjob

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

const (
	// rewardHedge is the part of its route's latency objective after which a reward call goes to a second server, and rewardTime how many
	// objectives it may take before it is begun anew.
	rewardHedge = 0.5
	rewardTime  = 2
	// rewardObjective stands for the objective of a route that names none.
	rewardObjective = time.Second
	// rewardSpare is how many places of each server reward calls leave to callers, whose requests can't wait.
	rewardSpare = 1
	// rewardPatience is how long a reward call waits for a place that callers leave before it competes with them.
	rewardPatience = time.Second
	// rewardPause is the pause before a reward call that brought no score is sent again.
	rewardPause = 60 * time.Millisecond
	// deniedPause is the pause while no route serves a reward call, or servers deny it.
	deniedPause = 500 * time.Millisecond
)

// startRewards sends the reward calls of items whose text is whole, as long as servers have places.
func (m *Manager) startRewards(ctx context.Context, j *job) {
	for m.startReward(ctx, j) {
	}
}

// startReward sends the next reward call; false if none waits or has a server.
func (m *Manager) startReward(ctx context.Context, j *job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	item, waited, ok := j.progress.NextReward(time.Now())
	if !ok {
		return false
	}
	route, ok := m.route(item.Reward.Host, item.Reward.Path)
	if !ok {
		j.progress.StartReward(item.ID)
		m.noteNoRoute(j, item)
		j.work.Go(func() { j.postponeReward(ctx, item) })
		return true
	}
	server, ok := m.book.Acquire(time.Now(), backend.Need{Pool: route.Pool(rand.Float64()), Within: waited < rewardPatience, Spare: rewardSpare})
	if !ok {
		return false
	}
	failures := j.progress.StartReward(item.ID)
	j.work.Go(func() { m.score(ctx, j, item, route, server, failures) })
	return true
}

// noteNoRoute logs the first reward call of a job that no route serves, and counts all. The caller holds the job's lock.
func (m *Manager) noteNoRoute(j *job, item *batch.Item) {
	m.metrics.scored(rewardNoRoute)
	if j.routeMissing {
		return
	}
	j.routeMissing = true
	m.log.Warn().Str("request", j.spec.ID).Str("item", item.ID).Str("reward", item.Reward.ID).Str("host", item.Reward.Host).
		Str("path", item.Reward.Path).Msg("reward call has no route")
}

// postponeReward puts an item back that no route serves: the configuration here may be old, or the next one may bring the route back.
func (j *job) postponeReward(ctx context.Context, item *batch.Item) {
	ticker.Sleep(ctx, deniedPause)
	j.unscored(time.Now(), item.ID, 0, 0)
}

// score sends an item's reward call and takes in what came of it. Failures is how often servers failed it before.
func (m *Manager) score(ctx context.Context, j *job, item *batch.Item, route routing.Route, server backend.Server, failures int) {
	started := time.Now()
	attempt, tally, err := m.calls.Send(ctx, m.rewardRequest(item.Reward, route, server, failures))
	score := ""
	if err == nil && attempt.Answer.Status < fasthttp.StatusMultipleChoices {
		score = attempt.Answer.Signature
	}
	m.noteReward(ctx, j, item, attempt, tally, err, started)
	if score != "" {
		j.scored(time.Now(), item.ID, score)
		return
	}
	pause := rewardPause
	if err == nil && tally.Failed == 0 {
		pause = deniedPause
	}
	ticker.Sleep(ctx, pause)
	j.unscored(time.Now(), item.ID, tally.Failed, route.MaxAttempts)
}

// rewardRequest returns a reward call as it goes to servers. Its route is looked up for each attempt, as the configuration may change.
func (m *Manager) rewardRequest(reward *batch.RewardCall, route routing.Route, first backend.Server, failures int) *call.Request {
	objective := route.LatencyObjective
	if objective <= 0 {
		objective = rewardObjective
	}
	end := time.Now().Add(rewardTime * objective)
	return &call.Request{
		ID: reward.ID,
		Pool: func() (string, bool) {
			now, ok := m.route(reward.Host, reward.Path)
			return now.Pool(rand.Float64()), ok
		},
		Build: func(to *fasthttp.Request, server backend.Server) {
			platform.FromReward(to, reward, platform.Hop{Server: server, Remaining: time.Until(end)})
		},
		End:         end,
		Repeatable:  true,
		MaxAttempts: max(1, route.MaxAttempts-failures),
		Hedge:       time.Duration(rewardHedge * float64(objective)),
		First:       &first,
	}
}

// noteReward logs what came of a reward call, and what decided it.
func (m *Manager) noteReward(ctx context.Context, j *job, item *batch.Item, attempt *call.Attempt, tally call.Tally, err error, started time.Time) {
	got := rewardOutcomeOf(attempt, err)
	m.metrics.scored(got)
	m.metrics.scoring(time.Since(started))
	line := m.log.Debug()
	if got != rewardScored && ctx.Err() == nil {
		line = m.log.Info()
	}
	if attempt != nil {
		line = line.Str("server", attempt.Server.ID).Int("status", attempt.Answer.Status)
	}
	line.Str("request", j.spec.ID).Str("item", item.ID).Str("reward", item.Reward.ID).Str("outcome", string(got)).Int("sent", tally.Sent).
		Int("notRun", tally.NotRun).Int("failed", tally.Failed).AnErr("cause", err).Dur("took", time.Since(started)).Msg("reward call ended")
}

func rewardOutcomeOf(attempt *call.Attempt, err error) rewardOutcome {
	switch {
	case err != nil:
		return rewardNoAnswer
	case attempt.Answer.Status < fasthttp.StatusMultipleChoices:
		return rewardScored
	default:
		return rewardFailed
	}
}

// scored takes in the score of an item.
func (j *job) scored(now time.Time, item, score string) {
	j.mu.Lock()
	j.progress.Scored(now, item, score)
	j.mu.Unlock()
	j.wake()
}

// unscored takes in that a reward call brought no score.
func (j *job) unscored(now time.Time, item string, failures, maxAttempts int) {
	j.mu.Lock()
	j.progress.Unscored(now, item, failures, maxAttempts)
	j.mu.Unlock()
	j.wake()
}
