package batchjob

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
)

// owner is an entry that runs a job.
type owner struct {
	hostID string
	// since is when that was learned.
	since time.Time
}

const (
	// ownerNews is for how long an entry passes on who runs a job: long enough to reach all.
	ownerNews = 4 * time.Second
	// ownerMost bounds the memory of an owner whose job's end was never heard of.
	ownerMost = 10 * time.Minute
)

// owner returns the living entry that is known to run the job, or that ran it to its last result.
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
	m.setOwner(id, hostID)
}

// setOwner does what noteOwner does. The caller holds the lock.
func (m *Manager) setOwner(id, hostID string) {
	if m.owners[id].hostID != hostID {
		m.owners[id] = owner{hostID: hostID, since: time.Now()}
	}
}

// forgetOwner drops that the entry runs the job.
func (m *Manager) forgetOwner(id, hostID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[id].hostID == hostID {
		delete(m.owners, id)
	}
}

// reader returns a living entry that has the job in memory: the one that runs it, or the one that did until its end.
func (m *Manager) reader(id string) (gossip.Member, bool) {
	if owner, ok := m.owner(id); ok {
		return owner, true
	}
	m.mu.Lock()
	known, ok := m.keepers[id]
	m.mu.Unlock()
	if !ok || time.Since(known.since) > keepTime {
		return gossip.Member{}, false
	}
	return m.members.Find(time.Now(), known.hostID)
}

// Owners returns the entries that run jobs, by job: those that were learned of lately, or all.
func (m *Manager) Owners(now time.Time, all bool) map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners := map[string]string{}
	for id, known := range m.owners {
		switch age := now.Sub(known.since); {
		case age > ownerMost:
			delete(m.owners, id)
		case all || age < ownerNews:
			owners[id] = known.hostID
		}
	}
	for id, known := range m.keepers {
		if now.Sub(known.since) > keepTime {
			delete(m.keepers, id)
		}
	}
	return owners
}

// Jobs returns the jobs that run here or ran here to their last result, and those that ended lately, sorted.
func (m *Manager) Jobs(now time.Time) (jobs, ended []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, j := range m.jobs {
		if j.running() || j.whole() {
			jobs = append(jobs, id)
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
	slices.Sort(jobs)
	slices.Sort(ended)
	return jobs, ended
}

// TokenRates returns the sum of the token rates of the jobs that run here, by model; see batch.Job.TokenRate.
func (m *Manager) TokenRates() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := map[string]float64{}
	for _, j := range m.jobs {
		if j.running() && j.spec.Model != "" {
			rates[j.spec.Model] += j.tokenRate
		}
	}
	return rates
}

// Heard takes in which jobs another entry runs, which have ended, and which entries it says run others.
func (m *Manager) Heard(from gossip.Member, running, ended []string, others map[string]string) {
	for _, id := range ended {
		m.endHere(id)
	}
	m.hearOwners(from, others)
	self := m.members.Self()
	for _, id := range running {
		if m.tellEnd(id) {
			m.log.Info().Str("request", id).Str("entry", from.HostID).Msg("entry runs a job that has ended")
			continue
		}
		m.noteOwner(id, from.HostID)
		j, ok := m.find(id)
		// Two entries that both took a job over do its work twice until one of them yields.
		if ok && j.running() && !from.Leaving && from.HostID < self.HostID {
			m.log.Info().Str("request", id).Str("entry", from.HostID).Msg("batch job left to another entry")
			j.yield()
		}
	}
	m.hearDropped(from, running)
}

// tellEnd has the others told once more that a job ended; false if it isn't known to have.
//
// Guard: an entry that was cut off while the end went round hears of it from nobody later, and runs the job on.
func (m *Manager) tellEnd(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ended := m.ended[id]; !ended {
		return false
	}
	m.ended[id] = time.Now()
	return true
}

// hearDropped forgets jobs that an entry doesn't run any more, as it says itself. One that was given a job a moment ago may not name
// it yet.
func (m *Manager) hearDropped(from gossip.Member, running []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, known := range m.owners {
		if known.hostID == from.HostID && time.Since(known.since) > ownerNews && !slices.Contains(running, id) {
			delete(m.owners, id)
		}
	}
}

// hearOwners takes in what an entry heard from others. It doesn't count as news of jobs that are known to have an owner who lives, or
// the entries would tell each other for ever of an owner that runs a job no more.
func (m *Manager) hearOwners(from gossip.Member, others map[string]string) {
	self := m.members.Self().HostID
	for id, hostID := range others {
		if hostID == self {
			m.rerunOwn(id)
			continue
		}
		if _, lives := m.owner(id); lives || hostID == from.HostID {
			continue
		}
		m.mu.Lock()
		if _, over := m.ended[id]; !over {
			m.setOwner(id, hostID)
		}
		m.mu.Unlock()
	}
}
