package batchjob

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
)

// endConfirmTime is how long after an interruption a missing or new registration of its server shows that the server ended. A registration
// expires after three missed heartbeats.
const endConfirmTime = 5 * time.Second

// ServerEnds returns the counts of ended servers to send to other entries, by item.
func (m *Manager) ServerEnds(now time.Time) map[string]batch.ServerEnds {
	return m.serverEnds.shared(now)
}

// MergeServerEnds applies the counts that another entry sent.
func (m *Manager) MergeServerEnds(now time.Time, counts map[string]batch.ServerEnds) {
	increased := false
	for item, ends := range counts {
		increased = m.serverEnds.merge(now, item, ends) || increased
	}
	if !increased {
		return
	}
	for _, j := range m.runningJobs() {
		j.mu.Lock()
		j.progress.MergeServerEnds(m.serverEnds.get)
		j.mu.Unlock()
	}
}

// runningJobs returns the jobs that run here, unaccepted ones included.
func (m *Manager) runningJobs() []*job {
	m.mu.Lock()
	defer m.mu.Unlock()
	jobs := slices.AppendSeq(slices.Collect(maps.Values(m.jobs)), maps.Values(m.unacceptedLocked()))
	return slices.DeleteFunc(jobs, func(j *job) bool { return !j.isRunning() })
}

// exchangeServerEnds applies known counts to a job that starts, and keeps those that its pages brought. The caller holds the job's lock.
func (m *Manager) exchangeServerEnds(now time.Time, j *job) {
	j.progress.MergeServerEnds(m.serverEnds.get)
	for i := range j.spec.Items {
		item := j.spec.Items[i].ID
		m.serverEnds.merge(now, item, j.progress.ServerEnds(item))
	}
}

// mayRunAt reports whether the item may run at the server: a suspect runs only where no other one does, unless it has waited for too long,
// and one that needs an idle server only where nothing else runs. The caller holds the job's lock.
func (m *Manager) mayRunAt(j *job, item, server string) bool {
	if !j.progress.Suspect(item) {
		return true
	}
	return !m.excludedServers(j, item)[server]
}

// excludedServers returns the servers at which a suspect may not run, as a set. The caller holds the job's lock.
func (m *Manager) excludedServers(j *job, item string) map[string]bool {
	now := time.Now()
	excluded := map[string]bool{}
	if j.progress.KeepsApart(now, item) {
		excluded = m.serverEnds.suspectServers(item)
	}
	if j.progress.NeedsIdleServer(now, item) {
		for server := range m.balancer.TotalRunning() {
			excluded[server] = true
		}
	}
	return excluded
}

// serverUse is the use of a server by an item or, if reward is set, by its reward call.
type serverUse struct {
	item   string
	server backend.Key
	reward bool
	// pool is the server's pool.
	pool string
	// stalled is set if the run brought no event. It isn't known of reward calls.
	stalled bool
}

// identity returns what tells the uses of servers apart.
func (u serverUse) identity() serverUse {
	return serverUse{item: u.item, server: u.server, reward: u.reward}
}

// interruptedRun is a run that was interrupted at a server.
type interruptedRun struct {
	serverUse

	at time.Time
}

// recordInterruption records an interrupted run, whose server may have ended.
func (j *job) recordInterruption(now time.Time, use serverUse) interruptedRun {
	run := interruptedRun{serverUse: use, at: now}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.interruptedRuns = append(j.interruptedRuns, run)
	return run
}

// uncountedServers returns the servers at which runs of the item, or its reward calls, were interrupted and which haven't been counted as
// ended.
func (j *job) uncountedServers(item string, reward bool) []backend.Key {
	j.mu.Lock()
	defer j.mu.Unlock()
	var servers []backend.Key
	for _, run := range j.interruptedRuns {
		if run.item == item && run.reward == reward && !j.endedUnder[run.identity()] {
			servers = append(servers, run.server)
		}
	}
	return servers
}

// checkServer finds out whether the server of an interrupted run has ended, and counts that for the item. If a probe can't tell, the
// registration of the server may tell later.
func (m *Manager) checkServer(ctx context.Context, j *job, run interruptedRun, address netip.AddrPort) {
	if errors.Is(m.probes.probe(ctx, address), exchange.ErrEnded) {
		m.balancer.RecordEnd(time.Now(), run.server)
		m.countServerEnd(j, run, "connectionRefused")
	}
}

// confirmServerEnds counts the servers whose registration has been removed or replaced since a run of the job was interrupted there.
func (m *Manager) confirmServerEnds(now time.Time, j *job) {
	j.mu.Lock()
	runs := slices.Clone(j.interruptedRuns)
	j.mu.Unlock()
	for _, run := range runs {
		if !m.balancer.Registered(run.server) {
			m.countServerEnd(j, run, "registration")
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.interruptedRuns = slices.DeleteFunc(j.interruptedRuns, func(run interruptedRun) bool { return now.Sub(run.at) >= endConfirmTime })
}

// countServerEnd counts a server that ended under an item or its reward call, once for each of these.
func (m *Manager) countServerEnd(j *job, run interruptedRun, evidence string) {
	now := time.Now()
	j.mu.Lock()
	j.interruptedRuns = slices.DeleteFunc(j.interruptedRuns, func(other interruptedRun) bool { return other.identity() == run.identity() })
	if j.endedUnder[run.identity()] {
		j.mu.Unlock()
		return
	}
	j.endedUnder[run.identity()] = true
	switch {
	case run.reward:
		j.progress.RecordRewardServerEnd(run.item)
	case run.stalled:
		j.progress.RecordStalledServerEnd(run.item)
	default:
		j.progress.RecordServerEnd(run.item)
	}
	counted := j.progress.ServerEnds(run.item)
	j.mu.Unlock()
	m.serverEnds.count(now, run.serverUse, counted)
	ends, ended, running := m.explainServerEnds(j, run.item)
	j.mu.Lock()
	j.progress.MergeItemServerEnds(run.item, ends)
	j.mu.Unlock()
	m.metrics.countServerEnd()
	m.log.Info().Str("request", j.spec.ID).Str("item", run.item).Str("server", run.server.ID).Bool("reward", run.reward).Str("evidence", evidence).
		Bool("stalled", run.stalled).Int("poolEnds", ended).Int("poolServers", running).Object("counts", endCounts(ends)).
		Bool("overLimit", ends.OverLimit()).Dur("after", now.Sub(run.at)).Msg("server ended under an item")
	j.wake()
}

// explainServerEnds applies what other ends in the pools say about the ends under an item of the job. Ends at which the item was interrupted
// too, and which haven't been counted under it yet, are no other ends. It returns the counts, and for the pool of
// the last counted end, how many of its servers ended at that time and how many run.
func (m *Manager) explainServerEnds(j *job, item string) (ends batch.ServerEnds, ended, running int) {
	known := m.serverEnds.find(item)
	from, to := known.firstAt.Add(-endConfirmTime), known.changedAt.Add(endConfirmTime)
	ends = known.ends
	// Only other entries may know of the ends, which don't name the pool.
	if pool := cmp.Or(known.pool, j.spec.Pool); pool != "" && ends.Item > 0 {
		ended, running = m.balancer.Ends(pool, from, to, j.uncountedServers(item, false)...)
		ends.ItemExplained = max(ends.ItemExplained, batch.ExplainedByChance(ended, ends.Item, running))
	}
	if known.rewardPool != "" {
		ended, running = m.balancer.Ends(known.rewardPool, from, to, j.uncountedServers(item, true)...)
		ends.RewardExplained = max(ends.RewardExplained, batch.ExplainedByChance(ended, ends.Reward, running))
	}
	m.serverEnds.merge(time.Now(), item, ends)
	return ends, ended, running
}

// reviewWithheld lets withheld items of the job run again whose ends are explained by now, or that are due for an isolated run.
func (m *Manager) reviewWithheld(now time.Time, j *job) {
	j.mu.Lock()
	withheld := j.progress.ReviewWithheld(now)
	j.mu.Unlock()
	for _, item := range withheld {
		ends, ended, running := m.explainServerEnds(j, item)
		due := m.serverEnds.dueForIsolatedRun(now, item)
		j.mu.Lock()
		j.progress.MergeItemServerEnds(item, ends)
		if due {
			j.progress.ReleaseForIsolatedRun(now, item)
		}
		released := !j.progress.IsWithheld(item)
		j.mu.Unlock()
		if released {
			m.log.Info().Str("request", j.spec.ID).Str("item", item).Bool("isolated", ends.OverLimit()).Int("poolEnds", ended).
				Int("poolServers", running).Object("counts", endCounts(ends)).Dur("delay", ends.RetryDelay()).Msg("withheld item released")
			j.wake()
		}
	}
}

// clearServerEnds records that a run of the item or, if reward is set, its reward call has completed, so that it isn't what ended the
// servers before.
func (m *Manager) clearServerEnds(j *job, item string, reward bool) {
	j.mu.Lock()
	known := j.progress.ServerEnds(item)
	cleared := known
	if reward {
		cleared.RewardExplained = known.Reward
	} else {
		cleared.ItemExplained = known.Item
	}
	j.progress.MergeItemServerEnds(item, cleared)
	j.mu.Unlock()
	if cleared == known {
		return
	}
	m.serverEnds.merge(time.Now(), item, cleared)
	m.log.Info().Str("request", j.spec.ID).Str("item", item).Bool("reward", reward).Object("counts", endCounts(cleared)).
		Msg("item completed after servers ended under it")
}

// endCounts logs counts of ended servers.
type endCounts batch.ServerEnds

// MarshalZerologObject adds the counts to a log line.
func (c endCounts) MarshalZerologObject(line *zerolog.Event) {
	line.Int("ends", c.Item).Int("explained", c.ItemExplained).Int("stalled", c.Stalled).Int("rewardEnds", c.Reward).
		Int("rewardExplained", c.RewardExplained)
}
