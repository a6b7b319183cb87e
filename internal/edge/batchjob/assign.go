package batchjob

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// preferredRunnerTimeout bounds the request to a job's preferred runner to run it. Entries answer within milliseconds, and a
// trainer is waiting.
const preferredRunnerTimeout = 700 * time.Millisecond

// preferredRunner returns the entry that should run a job, see batch.PreferredRunner: this one unless it is leaving, or another living one.
func (m *Manager) preferredRunner(spec *batch.Job) gossip.Member {
	return m.chooseEntry(spec.Regions, func(runners []batch.Runner) (string, bool) {
		return batch.PreferredRunner(spec.ID, spec.Model, m.demand(), runners)
	})
}

// mayKeep reports whether a job that is restricted to the regions may be in the member's memory; nil allows every region.
func (m *Manager) mayKeep(regions []string, member gossip.Member) bool {
	return regions == nil || m.region != nil && slices.Contains(regions, m.region(member.AvailabilityZone))
}

// storeReader returns the entry that loads a job from the store on behalf of all entries of this region. Which regions the job is restricted
// to isn't known yet; the caller connected to this entry, so its region is allowed.
func (m *Manager) storeReader(id string) gossip.Member {
	var regions []string
	if m.region != nil {
		regions = []string{m.region(m.members.Self().AvailabilityZone)}
	}
	return m.chooseEntry(regions, func(runners []batch.Runner) (string, bool) { return batch.StoreReader(id, runners) })
}

// chooseEntry calls pick with the entries in the regions that are not leaving and returns the one that it selects, or this one if it selects
// none. A nil list of regions allows every region.
func (m *Manager) chooseEntry(regions []string, pick func(runners []batch.Runner) (string, bool)) gossip.Member {
	self := m.members.Self()
	var runners []batch.Runner
	if !m.isLeaving() && m.mayKeep(regions, self) {
		runners = append(runners, batch.Runner{HostID: self.HostID, Cores: self.Cores})
	}
	members := map[string]gossip.Member{}
	for _, member := range m.members.Alive(time.Now()) {
		if !member.Leaving && m.mayKeep(regions, member) {
			members[member.HostID] = member
			runners = append(runners, batch.Runner{HostID: member.HostID, Cores: member.Cores})
		}
	}
	chosen, _ := pick(runners)
	if member, ok := members[chosen]; ok {
		return member
	}
	return self
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// assign has an accepted job run by its preferred runner, or here if this entry is the preferred runner or the preferred runner doesn't
// confirm. A job that runs here as unaccepted stays here with its output. SpecJSON is the stored form of a job that was accepted just now
// and has no pages yet; it is nil for any other job.
func (m *Manager) assign(spec *batch.Job, specJSON []byte) {
	if m.accept(spec, earlyFound) {
		return
	}
	runner := m.preferredRunner(spec)
	if runner.HostID == m.members.Self().HostID {
		m.startHere(spec, specJSON)
		return
	}
	m.recordOwner(spec.ID, runner.HostID)
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, preferredRunnerTimeout)
		defer cancel()
		q := m.newRunRequest(spec)
		q.SpecJSON = specJSON
		_, err := peer.Call[RunRequest, RunAnswer](ctx, m.peers, runner.Address, MethodRun, q)
		m.log.Info().Str("request", spec.ID).Str("entry", runner.HostID).Str("model", spec.Model).AnErr("answer", err).
			Msg("batch job assigned to its preferred runner")
		if err != nil {
			m.forgetOwner(spec.ID, runner.HostID)
			m.startHere(spec, specJSON)
		}
	})
}

// startHere runs an accepted job here. Unless the job is new, its pages are read from the store first, for which the store is tried until the
// job is known to run.
func (m *Manager) startHere(spec *batch.Job, specJSON []byte) {
	if specJSON != nil {
		m.runNewJob(spec)
		return
	}
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, handoverTimeout)
		defer cancel()
		if err := m.takeOver(ctx, m.newRunRequest(spec)); err != nil && !isNotFound(err) {
			m.log.Warn().Err(err).Str("request", spec.ID).Msg("could not start an accepted batch job yet")
			m.rerun(spec.ID, "")
		}
	})
}

// newRunRequest returns a request that asks another entry to run a job.
func (m *Manager) newRunRequest(spec *batch.Job) RunRequest {
	return RunRequest{
		Job: spec.ID, Organisation: spec.Organisation, From: m.members.Self().HostID, EndRequested: m.isEndRequested(spec),
	}
}

// handleRun runs a job for another entry that accepted it or is leaving.
//
// A leaving entry may hand its jobs over before gossip has announced here that it leaves. The sender is therefore never regarded as the
// owner: otherwise this entry left the job to the sender, and no entry ran it for more than a second until its results were read.
//
// A requested end is recorded first, so that the job is held however it is started.
func (m *Manager) handleRun(ctx context.Context, q RunRequest) error {
	if q.EndRequested {
		m.recordRequestedEnd(q.Job, q.Organisation)
	}
	if j, ok := m.find(q.Job); ok && j.isRunning() {
		m.recordHandover(j, q)
		if q.EndRequested {
			m.holdJob(j)
		}
		return nil
	}
	if m.isLeaving() {
		return errors.Errorf("job %s: this entry is leaving", q.Job)
	}
	if q.SpecJSON == nil {
		return m.takeOver(ctx, q)
	}
	var spec batch.Job
	if err := json.Unmarshal(q.SpecJSON, &spec); err != nil {
		return errors.Wrapf(err, "job %s", q.Job)
	}
	m.runNewJob(&spec)
	if j, ok := m.find(q.Job); m.isLeaving() && (!ok || !j.isRunning()) {
		return errors.Errorf("job %s: this entry began to leave", q.Job)
	}
	return nil
}
