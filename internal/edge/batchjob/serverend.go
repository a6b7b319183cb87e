package batchjob

import (
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
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// endConfirmTime is how long after an interruption a missing or new registration of its server shows that the server ended. A registration
// expires after three missed heartbeats.
const endConfirmTime = 5 * time.Second

// ServerEnds returns the counts of ended servers to send to other entries, by item.
func (m *Manager) ServerEnds(now time.Time) map[string]batch.ServerEnds {
	return m.serverEnds.Shared(now)
}

// MergeServerEnds applies the counts that another entry sent.
func (m *Manager) MergeServerEnds(now time.Time, counts map[string]batch.ServerEnds) {
	increased := false
	for item, ends := range counts {
		increased = m.serverEnds.Merge(now, item, ends) || increased
	}
	if !increased {
		return
	}
	for _, j := range m.runningJobs() {
		j.mu.Lock()
		j.progress.MergeServerEnds(m.serverEnds.At(now))
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
	j.progress.MergeServerEnds(m.serverEnds.At(now))
	for i := range j.spec.Items {
		item := j.spec.Items[i].ID
		m.serverEnds.Merge(now, item, j.progress.ServerEnds(item))
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
		excluded = m.serverEnds.SuspectServers(item)
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
	// address is where the server was reached.
	address netip.AddrPort
	reward  bool
	// pool is the server's pool.
	pool string
	// from and last are the last events known before the run and after it. They aren't known of reward calls.
	from, last int
	// lasted is the time from the beginning of the run to its interruption.
	lasted time.Duration
	// short is set if the run was to be a short one.
	short bool
	// cutOff is set if the run had left the server before the server ended.
	cutOff bool
}

// identity returns what tells the uses of servers apart.
func (u serverUse) identity() serverUse {
	return serverUse{item: u.item, server: u.server, reward: u.reward}
}

// endID identifies the end of the server.
func (u serverUse) endID() batch.EndID {
	return batch.NewEndID(u.server.ID, time.UnixMilli(u.server.Started), u.reward)
}

// interruptedRun is a run that was interrupted at a server.
type interruptedRun struct {
	serverUse

	at time.Time
	// silent is set if the server neither answered nor refused a connection.
	silent bool
	// unknownUntil is until when registrations didn't change because the store was unreachable; zero if it was reachable.
	unknownUntil time.Time
}

// recordInterruption records an interrupted run, whose server may have ended.
func (j *job) recordInterruption(now time.Time, use serverUse) interruptedRun {
	run := interruptedRun{serverUse: use, at: now}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.interruptedRuns = append(j.interruptedRuns, run)
	return run
}

// markSilent records that the server of an interrupted run neither answers nor refuses connections.
func (j *job) markSilent(run interruptedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.interruptedRuns {
		if j.interruptedRuns[i].identity() == run.identity() {
			j.interruptedRuns[i].silent = true
		}
	}
	j.updatePendingLocked(run.item)
}

// updatePendingLocked recomputes of how many servers of the item it isn't known whether they ended. The caller holds the job's lock.
func (j *job) updatePendingLocked(item string) {
	pending := map[bool]map[backend.Key]bool{false: {}, true: {}}
	for _, run := range j.interruptedRuns {
		if run.item == item && run.silent && !j.endedUnder[run.identity()] {
			pending[run.reward][run.server] = true
		}
	}
	for reward, servers := range pending {
		j.progress.SetPendingServerEnds(item, reward, len(servers))
	}
}

// watchServer counts the server of a run that has left it if the server ends all the same, about as long after the run began as those before. No other
// suspect is sent there meanwhile. An item waits for the result after its first short run since a server ended; later it goes on.
func (m *Manager) watchServer(ctx context.Context, r *itemRun, started time.Time, use serverUse, short bool) {
	j := r.job
	use.cutOff = true
	j.mu.Lock()
	known, watched := j.progress.ServerEnds(r.item.ID), j.watched[r.item.ID]
	j.mu.Unlock()
	from, until := known.WatchTime(m.poolEnds(time.Now(), j, r.item.ID))
	if item, _ := known.Uncleared(); item == 0 {
		until = 0
	}
	watch := func() {
		defer m.serverEnds.Ended(r.server.ID, r.item.ID)
		if until == 0 {
			return
		}
		ticker.Sleep(ctx, from-time.Since(started))
		if from > 0 && m.probes.ended(ctx, r.server.Address) {
			return
		}
		ticker.Sleep(ctx, until-time.Since(started))
		use.lasted = time.Since(started)
		ended := m.checkWatched(ctx, j, use)
		j.mu.Lock()
		defer j.mu.Unlock()
		j.watched[r.item.ID] = !ended
	}
	if !short || watched {
		j.wg.Go(watch)
		return
	}
	watch()
}

// checkWatched reports whether the server has ended or may have, which counts until it is known.
func (m *Manager) checkWatched(ctx context.Context, j *job, use serverUse) bool {
	err := m.probes.probe(ctx, use.address)
	switch {
	case ctx.Err() != nil:
		return false
	case errors.Is(err, exchange.ErrEnded):
		m.countServerEnd(j, interruptedRun{serverUse: use, at: time.Now()}, evidenceRefused)
	case !m.balancer.Registered(use.server):
		m.countServerEnd(j, interruptedRun{serverUse: use, at: time.Now()}, evidenceRegistration)
	case err != nil:
		j.markSilent(j.recordInterruption(time.Now(), use))
	default:
		return false
	}
	return true
}

// checkServer finds out whether the server of an interrupted run has ended, and counts that for the item. One that refuses connections counts
// until it is known to be alive. If a probe can't tell, the registration of the server may tell later; a server that stalled, or that a probe
// doesn't reach, counts until then.
func (m *Manager) checkServer(ctx context.Context, j *job, run interruptedRun, stalled bool) {
	err := m.probes.probe(ctx, run.address)
	switch {
	case errors.Is(err, exchange.ErrEnded):
		m.balancer.RecordEnd(time.Now(), run.server)
		m.countServerEnd(j, run, evidenceRefused)
	case ctx.Err() == nil && (stalled || err != nil):
		j.markSilent(run)
	}
}

// confirmServerEnds counts the servers whose registration has been removed or replaced since a run of the job was interrupted there. One that is
// still registered endConfirmTime later has not ended, where the store was reachable all the while.
func (m *Manager) confirmServerEnds(now time.Time, j *job) {
	j.mu.Lock()
	runs := slices.Clone(j.interruptedRuns)
	j.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	for _, run := range runs {
		if !m.balancer.Registered(run.server) {
			m.countServerEnd(j, run, evidenceRegistration)
		}
	}
	outage := m.outage(now)
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.interruptedRuns {
		run := &j.interruptedRuns[i]
		run.silent = run.silent && !m.balancer.AnsweredAfter(run.server, run.at)
		if outage {
			run.unknownUntil = now
		}
	}
	j.interruptedRuns = slices.DeleteFunc(j.interruptedRuns, func(run interruptedRun) bool {
		return now.Sub(run.at) >= endConfirmTime && (!run.silent || now.Sub(run.unknownUntil) >= endConfirmTime)
	})
	for _, run := range runs {
		j.updatePendingLocked(run.item)
	}
}

// countServerEnd counts a server that ended under an item or its reward call, once for each of these.
func (m *Manager) countServerEnd(j *job, run interruptedRun, evidence endEvidence) {
	now := time.Now()
	j.mu.Lock()
	j.interruptedRuns = slices.DeleteFunc(j.interruptedRuns, func(other interruptedRun) bool { return other.identity() == run.identity() })
	id := run.endID()
	if refused := j.refusedEnds[run.identity()]; refused != nil && refused.retracted {
		// The identity of an end that was taken back doesn't count again.
		id = 0
	}
	if evidence == evidenceRefused {
		j.refusedEnds[run.identity()] = &refusedEnd{interruptedRun: run, checkAt: run.at.Add(endConfirmTime)}
	} else {
		delete(j.refusedEnds, run.identity())
	}
	if j.endedUnder[run.identity()] {
		j.mu.Unlock()
		return
	}
	j.endedUnder[run.identity()] = true
	delete(j.watched, run.item)
	j.progress.RecordServerEnd(run.item, batch.EndedRun{
		Server: id, From: run.from, Last: run.last, Lasted: run.lasted, Short: run.short, CutOff: run.cutOff, Reward: run.reward,
	})
	j.updatePendingLocked(run.item)
	counted := j.progress.ServerEnds(run.item)
	j.mu.Unlock()
	m.serverEnds.Count(now, run.item, run.pool, run.reward, counted)
	ends := m.serverEnds.Get(now, run.item)
	j.mu.Lock()
	j.progress.MergeItemServerEnds(run.item, ends)
	j.mu.Unlock()
	pool := m.poolEnds(now, j, run.item)
	m.metrics.countServerEnd()
	m.log.Info().Str("request", j.spec.ID).Str("item", run.item).Str("server", run.server.ID).Bool("reward", run.reward).Str("evidence", string(evidence)).
		Int("fromEvent", run.from).Int("lastEvent", run.last).Bool("cutOff", run.cutOff).Dur("lasted", run.lasted).Int("poolEnds", pool.Ended).Int("endsByChance", pool.ByChance).
		Int("poolServers", pool.Running).Object("counts", endCounts(ends)).
		Bool("overLimit", ends.OverLimit()).Dur("after", now.Sub(run.at)).Msg("server ended under an item")
	j.wake()
}

// poolEnds returns the ends in the pool of the item's servers, or those of its reward call, around its own.
func (m *Manager) poolEnds(now time.Time, j *job, item string) batch.PoolEnds {
	return m.serverEnds.PoolEnds(now, item, j.spec.Pool, func(pool string, from, to time.Time, accept func(batch.EndID) bool) (ended, running int) {
		return m.balancer.Ends(pool, from, to, func(server backend.Key) bool {
			return accept(batch.NewEndID(server.ID, time.UnixMilli(server.Started), false))
		})
	})
}

// reviewWithheld lets withheld items of the job run again whose ends others explain, or that may run again.
func (m *Manager) reviewWithheld(now time.Time, j *job) {
	j.mu.Lock()
	withheld := j.progress.ReviewWithheld(now)
	withheld = slices.DeleteFunc(withheld, j.progress.AwaitsServerEnds)
	j.mu.Unlock()
	if len(withheld) == 0 {
		return
	}
	explained := m.serverEnds.Explained(withheld)
	for _, item := range withheld {
		known, pool := m.serverEnds.Get(now, item), m.poolEnds(now, j, item)
		j.mu.Lock()
		j.progress.MergeItemServerEnds(item, known)
		// A page may have brought counts that the tracker doesn't have.
		ends := j.progress.ServerEnds(item)
		permitted := (item == explained || ends.MayRunAgain(pool)) && !m.serverEnds.Runs(item)
		if permitted {
			j.progress.ReleaseForIsolatedRun(now, item)
		}
		released := !j.progress.IsWithheld(item)
		j.mu.Unlock()
		m.serverEnds.Touch(now, item)
		if released {
			m.log.Info().Str("request", j.spec.ID).Str("item", item).Bool("explained", item == explained).Int("endsByChance", pool.ByChance).
				Int("poolServers", pool.Running).Object("runLimit", runLimit(ends.RunLimit(pool))).Object("counts", endCounts(ends)).
				Msg("withheld item released")
			j.wake()
		}
	}
}

// clearServerEnds records that a run of the item or, if reward is set, its reward call has survived, so that it isn't what ended the servers
// before.
func (m *Manager) clearServerEnds(j *job, item string, reward bool) {
	j.mu.Lock()
	known := j.progress.ServerEnds(item)
	j.progress.ClearServerEnds(item, reward)
	maps.DeleteFunc(j.refusedEnds, func(use serverUse, _ *refusedEnd) bool { return use.item == item && use.reward == reward })
	cleared := j.progress.ServerEnds(item)
	j.mu.Unlock()
	if cleared == known {
		return
	}
	m.serverEnds.Clear(time.Now(), item, reward, cleared)
	m.log.Info().Str("request", j.spec.ID).Str("item", item).Bool("reward", reward).Object("counts", endCounts(cleared)).
		Msg("item survived after servers ended under it")
}

// runLimit logs the bounds of a run.
type runLimit batch.RunLimit

// MarshalZerologObject adds the bounds to a log line.
func (l runLimit) MarshalZerologObject(line *zerolog.Event) {
	line.Int("events", l.Events).Dur("time", l.Time)
}

// endCounts logs counts of ended servers.
type endCounts batch.ServerEnds

// MarshalZerologObject adds the counts to a log line.
func (c endCounts) MarshalZerologObject(line *zerolog.Event) {
	line.Int("ends", c.Item).Int("cleared", c.ItemCleared).Int("stalled", c.Stalled).Int("reachedEvent", c.Reached).Int("rewardEnds", c.Reward).
		Int("rewardCleared", c.RewardCleared).Int("early", c.Early).Dur("shortest", c.Shortest).Dur("longest", c.Longest)
}
