package batchjob

import (
	"maps"
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// owner is an entry that runs a job.
type owner struct {
	hostID string
	// heard is when that was said last.
	heard time.Time
}

// ownerTime is how long an entry is taken to run a job that it doesn't name any more: news takes some beats to spread.
const ownerTime = 4 * time.Second

// owner returns the living entry that is known to run the job.
func (m *Manager) owner(id string) (gossip.Member, bool) {
	m.mu.Lock()
	known, ok := m.owners[id]
	m.mu.Unlock()
	if !ok {
		return gossip.Member{}, false
	}
	return m.members.Find(time.Now(), known.hostID)
}

// noteOwner remembers that an entry runs a job.
func (m *Manager) noteOwner(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners[id] = owner{hostID: hostID, heard: time.Now()}
}

// forgetOwner drops what noteOwner remembered.
func (m *Manager) forgetOwner(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[id].hostID == hostID {
		delete(m.owners, id)
	}
}

// reader returns a living entry that has the job in memory: the one that runs it, or one that ran it.
func (m *Manager) reader(id string) (gossip.Member, bool) {
	if owner, ok := m.owner(id); ok {
		return owner, true
	}
	m.mu.Lock()
	known, ok := m.keepers[id]
	m.mu.Unlock()
	if !ok || time.Since(known.heard) > ownerTime {
		return gossip.Member{}, false
	}
	return m.members.Find(time.Now(), known.hostID)
}

// Owners returns the entries that run jobs, by job, for those that don't hear from them directly.
func (m *Manager) Owners() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners := map[string]string{}
	for id, known := range m.owners {
		if time.Since(known.heard) > ownerTime {
			delete(m.owners, id)
			continue
		}
		owners[id] = known.hostID
	}
	return owners
}

// Jobs returns the jobs that run here, those that ran here and are kept, and those that ended lately, sorted.
func (m *Manager) Jobs(now time.Time) (running, kept, ended []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, j := range m.jobs {
		switch {
		case j.running():
			running = append(running, id)
		case j.hasRun():
			kept = append(kept, id)
		}
	}
	for id, at := range m.ended {
		if now.Sub(at) < endedTime {
			ended = append(ended, id)
		}
		if now.Sub(at) > endedMemory {
			delete(m.ended, id)
		}
	}
	slices.Sort(running)
	slices.Sort(kept)
	slices.Sort(ended)
	return running, kept, ended
}

// Heard takes in which jobs another entry runs, which it keeps, which have ended, and which entries it says run others.
func (m *Manager) Heard(from gossip.Member, running, kept, ended []string, others map[string]string) {
	m.hearOwners(from, others)
	m.hearKeepers(from, kept)
	for _, id := range ended {
		m.endHere(id)
	}
	self := m.members.Self()
	for _, id := range running {
		m.mu.Lock()
		m.owners[id] = owner{hostID: from.HostID, heard: time.Now()}
		j, ok := m.jobs[id]
		m.mu.Unlock()
		if ok {
			j.share()
		}
		// Two entries that both took a job over do its work twice until one of them yields.
		if ok && j.running() && !from.Leaving && from.HostID < self.HostID {
			m.log.Info().Str("request", id).Str("entry", from.HostID).Msg("batch job left to another entry")
			j.yield()
		}
	}
}

func (m *Manager) hearKeepers(from gossip.Member, kept []string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range kept {
		m.keepers[id] = owner{hostID: from.HostID, heard: now}
	}
	maps.DeleteFunc(m.keepers, func(_ string, known owner) bool { return now.Sub(known.heard) > ownerTime })
}

// hearOwners takes in what an entry heard from others. It doesn't count as news of jobs that are known to have an owner, or the
// entries would tell each other for ever of an owner that runs a job no more.
func (m *Manager) hearOwners(from gossip.Member, others map[string]string) {
	self := m.members.Self().HostID
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, hostID := range others {
		if _, known := m.owners[id]; !known && hostID != self && hostID != from.HostID {
			m.owners[id] = owner{hostID: hostID, heard: time.Now()}
		}
	}
}
