package batchjob

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// owner is an entry that runs a job.
type owner struct {
	hostID string
	// learnedAt is when this process learned that, announcedAt when the entry last announced it here itself; zero if it never did.
	learnedAt   time.Time
	announcedAt time.Time
}

const (
	// ownerAnnounceTime is how long an entry announces in gossip a job's owner that it has learned: long enough to reach all entries.
	ownerAnnounceTime = 4 * time.Second
	// announcementTimeout is how long after its last announcement an entry still counts as running a job while its heartbeats don't announce
	// it. Heartbeats may be processed in another order than they were sent.
	announcementTimeout = time.Second
	// maxOwnerAge is the age after which an owner is deleted although the end of its job was never announced.
	maxOwnerAge = 10 * time.Minute
)

// livingOwner returns the living entry that is recorded as running the job, or as having run it to its last result.
func (m *Manager) livingOwner(id string) (gossip.Member, bool) {
	m.mu.Lock()
	known, ok := m.owners[id]
	m.mu.Unlock()
	if !ok {
		return gossip.Member{}, false
	}
	return m.members.Find(time.Now(), known.hostID)
}

// recordOwner records that an entry runs a job.
func (m *Manager) recordOwner(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwnerLocked(id, hostID)
}

// recordOwnerLocked is recordOwner for callers that hold the lock.
func (m *Manager) recordOwnerLocked(id, hostID string) {
	if m.owners[id].hostID != hostID {
		m.owners[id] = owner{hostID: hostID, learnedAt: time.Now()}
	}
}

// recordAnnouncement records that an entry announced that it runs a job.
func (m *Manager) recordAnnouncement(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwnerLocked(id, hostID)
	known := m.owners[id]
	known.announcedAt = time.Now()
	m.owners[id] = known
}

// hasAnnounced reports whether the entry is on record as the owner of a job and has announced that itself.
func (m *Manager) hasAnnounced(id, hostID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.owners[id]
	return known.hostID == hostID && !known.announcedAt.IsZero()
}

// announcedAgo returns how long ago the recorded owner of a job last announced here that it runs the job, or, if it never did, how long ago
// this process learned of it.
func (m *Manager) announcedAgo(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.owners[id]
	if known.announcedAt.IsZero() {
		return time.Since(known.learnedAt)
	}
	return time.Since(known.announcedAt)
}

// forgetOwner removes the record that the entry runs the job.
func (m *Manager) forgetOwner(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[id].hostID == hostID {
		delete(m.owners, id)
	}
}

// holder returns a living entry that has the job in memory: the one that runs it, or the one that ran it until its end.
func (m *Manager) holder(id string) (gossip.Member, bool) {
	if owner, ok := m.livingOwner(id); ok {
		return owner, true
	}
	m.mu.Lock()
	known, ok := m.lastOwners[id]
	m.mu.Unlock()
	if !ok || time.Since(known.learnedAt) > cacheTTL {
		return gossip.Member{}, false
	}
	return m.members.Find(time.Now(), known.hostID)
}

// Owners returns the entries that run jobs, by job: those that were learned of recently, or all.
func (m *Manager) Owners(now time.Time, all bool) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners := map[string]string{}
	for id, known := range m.owners {
		switch age := now.Sub(known.learnedAt); {
		case age > maxOwnerAge:
			delete(m.owners, id)
		case all || age < ownerAnnounceTime:
			owners[id] = known.hostID
		}
	}
	for id, known := range m.lastOwners {
		if now.Sub(known.learnedAt) > cacheTTL {
			delete(m.lastOwners, id)
		}
	}
	return owners
}

// Jobs returns the jobs that run here or ran here to their last result, and those that ended recently, sorted.
func (m *Manager) Jobs(now time.Time) (jobs, ended []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, j := range m.jobs {
		if j.isRunning() || j.completedHere() {
			jobs = append(jobs, id)
		}
	}
	for id, at := range m.ended {
		if now.Sub(at) < endAnnounceTime {
			ended = append(ended, id)
		}
		if now.Sub(at) > endRetention {
			delete(m.ended, id)
		}
	}
	slices.Sort(jobs)
	slices.Sort(ended)
	return jobs, ended
}

// TokenRates returns the sum of the token rates of the jobs that run here, by model; see batch.Job.TokenRate. It includes unaccepted jobs,
// which need servers like any others.
func (m *Manager) TokenRates() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := map[string]float64{}
	for _, j := range m.jobs {
		if j.isRunning() && j.spec.Model != "" {
			rates[j.spec.Model] += j.tokenRate
		}
	}
	for _, j := range m.unacceptedLocked() {
		if j.spec.Model != "" {
			rates[j.spec.Model] += j.tokenRate
		}
	}
	return rates
}

// ApplyGossip records which jobs another entry runs, which have ended, and which entries it has recorded as running others.
func (m *Manager) ApplyGossip(from gossip.Member, running, ended []string, others map[string]string) {
	for _, id := range ended {
		m.markEnded(id)
	}
	m.mergeOwners(from, others)
	self := m.members.Self()
	for _, id := range running {
		if m.reannounceEnd(id) {
			m.log.Info().Str("request", id).Str("entry", from.HostID).Msg("entry runs a job that has ended")
			continue
		}
		j, ok := m.find(id)
		if ok && j.isHandedOverBy(from) {
			continue
		}
		m.recordAnnouncement(id, from.HostID)
		// Two entries that run the same job do its work twice until one of them stops.
		if ok && j.isRunning() && !from.Leaving && from.HostID < self.HostID {
			state := j.state()
			m.log.Info().Str("request", id).Str("entry", from.HostID).Uint64("incarnation", from.Incarnation).Int("running", state.Running).
				Int("unfinished", state.unfinished()).Msg("batch job left to another entry")
			j.stopRunning()
		}
	}
	m.removeStaleOwners(from, running)
}

// reannounceEnd has the end of a job announced once more; false if the job isn't known to have ended.
//
// An entry that was partitioned while the end was announced doesn't receive that announcement later, and would continue to run the job.
func (m *Manager) reannounceEnd(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ended := m.ended[id]; !ended {
		return false
	}
	m.ended[id] = time.Now()
	return true
}

// removeStaleOwners removes an entry as the owner of jobs that it doesn't announce as running any more, and has those that it did announce run
// again unless another entry does: it may have stopped a job without an end and without a successor. One that was given a job a moment ago
// may not announce it yet, or may never have got it; the latter is known only where every entry hears all others.
func (m *Manager) removeStaleOwners(from gossip.Member, running []string) {
	hearsAll := len(m.members.Alive(time.Now())) <= roster.MaxFullMesh
	m.mu.Lock()
	orphaned := map[string]time.Duration{}
	for id, known := range m.owners {
		if known.hostID != from.HostID || slices.Contains(running, id) {
			continue
		}
		announced := !known.announcedAt.IsZero()
		switch {
		case !announced && hearsAll && time.Since(known.learnedAt) > ownerGracePeriod:
			orphaned[id] = time.Since(known.learnedAt)
			delete(m.owners, id)
		case announced && time.Since(known.announcedAt) > announcementTimeout:
			orphaned[id] = time.Since(known.announcedAt)
			delete(m.owners, id)
		case !announced && time.Since(known.learnedAt) > ownerAnnounceTime:
			delete(m.owners, id)
		}
	}
	m.mu.Unlock()
	for id, announcedAgo := range orphaned {
		m.rerunOrphaned(id, from.HostID, announcedAgo)
	}
}

// mergeOwners records the owners that another entry has recorded, except for jobs with a living owner on record here: otherwise the
// entries would pass on to each other forever an owner that doesn't run the job any more.
func (m *Manager) mergeOwners(from gossip.Member, others map[string]string) {
	self := m.members.Self().HostID
	for id, hostID := range others {
		if hostID == self {
			m.rerunOwnJob(id)
			continue
		}
		if _, alive := m.livingOwner(id); alive || hostID == from.HostID {
			continue
		}
		m.mu.Lock()
		if _, ended := m.ended[id]; !ended {
			m.recordOwnerLocked(id, hostID)
		}
		m.mu.Unlock()
	}
}
