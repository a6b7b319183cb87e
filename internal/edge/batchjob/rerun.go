package batchjob

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// RerunJobsOf restarts the jobs that ran in a lost process of an entry, here or at their preferred runners. It doesn't wait for a trainer
// to read results: a trainer that is connected to the lost entry may take seconds to connect to another one.
//
// All living entries try one after the other, in an order that depends on the job, until the job is known to run: the first may itself have
// been restarted and know nothing of the job. Most jobs of an entry that left are complete; only the first entries read these.
func (m *Manager) RerunJobsOf(lost gossip.Member) {
	for _, id := range m.jobsOwnedBy(lost.HostID) {
		if lost.Leaving && m.ownRank(id) >= maxRerunTurns {
			m.forgetOwner(id, lost.HostID)
			continue
		}
		m.log.Info().Str("request", id).Str("entry", lost.HostID).Int("rank", m.ownRank(id)).Dur("lastAnnounced", m.announcedAgo(id)).
			Msg("batch job lost its entry")
		m.forgetOwner(id, lost.HostID)
		m.wg.Go(func() { m.rerunInTurn(id, lost.HostID) })
	}
}

const (
	// rerunTurn is how long each entry in the order for a job has to announce that it runs the job: a request and a gossip message.
	rerunTurn = 300 * time.Millisecond
	// maxRerunTurns bounds the wait of the last entries in the order; by then all of them have learned by gossip who runs the job.
	maxRerunTurns = 7
)

const (
	// minRerunDelay is the pause after the first failed attempt to have a job run again. It doubles up to maxRerunDelay.
	minRerunDelay = 300 * time.Millisecond
	maxRerunDelay = time.Second
	// outageCheckInterval is how often an entry checks whether an outage of the store, in which it makes no attempt, has ended.
	outageCheckInterval = 200 * time.Millisecond
)

// rerun has a job run again until it is known to run, has ended, isn't in the store, or its time is up. The host id of the lost entry is only
// logged.
func (m *Manager) rerun(id, lost string) {
	if !m.beginRerun(id) {
		return
	}
	defer m.endRerun(id)
	started := time.Now()
	attempts := 0
	for delay := minRerunDelay; ; {
		waited, ok := m.awaitStore()
		if !ok || waited && (!ticker.Sleep(m.ctx, m.ownTurn(id)) || m.needsNoRerun(id)) {
			return
		}
		attempts++
		err := m.tryRerun(id)
		m.log.Info().Err(err).Str("request", id).Str("entry", lost).Int("attempt", attempts).Dur("after", time.Since(started)).
			Msg("tried to have a batch job of a lost entry run again")
		if isNotFound(err) || m.isDone(id) || !ticker.Sleep(m.ctx, m.rerunPause(id, delay)) || m.needsNoRerun(id) {
			return
		}
		if m.isRerunOver(id, started) {
			m.log.Warn().Str("request", id).Str("entry", lost).Int("attempts", attempts).Dur("after", time.Since(started)).
				Msg("gave up having a batch job of a lost entry run again")
			return
		}
		delay = min(2*delay, maxRerunDelay)
	}
}

// beginRerun returns false if this entry already tries to have the job run again.
func (m *Manager) beginRerun(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reruns[id] {
		return false
	}
	m.reruns[id] = true
	return true
}

func (m *Manager) endRerun(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reruns, id)
}

// awaitStore waits while the store is known to be unreachable from every entry. It returns whether it was, and false if the process ends.
func (m *Manager) awaitStore() (waited, ok bool) {
	for m.outage(time.Now()) {
		waited = true
		if !ticker.Sleep(m.ctx, outageCheckInterval) {
			return waited, false
		}
	}
	return waited, m.ctx.Err() == nil
}

// isRerunOver reports whether the time of a job is up. As long as the store hasn't returned the job, an owner's maximum age stands for it.
func (m *Manager) isRerunOver(id string, started time.Time) bool {
	if j, ok := m.find(id); ok {
		return time.Now().After(j.spec.ExpiresAt())
	}
	return time.Since(started) > maxOwnerAge
}

// rerunPause returns the pause after a failed attempt. Entries that come later in the job's order try less often: of 380 entries the store sees
// some twenty attempts a second for a job.
func (m *Manager) rerunPause(id string, delay time.Duration) time.Duration {
	delay += delay * time.Duration(m.ownRank(id)) / maxRerunTurns
	return delay + rand.N(delay/2) + m.ownTurn(id)
}

// ownTurn returns how long this entry waits for those that precede it in the job's order.
func (m *Manager) ownTurn(id string) time.Duration {
	return time.Duration(min(m.ownRank(id), maxRerunTurns)) * rerunTurn
}

// tryRerun makes one attempt to have a job run again, here or at its preferred runner.
func (m *Manager) tryRerun(id string) error {
	ctx, cancel := context.WithTimeout(m.ctx, handoverTimeout)
	defer cancel()
	_, err := m.loadAndEnsureRun(ctx, id, "")
	return err
}

// isEndedOrRunning reports whether a job has ended, runs here, or is known to run at another living entry.
func (m *Manager) isEndedOrRunning(id string) bool {
	if m.isEnded(id) {
		return true
	}
	if _, runs := m.livingOwner(id); runs {
		return true
	}
	j, ok := m.find(id)
	return ok && j.isRunning()
}

// rerunInTurn waits until the entries that precede this one in the job's order have had their turns, and then restarts the job unless it
// has ended or is known to run.
func (m *Manager) rerunInTurn(id, lost string) {
	if !ticker.Sleep(m.ctx, m.ownTurn(id)) {
		return
	}
	if m.needsNoRerun(id) {
		m.logKnownOwner(id, lost)
		return
	}
	m.rerun(id, lost)
}

// orphanDelay is how long after its entry stopped announcing a job another one has to announce that it runs the job.
const orphanDelay = 500 * time.Millisecond

// rerunOrphaned restarts a job that its living entry no longer announces, unless it has ended or is known to run. Most of these jobs are
// complete and were dropped from that entry's memory, so that few entries read it: the first ones in the job's order and those to which the
// entry sends heartbeats regularly, if it announced the job until now. None of the first ones may be among these.
func (m *Manager) rerunOrphaned(id, stopped string, announcedAgo time.Duration) {
	rank := m.ownRank(id)
	if announcedAgo > ownerAnnounceTime && rank >= maxRerunTurns {
		return
	}
	m.wg.Go(func() {
		if !ticker.Sleep(m.ctx, orphanDelay+time.Duration(rank%maxRerunTurns)*rerunTurn) || m.isDoneOrRunsElsewhere(id, true) {
			return
		}
		m.log.Warn().Str("request", id).Str("entry", stopped).Msg("entry stopped running a batch job, and no other one announces it")
		m.rerun(id, stopped)
	})
}

// isDone reports whether a job runs here, or nothing of it is left to run.
func (m *Manager) isDone(id string) bool {
	j, ok := m.find(id)
	return m.isEnded(id) || ok && (j.isRunning() || j.finished())
}

// needsNoRerun reports whether a job has ended or runs. Only the first entries in the job's order ask an owner whether it runs the job: one of
// them is enough, and an owner isn't to be asked by hundreds at once.
func (m *Manager) needsNoRerun(id string) bool {
	return m.isDoneOrRunsElsewhere(id, m.ownRank(id) < maxRerunTurns)
}

// isDoneOrRunsElsewhere reports whether a job has ended or runs. If ask is set, an owner that was only named by others, or was asked to run the
// job and hasn't announced it, must confirm that it does. Otherwise each entry could rely on an owner that no longer runs the job, and no
// entry would.
func (m *Manager) isDoneOrRunsElsewhere(id string, ask bool) bool {
	if m.isDone(id) {
		return true
	}
	owner, ok := m.livingOwner(id)
	if !ok {
		return false
	}
	if m.hasAnnounced(id, owner.HostID) || !ask {
		return true
	}
	return m.requestRun(m.ctx, owner, RunRequest{Job: id})
}

// logKnownOwner logs why this entry doesn't restart a job of a lost entry.
func (m *Manager) logKnownOwner(id, lost string) {
	if m.isEnded(id) {
		return
	}
	line := m.log.Info().Str("request", id).Str("entry", lost)
	if owner, ok := m.livingOwner(id); ok {
		line.Str("owner", owner.HostID).Dur("learnedBefore", m.announcedAgo(id))
	}
	line.Msg("batch job of a lost entry runs again")
}

func (m *Manager) isEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ended := m.ended[id]
	return ended
}

// jobsOwnedBy returns the jobs that the entry is recorded as running and that haven't ended.
func (m *Manager) jobsOwnedBy(hostID string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, known := range m.owners {
		_, ended := m.ended[id]
		if known.hostID == hostID && !ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// ownRank returns how many living entries precede this one in the order for the job.
func (m *Manager) ownRank(id string) int {
	own := xxhash.Sum64String(id + m.members.Self().HostID)
	return slices.IndexFunc(append(m.rankedPeers(id), m.members.Self()), func(member gossip.Member) bool {
		return xxhash.Sum64String(id+member.HostID) >= own
	})
}
