package batchjob

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// loadAndEnsureRun returns a job with all its pages. If the job is not finished and no entry is known to run it, it starts the job here or
// requests its preferred runner to run it. An empty organisation stands for a call by the system itself.
func (m *Manager) loadAndEnsureRun(ctx context.Context, id, organisation string) (*job, error) {
	j, err := m.readJob(ctx, id, organisation)
	if err != nil || j.finished() {
		return j, err
	}
	if owner, owned := m.ownerExcept(j.spec, m.members.Self().HostID); owned {
		m.log.Debug().Str("request", id).Str("entry", owner.HostID).Dur("lastAnnounced", m.announcedAgo(id)).Msg("batch job is known to run")
		return j, nil
	}
	if m.preferredRunner(j.spec).HostID == m.members.Self().HostID {
		return m.resumeHere(j, nil), nil
	}
	// All entries that know of no owner agree on the job's preferred runner, which may run it already.
	m.assign(j.spec, nil)
	return j, nil
}

// takeOver reads a job and runs it here, unless the entry that is recorded as its owner confirms that it runs the job.
//
// The owner must confirm because the record may be outdated. Without the confirmation, an entry accepted the request to run a job but
// relied on a recorded owner that no longer ran it, so that no entry ran the job. A job that is unaccepted here runs here at once, with what
// was received of it.
func (m *Manager) takeOver(ctx context.Context, q RunRequest) error {
	if m.acceptFromStore(ctx, q.Job) {
		if j, ok := m.find(q.Job); ok && q.EndRequested {
			m.holdJob(j)
		}
		return nil
	}
	j, err := m.readJob(ctx, q.Job, q.Organisation)
	if err != nil || j.finished() {
		return err
	}
	owner, owned := m.ownerExcept(j.spec, q.From)
	if owned && !q.SkipOwnerCheck && m.requestRun(ctx, owner, q) {
		m.log.Info().Str("request", q.Job).Str("from", q.From).Str("entry", owner.HostID).Msg("batch job stays with the entry that confirmed it")
		return nil
	}
	if q.EndRequested {
		m.holdJob(j)
	}
	m.recordHandover(j, q)
	m.watchLeftRuns(j, q.LeftRuns)
	if j = m.resumeHere(j, q.Partials); !j.isRunning() && !j.finished() {
		// The sender would take this entry for the owner.
		return errors.Errorf("job %s: this entry began to leave or left the job to another one", q.Job)
	}
	return nil
}

// recordHandover records that a leaving entry has handed a job over to this one.
func (m *Manager) recordHandover(j *job, q RunRequest) {
	sender, ok := m.members.Find(time.Now(), q.From)
	if !q.Leaving || !ok {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.handedOverBy = sender
}

// isHandedOverBy reports whether the entry's process has handed the job over to this one.
//
// A heartbeat that it sent before may arrive later. If the job were left to that entry, no entry would run it.
func (j *job) isHandedOverBy(member gossip.Member) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.handedOverBy.HostID == member.HostID && j.handedOverBy.Incarnation == member.Incarnation
}

// requestRun asks the recorded owner of a job to confirm that it runs the job, or to run it. If that fails, the record is removed.
func (m *Manager) requestRun(ctx context.Context, owner gossip.Member, q RunRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q.From = m.members.Self().HostID
	q.SkipOwnerCheck = true
	_, err := peer.Call[RunRequest, RunAnswer](ctx, m.peers, owner.Address, MethodRun, q)
	if err != nil {
		m.log.Info().Err(err).Str("request", q.Job).Str("entry", owner.HostID).
			Msg("entry doesn't run the job that it was known to run")
		m.forgetOwner(q.Job, owner.HostID)
	}
	return err == nil
}

// ownerExcept returns a living entry other than except that is not leaving, and is recorded as running the job or was given it a moment
// ago.
//
// An entry that is killed right after it was given a job restarts at once and knows nothing of the job. The check therefore compares the
// incarnation as well: with the host id only, the restarted entry counted as the owner for ownerGracePeriod, in which no entry ran the job.
func (m *Manager) ownerExcept(spec *batch.Job, except string) (gossip.Member, bool) {
	if owner, ok := m.livingOwner(spec.ID); ok && !owner.Leaving && owner.HostID != except {
		return owner, true
	}
	owner, ok := m.members.Find(time.Now(), spec.Owner)
	assigned := ok && !owner.Leaving && owner.HostID != except && owner.Incarnation == spec.OwnerRun
	return owner, assigned && time.Since(spec.Accepted) < ownerGracePeriod
}

// resumeHere runs a job here that another entry ran, or may still run. The partials are what that entry had received of unfinished items.
func (m *Manager) resumeHere(j *job, partials []batch.Partial) *job {
	if j.isRunning() {
		return j
	}
	j.mu.Lock()
	j.progress.TakeOver(time.Now(), partials)
	resumed := len(j.progress.Partials())
	state := j.stateLocked()
	j.mu.Unlock()
	line := m.log.Info().Str("request", j.spec.ID).Str("owner", j.spec.Owner).Int("given", len(partials)).Int("itemsGoOn", resumed).
		Int("unfinished", state.unfinished()).Int("pages", state.Pages).Dur("sinceAccepted", time.Since(j.spec.Accepted))
	m.mu.Lock()
	known, ok := m.owners[j.spec.ID]
	m.mu.Unlock()
	if ok {
		line.Str("recorded", known.hostID).Dur("lastAnnounced", m.announcedAgo(j.spec.ID))
	}
	line.Msg("batch job taken over")
	return m.startJob(j)
}

// ownerGracePeriod is how long after an acceptance the entry that was given the job has to announce that it runs it: several gossip
// messages.
const ownerGracePeriod = 2 * time.Second
