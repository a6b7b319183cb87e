package batchjob

import (
	"context"
	"maps"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// endRetryDelay is the pause before an end is stored again after a failure.
const endRetryDelay = 500 * time.Millisecond

const (
	// requestedEndRetention is how long the requested end of a job is kept if the job isn't known here: far longer than a create or the
	// polling for a lost answer may take, after which the job can't start late any more.
	requestedEndRetention = endRetention
	// maxRequestedEnds bounds the requested ends that an entry keeps, a few hundred bytes each. The oldest is dropped first.
	maxRequestedEnds = 4096
)

// recordRequestedEnd records that the end of a job was requested and isn't stored, so that the job doesn't start again: its object may
// still be created by a late create, or be found after a lost answer.
func (m *Manager) recordRequestedEnd(id, organisation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ended := m.ended[id]; ended || m.early == nil {
		return
	}
	now, key := time.Now(), createKey{id: id, organisation: organisation}
	until := now.Add(requestedEndRetention)
	if j, ok := m.jobs[id]; ok && j.spec.ExpiresAt().After(until) {
		until = j.spec.ExpiresAt()
	}
	ends := m.early.ends
	maps.DeleteFunc(ends, func(_ createKey, until time.Time) bool { return now.After(until) })
	if _, known := ends[key]; !known && len(ends) >= maxRequestedEnds {
		var oldest createKey
		for other, at := range ends {
			if oldest.id == "" || at.Before(ends[oldest]) {
				oldest = other
			}
		}
		delete(ends, oldest)
	}
	ends[key] = until
}

// isEndRequestedLocked reports whether the end of a job was requested and isn't known to be stored. The caller holds the lock.
func (m *Manager) isEndRequestedLocked(spec *batch.Job) bool {
	if m.early == nil {
		return false
	}
	until, ok := m.early.ends[createKey{id: spec.ID, organisation: spec.Organisation}]
	return ok && time.Now().Before(until)
}

func (m *Manager) isEndRequested(spec *batch.Job) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isEndRequestedLocked(spec)
}

// forgetRequestedEndsLocked removes the requested ends of a job whose end is stored. The caller holds the lock.
func (m *Manager) forgetRequestedEndsLocked(id string) {
	if m.early != nil {
		maps.DeleteFunc(m.early.ends, func(key createKey, _ time.Time) bool { return key.id == id })
	}
}

// requestHold has the entry that runs a job start no further items of it, because its end could not be stored.
//
// Nothing may be known here of a job, or of who runs it, if it isn't accepted yet. All entries are asked then: any of them may have begun
// the job when its preferred runner didn't answer, or may begin it later.
func (m *Manager) requestHold(id, organisation string) {
	if m.hold(id, organisation) {
		return
	}
	q := EndRequest{Job: id, Organisation: organisation, Requested: true}
	holder, held := m.holder(id)
	m.wg.Go(func() {
		if held && m.callHold(holder, q) {
			return
		}
		for _, member := range m.members.Alive(time.Now()) {
			if !held || member.HostID != holder.HostID {
				m.wg.Go(func() { m.callHold(member, q) })
			}
		}
	})
}

// callHold tells another entry that the end of a job can't be stored; false if that entry doesn't know the job or doesn't answer.
func (m *Manager) callHold(member gossip.Member, q EndRequest) bool {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	answer, err := peer.Call[EndRequest, EndAnswer](ctx, m.peers, member.Address, MethodEnd, q)
	m.log.Debug().Err(err).Str("request", q.Job).Str("entry", member.HostID).Bool("known", answer.Known).
		Msg("told an entry that the end of a batch job can't be stored")
	return err == nil && answer.Known
}

// hold starts no further items of a job that runs here, and stores its end as soon as that is possible. An unaccepted job is given up. The
// request is recorded, also for a job that isn't known here yet. It returns false if the organisation's job doesn't run here.
func (m *Manager) hold(id, organisation string) bool {
	if m.early == nil {
		return false
	}
	m.recordRequestedEnd(id, organisation)
	if j, ok := m.findUnaccepted(id); ok {
		if j.spec.Organisation == organisation {
			m.giveUp(id, earlyEnded)
		}
		return true
	}
	j, ok := m.find(id)
	if !ok || j.spec.Organisation != organisation || !j.isRunning() {
		return false
	}
	m.holdJob(j)
	return true
}

// holdJob starts no further items of a job and stores its end as soon as that is possible.
func (m *Manager) holdJob(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m.holdJobLocked(j)
}

// holdJobLocked is holdJob for callers that hold the job's lock.
func (m *Manager) holdJobLocked(j *job) {
	if j.endRequested || j.progress.Ended() {
		return
	}
	j.endRequested = true
	m.log.Info().Str("request", j.spec.ID).Interface("job", j.stateLocked()).
		Msg("batch job starts no further items since its end can't be stored yet")
	m.wg.Go(func() { m.storeEnd(j) })
}

// storeEnd tries to store the end of a job for as long as the job's time lasts.
func (m *Manager) storeEnd(j *job) {
	for time.Now().Before(j.spec.ExpiresAt()) && ticker.Sleep(m.ctx, endRetryDelay) && !j.finished() {
		if m.outage(time.Now()) {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, createTimeout)
		err := m.endJob(ctx, j, j.spec.Organisation)
		cancel()
		if err == nil {
			return
		}
	}
}
