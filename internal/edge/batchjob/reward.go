package batchjob

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// rewardHedgeFraction is the part of its route's latency objective after which a reward call goes to a second server, and
	// rewardTimeoutFactor how many objectives it may take before it is sent again.
	rewardHedgeFraction = 0.5
	rewardTimeoutFactor = 2
	// defaultRewardObjective is the latency objective of a route that has none.
	defaultRewardObjective = time.Second
	// rewardReservedSlots is how many slots of each server reward calls leave to callers, whose requests can't wait.
	rewardReservedSlots = 1
	// rewardMaxWait is how long a reward call waits for a slot that callers leave free before it competes with them.
	rewardMaxWait = time.Second
	// rewardRetryDelay is the pause before a reward call that brought no score is sent again.
	rewardRetryDelay = 60 * time.Millisecond
	// rewardDeniedDelay is that pause if no route serves the call, or servers deny it.
	rewardDeniedDelay = 500 * time.Millisecond
)

// rewardTarget is what selects the route of a reward call.
type rewardTarget struct {
	host, path string
}

// startRewards sends the reward calls of items whose text is complete, as long as servers have free slots.
func (m *Manager) startRewards(ctx context.Context, j *job) {
	full := map[rewardTarget]bool{}
	for m.startReward(ctx, j, full) {
	}
}

// startReward sends the next reward call, or notes that no server has a free slot for its route. It returns false if no call to another route
// waits.
func (m *Manager) startReward(ctx context.Context, j *job, full map[rewardTarget]bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	item, waited, ok := j.progress.NextRewardExcept(time.Now(), func(r *batch.RewardCall) bool { return full[rewardTarget{r.Host, r.Path}] })
	if !ok {
		return false
	}
	route, ok := m.route(item.Reward.Host, item.Reward.Path)
	if !ok {
		j.progress.StartReward(item.ID)
		m.logNoRoute(j, item)
		j.wg.Go(func() { j.postponeReward(ctx, item) })
		return true
	}
	server, ok := m.balancer.Acquire(time.Now(), backend.Requirements{
		Pool:          route.Pool(rand.Float64()),
		Regions:       routing.CommonRegions(route.Regions, j.spec.Regions),
		Deferrable:    waited < rewardMaxWait,
		ReservedSlots: rewardReservedSlots,
	})
	if !ok {
		full[rewardTarget{item.Reward.Host, item.Reward.Path}] = true
		return true
	}
	failures := j.progress.StartReward(item.ID)
	attempts := max(1, min(route.MaxAttempts-failures, j.progress.RewardAttempts(item.ID)))
	j.wg.Go(func() { m.sendReward(ctx, j, item, route, server, attempts) })
	return true
}

// logNoRoute counts a reward call that no route serves, and logs the first one of a job. The caller holds the job's lock.
func (m *Manager) logNoRoute(j *job, item *batch.Item) {
	m.metrics.countReward(rewardNoRoute)
	if j.noRouteLogged {
		return
	}
	j.noRouteLogged = true
	m.log.Warn().Str("request", j.spec.ID).Str("item", item.ID).Str("reward", item.Reward.ID).Str("host", item.Reward.Host).
		Str("path", item.Reward.Path).Msg("reward call has no route")
}

// postponeReward requeues an item after a pause if no route serves it: the configuration here may be old, or the next one may bring the
// route back.
func (j *job) postponeReward(ctx context.Context, item *batch.Item) {
	ticker.Sleep(ctx, rewardDeniedDelay)
	j.requeueReward(item.ID)
}

// sendReward sends an item's reward call, to as many servers as attempts says, and records the score, if any.
func (m *Manager) sendReward(ctx context.Context, j *job, item *batch.Item, route routing.Route, server backend.Server, attempts int) {
	started := time.Now()
	attempt, tally, err := m.calls.Send(ctx, m.rewardRequest(j.spec, item.Reward, route, server, attempts))
	score := ""
	if err == nil && attempt.Answer.Status < fasthttp.StatusMultipleChoices {
		score = attempt.Answer.Signature
	}
	if err == nil {
		attempt.Release()
	}
	m.logReward(ctx, j, item, attempt, tally, err, started)
	if score != "" {
		m.clearServerEnds(j, item.ID, true)
		j.applyScore(time.Now(), item.ID, score)
		return
	}
	pause := rewardRetryDelay
	if err == nil && tally.Failed == 0 {
		pause = rewardDeniedDelay
	}
	j.recordRewardFailures(time.Now(), item.ID, tally.Failed, route.MaxAttempts)
	m.checkRewardServers(ctx, j, item.ID, tally)
	ticker.Sleep(ctx, pause)
	j.requeueReward(item.ID)
}

// checkRewardServers finds out which of the servers have ended that interrupted a reward call or didn't answer it in time.
func (m *Manager) checkRewardServers(ctx context.Context, j *job, item string, tally call.Tally) {
	servers := slices.Concat(tally.Interrupted, tally.Unanswered)
	var runs []interruptedRun
	for _, server := range servers {
		use := serverUse{item: item, server: server.Key(), address: server.Address, reward: true, pool: server.Pool}
		runs = append(runs, j.recordInterruption(time.Now(), use))
	}
	for i := range runs {
		m.checkServer(ctx, j, runs[i], i >= len(tally.Interrupted))
	}
}

// rewardRequest returns a reward call as it goes to servers. Its route is looked up for each attempt, as the configuration may change.
func (m *Manager) rewardRequest(spec *batch.Job, reward *batch.RewardCall, route routing.Route, first backend.Server, attempts int) *call.Request {
	objective := route.LatencyObjective
	if objective <= 0 {
		objective = defaultRewardObjective
	}
	end := time.Now().Add(rewardTimeoutFactor * objective)
	return &call.Request{
		ID: reward.ID,
		Pool: func() (string, bool) {
			now, ok := m.route(reward.Host, reward.Path)
			return now.Pool(rand.Float64()), ok
		},
		Regions: routing.CommonRegions(route.Regions, spec.Regions),
		Build: func(to *fasthttp.Request, server backend.Server) {
			platform.BuildRewardRequest(to, reward, platform.Hop{Server: server, Remaining: time.Until(end)})
		},
		Deadline:    end,
		Idempotent:  true,
		MaxAttempts: attempts,
		HedgeDelay:  time.Duration(rewardHedgeFraction * float64(objective)),
		FirstServer: &first,
	}
}

// logReward logs and counts the outcome of a reward call.
func (m *Manager) logReward(ctx context.Context, j *job, item *batch.Item, attempt *call.Attempt, tally call.Tally, err error, started time.Time) {
	result := rewardOutcomeOf(attempt, err)
	m.metrics.countReward(result)
	m.metrics.observeRewardTime(time.Since(started))
	line := m.log.Debug()
	if result != rewardScored && ctx.Err() == nil {
		line = m.log.Info()
	}
	if attempt != nil {
		line = line.Str("server", attempt.Server.ID).Int("status", attempt.Answer.Status)
	}
	line.Str("request", j.spec.ID).Str("item", item.ID).Str("reward", item.Reward.ID).Str("outcome", string(result)).Int("sent", tally.Sent).
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

// applyScore records the score of an item.
func (j *job) applyScore(now time.Time, item, score string) {
	j.mu.Lock()
	j.progress.RecordScore(now, item, score)
	j.mu.Unlock()
	j.wake()
}

// recordRewardFailures records how often servers failed a reward call.
func (j *job) recordRewardFailures(now time.Time, item string, failures, maxAttempts int) {
	j.mu.Lock()
	j.progress.RecordRewardFailures(now, item, failures, maxAttempts)
	j.mu.Unlock()
	j.wake()
}

// requeueReward queues a reward call that brought no score again.
func (j *job) requeueReward(item string) {
	j.mu.Lock()
	j.progress.RequeueReward(item)
	j.mu.Unlock()
	j.wake()
}
